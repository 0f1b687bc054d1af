//! What is recovered when a journal is opened again.

use super::super::encoding::encode;
use super::{record, *};

proptest! {
    /// Opening the journal again gives the open messages, whether it was compacted or not.
    #[test]
    fn a_reopened_journal_recovers_the_open_messages(
        records in proptest::collection::vec(record(), 0..20), compact in any::<bool>()
    ) {
        let folder = Folder::new();
        let (mut journal, _) = folder.open(MAX_BYTES);
        for chunk in records.chunks(3) {
            journal.commit(chunk, NOW).expect("there is space");
        }
        if compact {
            journal.compact(NOW).expect("there is space");
        }
        let (_, recovered) = folder.open(MAX_BYTES);
        prop_assert_eq!(recovered, open_messages_of(&records));
    }
}

#[test]
fn an_unrecorded_attempt_hides_none_after_it() {
    let started = |attempt| Record::attempt_started("a".into(), attempt, NOW, "hall-a".into());
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
    journal.commit(&[accepted("a", vec![])], NOW).expect("there is space");
    journal.max_bytes = journal.file.length();
    journal.enqueue(&Record::completed("a".into(), FinalOutcome::Delivered, NOW + 1), NOW);
    assert!(journal.commit(&[accepted("b", vec![])], NOW).is_err());
    assert!(!journal.is_flushed());
    journal.max_bytes = MAX_BYTES;
    journal.commit(&[], NOW).expect("there is space again");
    assert!(journal.is_flushed());
    let (reopened, recovered) = folder.open(MAX_BYTES);
    assert!(recovered.is_empty() && reopened.final_outcome("a").is_some());
}

/// The ids of the messages, and whether each is in doubt.
fn doubts(messages: Vec<RecoveredMessage>) -> Vec<(String, bool)> {
    messages.into_iter().map(|open| (open.message.id, open.in_doubt)).collect()
}

#[test]
fn damage_hides_no_later_record_and_leaves_open_messages_in_doubt() {
    let folder = Folder::new();
    let (mut journal, _) = folder.open(MAX_BYTES);
    // What looks like a record inside a damaged one is none.
    let mut body = b"front ".to_vec();
    encode(&Record::completed("a".into(), FinalOutcome::Delivered, NOW + 1000), &mut body);
    journal.commit(&[accepted("a", Vec::new()), accepted("b", body)], NOW).expect("there is space");
    journal.commit(&[accepted("c", Vec::new())], NOW).expect("there is space");
    let mut bytes = fs::read(folder.file()).expect("the file is there");
    let place = bytes.windows(5).position(|part| part == b"front").expect("the body is there");
    bytes[place] ^= 1;
    fs::write(folder.file(), &bytes).expect("the file is writable");
    let (mut journal, open) = folder.open(MAX_BYTES);
    assert_eq!(doubts(open), [("a".to_owned(), true), ("c".to_owned(), false)]);
    // The journal goes on behind the damage, and compaction leaves the damage out.
    journal.commit(&[accepted("d", Vec::new())], NOW).expect("there is space");
    let with_damage = journal.file.length();
    journal.compact(NOW).expect("there is space");
    assert!(journal.file.length() < with_damage);
    let (_, open) = folder.open(MAX_BYTES);
    assert_eq!(ids(&open), ["a", "c", "d"]);
    // Half a record at the end is a torn one, of which nothing was acted upon.
    let mut bytes = fs::read(folder.file()).expect("the file is there");
    bytes.pop();
    fs::write(folder.file(), &bytes).expect("the file is writable");
    let (_, open) = folder.open(MAX_BYTES);
    assert_eq!(doubts(open), [("a".to_owned(), false), ("c".to_owned(), false)]);
    // A record of full length that cannot be read is not a torn one.
    let mut bytes = fs::read(folder.file()).expect("the file is there");
    *bytes.last_mut().expect("the file is not empty") ^= 1;
    fs::write(folder.file(), &bytes).expect("the file is writable");
    let (_, open) = folder.open(MAX_BYTES);
    assert_eq!(doubts(open), [("a".to_owned(), true)]);
}
