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
    assert_eq!(sends(&harness.submit(1, 0, 1)), vec![(1, 10)], "the old list stays in force");

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
        // While the other one is banned, the one that is used again receives few calls at first.
        harness.turn(vec![Event::BanStarted { endpoint: 2 }, Event::BanEnded { endpoint: 1 }]);
        let mut sent = 0;
        for id in 100..300 {
            for (_, id, endpoint) in harness.submit_and_advance(id, 10, 5 * MS) {
                assert_eq!(endpoint, 1);
                sent += 1;
                harness.end_attempt(id, 0, Outcome::Delivered, 0);
            }
        }
        // About 10 a second before; in the first second at most twice a fifth of that, and one call at once.
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
