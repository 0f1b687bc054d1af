//! Cancellation of overdue and lost calls.

mod common;
use common::*;
use message_forwarder::interface::*;

/// Several destinations send no responses. The calls to them, mostly of a class that allows one execution and
/// so has no short timeout, would otherwise hold every slot for the 16 s that clients wait.
#[test]
fn overdue_calls_are_cancelled_but_for_a_few_when_every_slot_is_taken() {
    let endpoints = vec![entry(10, 1, 0), entry(20, 2, 0), entry(30, 3, 0)];
    let mut harness = SenderHarness::new(with_cancellation(settings()), endpoints);
    for id in 0..8 {
        assert_eq!(sends(&harness.submit(id, 2, 1 + id % 2)).len(), 1);
    }
    assert_eq!(sends(&harness.submit(8, 0, 3)), vec![], "no slot is left");
    let cancelled: Vec<_> = harness.advance(6 * SEC).into_iter().map(|(_, a)| a).collect();
    assert_eq!(cancelled.len(), 7, "{cancelled:?}");
    assert!(cancelled.iter().all(|a| matches!(a, Action::Cancel { attempt: 0, .. })));
    let Action::Cancel { id, .. } = cancelled[0] else { unreachable!() };
    let freed = harness.end_attempt(id, 0, Outcome::Cancelled, 6 * SEC);
    assert!(freed.contains(&Action::Fail { id }), "it may have been executed");
    assert_eq!(sends(&freed), vec![(8, 30)], "a healthy destination gets the slot");
}

/// Hanging calls hold their slots while messages wait: in an incident, 2% of the calls took ten times the
/// usual latency and kept a quarter of the slots occupied.
#[test]
fn call_that_takes_far_longer_than_usual_is_cancelled_when_every_slot_is_taken() {
    let first_cancellation = |deliveries: u64, message_waits: bool| {
        let endpoints = vec![entry(10, 1, 0), entry(20, 2, 0), entry(30, 3, 0)];
        let mut harness = SenderHarness::new(with_cancellation(settings()), endpoints);
        for id in 0..deliveries {
            harness.submit(id, 0, 1 + id % 2);
            harness.now += 100 * MS;
            harness.end_attempt(id, 0, Outcome::Delivered, 100 * MS);
        }
        for id in 100..108 {
            assert_eq!(sends(&harness.submit(id, 0, 1 + id % 2)).len(), 1);
        }
        let sent = harness.now;
        if message_waits {
            assert_eq!(sends(&harness.submit(200, 0, 3)), vec![], "no slot is left");
        }
        let cancelled =
            harness.advance(3 * SEC).into_iter().find(|(_, a)| matches!(a, Action::Cancel { .. }));
        cancelled.map(|(at, _)| at - sent)
    };
    let age = first_cancellation(40, true).expect("others wait");
    assert!((400 * MS..=420 * MS).contains(&age), "{age} us, where a call takes 100 ms");
    assert!(first_cancellation(0, true).expect("others wait") >= 1500 * MS, "the usual latency is not known");
    assert_eq!(first_cancellation(40, false), None, "no message waits");
}

#[test]
fn calls_lost_by_an_endpoint_that_responds_again_are_cancelled() {
    let mut harness = SenderHarness::new(with_cancellation(settings()), vec![entry(10, 1, 0)]);
    for id in 100..140 {
        assert_eq!(sends(&harness.submit(id, 2, 1)), [(id, 10)]);
        harness.advance(100 * MS);
        harness.end_attempt(id, 0, Outcome::Delivered, 100 * MS);
    }
    // Four calls, half of the slots, get no response, but a call that is sent much later does.
    (1..5).for_each(|id| assert_eq!(sends(&harness.submit(id, 2, 1)), [(id, 10)]));
    assert_eq!(harness.advance(5 * SEC), [], "no message waits for their slots");
    let cancelled_messages = |all: Vec<Action>| -> Vec<MessageId> {
        let id = |a: Action| if let Action::Cancel { id, .. } = a { Some(id) } else { None };
        all.into_iter().filter_map(id).collect()
    };
    // One message waits: a single call is cancelled to make room for a probe, and its message fails.
    assert!(sends(&harness.submit(5, 2, 1)).is_empty(), "half of the slots are taken");
    assert_eq!(cancelled_messages(harness.advance(3 * SEC).into_iter().map(|(_, a)| a).collect()), [1]);
    let mut after = harness.end_attempt(1, 0, Outcome::Cancelled, 7 * SEC);
    assert!(after.contains(&Action::Fail { id: 1 }));
    after.extend(harness.advance(3 * SEC).into_iter().map(|(_, a)| a));
    assert_eq!(sends(&after), [(5, 10)]);
    harness.end_attempt(5, 0, Outcome::Delivered, 100 * MS);
    // The probe was delivered: the lost calls are cancelled to make room for the messages that wait now.
    let mut all: Vec<Action> = (6..12).flat_map(|id| harness.submit(id, 2, 1)).collect();
    all.extend(harness.advance(SEC).into_iter().map(|(_, a)| a));
    assert_eq!(cancelled_messages(all), [2, 3, 4]);
}
