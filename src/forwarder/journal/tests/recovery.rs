//! Tests of the state that is recovered when a journal is reopened.

use super::super::encoding::encode;
use super::{record, *};

proptest! {
    /// Reopening recovers the same open messages with and without a compaction.
    #[test]
    fn a_reopened_journal_recovers_the_open_messages(
        records in proptest::collection::vec(record(), 0..20), compact in any::<bool>()
    ) {
        let folder = Folder::new();
        let (mut journal, _) = folder.open(MAX_BYTES);
        for chunk in records.chunks(3) {
            journal.commit(chunk, NOW_UNIX_MS).expect("there is space");
        }
        if compact {
            journal.compact(NOW_UNIX_MS).expect("there is space");
        }
        let (_, recovered) = folder.open(MAX_BYTES);
        prop_assert_eq!(recovered, open_messages_of(&records));
    }
}

#[test]
fn an_attempt_after_an_unrecorded_one_is_recovered() {
    let started = |attempt| Record::attempt_started("a".into(), attempt, NOW_UNIX_MS, "hall-a".into());
    let open = open_messages_of(&[
        accepted("a", Vec::new()),
        started(0),
        Record::attempt_ended("a".into(), 0, false),
        started(2),
    ]);
    let may_have_executed: Vec<bool> =
        open[0].attempts.iter().map(|attempt| attempt.may_have_executed).collect();
    assert_eq!(may_have_executed, [false, false, true]);
}

#[test]
fn a_failed_commit_leaves_only_the_enqueued_records() {
    let folder = Folder::new();
    let (mut journal, _) = folder.open(MAX_BYTES);
    journal.commit(&[accepted("a", vec![])], NOW_UNIX_MS).expect("there is space");
    journal.max_bytes = journal.file.length();
    journal.enqueue(&Record::completed("a".into(), FinalOutcome::Delivered, NOW_UNIX_MS + 1), NOW_UNIX_MS);
    assert!(journal.commit(&[accepted("b", vec![])], NOW_UNIX_MS).is_err());
    assert!(!journal.is_flushed());
    journal.max_bytes = MAX_BYTES;
    journal.commit(&[], NOW_UNIX_MS).expect("there is space again");
    assert!(journal.is_flushed());
    let (reopened, recovered) = folder.open(MAX_BYTES);
    assert!(recovered.is_empty() && reopened.final_outcome("a").is_some());
}

/// The ids of the messages, and whether each is in doubt.
fn ids_and_doubt(messages: Vec<RecoveredMessage>) -> Vec<(String, bool)> {
    messages.into_iter().map(|open| (open.message.id, open.in_doubt)).collect()
}

#[test]
fn damage_hides_no_later_record_and_leaves_open_messages_in_doubt() {
    let folder = Folder::new();
    let (mut journal, _) = folder.open(MAX_BYTES);
    // A frame inside the body of a damaged record must not be read as a record.
    let mut body = b"front ".to_vec();
    encode(&Record::completed("a".into(), FinalOutcome::Delivered, NOW_UNIX_MS + 1000), &mut body);
    journal.commit(&[accepted("a", Vec::new()), accepted("b", body)], NOW_UNIX_MS).expect("there is space");
    journal.commit(&[accepted("c", Vec::new())], NOW_UNIX_MS).expect("there is space");
    let mut bytes = fs::read(folder.file()).expect("the file is there");
    let offset = bytes.windows(5).position(|part| part == b"front").expect("the body is there");
    bytes[offset] ^= 1;
    fs::write(folder.file(), &bytes).expect("the file is writable");
    let (mut journal, open) = folder.open(MAX_BYTES);
    assert_eq!(ids_and_doubt(open), [("a".to_owned(), true), ("c".to_owned(), false)]);
    // New records are appended after the damage, and compaction removes the damaged bytes.
    journal.commit(&[accepted("d", Vec::new())], NOW_UNIX_MS).expect("there is space");
    let with_damage = journal.file.length();
    journal.compact(NOW_UNIX_MS).expect("there is space");
    assert!(journal.file.length() < with_damage);
    let (_, open) = folder.open(MAX_BYTES);
    assert_eq!(ids(&open), ["a", "c", "d"]);
    // An incomplete record at the end was torn, so the process has not acted on it.
    let mut bytes = fs::read(folder.file()).expect("the file is there");
    bytes.pop();
    fs::write(folder.file(), &bytes).expect("the file is writable");
    let (_, open) = folder.open(MAX_BYTES);
    assert_eq!(ids_and_doubt(open), [("a".to_owned(), false), ("c".to_owned(), false)]);
    // A record of full length that cannot be read was not torn, so the process may have acted on it.
    let mut bytes = fs::read(folder.file()).expect("the file is there");
    *bytes.last_mut().expect("the file is not empty") ^= 1;
    fs::write(folder.file(), &bytes).expect("the file is writable");
    let (_, open) = folder.open(MAX_BYTES);
    assert_eq!(ids_and_doubt(open), [("a".to_owned(), true)]);
}
