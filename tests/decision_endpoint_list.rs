//! The endpoint list, bans and drains.

mod common;
use common::*;
use message_forwarder::interface::*;

#[test]
fn draining_or_missing_endpoint_receives_no_call() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0), entry(11, 1, 0)]);
    let drained = EndpointEntry { state: EndpointState::Draining, ..entry(10, 1, 0) };
    harness.turn(vec![Event::ListUpdate(vec![drained])]);
    assert_eq!(sends(&harness.submit(1, 0, 1)), vec![(1, 11)]);
    harness.turn(vec![Event::ListSnapshot(vec![entry(12, 1, 0)])]);
    assert_eq!(sends(&harness.submit(2, 0, 1)), vec![(2, 12)]);
    harness.turn(vec![Event::ListSnapshot(vec![])]);
    assert_eq!(sends(&harness.submit(3, 0, 1)), vec![]);
}

#[test]
fn sender_subscribes_at_its_start_and_again_after_a_failure() {
    let mut harness =
        SenderHarness::new(Settings { poll_discovery: true, ..settings() }, vec![entry(10, 1, 0)]);
    assert_eq!(harness.turn(vec![Event::WatchFailed]), vec![], "not at once: discovery may be overloaded");
    let all = harness.advance(3 * SEC);
    assert_eq!(all.iter().filter(|(_, a)| *a == Action::Subscribe).count(), 1);
    assert_eq!(sends(&harness.submit(1, 0, 1)), vec![(1, 10)], "the last list remains in use");

    let mut sender = message_forwarder::Balancer::new(Settings { poll_discovery: true, ..settings() }, 1);
    let mut actions = Vec::new();
    sender.on_event(0, Event::TurnEnd, &mut actions);
    assert_eq!(actions[0], Action::Subscribe);
}

#[test]
fn banned_endpoint_receives_no_call_whatever_is_listed_and_warms_up_afterwards() {
    for kind in [0, 1] {
        let mut harness = SenderHarness::new(settings(), vec![entry(1, 10, kind), entry(2, 10, kind)]);
        harness.turn(vec![Event::BanStarted { endpoint: 1 }]);
        harness.turn(vec![Event::ListSnapshot(vec![entry(1, 10, kind), entry(2, 10, kind)])]);
        for id in 0..20 {
            let sent = sends(&harness.submit(id, 0, 10));
            assert!(sent.iter().all(|(_, endpoint)| *endpoint == 2), "{sent:?}");
            for (id, _) in sent {
                harness.end_attempt(id, 0, Outcome::Delivered, 50 * MS);
            }
            harness.advance(SEC / 10);
        }
        // While endpoint 2 is banned, endpoint 1, whose ban has ended, receives few calls at first.
        harness.turn(vec![Event::BanStarted { endpoint: 2 }, Event::BanEnded { endpoint: 1 }]);
        let mut sent = 0;
        for id in 100..300 {
            for (_, id, endpoint) in harness.submit_and_advance(id, 10, 5 * MS) {
                assert_eq!(endpoint, 1);
                sent += 1;
                harness.end_attempt(id, 0, Outcome::Delivered, 0);
            }
        }
        // About 10 calls a second before; in the first second at most twice a fifth of that, and one call at
        // once.
        assert!((1..=6).contains(&sent), "{sent} of kind {kind}");
    }
}

#[test]
fn drain_stops_accepting_clients_and_messages_are_still_sent() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 10, 0)]);
    assert_eq!(harness.turn(vec![Event::Drain]), [Action::AcceptClients(false)]);
    assert_eq!(sends(&harness.submit(1, 0, 10)), [(1, 1)]);
    assert_eq!(harness.turn(vec![Event::Resume]), [Action::AcceptClients(true)]);
}

/// Lists `entry` in an update, or in a complete list together with `others`.
fn change(entry: EndpointEntry, others: &[EndpointEntry], complete: bool) -> Event {
    if complete {
        return Event::ListSnapshot(others.iter().copied().chain([entry]).collect());
    }
    Event::ListUpdate(vec![entry])
}

#[test]
fn endpoint_listed_under_another_destination_receives_only_its_messages() {
    for (from, to, complete) in [(0, 0, false), (0, 1, false), (1, 0, false), (1, 1, false), (0, 1, true)] {
        let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, from), entry(11, 1, from)]);
        assert_eq!(sends(&harness.submit(1, 0, 1)), [(1, 10)]);
        harness.turn(vec![change(entry(10, 2, to), &[entry(11, 1, from)], complete)]);
        harness.end_attempt(1, 0, Outcome::Delivered, 10 * MS);
        for id in 2..8 {
            let destination = id % 2 + 1;
            let endpoint = if destination == 1 { 11 } else { 10 };
            assert_eq!(sends(&harness.submit(id, 0, destination)), [(id, endpoint)], "{from} to {to}");
            harness.end_attempt(id, 0, Outcome::Delivered, 10 * MS);
        }
        // The endpoint moves back to its first destination.
        harness.turn(vec![change(entry(10, 1, from), &[], complete)]);
        assert_eq!(sends(&harness.submit(20, 0, 2)), []);
        assert_eq!(sends(&harness.submit(21, 0, 1)).len(), 1);
    }
}

#[test]
fn moved_endpoint_is_forgotten_after_its_removal_with_calls_in_flight_or_without() {
    for kind in [0, 1] {
        for in_flight in [false, true] {
            let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, kind), entry(11, 3, kind)]);
            if in_flight {
                assert_eq!(sends(&harness.submit(1, 0, 1)), [(1, 10)]);
            }
            harness.turn(vec![Event::ListUpdate(vec![entry(10, 2, kind)])]);
            let deleted = EndpointEntry { state: EndpointState::Deleted, ..entry(10, 2, kind) };
            harness.turn(vec![Event::ListUpdate(vec![deleted])]);
            harness.advance(14 * SEC);
            assert_eq!(sends(&harness.submit(2, 0, 1)), []);
            assert_eq!(sends(&harness.submit(3, 0, 2)), []);
            harness.end_attempt(1, 0, Outcome::TimedOut, 14 * SEC);
            harness.advance(14 * SEC);
            harness.turn(vec![Event::ListUpdate(vec![entry(10, 1, kind)])]);
            assert_eq!(sends(&harness.submit(4, 0, 1)).len(), 1);
        }
    }
}

#[test]
fn banned_endpoint_that_moves_receives_no_call_until_the_ban_ends() {
    for kind in [0, 1] {
        let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, kind)]);
        harness.turn(vec![Event::BanStarted { endpoint: 10 }, Event::ListUpdate(vec![entry(10, 2, kind)])]);
        harness.submit(1, 0, 1);
        harness.submit(2, 0, 2);
        assert_eq!(timed_sends(&harness.advance(3 * SEC)), []);
        let sent = sends(&harness.turn(vec![Event::BanEnded { endpoint: 10 }]));
        assert_eq!(sent, [(2, 10)]);
    }
}

/// The end of a ban must not make an endpoint usable that has been removed from the list.
#[test]
fn end_of_a_ban_does_not_bring_back_an_endpoint_that_is_not_listed() {
    for kind in [0, 1] {
        let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, kind), entry(11, 2, kind)]);
        harness.turn(vec![Event::BanStarted { endpoint: 10 }]);
        harness.turn(vec![Event::ListSnapshot(vec![entry(11, 2, kind)])]);
        harness.turn(vec![Event::BanEnded { endpoint: 10 }]);
        assert_eq!(sends(&harness.submit(1, 0, 1)), []);
        assert_eq!(timed_sends(&harness.advance(15 * SEC)), [], "not later either");
    }
}

#[test]
fn calls_in_flight_while_the_kind_changes_are_not_taken_for_hanging_calls() {
    for (from, to) in [(0, 1), (1, 0)] {
        let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, from)]);
        harness.submit(1, 0, 1);
        harness.submit(2, 0, 1);
        harness.turn(vec![Event::ListUpdate(vec![entry(10, 1, to)])]);
        harness.end_attempt(1, 0, Outcome::Delivered, 10 * MS);
        harness.end_attempt(2, 0, Outcome::Delivered, 10 * MS);
        harness.turn(vec![Event::ListUpdate(vec![entry(10, 1, from)])]);
        harness.advance(8 * SEC);
        for id in 3..6 {
            assert_eq!(sends(&harness.submit(id, 0, 1)), [(id, 10)]);
        }
    }
}

#[test]
fn retry_after_outlasts_a_change_of_kind_or_destination() {
    let rejected = Outcome::Rejected { retry_after: Some(2 * SEC) };
    for (from, to, destination) in [(0, 1, 1), (1, 0, 1), (1, 1, 2)] {
        let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, from)]);
        harness.submit(1, 0, 1);
        harness.end_attempt(1, 0, rejected, 10 * MS);
        harness.turn(vec![Event::ListUpdate(vec![entry(10, destination, to)])]);
        harness.submit(2, 0, destination);
        let sent = timed_sends(&harness.advance(8 * SEC));
        assert!(!sent.is_empty() && sent[0].0 >= 102 * SEC, "{from} to {to}: {sent:?}");
    }
}

#[test]
fn key_that_is_known_in_one_zone_stays_there_although_the_endpoint_is_listed_in_another() {
    let per_zone = Idempotency::Keyed { key_lifetime: 10 * SEC, per_zone: true };
    let settings = Settings { classes: vec![class(per_zone)], ..settings() };
    let in_zone = |endpoint, zone| EndpointEntry { zone, ..entry(endpoint, 1, 0) };
    let mut harness = SenderHarness::new(settings, vec![in_zone(10, 0)]);
    assert_eq!(sends(&harness.submit(1, 0, 1)), [(1, 10)]);
    harness.turn(vec![Event::ListUpdate(vec![in_zone(10, 1), in_zone(11, 1)])]);
    harness.end_attempt(1, 0, Outcome::TimedOut, SEC);
    assert_eq!(timed_sends(&harness.advance(3 * SEC)), [], "zone 1 may not know the key");
    assert_eq!(sends(&harness.turn(vec![Event::ListUpdate(vec![in_zone(12, 0)])])), [(1, 12)]);
}

/// The new destination may accept far fewer calls than the old one.
#[test]
fn route_of_a_moved_endpoint_starts_with_the_listed_rate_of_its_new_destination() {
    let settings = Settings { sender_count: 50, ..with_approximate_weights(settings()) };
    let listed = |destination, weight| EndpointEntry { weight, ..entry(10, destination, 1) };
    let mut harness = SenderHarness::new(settings, vec![listed(1, 2000.0)]);
    harness.turn(vec![Event::ListUpdate(vec![listed(2, 25.0)])]);
    let backlog = |harness: &mut SenderHarness| {
        harness.turn((1..4).map(|id| Event::Submit(submission(id, 0, 2, 200 * SEC))).collect());
        harness.sender.backlog(harness.now)[0].rate
    };
    assert_eq!(backlog(&mut harness), Some(1.0));
}
