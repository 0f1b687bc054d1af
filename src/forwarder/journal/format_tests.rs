//! Holds the bytes of the journal: files that earlier versions have written must be read the same for ever, also
//! where they are damaged, and what is written must not change unnoticed.

use super::encoding::encode;
use super::tests::Folder;
use super::*;
use crate::forwarder::messages::notice::NoticeOutcome;
use bytes::Bytes;
use std::fs;

/// A journal with every kind of record, as version 0.1.0 wrote it.
const EVERY_RECORD: &[u8] = include_bytes!("../../../tests/fixtures/journal/every-record.journal");
/// The same journal after version 0.1.0 had compacted it.
const COMPACTED: &[u8] = include_bytes!("../../../tests/fixtures/journal/compacted.journal");
/// Digest of what is read from each front part of [`EVERY_RECORD`].
const TORN_TAILS_DIGEST: u64 = 0x006f_bc40_601a_6062;
/// Digest of what is read from [`EVERY_RECORD`] with one byte damaged, at every [`DAMAGE_STRIDE`]th place in turn.
const DAMAGED_BYTES_DIGEST: u64 = 0x123b_73da_4243_884a;

/// To damage every byte in turn takes three seconds in a debug build.
const DAMAGE_STRIDE: usize = 3;

const LIMIT: u64 = 3 << 20;
/// The time of the tests (Unix ms).
const NOW: u64 = 1_800_000_000_000;
/// Later than any run of the tests (Unix ms).
const FAR_FUTURE: u64 = 4_000_000_000_000;

fn write_file(folder: &Folder, text: &[u8]) {
    fs::write(folder.0.join("journal"), text).expect("the folder can be written");
}

fn read_file(folder: &Folder) -> Vec<u8> {
    fs::read(folder.0.join("journal")).expect("the journal is there")
}

/// A folder with a copy of this journal: opening one may shorten it.
fn folder_with(text: &[u8]) -> Folder {
    let folder = Folder::new();
    write_file(&folder, text);
    folder
}

fn open_in(folder: &Folder) -> (Journal, Vec<RecoveredMessage>) {
    Journal::open(&folder.0, LIMIT, NOW).expect("the journal opens")
}

fn message(id: &str, tenant: Option<&str>, key: Option<&str>, body: impl Into<Bytes>) -> AcceptedMessage {
    AcceptedMessage {
        id: id.to_owned(),
        class: "auth-notice".to_owned(),
        tenant: tenant.map(str::to_owned),
        destination: 7,
        key: key.map(str::to_owned),
        deadline_unix_ms: FAR_FUTURE,
        body: body.into(),
    }
}

fn plain_message() -> AcceptedMessage {
    message("plain", Some("tenant-a"), Some("key-1"), "hello")
}

fn bare_message() -> AcceptedMessage {
    AcceptedMessage { class: "bulk".to_owned(), destination: u64::MAX, ..message("bare", None, None, "") }
}

fn binary_message() -> AcceptedMessage {
    let every_byte: Vec<u8> = (0..=u8::MAX).collect();
    message("binary", None, Some("key \"2\" \u{e9}"), every_byte)
}

/// Its body would end the message `plain` if it were read as a record.
fn message_with_a_frame_in_its_body() -> AcceptedMessage {
    let mut body = b"before".to_vec();
    encode(&completed("plain", FinalOutcome::Failed, FAR_FUTURE), &mut body);
    body.extend_from_slice(b"after");
    message("frame-like", Some("tenant-b"), None, body)
}

fn message_accepted_again() -> AcceptedMessage {
    message("retaken", None, Some("key-3"), "second time")
}

fn attempt_started(id: &str, attempt: usize, sent_at: u64, zone: &str) -> Record {
    Record::attempt_started(id.to_owned(), attempt, sent_at, zone.to_owned())
}

fn attempt_ended(id: &str, attempt: usize, may_have_executed: bool) -> Record {
    Record::attempt_ended(id.to_owned(), attempt, may_have_executed)
}

fn notice_pending(id: &str, outcome: NoticeOutcome, until: u64) -> Record {
    Record::notice_pending(id.to_owned(), outcome, until)
}

fn completed(id: &str, outcome: FinalOutcome, until: u64) -> Record {
    Record::completed(id.to_owned(), outcome, until)
}

fn simple(id: &str) -> Record {
    Record::Accepted(message(id, None, None, id.to_owned()))
}

/// The records of the fixture, in its order.
fn every_record() -> Vec<Record> {
    [open_messages(), endpoints(), attempts(), accepted_again(), pending_notices(), finished_messages()]
        .concat()
}

fn open_messages() -> Vec<Record> {
    [plain_message(), bare_message(), binary_message(), message_with_a_frame_in_its_body()]
        .map(Record::Accepted)
        .to_vec()
}

fn endpoints() -> Vec<Record> {
    let banned = ["endpoint-3", "endpoint-1", "endpoint-2"].map(|uid| Record::EndpointBanned(uid.to_owned()));
    [banned.to_vec(), vec![Record::EndpointAllowed("endpoint-1".to_owned())]].concat()
}

fn attempts() -> Vec<Record> {
    vec![
        attempt_started("plain", 0, NOW, "hall-a"),
        attempt_ended("plain", 0, true),
        attempt_started("plain", 1, NOW + 1, "hall-b"),
        attempt_ended("plain", 1, false),
        attempt_started("plain", 2, NOW + 2, "hall-a"),
        // Attempts 0 and 1 were never noted, and attempt 1 comes too late.
        attempt_started("bare", 2, NOW + 3, "hall-c"),
        attempt_started("bare", 1, NOW + 4, "hall-d"),
        attempt_ended("bare", 7, true),
        // Of a message that the file does not hold.
        attempt_started("unknown", 0, NOW, "hall-a"),
    ]
}

fn accepted_again() -> Vec<Record> {
    vec![
        Record::Accepted(message("retaken", None, Some("key-3"), "first time")),
        attempt_started("retaken", 0, NOW, "hall-a"),
        completed("retaken", FinalOutcome::Rejected, FAR_FUTURE + 1),
        Record::Accepted(message_accepted_again()),
    ]
}

fn pending_notices() -> Vec<Record> {
    let timed = NoticeOutcome::Rejected { retry_in_ms: Some(1500) };
    let untimed = NoticeOutcome::Rejected { retry_in_ms: None };
    vec![
        simple("given-up"),
        attempt_started("given-up", 0, NOW + 5, "hall-a"),
        notice_pending("given-up", NoticeOutcome::Failed, FAR_FUTURE + 2),
        simple("handed-back"),
        notice_pending("handed-back", timed, FAR_FUTURE + 3),
        simple("handed-back-untimed"),
        notice_pending("handed-back-untimed", untimed, FAR_FUTURE + 4),
    ]
}

fn finished_messages() -> Vec<Record> {
    vec![
        simple("delivered"),
        attempt_started("delivered", 0, NOW + 6, "hall-a"),
        attempt_ended("delivered", 0, true),
        completed("delivered", FinalOutcome::Delivered, FAR_FUTURE + 5),
        simple("failed"),
        completed("failed", FinalOutcome::Failed, FAR_FUTURE + 6),
        simple("refused"),
        completed("refused", FinalOutcome::Rejected, FAR_FUTURE + 7),
        simple("forgotten"),
        completed("forgotten", FinalOutcome::Delivered, NOW - 1),
    ]
}

fn attempt(sent_at_unix_ms: u64, zone: &str, may_have_executed: bool) -> RecoveredAttempt {
    RecoveredAttempt { sent_at_unix_ms, zone: zone.to_owned(), may_have_executed }
}

fn open(
    message: AcceptedMessage,
    attempts: Vec<RecoveredAttempt>,
    pending_notice: Option<NoticeOutcome>,
) -> RecoveredMessage {
    RecoveredMessage { message, attempts, pending_notice, in_doubt: false }
}

/// What the fixture tells of messages that are not over.
fn expected_open_messages() -> Vec<RecoveredMessage> {
    let simple = |id: &str| message(id, None, None, id.to_owned());
    let timed = NoticeOutcome::Rejected { retry_in_ms: Some(1500) };
    let untimed = NoticeOutcome::Rejected { retry_in_ms: None };
    let plain_attempts = vec![
        attempt(NOW, "hall-a", true),
        attempt(NOW + 1, "hall-b", false),
        attempt(NOW + 2, "hall-a", true),
    ];
    let bare_attempts = vec![
        attempt(NOW + 3, "hall-c", false),
        attempt(NOW + 3, "hall-c", false),
        attempt(NOW + 3, "hall-c", true),
    ];
    vec![
        open(plain_message(), plain_attempts, None),
        open(bare_message(), bare_attempts, None),
        open(binary_message(), vec![], None),
        open(message_with_a_frame_in_its_body(), vec![], None),
        open(message_accepted_again(), vec![], None),
        open(simple("given-up"), vec![attempt(NOW + 5, "hall-a", true)], Some(NoticeOutcome::Failed)),
        open(simple("handed-back"), vec![], Some(timed)),
        open(simple("handed-back-untimed"), vec![], Some(untimed)),
    ]
}

fn expected_outcomes() -> Vec<(&'static str, FinalOutcome, u64)> {
    vec![
        ("delivered", FinalOutcome::Delivered, FAR_FUTURE + 5),
        ("failed", FinalOutcome::Failed, FAR_FUTURE + 6),
        ("given-up", FinalOutcome::Failed, FAR_FUTURE + 2),
        ("handed-back", FinalOutcome::Rejected, FAR_FUTURE + 3),
        ("handed-back-untimed", FinalOutcome::Rejected, FAR_FUTURE + 4),
        ("refused", FinalOutcome::Rejected, FAR_FUTURE + 7),
        ("retaken", FinalOutcome::Rejected, FAR_FUTURE + 1),
    ]
}

/// The ends that are remembered, by message.
fn remembered_outcomes(journal: &Journal) -> Vec<(&str, FinalOutcome, u64)> {
    let remembered = journal.retained.outcomes.iter();
    let mut outcomes: Vec<_> =
        remembered.map(|(message, of)| (message, of.outcome, of.until_unix_ms)).collect();
    outcomes.sort_by_key(|(message, ..)| *message);
    outcomes
}

fn assert_reads_as_the_fixture(journal: &Journal, messages: &[RecoveredMessage]) {
    assert_eq!(messages, expected_open_messages());
    assert_eq!(remembered_outcomes(journal), expected_outcomes());
    assert_eq!(journal.banned_endpoints().iter().collect::<Vec<_>>(), ["endpoint-2", "endpoint-3"]);
}

/// A 64-bit FNV-1a hash over an encoding of its own, in which no name of a type or a field occurs.
struct Digest(u64);

impl Digest {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    fn new() -> Self {
        Digest(Self::OFFSET_BASIS)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn text(&mut self, text: impl AsRef<[u8]>) {
        self.number(text.as_ref().len() as u64);
        self.bytes(text.as_ref());
    }

    fn optional_text(&mut self, text: &Option<String>) {
        self.number(text.is_some().into());
        if let Some(text) = text {
            self.text(text);
        }
    }

    fn outcome(&mut self, outcome: FinalOutcome) {
        self.number(match outcome {
            FinalOutcome::Delivered => 1,
            FinalOutcome::Failed => 2,
            FinalOutcome::Rejected => 3,
        });
    }

    fn pending_notice(&mut self, notice: Option<NoticeOutcome>) {
        let (kind, retry_in_ms) = match notice {
            None => (0, 0),
            Some(NoticeOutcome::Failed) => (1, 0),
            Some(NoticeOutcome::Rejected { retry_in_ms: None }) => (2, 0),
            Some(NoticeOutcome::Rejected { retry_in_ms: Some(ms) }) => (3, ms),
        };
        self.number(kind);
        self.number(retry_in_ms);
    }

    fn message(&mut self, message: &AcceptedMessage) {
        self.text(&message.id);
        self.text(&message.class);
        self.optional_text(&message.tenant);
        self.number(message.destination);
        self.optional_text(&message.key);
        self.number(message.deadline_unix_ms);
        self.text(&message.body);
    }

    fn open_message(&mut self, open: &RecoveredMessage) {
        self.message(&open.message);
        self.number(open.attempts.len() as u64);
        for attempt in &open.attempts {
            self.number(attempt.sent_at_unix_ms);
            self.text(&attempt.zone);
            self.number(attempt.may_have_executed.into());
        }
        self.pending_notice(open.pending_notice);
        self.number(open.in_doubt.into());
    }

    fn journal(&mut self, journal: &Journal, messages: &[RecoveredMessage]) {
        self.number(messages.len() as u64);
        messages.iter().for_each(|open| self.open_message(open));
        let outcomes = remembered_outcomes(journal);
        self.number(outcomes.len() as u64);
        for (id, outcome, until) in outcomes {
            self.text(id);
            self.outcome(outcome);
            self.number(until);
        }
        self.number(journal.banned_endpoints().len() as u64);
        journal.banned_endpoints().iter().for_each(|uid| self.text(uid));
    }
}

/// The digest of what is read from each of these files, and of how long they are once they were opened.
fn digest_of(variants: impl Iterator<Item = Vec<u8>>) -> u64 {
    let folder = Folder::new();
    let mut digest = Digest::new();
    for text in variants {
        write_file(&folder, &text);
        let (journal, messages) = open_in(&folder);
        digest.journal(&journal, &messages);
        digest.number(read_file(&folder).len() as u64);
    }
    digest.0
}

#[test]
fn the_stored_journal_reads_as_it_always_did() {
    let folder = folder_with(EVERY_RECORD);
    let (journal, messages) = open_in(&folder);
    assert_reads_as_the_fixture(&journal, &messages);
    assert_eq!(read_file(&folder), EVERY_RECORD, "opening must not change a whole file");
}

#[test]
fn the_same_records_are_written_with_the_same_bytes() {
    let folder = Folder::new();
    let (mut journal, _) = open_in(&folder);
    let records = every_record();
    let (noted, committed) = records.split_at(10);
    noted.iter().for_each(|record| journal.enqueue(record, NOW));
    for records in committed.chunks(4) {
        journal.commit(records, NOW).expect("there is room");
    }
    assert!(read_file(&folder) == EVERY_RECORD, "the bytes of a record have changed");
}

#[test]
fn compacting_gives_the_same_bytes() {
    let folder = folder_with(EVERY_RECORD);
    let (mut journal, _) = open_in(&folder);
    journal.compact(NOW).expect("there is room");
    assert!(read_file(&folder) == COMPACTED, "the bytes of a compacted journal have changed");
}

#[test]
fn the_compacted_journal_reads_as_the_long_one() {
    let folder = folder_with(COMPACTED);
    let (journal, messages) = open_in(&folder);
    assert_reads_as_the_fixture(&journal, &messages);
}

#[test]
fn a_journal_torn_anywhere_reads_as_it_always_did() {
    let torn = (0..=EVERY_RECORD.len()).map(|length| EVERY_RECORD[..length].to_vec());
    assert_eq!(digest_of(torn), TORN_TAILS_DIGEST);
}

#[test]
fn a_journal_damaged_anywhere_reads_as_it_always_did() {
    let damaged = (0..EVERY_RECORD.len()).step_by(DAMAGE_STRIDE).map(|place| {
        let mut text = EVERY_RECORD.to_vec();
        text[place] ^= 1;
        text
    });
    assert_eq!(digest_of(damaged), DAMAGED_BYTES_DIGEST);
}
