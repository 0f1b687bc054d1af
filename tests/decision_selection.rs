//! The choice among queued messages.

mod common;
use common::*;
use message_forwarder::interface::*;
use std::collections::BTreeSet;

#[test]
fn call_with_many_messages_is_sent_before_one_with_a_single_message_if_slots_are_short() {
    let mut harness =
        SenderHarness::new(Settings { call_slots: 1, ..settings() }, vec![entry(10, 1, 0), entry(20, 2, 2)]);
    harness.submit(1, 0, 1);
    (2..5).for_each(|id| assert_eq!(sends(&harness.submit(id, 0, 1)), []));
    (5..15).for_each(|id| assert_eq!(sends(&harness.submit(id, 0, 2)), []));
    let next = sends(&harness.end_attempt(1, 0, Outcome::Delivered, 10 * MS));
    assert_eq!(next, (5..15).map(|id| (id, 20)).collect::<Vec<_>>());
}

/// Hundreds of senders, each with a message a second for a destination, must not make a call of each message:
/// a limit on calls would reject what full calls could carry.
#[test]
fn messages_are_collected_for_one_call_within_their_objective_where_many_senders_share_a_limit() {
    let settings = with_approximate_weights(many_senders());
    let batches = EndpointEntry { weight: 1000.0, ..entry(10, 1, 2) };
    let mut harness = SenderHarness::new(settings.clone(), vec![batches]);
    harness.now += SEC;
    let begun = harness.now;
    let mut sent = Vec::new();
    for id in 1..=4 {
        sent.extend(harness.submit_and_advance(id, 1, 200 * MS));
    }
    sent.extend(timed_sends(&harness.advance(3 * SEC)));
    let calls: BTreeSet<Micros> = sent.iter().map(|(at, ..)| *at).collect();
    assert_eq!((sent.len(), calls.len()), (4, 1), "all in one call: {sent:?}");
    assert!(sent[0].0 <= begun + 3 * SEC / 2, "with half of the objective left: {sent:?}");
    // A full call does not wait, nor does one where a call carries a single message.
    harness.end_attempt(1, 0, Outcome::Delivered, 50 * MS);
    let full: Vec<_> = (10..30).flat_map(|id| sends(&harness.submit(id, 0, 1))).collect();
    assert_eq!(full.len(), 20);
    let mut harness = SenderHarness::new(settings, vec![EndpointEntry { weight: 1000.0, ..entry(10, 1, 0) }]);
    harness.now += SEC;
    assert_eq!(sends(&harness.submit(1, 0, 1)).len(), 1);
}

/// Clients may wait for less than the objective: their messages have the full weight until they leave.
#[test]
fn client_that_waits_for_less_than_the_objective_is_on_time_until_it_leaves() {
    let mut harness =
        SenderHarness::new(Settings { call_slots: 1, ..settings() }, vec![entry(10, 1, 0), entry(20, 2, 0)]);
    harness.submit(1, 0, 1);
    let late = submission(2, 0, 1, harness.now + 12 * SEC);
    let brief = Submission { id: 3, expires_at: harness.now + 2 * SEC, destination: 2, ..late.clone() };
    harness.turn(vec![Event::Submit(late), Event::Submit(brief)]);
    assert_eq!(sends(&harness.end_attempt(1, 0, Outcome::Delivered, 100 * MS)), vec![(3, 20)]);
}

#[test]
fn class_that_lost_messages_is_sent_before_one_with_a_higher_weight() {
    let mut settings = Settings { call_slots: 1, ..settings() };
    settings.classes[0].priority_weight = 3.0;
    settings.classes[2].priority_weight = 1.0;
    let mut harness = SenderHarness::new(settings, vec![entry(10, 1, 0), entry(20, 2, 0)]);
    let first_sent = |harness: &mut SenderHarness, id: MessageId| {
        harness.submit(id, 0, 2);
        harness.submit(id + 1, 2, 1);
        harness.submit(id + 2, 0, 1);
        let next = sends(&harness.end_attempt(id, 0, Outcome::Delivered, 10 * MS));
        harness.end_attempt(next[0].0, 0, Outcome::Delivered, 10 * MS);
        harness.end_attempt(2 * id + 3 - next[0].0, 0, Outcome::Delivered, 10 * MS);
        next[0].0
    };
    assert_eq!(first_sent(&mut harness, 100), 102, "the weight decides");
    // Five messages of the other class are lost because their destination has no endpoint.
    for id in 0..5 {
        let (expires_at, history) =
            (harness.now + 20 * MS, MessageHistory { accepted: true, ..MessageHistory::default() });
        let submit = Submission { history, ..submission(id, 2, 9, expires_at) };
        harness.turn(vec![Event::Submit(submit)]);
    }
    assert_eq!(harness.advance(50 * MS).len(), 5);
    assert_eq!(first_sent(&mut harness, 200), 201, "the losses decide");
}

#[test]
fn quota_of_a_tenant_is_shared_by_all_senders() {
    let position_of_other_message = |sender_count| {
        let settings = Settings {
            tenants: vec![Tenant { quota: 40.0 }],
            sender_count,
            over_quota_weight: 0.1,
            call_slots: 1,
            ..settings()
        };
        let mut harness = SenderHarness::new(settings, vec![entry(10, 1, 0)]);
        harness.submit(0, 0, 1);
        // Twenty messages at once are far below the quota, and far above a hundredth of it.
        for id in 1..=21 {
            let (expires_at, tenant) = (harness.now + 16 * SEC, (id <= 20).then_some(0));
            harness.turn(vec![Event::Submit(Submission { tenant, ..submission(id, 0, 1, expires_at) })]);
        }
        let mut order = Vec::new();
        for _ in 0..21 {
            let last = order.last().copied().unwrap_or(0);
            order.extend(
                sends(&harness.end_attempt(last, 0, Outcome::Delivered, 10 * MS)).iter().map(|s| s.0),
            );
        }
        order.iter().position(|id| *id == 21).expect("it is sent")
    };
    assert_eq!(position_of_other_message(2), 20, "within the quota the first message is sent first");
    assert!(position_of_other_message(200) < 10, "beyond the quota other messages are sent first");
}
