use super::list_age::{FollowMode, ListAgeBounds};
use super::poll_pacer::{MAX_RATE, PollPacer};
use super::request::ListQuery;
use super::schedule::{CallSchedule, WatchPacer};
use super::{InitialListAge, ListAge, ListOrigin};
use crate::interface::Settings;
use std::time::Duration;
use tokio::time::Instant;

fn settings() -> Settings {
    Settings { poll_discovery: true, max_list_age: 10_000_000, sender_count: 300, ..Settings::default() }
}

fn pacer(seed: u64) -> PollPacer {
    PollPacer::new(ListAgeBounds::new(&settings()), seed)
}

#[test]
fn the_list_is_polled_only_where_too_many_senders_share_one_service_for_watches() {
    let mode = |settings: Settings| ListAgeBounds::new(&settings).mode();
    assert_eq!(mode(settings()), FollowMode::Poll);
    assert_eq!(mode(Settings { sender_count: 41, ..settings() }), FollowMode::Poll);
    assert_eq!(mode(Settings { max_list_age: 0, ..settings() }), FollowMode::Poll);
    for few in [
        Settings { sender_count: 40, ..settings() },
        Settings { sender_count: 5, ..settings() },
        Settings { poll_discovery: false, ..settings() },
        Settings { max_list_age: 0, sender_count: 5, ..settings() },
    ] {
        assert_eq!(mode(few), FollowMode::Watch);
    }
}

#[test]
fn a_call_beside_an_overdue_one_requests_the_complete_list() {
    let few = Settings { sender_count: 6, ..settings() };
    let schedule = CallSchedule::new(ListAgeBounds::new(&few), 3);
    let watch = ListQuery::Changes { since_revision: 7, wait: Duration::from_secs(2) };
    assert_eq!(schedule.query(Some(7), false), watch);
    assert_eq!(schedule.query(None, false), ListQuery::Complete);
    assert_eq!(schedule.query(Some(7), true), ListQuery::Complete);
    let many = CallSchedule::new(ListAgeBounds::new(&settings()), 3);
    assert_eq!(many.query(Some(7), false), ListQuery::Complete);
}

#[test]
fn failed_polls_become_rarer_and_are_not_synchronized_between_senders() {
    let mut pacers = [pacer(0x8c1f_30d2_7a5b_e964), pacer(0x51d2_0c7e_93ab_4f06)];
    let [one, other] = pacers.each_mut().map(|pacer| -> Vec<Duration> {
        [pacer.first_delay()].into_iter().chain((0..12).map(|_| pacer.delay_after_failure(true))).collect()
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
        pacer.delay_after_failure(true);
    }
    let delays: Vec<Duration> = (0..100).map(|_| pacer.delay_after_list()).collect();
    assert!(delays.iter().all(|delay| *delay < max_list_age), "{delays:?}");
    assert!(delays[90..].iter().all(|delay| *delay <= max_list_age / 3), "{delays:?}");
    // One rejection halves the rate, and one list raises it only a little.
    pacer.delay_after_failure(true);
    pacer.delay_after_list();
    assert!(pacer.rate() < MAX_RATE * 0.6);
    // After a call without a response the next one follows soon: the sender must know the changes that the response
    // would have contained.
    assert!((0..20).all(|_| pacer.delay_after_failure(false) <= max_list_age / 5));
}

#[test]
fn polls_of_a_smaller_fleet_follow_a_rejection_sooner() {
    let hundred = Settings { sender_count: 100, ..settings() };
    let mut pacer = PollPacer::new(ListAgeBounds::new(&hundred), 3);
    assert!((0..20).all(|_| pacer.delay_after_failure(true) <= Duration::from_secs(10)));
}

#[test]
fn failed_watches_are_retried_soon() {
    let own_service = Settings { poll_discovery: false, ..settings() };
    let few = Settings { sender_count: 8, ..settings() };
    // The first retry after a rejection leaves a shared service time for those of all senders.
    for (settings, longest_ms, first_rejected_ms) in [(own_service, 250, 75), (few, 1000, 600)] {
        let longest = Duration::from_millis(longest_ms);
        let bounds = ListAgeBounds::new(&settings);
        for (is_rejection, first_ms) in [(false, 75), (true, first_rejected_ms)] {
            let mut pacer = WatchPacer::new(&bounds, 3);
            let delays: Vec<Duration> = (0..9).map(|_| pacer.delay_after_failure(is_rejection)).collect();
            assert!(
                delays.iter().all(|delay| *delay <= longest * 3 / 2) && delays[8] >= longest / 2,
                "{delays:?}"
            );
            // Failures of the other sort do not delay the first retry.
            assert!(pacer.delay_after_failure(!is_rejection) <= Duration::from_millis(first_rejected_ms));
            pacer.reset();
            assert!(pacer.delay_after_failure(is_rejection) <= Duration::from_millis(first_ms));
        }
    }
}

#[test]
fn a_process_that_watches_does_not_act_on_an_unconfirmed_list() {
    let start = Instant::now();
    let few = Settings { sender_count: 6, drain_grace: 500_000, ..settings() };
    let age = InitialListAge::new(&few, start, ListOrigin::Configuration);
    assert_eq!(age.at(start), ListAge::Stale);
    assert_eq!(age.at(start + Duration::from_secs(1)), ListAge::Stale);
    let many = InitialListAge::new(&settings(), start, ListOrigin::Configuration);
    assert_eq!(many.at(start + Duration::from_secs(1)), ListAge::Fresh);
}
