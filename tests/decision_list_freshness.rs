//! A stale endpoint list: no attempt is started, and messages are held.

mod common;
use common::*;
use message_forwarder::interface::*;

fn rejections_and_failures(actions: &[(Micros, Action)]) -> Vec<(Micros, MessageId)> {
    let final_reply = |(at, action): &(Micros, Action)| match action {
        Action::Reject { id, .. } | Action::Fail { id } => Some((*at, *id)),
        _ => None,
    };
    actions.iter().filter_map(final_reply).collect()
}

/// A sender that has delivered a message to endpoint 10 and to the separate route 20.
fn harness_with_two_destinations(settings: Settings) -> SenderHarness {
    let mut harness = SenderHarness::new(settings, vec![entry(10, 1, 0), entry(20, 2, 1)]);
    for (id, destination) in [(1, 1), (2, 2)] {
        assert_eq!(sends(&harness.submit(id, 0, destination)).len(), 1);
        harness.end_attempt(id, 0, Outcome::Delivered, 10 * MS);
    }
    harness
}

#[test]
fn messages_are_held_while_the_list_is_stale_and_sent_at_once_when_it_is_fresh() {
    let mut harness = harness_with_two_destinations(settings());
    assert_eq!(harness.turn(vec![Event::ListStale]), []);
    assert_eq!(harness.submit(3, 0, 1), []);
    assert_eq!(harness.submit(4, 2, 2), []);
    assert_eq!(harness.advance(6 * SEC), [], "messages are held, and no final reply is early");
    assert_eq!(sends(&harness.turn(vec![Event::ListFresh])), [(3, 10), (4, 20)]);
}

#[test]
fn attempts_in_flight_end_as_usual_while_the_list_is_stale() {
    let mut harness = harness_with_two_destinations(settings());
    harness.submit(3, 0, 1);
    harness.submit(4, 0, 1);
    harness.turn(vec![Event::ListStale]);
    assert_eq!(harness.end_attempt(3, 0, Outcome::Delivered, 10 * MS), []);
    let not_executed = Outcome::Rejected { retry_after: Some(SEC) };
    assert_eq!(harness.end_attempt(4, 0, not_executed, 10 * MS), [], "its retry is held");
    assert_eq!(harness.advance(3 * SEC), []);
    assert_eq!(sends(&harness.turn(vec![Event::ListFresh])), [(4, 10)]);
}

#[test]
fn retry_after_outlasts_a_stale_list() {
    let mut harness = harness_with_two_destinations(settings());
    harness.submit(3, 0, 1);
    harness.end_attempt(3, 0, Outcome::Rejected { retry_after: Some(3 * SEC) }, 10 * MS);
    harness.turn(vec![Event::ListStale]);
    harness.advance(SEC);
    assert_eq!(harness.turn(vec![Event::ListFresh]), []);
    let sent = timed_sends(&harness.advance(4 * SEC));
    assert_eq!(sent.len(), 1);
    assert!(sent[0].0 >= 103 * SEC, "{sent:?}");
}

#[test]
fn expired_messages_get_their_final_reply_on_time_while_the_list_is_stale() {
    let mut held = harness_with_two_destinations(settings());
    held.turn(vec![Event::ListStale]);
    // The same messages for a destination without endpoints are held for another reason.
    let mut without_endpoints = harness_with_two_destinations(settings());
    without_endpoints.turn(vec![Event::ListSnapshot(vec![])]);
    let mut final_replies = Vec::new();
    for harness in [&mut held, &mut without_endpoints] {
        let mut all = Vec::new();
        for id in 3..30 {
            let class = id as usize % 3;
            let at_once = harness.submit(id, class, id % 2 + 1);
            all.extend(at_once.into_iter().map(|action| (harness.now, action)));
            all.extend(harness.advance(100 * MS));
        }
        all.extend(harness.advance(CLIENT_TIMEOUT));
        assert_eq!(timed_sends(&all), []);
        final_replies.push(rejections_and_failures(&all));
    }
    assert_eq!(final_replies[0].len(), 27);
    assert_eq!(
        final_replies[0], final_replies[1],
        "no final reply that a held message would not get otherwise"
    );
    assert_eq!(held.turn(vec![Event::ListFresh]), []);
}

#[test]
fn calls_are_not_cancelled_for_messages_that_may_not_be_sent() {
    let settings = Settings { call_slots: 2, ..with_cancellation(settings()) };
    let mut harness = SenderHarness::new(settings, vec![entry(10, 1, 0)]);
    harness.submit(1, 2, 1);
    harness.submit(2, 2, 1);
    harness.turn(vec![Event::ListStale]);
    harness.submit(3, 0, 1);
    assert_eq!(harness.advance(10 * SEC), []);
    let cancelled = harness.turn(vec![Event::ListFresh]);
    assert!(cancelled.iter().any(|action| matches!(action, Action::Cancel { .. })), "{cancelled:?}");
}

#[test]
fn repeated_stale_and_fresh_events_change_nothing() {
    let mut harness = harness_with_two_destinations(settings());
    harness.turn(vec![Event::ListFresh]);
    assert_eq!(sends(&harness.submit(3, 0, 1)), [(3, 10)]);
    harness.turn(vec![Event::ListStale, Event::ListStale]);
    assert_eq!(harness.submit(4, 0, 1), []);
    assert_eq!(sends(&harness.turn(vec![Event::ListFresh, Event::ListFresh])), [(4, 10)]);
    // Within one turn the later event counts.
    harness.turn(vec![Event::ListStale]);
    harness.submit(5, 0, 1);
    assert_eq!(harness.turn(vec![Event::ListFresh, Event::ListStale]), []);
}

/// Returns how many calls a fleet sends at once if all senders know of an outage and their lists become fresh
/// together.
fn calls_at_once_after_an_outage(recovered: bool) -> usize {
    let mut at_once = 0;
    for seed in 1..=50 {
        let mut harness = SenderHarness::with_seed(many_senders(), seed * 104_729, vec![entry(10, 1, 0)]);
        harness.submit(1, 0, 1);
        let rejected = Outcome::Rejected { retry_after: Some(4 * SEC) };
        harness.end_attempt_with_report(1, 0, rejected, 50.0);
        if recovered {
            harness.now += 4 * SEC;
            let (at, ..) = harness.submit_and_advance(2, 1, 20 * SEC)[0];
            harness.now = at + 10 * MS;
            // Either message may be the probe.
            harness.end_attempt(1, 1, Outcome::Delivered, 10 * MS);
            harness.end_attempt(2, 0, Outcome::Delivered, 10 * MS);
        }
        harness.turn(vec![Event::ListStale]);
        harness.advance(10 * SEC);
        for id in 10..14 {
            harness.submit(id, 0, 1);
        }
        at_once += sends(&harness.turn(vec![Event::ListFresh])).len();
        at_once += timed_sends(&harness.advance(100 * MS)).len();
    }
    at_once
}

#[test]
fn many_senders_do_not_probe_or_warm_up_together_once_their_lists_are_fresh() {
    for recovered in [false, true] {
        let at_once = calls_at_once_after_an_outage(recovered);
        assert!(at_once <= 15, "{at_once} calls of 50 senders at once, recovered: {recovered}");
    }
}
