//! The records and messages that the stored journals contain.

use super::super::encoding::encode;
use super::super::records::{AcceptedMessage, FinalOutcome, Record, RecoveredAttempt, RecoveredMessage};
use super::NOW_UNIX_MS;
use crate::forwarder::messages::notice::NoticeOutcome;
use bytes::Bytes;

/// A time later than any run of the tests.
const FAR_FUTURE_UNIX_MS: u64 = 4_000_000_000_000;

fn message(id: &str, tenant: Option<&str>, key: Option<&str>, body: impl Into<Bytes>) -> AcceptedMessage {
    AcceptedMessage {
        id: id.to_owned(),
        class: "auth-notice".to_owned(),
        tenant: tenant.map(str::to_owned),
        destination: 7,
        idempotency_key: key.map(str::to_owned),
        deadline_unix_ms: FAR_FUTURE_UNIX_MS,
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

/// A message whose body would complete the message `plain` if the body were read as a record.
fn message_with_a_frame_in_its_body() -> AcceptedMessage {
    let mut body = b"before".to_vec();
    encode(&completed("plain", FinalOutcome::Failed, FAR_FUTURE_UNIX_MS), &mut body);
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

/// A message whose body is its id.
fn simple_message(id: &str) -> AcceptedMessage {
    message(id, None, None, id.to_owned())
}

fn accepted(id: &str) -> Record {
    Record::Accepted(simple_message(id))
}

/// The records of the fixture, in order.
pub(super) fn every_record() -> Vec<Record> {
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
        attempt_started("plain", 0, NOW_UNIX_MS, "hall-a"),
        attempt_ended("plain", 0, true),
        attempt_started("plain", 1, NOW_UNIX_MS + 1, "hall-b"),
        attempt_ended("plain", 1, false),
        attempt_started("plain", 2, NOW_UNIX_MS + 2, "hall-a"),
        // Attempts 0 and 1 are not recorded before attempt 2, and the later record of attempt 1 is ignored.
        attempt_started("bare", 2, NOW_UNIX_MS + 3, "hall-c"),
        attempt_started("bare", 1, NOW_UNIX_MS + 4, "hall-d"),
        attempt_ended("bare", 7, true),
        attempt_of_unknown_message(),
    ]
}

/// The record of an attempt whose message is not in the file.
pub(super) fn attempt_of_unknown_message() -> Record {
    attempt_started("unknown", 0, NOW_UNIX_MS, "hall-a")
}

fn accepted_again() -> Vec<Record> {
    vec![
        Record::Accepted(message("retaken", None, Some("key-3"), "first time")),
        attempt_started("retaken", 0, NOW_UNIX_MS, "hall-a"),
        completed("retaken", FinalOutcome::Rejected, FAR_FUTURE_UNIX_MS + 1),
        Record::Accepted(message_accepted_again()),
    ]
}

fn pending_notices() -> Vec<Record> {
    let with_delay = NoticeOutcome::Rejected { retry_in_ms: Some(1500) };
    let without_delay = NoticeOutcome::Rejected { retry_in_ms: None };
    vec![
        accepted("given-up"),
        attempt_started("given-up", 0, NOW_UNIX_MS + 5, "hall-a"),
        notice_pending("given-up", NoticeOutcome::Failed, FAR_FUTURE_UNIX_MS + 2),
        accepted("handed-back"),
        notice_pending("handed-back", with_delay, FAR_FUTURE_UNIX_MS + 3),
        accepted("handed-back-untimed"),
        notice_pending("handed-back-untimed", without_delay, FAR_FUTURE_UNIX_MS + 4),
    ]
}

fn finished_messages() -> Vec<Record> {
    vec![
        accepted("delivered"),
        attempt_started("delivered", 0, NOW_UNIX_MS + 6, "hall-a"),
        attempt_ended("delivered", 0, true),
        completed("delivered", FinalOutcome::Delivered, FAR_FUTURE_UNIX_MS + 5),
        accepted("failed"),
        completed("failed", FinalOutcome::Failed, FAR_FUTURE_UNIX_MS + 6),
        accepted("refused"),
        completed("refused", FinalOutcome::Rejected, FAR_FUTURE_UNIX_MS + 7),
        accepted("forgotten"),
        completed("forgotten", FinalOutcome::Delivered, NOW_UNIX_MS - 1),
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

/// The open messages that the fixture contains.
pub(super) fn expected_open_messages() -> Vec<RecoveredMessage> {
    let with_delay = NoticeOutcome::Rejected { retry_in_ms: Some(1500) };
    let without_delay = NoticeOutcome::Rejected { retry_in_ms: None };
    let plain_attempts = vec![
        attempt(NOW_UNIX_MS, "hall-a", true),
        attempt(NOW_UNIX_MS + 1, "hall-b", false),
        attempt(NOW_UNIX_MS + 2, "hall-a", true),
    ];
    let bare_attempts = vec![
        attempt(NOW_UNIX_MS + 3, "hall-c", false),
        attempt(NOW_UNIX_MS + 3, "hall-c", false),
        attempt(NOW_UNIX_MS + 3, "hall-c", true),
    ];
    vec![
        open(plain_message(), plain_attempts, None),
        open(bare_message(), bare_attempts, None),
        open(binary_message(), vec![], None),
        open(message_with_a_frame_in_its_body(), vec![], None),
        open(message_accepted_again(), vec![], None),
        open(
            simple_message("given-up"),
            vec![attempt(NOW_UNIX_MS + 5, "hall-a", true)],
            Some(NoticeOutcome::Failed),
        ),
        open(simple_message("handed-back"), vec![], Some(with_delay)),
        open(simple_message("handed-back-untimed"), vec![], Some(without_delay)),
    ]
}

/// The outcomes that the fixture contains, sorted by message.
pub(super) fn expected_outcomes() -> Vec<(&'static str, FinalOutcome, u64)> {
    vec![
        ("delivered", FinalOutcome::Delivered, FAR_FUTURE_UNIX_MS + 5),
        ("failed", FinalOutcome::Failed, FAR_FUTURE_UNIX_MS + 6),
        ("given-up", FinalOutcome::Failed, FAR_FUTURE_UNIX_MS + 2),
        ("handed-back", FinalOutcome::Rejected, FAR_FUTURE_UNIX_MS + 3),
        ("handed-back-untimed", FinalOutcome::Rejected, FAR_FUTURE_UNIX_MS + 4),
        ("refused", FinalOutcome::Rejected, FAR_FUTURE_UNIX_MS + 7),
        ("retaken", FinalOutcome::Rejected, FAR_FUTURE_UNIX_MS + 1),
    ]
}
