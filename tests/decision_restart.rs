//! Messages that are taken over from a predecessor.

mod common;
use common::*;
use message_forwarder::interface::*;
use std::collections::BTreeMap;

/// Submits a message that a predecessor accepted, with its history.
fn resume(class: usize, history: MessageHistory) -> Vec<Action> {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 1, 0)]);
    let sent_ago =
        |first: PossibleExecution| PossibleExecution { sent_at: harness.now - first.sent_at, ..first };
    let history = MessageHistory { possible_execution: history.possible_execution.map(sent_ago), ..history };
    let expires_at = harness.now + 9 * SEC;
    harness.turn(vec![Event::Submit(Submission { history, ..submission(1, class, 1, expires_at) })])
}

#[test]
fn resumed_message_keeps_its_attempts_and_its_possible_execution() {
    let history = |attempts, ago: Option<Micros>| MessageHistory {
        attempts,
        possible_execution: ago.map(|sent_at| PossibleExecution { sent_at, zone: 0 }),
        ..MessageHistory::default()
    };
    let is_sent = |actions: &[Action]| !sends(actions).is_empty();
    let fails = |actions: &[Action]| actions.contains(&Action::Fail { id: 1 });
    // Not executed: it is retried while it has attempts left, and then rejected.
    assert!(is_sent(&resume(2, history(3, None))));
    let exhausted = resume(2, history(6, None));
    assert!(!is_sent(&exhausted) && exhausted.iter().any(|a| matches!(a, Action::Reject { id: 1, .. })));
    // Possibly executed: never retried, retried within the lifetime of the key, or always, as its class
    // allows.
    assert!(fails(&resume(2, history(1, Some(SEC)))));
    assert!(is_sent(&resume(1, history(1, Some(SEC)))));
    assert!(fails(&resume(1, history(1, Some(6 * SEC)))));
    assert!(is_sent(&resume(0, history(1, Some(6 * SEC)))));
}

#[test]
fn never_attempted_message_of_a_predecessor_is_sent_before_new_ones() {
    let mut harness = SenderHarness::new(Settings { call_slots: 1, ..settings() }, vec![entry(10, 1, 0)]);
    harness.submit(0, 0, 1);
    harness.submit(1, 0, 1);
    // Both are late: by value each would be sent after the new message.
    for (id, attempts) in [(2, 0), (3, 1)] {
        let history = MessageHistory { accepted: true, attempts, ..MessageHistory::default() };
        let expires_at = harness.now + 2 * SEC;
        harness.now += 5 * MS;
        harness.turn(vec![Event::Submit(Submission { history, ..submission(id, 0, 1, expires_at) })]);
    }
    let next = sends(&harness.end_attempt(0, 0, Outcome::Delivered, 10 * MS));
    assert_eq!(next, vec![(2, 10)]);
}

/// A probe of a destination that is down prefers messages that may be retried. Where these never run out, a
/// message that allows one execution and that a predecessor accepted but never attempted would expire without
/// a call.
#[test]
fn never_attempted_message_that_allows_one_execution_is_sent_during_an_outage_before_it_expires() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    let mut attempts: BTreeMap<MessageId, usize> = BTreeMap::new();
    let mut attempted_at = None;
    let start = harness.now;
    for number in 0..150 {
        let mut calls = sends(&harness.submit(100 + number, 0, 1));
        if number == 50 {
            let history = MessageHistory { accepted: true, ..MessageHistory::default() };
            let message = Submission { history, ..submission(1, 2, 1, harness.now + 10 * SEC) };
            calls.extend(sends(&harness.turn(vec![Event::Submit(message)])));
        }
        calls.extend(timed_sends(&harness.advance(100 * MS)).into_iter().map(|(_, id, to)| (id, to)));
        while let Some((id, _)) = calls.pop() {
            if id == 1 {
                attempted_at.get_or_insert(harness.now - start);
            }
            let attempt = attempts.entry(id).or_insert(0);
            calls.extend(sends(&harness.end_attempt(id, *attempt, Outcome::ConnectFailed, 2 * SEC)));
            *attempt += 1;
        }
    }
    assert!(attempted_at.is_some(), "the message got no call");
}
