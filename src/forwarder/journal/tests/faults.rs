//! Fault injection tests: operations on the files of the journal fail, once or several times in a row.

use super::faulty_file_system::{BLOCK_BYTES, Fault, FaultyFileSystem, Operation};
use super::*;
use crate::forwarder::journal::encoding::encode;
use std::path::Path;

/// Time between two steps of the scenario.
const STEP_MS: u64 = 20;
/// Time after which every retry delay has passed.
const AFTER_RETRY_DELAYS_MS: u64 = 10_000;
/// How many failed attempts to open the journal are made before the file system recovers.
const MAX_FAILED_OPENS: usize = 20;
/// Numbers of consecutive operations that fail. With the last one, all fail until the file system recovers.
const FAULT_LENGTHS: [usize; 6] = [1, 2, 3, 4, 8, usize::MAX];
/// Allowance for the last blocks of the file and its copy, each of which may be partly used.
const ROUNDING_BYTES: u64 = 2 * BLOCK_BYTES;
/// Upper bound of the journals of tests that fill them, in bytes.
const SMALL_MAX_BYTES: u64 = 40_000;
/// Time until which the outcomes of the scenario are remembered.
const REMEMBER_UNTIL_UNIX_MS: u64 = NOW_UNIX_MS + 1_000_000;

enum Step {
    Enqueue(Record),
    Commit(Vec<Record>),
    Compact,
}

fn folder() -> &'static Path {
    Path::new("state")
}

fn started(message: &str, attempt: usize) -> Record {
    Record::attempt_started(message.into(), attempt, NOW_UNIX_MS, "hall-a".into())
}

fn completed(message: &str) -> Record {
    Record::completed(message.into(), FinalOutcome::Delivered, REMEMBER_UNTIL_UNIX_MS)
}

/// A short scenario in which some messages are delivered, one needs a notice, and some stay open.
fn scenario() -> Vec<Step> {
    let message = |id| accepted(id, vec![7; 100]);
    let notice = NoticeOutcome::Rejected { retry_in_ms: None };
    vec![
        Step::Commit(vec![message("a")]),
        Step::Commit(vec![started("a", 0)]),
        Step::Enqueue(Record::attempt_ended("a".into(), 0, false)),
        Step::Commit(vec![message("b"), message("c")]),
        Step::Compact,
        Step::Commit(vec![started("b", 0)]),
        Step::Enqueue(completed("b")),
        Step::Commit(vec![]),
        Step::Commit(vec![started("a", 1)]),
        Step::Enqueue(Record::notice_pending("a".into(), notice, REMEMBER_UNTIL_UNIX_MS)),
        Step::Commit(vec![message("d"), started("c", 0)]),
        Step::Compact,
        Step::Enqueue(completed("a")),
        Step::Commit(vec![message("e")]),
        Step::Compact,
        Step::Commit(vec![started("e", 0), message("f")]),
    ]
}

/// Files with a torn tail and an incomplete copy, as a killed process may leave them. One message is open.
fn files_after_kill() -> Vec<(PathBuf, Vec<u8>)> {
    let mut bytes = Vec::new();
    encode(&accepted("z", vec![1; 50]), &mut bytes);
    let complete = bytes.len();
    encode(&accepted("torn", vec![1; 50]), &mut bytes);
    bytes.truncate((complete + bytes.len()) / 2);
    let copy = bytes[..20].to_vec();
    vec![(folder().join("journal"), bytes), (folder().join("journal.new"), copy)]
}

/// A journal on a faulty file system, and the records that it has acknowledged.
struct Harness {
    file_system: FaultyFileSystem,
    journal: Journal<FaultyFileSystem>,
    now_unix_ms: u64,
    /// Records that were written by a successful commit.
    written: Vec<Record>,
    /// Records that were enqueued since the last successful commit.
    enqueued: Vec<Record>,
    /// Records whose commit failed.
    rejected: Vec<Record>,
}

impl Harness {
    /// Opens the journal, retrying on failure. `written` are the records that the files contain.
    fn open(file_system: FaultyFileSystem, written: Vec<Record>) -> Self {
        for _ in 0..MAX_FAILED_OPENS {
            if let Ok((journal, _)) = Journal::open_in(file_system.clone(), folder(), MAX_BYTES, NOW_UNIX_MS)
            {
                let (enqueued, rejected) = (Vec::new(), Vec::new());
                return Harness {
                    file_system,
                    journal,
                    now_unix_ms: NOW_UNIX_MS,
                    written,
                    enqueued,
                    rejected,
                };
            }
        }
        file_system.recover();
        Harness::open(file_system, written)
    }

    fn run(&mut self, steps: Vec<Step>) {
        for step in steps {
            self.now_unix_ms += STEP_MS;
            match step {
                Step::Enqueue(record) => {
                    self.journal.enqueue(&record, self.now_unix_ms);
                    self.enqueued.push(record);
                }
                Step::Commit(records) => {
                    let _ = self.commit(records);
                }
                Step::Compact => {
                    let _ = self.journal.compact(self.now_unix_ms);
                }
            }
            self.check_recovery();
        }
    }

    fn commit(&mut self, records: Vec<Record>) -> Result<(), JournalError> {
        let result = self.journal.commit(&records, self.now_unix_ms);
        if result.is_ok() {
            self.written.append(&mut self.enqueued);
            self.written.extend(records);
        } else {
            self.rejected.extend(records);
        }
        result
    }

    /// Checks the state that the next process would recover if this one were killed now.
    fn check_recovery(&self) {
        let healthy = FaultyFileSystem::new(&self.file_system.snapshot());
        let (_, recovered) =
            Journal::open_in(healthy, folder(), MAX_BYTES, NOW_UNIX_MS).expect("the file system is healthy");
        let acknowledged = [&self.written[..], &self.enqueued].concat();
        let expected = open_messages_of(&acknowledged);
        if self.journal.is_flushed() {
            assert_eq!(recovered, expected);
            return;
        }
        for message in expected {
            let id = &message.message.id;
            let found = recovered.iter().find(|found| found.message.id == *id);
            let found = found.unwrap_or_else(|| panic!("{id} is lost"));
            let attempts = message.attempts.iter().enumerate();
            for (number, _) in attempts.filter(|(_, attempt)| attempt.may_have_executed) {
                assert!(found.attempts[number].may_have_executed, "attempt {number} of {id} is lost");
            }
        }
        // A message whose commit failed may be recovered until the file has been repaired.
        let known = [&self.written[..], &self.rejected].concat();
        let is_known =
            |id: &str| known.iter().any(|record| matches!(record, Record::Accepted(m) if m.id == id));
        assert!(recovered.iter().all(|found| is_known(&found.message.id)));
    }

    /// Checks that the journal works again without a restart once the file system has recovered.
    fn check_after_fault(&mut self) {
        self.file_system.recover();
        self.now_unix_ms += AFTER_RETRY_DELAYS_MS;
        self.commit(vec![accepted("last", Vec::new())]).expect("the file system has recovered");
        assert!(self.journal.is_flushed());
        self.check_recovery();
        let files: Vec<PathBuf> = self.file_system.snapshot().into_iter().map(|(path, _)| path).collect();
        assert_eq!(files, [folder().join("journal")]);
        self.journal.compact(self.now_unix_ms).expect("the file system has recovered");
        self.check_recovery();
        assert!(self.journal.final_outcome("b").is_some());
    }
}

/// Runs the scenario once for each of its operations and each of `fault_lengths`: that many consecutive
/// operations fail, starting with this one.
fn fail_at_each_operation(fault: Fault, fault_lengths: &[usize]) {
    let initial = [(vec![], vec![]), (files_after_kill(), vec![accepted("z", vec![1; 50])])];
    for (files, written) in initial {
        let healthy = FaultyFileSystem::new(&files);
        Harness::open(healthy.clone(), written.clone()).run(scenario());
        for first in 0..healthy.operations() {
            for &length in fault_lengths {
                eprintln!("{fault:?} from operation {first}, {length} times, {} files before", files.len());
                let file_system = FaultyFileSystem::new(&files);
                file_system.fail_where(fault, move |_, number| number >= first && number - first < length);
                let mut harness = Harness::open(file_system, written.clone());
                harness.run(scenario());
                harness.check_after_fault();
            }
        }
    }
}

#[test]
fn nothing_acknowledged_is_lost_if_operations_fail() {
    fail_at_each_operation(Fault::Error, &FAULT_LENGTHS);
}

#[test]
fn nothing_acknowledged_is_lost_if_writes_are_partial() {
    fail_at_each_operation(Fault::PartialWrite, &FAULT_LENGTHS);
}

#[test]
fn nothing_acknowledged_is_lost_if_an_operation_fails_after_it_took_effect() {
    fail_at_each_operation(Fault::ErrorAfterEffect, &[1]);
}

#[test]
fn nothing_acknowledged_is_lost_if_operations_are_interrupted_or_short() {
    fail_at_each_operation(Fault::Interrupted, &FAULT_LENGTHS[..5]);
    fail_at_each_operation(Fault::ShortTransfer, &FAULT_LENGTHS);
}

/// Operations fail in periodic patterns, with every number of failures per period, while messages are
/// accepted and completed in a small journal.
#[test]
fn the_files_stay_within_their_bound_while_operations_fail() {
    for (fault, period) in [Fault::Error, Fault::PartialWrite].into_iter().zip([5, 4, 7, 18]) {
        for failing in 1..period {
            let (file_system, mut journal) = small_journal();
            file_system.fail_where(fault, move |_, number| number % period < failing);
            let mut open = Vec::new();
            for number in 0..1500 {
                let now = NOW_UNIX_MS + number * STEP_MS;
                let id = format!("m{number}");
                if journal.has_capacity(1, 500, now)
                    && journal.commit(&[accepted(&id, vec![0; 500])], now).is_ok()
                {
                    open.push(id);
                }
                if open.len() > 5 {
                    journal.enqueue(&Record::completed(open.remove(0), FinalOutcome::Failed, 0), now);
                    let _ = journal.commit(&[], now);
                }
            }
            let peak = file_system.peak_bytes();
            assert!(
                peak <= SMALL_MAX_BYTES + ROUNDING_BYTES,
                "{fault:?}, {failing} of {period}: {peak} bytes"
            );
            file_system.recover();
            let now = NOW_UNIX_MS + AFTER_RETRY_DELAYS_MS * 100;
            journal.commit(&[], now).expect("the file system has recovered");
            assert!(journal.has_capacity(1, 500, now), "{fault:?}, {failing} of {period}");
            journal.commit(&[accepted("last", vec![0; 500])], now).expect("the file system has recovered");
        }
    }
}

#[test]
fn after_a_failed_write_the_files_are_not_accessed_during_the_retry_delay() {
    let file_system = FaultyFileSystem::new(&[]);
    let (mut journal, _) = Journal::open_in(file_system.clone(), folder(), MAX_BYTES, NOW_UNIX_MS)
        .expect("the file system is healthy");
    file_system.fail_where(Fault::Error, |_, _| true);
    assert!(matches!(journal.commit(&[accepted("a", vec![])], NOW_UNIX_MS), Err(JournalError::Write { .. })));
    let operations = file_system.operations();
    for now in [NOW_UNIX_MS, NOW_UNIX_MS + WRITE_RETRY_DELAY_MS - 1, NOW_UNIX_MS - WRITE_RETRY_DELAY_MS + 1] {
        assert!(matches!(journal.commit(&[accepted("b", vec![])], now), Err(JournalError::Paused)));
    }
    assert_eq!(file_system.operations(), operations);
    file_system.recover();
    // The retry delay does not become longer if the clock is set back.
    journal
        .commit(&[accepted("c", vec![])], NOW_UNIX_MS - AFTER_RETRY_DELAYS_MS)
        .expect("the retry delay has passed");
    let (_, recovered) =
        Journal::open_in(file_system, folder(), MAX_BYTES, NOW_UNIX_MS).expect("the file system is healthy");
    assert_eq!(ids(&recovered), ["c"]);
}

/// A journal with a small bound, and its file system.
fn small_journal() -> (FaultyFileSystem, Journal<FaultyFileSystem>) {
    let file_system = FaultyFileSystem::new(&[]);
    let opened = Journal::open_in(file_system.clone(), folder(), SMALL_MAX_BYTES, NOW_UNIX_MS);
    (file_system, opened.expect("the file system is healthy").0)
}

/// Commits messages that are accepted and completed at once, until a commit fails.
fn fill(journal: &mut Journal<FaultyFileSystem>) -> JournalError {
    let mut commits = (0..).map(|number| {
        let id = format!("m{number}");
        let records = [accepted(&id, vec![0; 500]), Record::completed(id, FinalOutcome::Failed, 0)];
        journal.commit(&records, NOW_UNIX_MS + number)
    });
    commits.find_map(Result::err).expect("the space is bounded")
}

#[test]
fn a_full_journal_that_could_not_be_compacted_recovers() {
    let (file_system, mut journal) = small_journal();
    file_system.fail_where(Fault::Error, |operation, _| operation == Operation::Rename);
    assert!(matches!(fill(&mut journal), JournalError::Full));
    let open = accepted("open", vec![0; 500]);
    assert!(journal.commit(std::slice::from_ref(&open), NOW_UNIX_MS + AFTER_RETRY_DELAYS_MS).is_err());
    file_system.recover();
    journal
        .commit(&[open], NOW_UNIX_MS + 2 * AFTER_RETRY_DELAYS_MS)
        .expect("there is space after a compaction");
    assert!(journal.file.length() < 1000);
}

#[test]
fn a_copy_that_cannot_be_removed_counts_against_the_bound() {
    let (file_system, mut journal) = small_journal();
    let open = accepted("open", vec![0; 8000]);
    journal.commit(&[open], NOW_UNIX_MS).expect("the file system is healthy");
    file_system
        .fail_where(Fault::Error, |operation, _| matches!(operation, Operation::Rename | Operation::Remove));
    assert!(matches!(fill(&mut journal), JournalError::Full));
    assert!(file_system.peak_bytes() <= SMALL_MAX_BYTES + ROUNDING_BYTES, "{}", file_system.peak_bytes());
    assert!(journal.file.leftover_copy_bytes() >= 8000);
    file_system.recover();
    assert!(matches!(fill(&mut journal), JournalError::Full) || journal.file.leftover_copy_bytes() == 0);
    assert!(file_system.peak_bytes() <= SMALL_MAX_BYTES + ROUNDING_BYTES, "{}", file_system.peak_bytes());
}

#[test]
fn a_compaction_removes_a_torn_tail_first() {
    let (file_system, mut journal) = small_journal();
    let open = accepted("open", vec![0; 15_000]);
    let ended = accepted("ended", vec![0; 9000]);
    // Without this fault the file would be compacted at once.
    file_system.fail_where(Fault::Error, |operation, _| operation == Operation::Rename);
    journal
        .commit(&[open, ended, Record::completed("ended".into(), FinalOutcome::Failed, 0)], NOW_UNIX_MS)
        .expect("the file system is healthy");
    file_system.fail_where(Fault::PartialWrite, |operation, _| {
        matches!(operation, Operation::Write | Operation::Truncate)
    });
    assert!(journal.commit(&[accepted("torn", vec![0; 15_000])], NOW_UNIX_MS).is_err());
    file_system.recover();
    // The message fits after a compaction, which has to truncate the torn tail first.
    assert!(journal.has_capacity(1, 1000, NOW_UNIX_MS + AFTER_RETRY_DELAYS_MS));
    assert!(file_system.peak_bytes() <= SMALL_MAX_BYTES + ROUNDING_BYTES, "{}", file_system.peak_bytes());
}

/// A directory at the path of the copy can neither be written nor removed. The journal must open and work
/// without compaction until the directory is gone.
#[test]
fn a_journal_opens_beside_a_copy_that_cannot_be_removed() {
    let folder = Folder::new();
    let copy = folder.0.join("journal.new");
    fs::create_dir(&copy).expect("the folder is writable");
    let (mut journal, _) = folder.open(MAX_BYTES);
    journal.commit(&[accepted("a", vec![])], NOW_UNIX_MS).expect("there is space");
    assert!(journal.compact(NOW_UNIX_MS).is_err());
    fs::remove_dir(&copy).expect("it is empty");
    journal.commit(&[accepted("b", vec![])], NOW_UNIX_MS).expect("there is space");
    journal.compact(NOW_UNIX_MS).expect("there is space");
    assert_eq!(ids(&folder.open(MAX_BYTES).1), ["a", "b"]);
}

#[test]
fn a_failed_compaction_is_not_repeated_for_each_message() {
    let file_system = FaultyFileSystem::new(&[]);
    let (mut journal, _) = Journal::open_in(file_system.clone(), folder(), MAX_BYTES, NOW_UNIX_MS)
        .expect("the file system is healthy");
    for number in 0..20 {
        let id = format!("m{number}");
        let records = [accepted(&id, vec![0; 500]), Record::completed(id, FinalOutcome::Failed, 0)];
        journal.commit(&records, NOW_UNIX_MS).expect("the file system is healthy");
    }
    journal.max_bytes = journal.file.length();
    file_system.fail_where(Fault::Error, |_, _| true);
    assert!(!journal.has_capacity(1, 500, NOW_UNIX_MS));
    let operations = file_system.operations();
    assert!(!journal.has_capacity(1, 500, NOW_UNIX_MS + 1));
    assert_eq!(file_system.operations(), operations);
    file_system.recover();
    assert!(journal.has_capacity(1, 500, NOW_UNIX_MS + AFTER_RETRY_DELAYS_MS));
}
