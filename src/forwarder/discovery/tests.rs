use super::poll_pacer::{MAX_RATE, PollPacer};
use super::request::PollError;
use super::watch::{INITIAL_BACKOFF, MAX_BACKOFF, watch_backoff};
use crate::forwarder::discovery_client::CallError;
use crate::interface::Settings;
use hyper::StatusCode;
use std::time::Duration;

fn pacer(seed: u64) -> PollPacer {
    let settings =
        Settings { poll_discovery: true, max_list_age: 10_000_000, sender_count: 100, ..Settings::default() };
    PollPacer::for_shared_service(&settings, seed).expect("more than four senders poll one service")
}

fn rejection() -> PollError {
    CallError::Status(StatusCode::SERVICE_UNAVAILABLE).into()
}

#[test]
fn the_list_is_polled_only_where_many_senders_share_one_service() {
    let settings =
        Settings { poll_discovery: true, max_list_age: 10_000_000, sender_count: 5, ..Settings::default() };
    assert!(PollPacer::for_shared_service(&settings, 3).is_some());
    for few in [
        Settings { sender_count: 4, ..settings.clone() },
        Settings { poll_discovery: false, ..settings.clone() },
        Settings { max_list_age: 0, ..settings },
    ] {
        assert!(PollPacer::for_shared_service(&few, 3).is_none());
    }
}

#[test]
fn failed_polls_become_rarer_and_are_not_synchronized_between_senders() {
    let mut pacers = [pacer(0x8c1f_30d2_7a5b_e964), pacer(0x51d2_0c7e_93ab_4f06)];
    let [one, other] = pacers.each_mut().map(|pacer| -> Vec<Duration> {
        [pacer.first_delay()]
            .into_iter()
            .chain((0..12).map(|_| pacer.delay_after_failure(&rejection())))
            .collect()
    });
    assert!(one.iter().zip(&other).all(|(a, b)| a != b), "{one:?} {other:?}");
    for delays in [one, other] {
        assert!(delays[0] <= Duration::from_secs(5), "{delays:?}");
        // After a few rejections the delays are near their bounds.
        assert!(delays[3..].iter().all(|delay| (10..=30).contains(&delay.as_secs())), "{delays:?}");
    }
}

#[test]
fn the_poll_rate_rises_slowly_halves_after_a_rejection_and_stays_within_the_list_age() {
    let mut pacer = pacer(3);
    let max_list_age = Duration::from_secs(10);
    for _ in 0..4 {
        pacer.delay_after_failure(&rejection());
    }
    let delays: Vec<Duration> = (0..100).map(|_| pacer.delay_after_list()).collect();
    assert!(delays.iter().all(|delay| *delay < max_list_age), "{delays:?}");
    assert!(delays[90..].iter().all(|delay| *delay <= max_list_age / 3), "{delays:?}");
    // One rejection halves the rate, and one list raises it only a little.
    pacer.delay_after_failure(&rejection());
    pacer.delay_after_list();
    assert!(pacer.rate() < MAX_RATE * 0.6);
    // After a call without a response the next one follows soon: the sender must know the changes that the response
    // would have contained.
    let no_response = CallError::Timeout.into();
    assert!((0..20).all(|_| pacer.delay_after_failure(&no_response) <= max_list_age / 5));
}

#[test]
fn failed_watches_are_retried_soon() {
    let mut backoff = watch_backoff(3);
    let delays: Vec<Duration> = (0..9).map(|_| backoff.next_delay()).collect();
    assert!(
        delays.iter().all(|delay| *delay <= MAX_BACKOFF * 3 / 2) && delays[8] >= MAX_BACKOFF / 2,
        "{delays:?}"
    );
    backoff.reset();
    assert!(backoff.next_delay() <= INITIAL_BACKOFF * 3 / 2);
}
