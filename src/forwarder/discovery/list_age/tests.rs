//! Properties of the bounds, for random settings and fleets of 1 to 900 senders.

use super::*;
use proptest::prelude::*;

/// The longest response time of the service.
const RESPONSE_TIME: Duration = Duration::from_millis(1500);

/// The largest jitter factor of a backoff.
const MAX_BACKOFF_JITTER: f64 = 1.5;

/// The longest time from the start of a watch without a response to the start of the next call.
fn latest_call_after_watch_without_response(bounds: &ListAgeBounds, load: &ServiceLoad) -> Duration {
    bounds.overdue_after(bounds.watch_duration(load), load)
}

/// The load of a service whose calls return a list after a random time, or fail.
fn any_load() -> impl Strategy<Value = ServiceLoad> {
    prop::collection::vec(prop::option::of(0..8000_u64), 0..20).prop_map(|calls| {
        let mut load = ServiceLoad::new();
        for call in calls {
            match call {
                Some(response_ms) => load.record_list(Duration::from_millis(response_ms)),
                None => load.record_failure(),
            }
        }
        load
    })
}

/// The longest time from the failure of a call to the start of the next one.
fn latest_call_after_failure(bounds: &ListAgeBounds) -> Duration {
    bounds.longest_backoff().mul_f64(MAX_BACKOFF_JITTER)
}

fn any_settings() -> impl Strategy<Value = Settings> {
    let senders = 1..=900_usize;
    let max_list_age = prop_oneof![Just(0_i64), 1_500_000..60_000_000_i64];
    let drain_grace = 250_000..5_000_000_i64;
    let turn_interval = 0..20_000_i64;
    (senders, max_list_age, drain_grace, turn_interval, any::<bool>()).prop_map(
        |(sender_count, max_list_age, drain_grace, min_turn_interval, poll_discovery)| Settings {
            sender_count,
            max_list_age,
            drain_grace,
            min_turn_interval,
            poll_discovery,
            ..Settings::default()
        },
    )
}

proptest! {
    #[test]
    fn a_call_follows_a_watch_without_a_response_before_the_list_becomes_stale(
        settings in any_settings(),
        load in any_load(),
    ) {
        let bounds = ListAgeBounds::new(&settings);
        let wait = bounds.watch_duration(&load);
        let latest = latest_call_after_watch_without_response(&bounds, &load);
        prop_assert!(latest < bounds.usable_during_watch(wait), "{latest:?}");
        // Short watches leave the service time to respond as well.
        if !bounds.has_long_watches() {
            prop_assert!(latest + RESPONSE_TIME <= bounds.max_staleness, "{latest:?}");
        }
    }

    #[test]
    fn a_list_is_used_no_longer_than_a_watch_without_a_response_may_miss_a_change(
        settings in any_settings(),
        load in any_load(),
    ) {
        let bounds = ListAgeBounds::new(&settings);
        let wait = bounds.watch_duration(&load);
        let latest_write = bounds.usable_during_watch(wait) + MAX_PROCESS_PAUSE + EVENT_HANDLING;
        let known_after = MAX_STALENESS.max(wait + Duration::from_secs(2));
        prop_assert!(latest_write <= known_after + bounds.drain_grace, "{latest_write:?}");
        prop_assert!(wait <= MAX_WATCH);
    }

    #[test]
    fn a_small_fleet_calls_a_restored_service_within_the_maximum_staleness(
        settings in any_settings(),
    ) {
        let bounds = ListAgeBounds::new(&settings);
        let latest = bounds.longest_connect_timeout() + RESPONSE_TIME;
        prop_assert!(latest <= bounds.max_staleness, "{latest:?}");
        if bounds.is_shared && bounds.senders > 24.0 {
            return Ok(());
        }
        let latest = bounds.longest_outage_backoff().mul_f64(MAX_BACKOFF_JITTER) + RESPONSE_TIME;
        prop_assert!(latest <= bounds.max_staleness, "{latest:?}");
        let latest = latest_call_after_failure(&bounds) + RESPONSE_TIME;
        prop_assert!(latest <= bounds.max_staleness, "{latest:?}");
    }

    #[test]
    fn calls_stop_within_the_grace_period_even_if_the_process_pauses(settings in any_settings()) {
        let bounds = ListAgeBounds::new(&settings);
        let latest_write = bounds.usable_for() + MAX_PROCESS_PAUSE + EVENT_HANDLING;
        prop_assert!(latest_write <= bounds.max_staleness + bounds.drain_grace);
        let latest_write = bounds.usable_after_address_change() + MAX_PROCESS_PAUSE + EVENT_HANDLING;
        prop_assert!(latest_write <= MAX_STALENESS_AFTER_ADDRESS_CHANGE + bounds.drain_grace);
        let latest_write = bounds.usable_after_missed_change() + MAX_PROCESS_PAUSE + EVENT_HANDLING;
        prop_assert!(latest_write <= bounds.drain_grace);
    }

    #[test]
    fn all_senders_together_stay_within_the_rate_of_a_shared_service(settings in any_settings()) {
        let bounds = ListAgeBounds::new(&settings);
        if !settings.poll_discovery {
            return Ok(());
        }
        let senders = settings.sender_count as f64;
        let rate = |interval: Duration| senders / interval.as_secs_f64();
        // In a fleet whose watches would have to be longer than the maximum, the rate is higher.
        let watches = rate(bounds.watch_duration(&ServiceLoad::new()));
        prop_assert!(watches <= (SHARED_CALLS_PER_SECOND * 1.01).max(rate(MAX_WATCH)), "{watches}");
        // In a fleet that reaches the longest intervals, the rate is higher: its service has a larger
        // capacity.
        let per_sender = rate(MAX_SHARED_RETRY_INTERVAL);
        prop_assert!(rate(bounds.hedge_interval()) <= (SHARED_CALLS_PER_SECOND * 1.01).max(per_sender));
        for interval in [bounds.initial_rejection_backoff(), bounds.longest_backoff()] {
            prop_assert!(rate(interval) <= (SHARED_RETRIES_PER_SECOND * 1.01).max(per_sender));
        }
        let while_down = rate(bounds.longest_outage_backoff());
        let per_sender = rate(MAX_OUTAGE_INTERVAL);
        prop_assert!(while_down <= (SHARED_OUTAGE_CALLS_PER_SECOND * 1.01).max(per_sender), "{while_down}");
    }
}
