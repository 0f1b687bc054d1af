//! Tests of the space limit: what is accepted, what is reserved, and when the file is compacted.

use super::super::capacity::MIN_COMPACTION_BYTES;
use super::*;

#[test]
fn compaction_keeps_the_file_short_and_drops_completed_messages() {
    let folder = Folder::new();
    let (mut journal, _) = folder.open(MAX_BYTES);
    journal.commit(&[accepted("kept", vec![1; 100])], NOW_UNIX_MS).expect("there is space");
    for number in 0..2000u64 {
        let id = format!("m{number}");
        journal.commit(&[accepted(&id, vec![0; 400])], NOW_UNIX_MS + number).expect("there is space");
        let completed = Record::completed(id, FinalOutcome::Delivered, NOW_UNIX_MS + number + 10);
        journal.enqueue(&completed, NOW_UNIX_MS + number);
        assert!(journal.file.length() <= MIN_COMPACTION_BYTES + 1024);
    }
    journal.commit(&[], NOW_UNIX_MS).expect("there is space");
    let size = fs::metadata(folder.file()).expect("the file is there").len();
    assert_eq!(size, journal.file.length());
    let (reopened, recovered) =
        Journal::open(&folder.0, MAX_BYTES, NOW_UNIX_MS + 2005).expect("the journal opens");
    assert_eq!(ids(&recovered), ["kept"]);
    assert!(reopened.final_outcome("m1999").is_some() && reopened.final_outcome("m1000").is_none());
}

#[test]
fn a_full_journal_has_space_for_the_ends_of_the_messages_it_accepted() {
    let folder = Folder::new();
    let (mut journal, _) = folder.open(40_000);
    let mut open = Vec::new();
    while journal.has_capacity(1, 500, NOW_UNIX_MS) {
        let id = format!("m{}", open.len());
        journal.commit(&[accepted(&id, vec![0; 500])], NOW_UNIX_MS).expect("the capacity was checked");
        open.push(id);
    }
    assert!(open.len() > 2);
    for id in open {
        for attempt in 0..3 {
            let started = Record::attempt_started(id.clone(), attempt, NOW_UNIX_MS, "hall-a".into());
            journal.commit(&[started], NOW_UNIX_MS).expect("space is reserved");
            journal.enqueue(&Record::attempt_ended(id.clone(), attempt, false), NOW_UNIX_MS);
        }
        journal.enqueue(&Record::completed(id, FinalOutcome::Failed, 0), NOW_UNIX_MS);
        journal.commit(&[], NOW_UNIX_MS).expect("space is reserved");
    }
    assert!(journal.has_capacity(1, 500, NOW_UNIX_MS));
}

/// Guards against rejecting messages for lack of journal space below the limit of open messages. The journal
/// holds as many as a forwarder may have open on its busiest day (`openCap` near 950), each with an attempt,
/// and the outcomes of the messages before them.
#[test]
fn every_message_that_a_forwarder_may_have_open_fits() {
    let folder = Folder::new();
    let (mut journal, _) = folder.open(2_850_000);
    let id = |number: usize| format!("{number:016x}");
    let open = 950;
    for number in 0..3 * open {
        let length = journal.file.length();
        assert!(journal.has_capacity(1, 900, NOW_UNIX_MS), "message {number}, {length} bytes in the file");
        journal
            .commit(&[accepted(&id(number), vec![0; 900])], NOW_UNIX_MS)
            .expect("the capacity was checked");
        let started = Record::attempt_started(id(number), 0, NOW_UNIX_MS, "warehouse".into());
        journal.commit(&[started], NOW_UNIX_MS).expect("space is reserved");
        journal.enqueue(&Record::attempt_ended(id(number), 0, true), NOW_UNIX_MS);
        if number >= open {
            let completed = Record::completed(id(number - open), FinalOutcome::Delivered, NOW_UNIX_MS + 1000);
            journal.enqueue(&completed, NOW_UNIX_MS);
        }
        journal.commit(&[], NOW_UNIX_MS).expect("space is reserved");
    }
    assert_eq!(journal.retained.open_messages.len(), open);
}

#[test]
fn a_nearly_full_journal_is_not_compacted_for_each_message() {
    let folder = Folder::new();
    let (mut journal, _) = folder.open(400_000);
    let (mut compactions, mut rejected) = (0, 0);
    for number in 0..2000 {
        let (id, length) = (format!("m{number}"), journal.file.length());
        if journal.has_capacity(1, 500, NOW_UNIX_MS) {
            journal.commit(&[accepted(&id, vec![0; 500])], NOW_UNIX_MS).expect("the capacity was checked");
        } else {
            rejected += 1;
            // One message completes for each rejected one, so that a compaction always frees a little space.
            journal.enqueue(&Record::completed(format!("m{rejected}"), FinalOutcome::Failed, 0), NOW_UNIX_MS);
            journal.commit(&[], NOW_UNIX_MS).expect("space is reserved");
        }
        compactions += usize::from(journal.file.length() < length);
    }
    assert!(
        rejected > 100 && compactions > 0 && compactions < 100,
        "{rejected} rejected, {compactions} compactions"
    );
}

#[test]
fn records_of_unknown_messages_are_not_kept() {
    let folder = Folder::new();
    let (mut journal, _) = folder.open(MAX_BYTES);
    journal
        .commit(&[Record::attempt_started("unknown".into(), 0, NOW_UNIX_MS, "hall-a".into())], NOW_UNIX_MS)
        .expect("there is space");
    journal.enqueue(&Record::attempt_ended("unknown".into(), 0, true), NOW_UNIX_MS);
    journal.commit(&[accepted("known", Vec::new())], NOW_UNIX_MS).expect("there is space");
    journal.compact(NOW_UNIX_MS).expect("there is space");
    let known = journal.retained.open_messages.written_bytes();
    assert_eq!(journal.file.length(), known);
    assert_eq!(journal.retained.open_messages.len(), 1);
}
