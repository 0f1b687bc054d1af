//! Rate limits: Retry-After, pacing, and backoff after rejections.

mod common;
use common::*;
use message_forwarder::interface::*;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn retry_after_holds_for_every_message_of_the_destination() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0), entry(11, 1, 0)]);
    harness.submit(1, 0, 1);
    harness.end_attempt(1, 0, Outcome::Rejected { retry_after: Some(2 * SEC) }, 10 * MS);
    let wait_end = harness.now + 2 * SEC;
    assert_eq!(sends(&harness.submit(2, 0, 1)), vec![]);
    let all = harness.advance(4 * SEC);
    let first = timed_sends(&all)[0];
    assert!(first.0 >= wait_end);
}

#[test]
fn retry_after_holds_for_its_route_only_where_routes_are_separate() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 1), entry(11, 1, 1)]);
    let (_, first) = sends(&harness.submit(1, 0, 1))[0];
    let retried =
        sends(&harness.end_attempt(1, 0, Outcome::Rejected { retry_after: Some(2 * SEC) }, 10 * MS));
    assert_eq!(retried.len(), 1);
    assert_ne!(retried[0].1, first);
}

/// A batch is rejected as one call, but each of its messages may carry the Retry-After.
#[test]
fn retry_after_for_one_message_of_a_batch_holds_at_once() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 2)]);
    let expires_at = harness.now + 16 * SEC;
    let submit = |id| Event::Submit(submission(id, 0, 1, expires_at));
    assert_eq!(sends(&harness.turn(vec![submit(1), submit(2)])).len(), 2);
    harness.end_attempt(1, 0, Outcome::Rejected { retry_after: Some(2 * SEC) }, 10 * MS);
    harness.end_attempt(2, 0, Outcome::Rejected { retry_after: None }, 10 * MS);
    let wait_end = harness.now + 2 * SEC;
    let all = timed_sends(&harness.advance(4 * SEC));
    assert!(!all.is_empty() && all[0].0 >= wait_end, "{all:?}");
}

/// A rejection after an idle period must not reduce the limit to the low recent rate. In an incident, a few
/// rejections in the first second reduced 38 calls a second to 11 for good.
#[test]
fn rejection_after_an_idle_period_decreases_the_limit_and_not_the_recent_rate() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    harness.submit(1, 0, 1);
    harness.end_attempt_with_report(1, 0, Outcome::Rejected { retry_after: None }, 20.0);
    let (mut sent, end) = (0, harness.now + 4 * SEC);
    let mut attempts = BTreeMap::from([(1, 1)]);
    let mut next = 2;
    while harness.now < end {
        harness.now += 10 * MS;
        next += 1;
        let mut sent_now = sends(&harness.submit(next, 0, 1));
        while let Some((id, _)) = sent_now.pop() {
            sent += 1;
            let attempt = attempts.entry(id).or_insert(0);
            sent_now.extend(sends(&harness.end_attempt(id, *attempt, Outcome::Delivered, 10 * MS)));
        }
    }
    assert!((40..=90).contains(&sent), "{sent} calls in 4 s where 20 a second are allowed");
}

/// Frequent calls with few messages use up a limit on calls, so that another sender can send nothing.
#[test]
fn limit_on_batches_starts_at_the_even_share_and_does_not_grow_while_calls_are_not_full() {
    let listed = EndpointEntry { weight: 4.0, ..entry(10, 1, 2) };
    let mut harness = SenderHarness::new(with_approximate_weights(settings()), vec![listed]);
    let (mut calls, mut last, end) = (0, 0, harness.now + 10 * SEC);
    let mut id = 0;
    while harness.now < end {
        harness.now += 100 * MS;
        id += 1;
        let sent = sends(&harness.submit(id, 0, 1));
        if !sent.is_empty() {
            calls += 1;
            last = sent.len();
        }
        for (id, _) in sent {
            harness.end_attempt(id, 0, Outcome::Delivered, 10 * MS);
        }
    }
    assert!((15..=25).contains(&calls), "{calls} calls in 10 s at half of 4 a second");
    assert!(last > 1, "several messages are collected for one call");
}

#[test]
fn implausible_reported_limit_is_ignored() {
    for limit in [1e-300, 1e300] {
        let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
        harness.submit(1, 0, 1);
        harness.end_attempt_with_report(1, 0, Outcome::Delivered, limit);
        let sent: usize = (2..5).map(|id| sends(&harness.submit(id, 0, 1)).len()).sum();
        assert_eq!(sent, 3, "a tiny limit holds nothing back");
        // After a huge limit a rejection still decreases the rate to what was sent.
        harness.end_attempt(2, 0, Outcome::Rejected { retry_after: None }, 10 * MS);
        harness.now += 4 * SEC;
        let sent: usize = (5..15).map(|id| sends(&harness.submit(id, 0, 1)).len()).sum();
        assert!(sent < 5, "{limit}: {sent}");
    }
}

/// After a rejection, a sender must not continue at 70% of a limit that is reported for all senders: 30
/// senders that each do so exceed the limit by far.
#[test]
fn rejection_decreases_the_rate_of_this_sender_and_not_the_reported_limit() {
    let mut harness = SenderHarness::new(many_senders(), vec![entry(10, 1, 0)]);
    for id in 0..20 {
        harness.now += SEC;
        harness.submit(id, 0, 1);
        harness.end_attempt_with_report(id, 0, Outcome::Delivered, 6.0);
    }
    harness.now += SEC;
    harness.submit(30, 0, 1);
    harness.end_attempt(30, 0, Outcome::Rejected { retry_after: None }, 10 * MS);
    for id in 31..60 {
        harness.submit(id, 0, 1);
    }
    let sent = timed_sends(&harness.advance(3 * SEC)).len();
    assert!((1..=4).contains(&sent), "{sent} calls in 3 s from a sender of one a second");
}

/// If the limit grew by one second's increase for each delivery, a sender with rare calls would never recover
/// from a rejection.
#[test]
fn sender_with_rare_calls_recovers_from_a_rejection_with_time() {
    let mut harness = SenderHarness::new(many_senders(), vec![entry(10, 1, 0)]);
    harness.submit(1, 0, 1);
    harness.end_attempt(1, 0, Outcome::Rejected { retry_after: None }, 10 * MS);
    let mut next = 1;
    for round in 0..4 {
        let sent = timed_sends(&harness.advance(15 * SEC));
        let id = sent.last().map_or(next, |(_, id, _)| *id);
        harness.end_attempt(id, usize::from(round == 0), Outcome::Delivered, 10 * MS);
        harness.now += 20 * SEC;
        next += 1;
        assert_eq!(sends(&harness.submit(next, 0, 1)).len(), 1, "round {round}");
    }
}

/// Many senders that are restarted together, for example 200, must not each send all their messages at once.
#[test]
fn first_calls_of_many_senders_that_start_together_stay_within_the_listed_rate() {
    for kind in [0, 1, 2] {
        let listed = EndpointEntry { weight: 20.0, ..entry(10, 1, kind) };
        let (mut seconds, mut all) = ([0; 20], 0);
        for seed in 1..=50 {
            let mut harness =
                SenderHarness::with_seed(with_approximate_weights(many_senders()), seed * 7919, vec![listed]);
            let (begun, mut sent) = (harness.now, Vec::new());
            for id in 0..5 {
                sent.extend(harness.submit_and_advance(id, 1, 0));
            }
            sent.extend(timed_sends(&harness.advance(10 * SEC)));
            let calls: BTreeSet<Micros> = sent.iter().map(|(at, ..)| *at).collect();
            calls.iter().for_each(|at| seconds[((at - begun) / SEC) as usize] += 1);
            all += calls.len();
        }
        // At most twice the even share of 20 a second; a burst would be 50 calls at once and more after them.
        let most = seconds.iter().copied().max().unwrap_or(0);
        assert!((8..=48).contains(&most), "{seconds:?} calls in each second, kind {kind}");
        assert!(all >= 50, "each has sent in ten seconds: {all}, kind {kind}");
    }
}

/// 300 senders share an endpoint that accepts 15 calls a second. If the one call that each has counted kept
/// up its rate after a rejection, they would continue with 20 a second in all. Rejected calls use up the
/// limit, so none would be delivered.
#[test]
fn senders_with_rare_calls_that_are_rejected_together_fall_below_the_listed_rate() {
    let settings = with_approximate_weights(Settings { sender_count: 300, ..many_senders() });
    let mut calls = [0; 40];
    for seed in 1..=30 {
        let mut harness = SenderHarness::with_seed(
            settings.clone(),
            seed * 7919,
            vec![EndpointEntry { weight: 15.0, ..entry(10, 1, 1) }],
        );
        let mut attempts = BTreeMap::new();
        for (second, id) in calls.iter_mut().zip(0..) {
            let sent = harness.submit_and_advance(id, 1, SEC);
            *second += sent.len();
            for (_, id, _) in sent {
                let attempt: &mut usize = attempts.entry(id).or_default();
                harness.end_attempt(id, *attempt, Outcome::Rejected { retry_after: None }, 100 * MS);
                *attempt += 1;
            }
        }
    }
    // The share of 30 of 300 senders is 1.5 calls a second.
    let (early, late): (usize, usize) = (calls[..10].iter().sum(), calls[20..].iter().sum());
    assert!(early >= 20, "each starts in time: {calls:?}");
    assert!((5..=20).contains(&late), "at most two thirds of their share: {calls:?}");
}

/// 300 senders share a limit of 330 calls a second. If they waited for up to 18 s after one wave of
/// rejections, half of the limit would be unused while thousands of messages wait.
#[test]
fn backoff_after_rejections_is_short_where_each_sender_may_call_often() {
    let settings = with_approximate_weights(Settings { sender_count: 300, ..many_senders() });
    for seed in 1..=10 {
        let mut harness = SenderHarness::with_seed(
            settings.clone(),
            seed * 7919,
            vec![EndpointEntry { weight: 300.0, ..entry(10, 1, 0) }],
        );
        let (mut last, mut calls, mut attempts) = (harness.now, 0, BTreeMap::new());
        for id in 0..40 {
            for (at, id, _) in harness.submit_and_advance(id, 1, SEC) {
                assert!(at - last <= 7 * SEC, "{} ms between two calls, seed {seed}", (at - last) / MS);
                (last, calls) = (at, calls + 1);
                let attempt: &mut usize = attempts.entry(id).or_default();
                harness.end_attempt(
                    id,
                    *attempt,
                    Outcome::Rejected { retry_after: Some(200 * MS) },
                    100 * MS,
                );
                *attempt += 1;
            }
        }
        assert!(calls >= 6, "{calls} calls in 40 s, seed {seed}");
    }
}

#[test]
fn rejections_of_one_wave_decrease_the_limit_once_despite_deliveries_between_them() {
    let rejected = Outcome::Rejected { retry_after: Some(100 * MS) };
    let sent_after = |ends: [Outcome; 3]| {
        let listed = EndpointEntry { weight: 20.0, ..entry(10, 1, 0) };
        let mut harness = SenderHarness::new(
            Settings { endpoint_weights: EndpointWeights::Nominal, ..settings() },
            vec![listed],
        );
        for id in 0..3 {
            assert_eq!(sends(&harness.submit(id, 0, 1)).len(), 1, "message {id} is sent without spacing");
        }
        harness.advance(50 * MS);
        for (id, outcome) in (0..).zip(ends) {
            harness.end_attempt(id, 0, outcome, 50 * MS);
        }
        (10..40).for_each(|id| drop(harness.submit(id, 0, 1)));
        harness.deliver_all_for(2 * SEC, |id| usize::from(id < 10))
    };
    let together = sent_after([rejected, rejected, Outcome::Delivered]);
    assert!(together > 5, "{together}");
    assert_eq!(sent_after([rejected, Outcome::Delivered, rejected]), together);
}

#[test]
fn rejection_leaves_a_sender_with_rare_calls_its_even_share_of_the_listed_rate() {
    let listed = EndpointEntry { weight: 20.0, ..entry(10, 1, 0) };
    let mut harness = SenderHarness::new(with_approximate_weights(settings()), vec![listed]);
    // This sender has sent a single call when it reaches a limit that the other sender uses up.
    assert_eq!(sends(&harness.submit(1, 0, 1)).len(), 1);
    harness.advance(50 * MS);
    harness.end_attempt(1, 0, Outcome::Rejected { retry_after: None }, 50 * MS);
    (10..40).for_each(|id| drop(harness.submit(id, 0, 1)));
    let sent = harness.deliver_all_for(2 * SEC, |id| usize::from(id < 10));
    // Two senders, 20 a second listed: 7 a second each after the decrease, for most of two seconds.
    assert!((10..=20).contains(&sent), "{sent} in two seconds");
}

#[test]
fn next_call_takes_the_place_of_a_call_that_was_never_sent() {
    // At a listed rate of 10 a second, each of 100 senders may send a call every ten seconds, at first every
    // five.
    let many = Settings {
        sender_count: 100,
        endpoint_weights: EndpointWeights::Nominal,
        connect_timeout: SEC,
        ..settings()
    };
    let entries = || [1, 2].map(|endpoint| EndpointEntry { weight: 10.0, ..entry(endpoint, 7, 0) }).to_vec();
    for was_sent in [false, true] {
        let mut harness = SenderHarness::new(many.clone(), entries());
        harness.submit(0, 0, 7);
        let (_, first, endpoint) = timed_sends(&harness.advance(6 * SEC))[0];
        harness.submit(1, 0, 7);
        let outcome = if was_sent { Outcome::Rejected { retry_after: None } } else { Outcome::ConnectFailed };
        let mut actions = harness.turn(vec![Event::AttemptEnded(AttemptEnded {
            unsent: !was_sent,
            ..attempt_ended(first, 0, outcome, MS)
        })]);
        actions.extend(harness.advance(50 * MS).into_iter().map(|(_, action)| action));
        // An unsent call is replaced by one call, to the other endpoint; the next call is spaced.
        let sent = sends(&actions);
        assert_eq!(sent.len(), usize::from(!was_sent), "{sent:?}");
        assert!(sent.iter().all(|(_, to)| *to != endpoint));
    }
}
