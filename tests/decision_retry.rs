//! Retries, deadlines and final replies.

mod common;
use common::*;
use message_forwarder::interface::*;

#[test]
fn message_is_rejected_before_its_deadline_or_failed_if_it_may_have_been_executed() {
    let draining = EndpointEntry { state: EndpointState::Draining, ..entry(10, 1, 0) };
    let mut harness = SenderHarness::new(settings(), vec![draining]);
    harness.submit(1, 2, 1);
    let all = harness.advance(20 * SEC);
    let [(at, Action::Reject { id: 1, .. })] = all[..] else { panic!("{all:?}") };
    assert!(at < 116 * SEC);
    assert!(
        matches!(harness.submit(2, 2, 99)[..], [Action::Reject { id: 2, .. }]),
        "the destination was never listed"
    );

    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    assert_eq!(sends(&harness.submit(1, 2, 1)).len(), 1);
    let end = harness.end_attempt(1, 0, Outcome::Error, 10 * MS);
    assert_eq!(end, vec![Action::Fail { id: 1 }], "a message that allows one execution is not retried");
    assert_eq!(harness.advance(20 * SEC), vec![], "only one final reply");
}

#[test]
fn message_in_flight_to_a_silent_endpoint_gets_its_final_reply_in_time() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    harness.submit(1, 2, 1);
    let all = harness.advance(17 * SEC);
    let [(at, Action::Fail { id: 1 })] = all[..] else { panic!("{all:?}") };
    assert!(at <= 116 * SEC);
}

#[test]
fn message_is_not_sent_after_the_lifetime_of_its_idempotency_key() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    let first = harness.now;
    assert_eq!(sends(&harness.submit(1, 1, 1)).len(), 1);
    harness.now += 3 * SEC;
    assert_eq!(harness.end_attempt(1, 0, Outcome::TimedOut, 3 * SEC), vec![]);
    let retried = harness.advance(SEC);
    assert_eq!(timed_sends(&retried).len(), 1, "{retried:?} retried within the lifetime of the key");
    harness.now += 500 * MS;
    assert_eq!(harness.end_attempt(1, 1, Outcome::Rejected { retry_after: Some(900 * MS) }, 10 * MS), vec![]);
    let rest = harness.advance(20 * SEC);
    assert!(timed_sends(&rest).iter().all(|(at, ..)| *at <= first + 5 * SEC), "{rest:?}");
    assert_eq!(rest.iter().filter(|(_, a)| matches!(a, Action::Fail { id: 1 })).count(), 1);
}

#[test]
fn message_whose_key_is_known_in_one_zone_is_not_sent_to_another() {
    let keyed = class(Idempotency::Keyed { key_lifetime: 10 * SEC, per_zone: true });
    let far = EndpointEntry { zone: 1, ..entry(11, 1, 0) };
    let mut harness =
        SenderHarness::new(Settings { classes: vec![keyed], ..settings() }, vec![entry(10, 1, 0), far]);
    let (_, first) = sends(&harness.submit(1, 0, 1))[0];
    harness.end_attempt(1, 0, Outcome::Error, 10 * MS);
    harness.turn(vec![Event::ListUpdate(vec![EndpointEntry {
        state: EndpointState::Draining,
        ..entry(first, 1, 0)
    }])]);
    let all = harness.advance(20 * SEC);
    assert_eq!(timed_sends(&all), vec![]);
    assert!(all.iter().any(|(_, a)| *a == Action::Fail { id: 1 }));
}

#[test]
fn stale_connection_does_not_affect_health_and_its_message_is_retried_at_once() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    for id in 0..6 {
        assert_eq!(sends(&harness.submit(id, 1, 1)), [(id, 10)]);
        assert_eq!(
            sends(&harness.end_attempt(id, 0, Outcome::StaleConnection, 10 * MS)),
            [(id, 10)],
            "at once"
        );
        assert!(harness.end_attempt(id, 1, Outcome::Delivered, 10 * MS).is_empty());
    }
    // A message that allows one execution may have been executed: it fails at once.
    assert_eq!(sends(&harness.submit(9, 2, 1)), [(9, 10)]);
    assert_eq!(harness.end_attempt(9, 0, Outcome::StaleConnection, 10 * MS), [Action::Fail { id: 9 }]);
}
