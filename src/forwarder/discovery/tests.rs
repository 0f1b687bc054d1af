use super::list_age::ListAgeBounds;
use super::outage_detector::FailureKind;
use super::request::ListQuery;
use super::schedule::{CallContext, CallSchedule};
use super::{InitialList, ListAge, ListOrigin};
use crate::interface::Settings;
use std::time::Duration;
use tokio::time::Instant;

fn settings(sender_count: usize) -> Settings {
    Settings { poll_discovery: true, max_list_age: 10_000_000, sender_count, ..Settings::default() }
}

fn schedule(settings: &Settings) -> CallSchedule {
    CallSchedule::new(ListAgeBounds::new(settings), 3)
}

fn watch(milliseconds: u64) -> ListQuery {
    ListQuery::Changes { since_revision: 7, wait: Duration::from_millis(milliseconds) }
}

#[test]
fn the_first_call_confirms_the_list_and_the_next_one_watches_it_for_longer_in_larger_fleets() {
    let pushed = Settings { poll_discovery: false, ..settings(300) };
    let fleets = [(settings(3), 4000), (settings(40), 4000), (settings(41), 4100), (settings(300), 30_000)];
    for (settings, watch_ms) in fleets.into_iter().chain([(settings(900), 60_000), (pushed, 2000)]) {
        let schedule = schedule(&settings);
        assert_eq!(schedule.query(Some(7), CallContext::First, false, None), watch(0));
        assert_eq!(schedule.query(Some(7), CallContext::AfterList, true, None), watch(watch_ms));
    }
}

/// Of two watches, one is established, after a queue of 3.5 s, when the other ends.
#[test]
fn a_watch_beside_one_that_ends_soon_waits_for_as_long_as_possible() {
    for (senders, usual_ms) in [(3, 4000), (40, 4000), (45, 4500), (300, 30_000)] {
        let schedule = schedule(&settings(senders));
        let query = |context, remaining_ms| {
            schedule.query(Some(7), context, true, Some(Duration::from_millis(remaining_ms)))
        };
        assert_eq!(query(CallContext::AfterList, 59_000), watch(usual_ms));
        assert_eq!(query(CallContext::AfterList, usual_ms + 4500), watch(usual_ms));
        assert_eq!(query(CallContext::AfterList, usual_ms + 4499), watch(60_000));
        assert_eq!(query(CallContext::Standby, usual_ms), watch(60_000));
    }
}

#[test]
fn the_standby_watches_of_a_fleet_start_at_different_times() {
    for (senders, earliest_ms, latest_ms) in [(1, 1500, 3000), (45, 6708, 20_125), (900, 30_000, 90_000)] {
        let mut schedule = schedule(&settings(senders));
        let delays: std::collections::BTreeSet<u128> =
            (0..100).map(|_| schedule.standby_delay().as_micros()).collect();
        assert!(delays.len() > 90, "{senders} senders: {} different delays", delays.len());
        let is_allowed = |delay: &u128| (earliest_ms * 1000..=latest_ms * 1000).contains(delay);
        assert!(delays.iter().all(is_allowed), "{senders} senders: {delays:?}");
    }
}

#[test]
fn a_long_watch_follows_a_failure_only_once_a_short_one_got_a_response() {
    let query = |senders, is_confirmed| {
        schedule(&settings(senders)).query(Some(7), CallContext::AfterFailure, is_confirmed, None)
    };
    assert_eq!([query(300, false), query(300, true)], [watch(300); 2]);
    assert_eq!([query(6, false), query(6, true)], [watch(0), watch(4000)]);
}

#[test]
fn the_complete_list_is_requested_beside_an_overdue_call_or_if_changes_do_not_suffice() {
    for senders in [6, 300] {
        let schedule = schedule(&settings(senders));
        assert_eq!(schedule.query(Some(7), CallContext::Hedge, true, None), ListQuery::Complete);
        for context in [CallContext::First, CallContext::AfterList, CallContext::AfterFailure] {
            assert_eq!(schedule.query(None, context, true, None), ListQuery::Complete);
        }
    }
}

#[test]
fn failed_calls_are_repeated_soon_unless_many_senders_share_the_service_or_it_is_down() {
    let pushed = Settings { poll_discovery: false, ..settings(300) };
    // The interval after rejections, after broken connections and while the service is down, at first and at
    // the longest.
    let cases = [
        (pushed, [50, 200], [50, 200], [50, 200]),
        (settings(6), [300, 1000], [50, 1000], [300, 1000]),
        (settings(40), [2000, 2000], [250, 2000], [2000, 5000]),
        (settings(300), [5000, 5000], [625, 5000], [5000, 10_000]),
        (settings(900), [5000, 5000], [625, 5000], [5000, 10_000]),
    ];
    for (settings, after_rejection, after_break, while_down) in cases {
        let failures = [
            (FailureKind::RejectedAtOnce, false, after_rejection),
            (FailureKind::Broken, false, after_break),
            (FailureKind::RejectedAtOnce, true, while_down),
        ];
        for (failure, is_down, [first_ms, longest_ms]) in failures {
            let mut schedule = schedule(&settings);
            let delays: Vec<u128> =
                (0..12).map(|_| schedule.delay_after_failure(failure, is_down).as_millis()).collect();
            let allows =
                |interval_ms: u128, delay: u128| (interval_ms / 2..=interval_ms * 3 / 2).contains(&delay);
            assert!(allows(first_ms, delays[0]) && allows(longest_ms, delays[11]), "{settings:?} {delays:?}");
            assert!(delays.iter().all(|delay| *delay <= longest_ms * 3 / 2), "{settings:?} {delays:?}");
            schedule.record_list(Duration::ZERO);
            assert!(allows(first_ms, schedule.delay_after_failure(failure, is_down).as_millis()));
        }
    }
}

#[test]
fn a_connection_to_a_shared_service_gets_more_time_after_one_that_was_not_established() {
    let pushed = Settings { poll_discovery: false, ..settings(6) };
    let cases = [(settings(6), [500, 1000, 2000, 3000, 3000]), (pushed, [250; 5])];
    for (settings, expected) in cases {
        let mut schedule = schedule(&settings);
        let connect_ms = |schedule: &CallSchedule| {
            schedule.limits(ListQuery::Complete, CallContext::AfterList).connect.as_millis()
        };
        let limits = expected.map(|_| {
            let limit = connect_ms(&schedule);
            schedule.delay_after_failure(FailureKind::NotConnected, true);
            limit
        });
        assert_eq!(limits, expected);
        schedule.record_list(Duration::ZERO);
        assert_eq!(connect_ms(&schedule), expected[0]);
    }
}

#[test]
fn the_delays_of_two_senders_differ() {
    let delays = |seed| {
        let mut schedule = CallSchedule::new(ListAgeBounds::new(&settings(300)), seed);
        [(); 12].map(|()| schedule.delay_after_failure(FailureKind::Other, false))
    };
    let (one, other) = (delays(0x8c1f_30d2_7a5b_e964), delays(0x51d2_0c7e_93ab_4f06));
    assert!(one.iter().zip(&other).all(|(a, b)| a != b), "{one:?} {other:?}");
}

#[test]
fn an_unconfirmed_list_is_stale() {
    let start = Instant::now();
    for senders in [6, 300] {
        let settings = Settings { drain_grace: 500_000, ..settings(senders) };
        let list = InitialList::new(&settings, Some(1), start, ListOrigin::Configuration);
        assert_eq!(list.age_at(start), ListAge::Stale);
        assert_eq!(list.age_at(start + Duration::from_secs(1)), ListAge::Stale);
    }
}
