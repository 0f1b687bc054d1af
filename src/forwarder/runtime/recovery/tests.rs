//! Recovery from a journal that was written before a step of the wall clock.

use super::*;
use crate::forwarder::clock::tests::{Machine, STEPS};
use crate::forwarder::clock::{Timeline, UnixClock};
use crate::forwarder::journal::{FinalOutcome, Journal, Record};
use std::time::Duration;

/// Maximum size of the journals.
const MAX_JOURNAL_BYTES: u64 = 3 << 20;
/// A journal is compacted before it reaches this size.
const COMPACTED_BYTES: usize = 1 << 20;
/// Size of the body of a message.
const BODY_BYTES: usize = 1000;
const MICROS_PER_SECOND: Micros = 1000 * MICROS_PER_MILLISECOND;

/// A process with its journal and the messages that it has recovered.
struct Process<'a> {
    timeline: Timeline<&'a Machine>,
    clock: UnixClock,
    journal: Journal,
    recovered: Vec<RecoveredMessage>,
}

impl<'a> Process<'a> {
    fn start(machine: &'a Machine) -> Self {
        let mut timeline = machine.start_process();
        timeline.save();
        let clock = timeline.clock();
        let (journal, recovered) = Journal::open(&machine.folder, MAX_JOURNAL_BYTES, clock.now_unix_ms())
            .expect("the journal opens");
        Process { timeline, clock, journal, recovered }
    }

    fn commit(&mut self, record: Record) {
        self.journal.commit(&[record], self.clock.now_unix_ms()).expect("there is space");
    }

    /// Accepts a message that expires in 20 s.
    fn accept(&mut self, id: &str) {
        self.commit(Record::Accepted(AcceptedMessage {
            id: id.to_owned(),
            class: "keyed".to_owned(),
            tenant: None,
            destination: 7,
            idempotency_key: Some("key".to_owned()),
            deadline_unix_ms: self.clock.now_unix_ms() + 20_000,
            body: vec![0; BODY_BYTES].into(),
        }));
    }

    /// Delivers a message; its outcome is remembered for 20 s.
    fn deliver(&mut self, id: &str) {
        let until = self.clock.now_unix_ms() + 20_000;
        self.commit(Record::completed(id.to_owned(), FinalOutcome::Delivered, until));
    }

    /// The clocks of a recovery that takes place now.
    fn times(&self) -> RecoveredTimes {
        RecoveredTimes::new(0, &Clock::start(), &self.timeline)
    }
}

#[tokio::test(start_paused = true)]
async fn deadlines_and_times_of_attempts_are_recovered_after_a_step() {
    for step in STEPS {
        let machine = Machine::new();
        let mut first = Process::start(&machine);
        first.accept("m");
        let sent_at_unix_ms = first.clock.now_unix_ms();
        first.commit(Record::attempt_started("m".to_owned(), 0, sent_at_unix_ms, "a".to_owned()));
        machine.step_wall(step);
        machine.advance(Duration::from_secs(5)).await;
        let second = Process::start(&machine);
        let [message] = &second.recovered[..] else { panic!("one message is open") };
        let times = second.times();
        assert_eq!(times.to_micros(message.message.deadline_unix_ms), 15 * MICROS_PER_SECOND, "{step} s");
        let sent_at = times.sent_at(message.attempts[0].sent_at_unix_ms);
        assert_eq!(sent_at, -5 * MICROS_PER_SECOND, "{step} s");
    }
}

#[tokio::test(start_paused = true)]
async fn outcomes_are_remembered_until_their_time_ends_after_a_step_and_a_compaction() {
    for step in STEPS {
        let machine = Machine::new();
        let mut first = Process::start(&machine);
        first.accept("m");
        first.deliver("m");
        machine.step_wall(step);
        machine.advance(Duration::from_secs(10)).await;
        let mut second = Process::start(&machine);
        let is_remembered = |process: &Process| process.journal.final_outcome("m").is_some();
        assert!(is_remembered(&second), "{step} s");
        // A second step, and a compaction in the same process.
        machine.step_wall(step);
        for number in 0..COMPACTED_BYTES / BODY_BYTES {
            let id = format!("other-{number}");
            second.accept(&id);
            second.deliver(&id);
        }
        let length = std::fs::metadata(machine.folder.join("journal")).expect("a journal").len();
        assert!(length < COMPACTED_BYTES as u64, "it was compacted");
        assert!(is_remembered(&second), "{step} s");
        machine.advance(Duration::from_millis(9999)).await;
        assert!(is_remembered(&Process::start(&machine)), "{step} s");
        machine.advance(Duration::from_millis(1)).await;
        assert!(!is_remembered(&Process::start(&machine)), "{step} s");
    }
}

/// An earlier version records wall-clock times, so that the attempt may have been recorded before the step or
/// after it. A younger age than the true one would extend the time for which an idempotency key is assumed to
/// be remembered.
#[tokio::test(start_paused = true)]
async fn an_attempt_recorded_by_an_earlier_version_is_not_considered_younger_than_it_may_be() {
    for step in STEPS {
        let machine = Machine::new();
        drop(Process::start(&machine));
        // The earlier version writes wall-clock times to the journal and does not use the timeline.
        machine.create_owner_socket();
        let mut earlier_version = Process::start(&machine);
        earlier_version.accept("m");
        machine.advance(Duration::from_secs(5000)).await;
        let sent_at_unix_ms = earlier_version.clock.now_unix_ms();
        earlier_version.commit(Record::attempt_started("m".to_owned(), 0, sent_at_unix_ms, "a".to_owned()));
        machine.create_owner_socket();
        machine.step_wall(step);
        machine.advance(Duration::from_secs(5)).await;
        let times = Process::start(&machine).times();
        let apparent_age = 5 + step;
        let sent_at = times.sent_at(sent_at_unix_ms);
        let expected = match apparent_age {
            ..0 => -UNKNOWN_ATTEMPT_AGE_MICROS,
            _ => -(apparent_age + (-step).max(0)) * MICROS_PER_SECOND,
        };
        assert_eq!(sent_at, expected, "{step} s");
    }
}

#[test]
fn an_attempt_recorded_in_the_future_has_an_unknown_age() {
    let times = RecoveredTimes { now: 0, now_unix_ms: 1_800_000_000_000, possible_step_back: 0 };
    assert_eq!(times.sent_at(times.now_unix_ms - 5000), -5 * MICROS_PER_SECOND);
    assert_eq!(times.sent_at(times.now_unix_ms + 50), 0);
    assert_eq!(times.sent_at(times.now_unix_ms + 1000), -UNKNOWN_ATTEMPT_AGE_MICROS);
    assert_eq!(times.sent_at(times.now_unix_ms + 3_600_000), -UNKNOWN_ATTEMPT_AGE_MICROS);
}
