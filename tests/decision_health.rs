//! Outages: probe calls, and the warm-up after them.

mod common;
use common::*;
use message_forwarder::interface::*;
use std::collections::BTreeMap;

/// Probes during an outage, and calls after it, stay within the capacity of a destination that warms up.
#[test]
fn recovering_destination_receives_few_calls_at_first() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    let mut last_id = 0;
    let mut run = |harness: &mut SenderHarness, duration: Micros, healthy: bool| {
        let (mut sent, end) = (0, harness.now + duration);
        let mut attempts = BTreeMap::new();
        while harness.now < end {
            harness.now += 100 * MS;
            last_id += 1;
            let mut next = sends(&harness.submit(last_id, 0, 1));
            next.extend(sends(&harness.turn(vec![Event::Wake])));
            while let Some((id, _)) = next.pop() {
                sent += 1;
                let attempt = attempts.entry(id).or_insert(0);
                let outcome =
                    if healthy { Outcome::Delivered } else { Outcome::Rejected { retry_after: None } };
                next.extend(sends(&harness.end_attempt(id, *attempt, outcome, 10 * MS)));
                *attempt += 1;
            }
        }
        sent
    };
    let before = run(&mut harness, 10 * SEC, true);
    assert_eq!(before, 100);
    run(&mut harness, 10 * SEC, false);
    let mut sent = run(&mut harness, 3 * SEC, true);
    assert!(sent > 0, "probes continue");
    assert!(sent <= 12, "{sent} calls in 3 s at a fifth of 10 a second");
    sent = run(&mut harness, 10 * SEC, true);
    assert!(sent > 20, "it grows during the warm-up: {sent}");
}

/// Senders that received the same Retry-After must not resume together, because that causes a new outage.
#[test]
fn senders_with_the_same_retry_after_in_an_outage_do_not_resume_together() {
    let mut delays = Vec::new();
    for seed in 1..20 {
        let mut harness = SenderHarness::with_seed(many_senders(), seed * 7919, vec![entry(10, 1, 0)]);
        harness.submit(1, 0, 1);
        harness.end_attempt(1, 0, Outcome::Rejected { retry_after: Some(5 * SEC) }, 10 * MS);
        let end = harness.now + 5 * SEC;
        let sent = timed_sends(&harness.advance(15 * SEC));
        delays.extend(sent.first().map(|(at, ..)| at - end));
    }
    assert!(delays.iter().all(|delay| *delay >= 0), "Retry-After is respected");
    let at_once = delays.iter().filter(|delay| **delay < SEC).count();
    assert!(at_once <= 6, "{at_once} of 19 within a second of the end: {delays:?}");
}

/// Probes at random times must not follow each other at half of their interval on average, which would be
/// twice the allowed rate.
#[test]
fn probes_of_many_senders_stay_within_the_capacity_right_after_an_outage() {
    let mut probes = 0;
    for seed in 1..=50 {
        let mut harness = SenderHarness::with_seed(many_senders(), seed * 104_729, vec![entry(10, 1, 0)]);
        harness.submit(1, 0, 1);
        let rejected = Outcome::Rejected { retry_after: Some(4 * SEC) };
        harness.end_attempt_with_report(1, 0, rejected, 50.0);
        harness.now += 4 * SEC;
        for id in 2..20 {
            let sent = harness.submit_and_advance(id, 1, SEC);
            probes += sent.len();
            for (_, id, _) in sent {
                let attempt = usize::from(id == 1);
                harness.end_attempt(id, attempt, Outcome::Error, 10 * MS);
            }
        }
    }
    // 2 x 0.2 of 50 calls a second over 18 s is 360.
    assert!((150..=380).contains(&probes), "{probes} probes");
}

#[test]
fn message_that_allows_one_execution_waits_within_its_objective_while_calls_fail() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    for id in 0..4 {
        harness.submit(id, 0, 1);
        harness.end_attempt(id, 0, Outcome::Delivered, 100 * MS);
    }
    for id in 10..12 {
        assert_eq!(sends(&harness.submit(id, 2, 1)).len(), 1);
        harness.end_attempt(id, 0, Outcome::Error, 100 * MS);
    }
    let start = harness.now;
    assert_eq!(sends(&harness.submit(20, 2, 1)), [], "an error would lose the message");
    assert_eq!(sends(&harness.submit(21, 0, 1)).len(), 1, "an error would not lose it");
    let all = timed_sends(&harness.advance(3 * SEC));
    let (at, ..) =
        all.iter().find(|(_, id, _)| *id == 20).expect("it is sent before its objective has passed");
    assert!(*at - start >= SEC, "{}", at - start);
}

#[test]
fn probe_carries_a_message_that_may_be_retried() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    (0..4).for_each(|id| drop(harness.submit(id, 2, 1)));
    (0..4).for_each(|id| drop(harness.end_attempt(id, 0, Outcome::Error, 100 * MS)));
    harness.submit(30, 2, 1);
    harness.submit(31, 1, 1);
    let all = timed_sends(&harness.advance(4 * SEC));
    assert_eq!(all.first().map(|(_, id, _)| *id), Some(31), "{all:?}");
}

/// The search for hanging calls goes through the calls in their order. It must not end at a call that does
/// not count because its response is lost.
#[test]
fn lost_old_call_does_not_hide_the_calls_that_hang_behind_it() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    // The response to message 1 is lost: later calls are delivered.
    assert_eq!(sends(&harness.submit(1, 2, 1)).len(), 1);
    harness.advance(4 * SEC);
    for id in 2..6 {
        assert_eq!(sends(&harness.submit(id, 2, 1)).len(), 1);
        harness.end_attempt(id, 0, Outcome::Delivered, 50 * MS);
    }
    for id in 10..13 {
        assert_eq!(sends(&harness.submit(id, 2, 1)).len(), 1);
    }
    harness.advance(2 * SEC);
    harness.submit(20, 0, 1);
    assert!(harness.sender.backlog(harness.now).iter().any(|backlog| backlog.outage), "three calls hang");
}
