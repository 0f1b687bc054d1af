//! Properties of the bounds, over random settings and fleets of 1 to 900 senders.

use super::*;
use proptest::prelude::*;

/// The time that the service may take for a response to a call made in good time.
const RESPONSE_TIME: Duration = Duration::from_millis(1500);

/// The largest jitter factor of a backoff.
const MAX_BACKOFF_JITTER: f64 = 1.5;

/// The latest start of a call that follows a watch without a response, counted from the start of the watch.
fn latest_call_after_silence(bounds: &ListAgeBounds) -> Duration {
    latest_call_after_silence_under(bounds, &ServiceLoad::new())
}

fn latest_call_after_silence_under(bounds: &ListAgeBounds, load: &ServiceLoad) -> Duration {
    ListAgeBounds::overdue_after(bounds.watch_duration(load), load)
}

/// A service that responds after these times or, where there is none, fails.
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

/// The latest start of a call that follows a failed one, counted from the failure.
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

fn watching_settings() -> impl Strategy<Value = Settings> {
    any_settings().prop_filter("the sender watches", |settings| {
        ListAgeBounds::new(settings).mode() == FollowMode::Watch
    })
}

proptest! {
    #[test]
    fn a_change_after_silence_is_heard_before_it_must_be_known(
        settings in watching_settings(),
        load in any_load(),
    ) {
        let bounds = ListAgeBounds::new(&settings);
        let latest = latest_call_after_silence_under(&bounds, &load) + RESPONSE_TIME;
        prop_assert!(latest <= bounds.max_change_age(), "{latest:?}");
    }

    #[test]
    fn a_change_after_an_outage_is_heard_before_it_must_be_known(settings in watching_settings()) {
        let bounds = ListAgeBounds::new(&settings);
        // A rejection just before the service is back, the backoff, and the response.
        let latest = latest_call_after_failure(&bounds) + RESPONSE_TIME;
        prop_assert!(latest <= bounds.max_change_age(), "{latest:?}");
        // A connection attempt that began during the outage and hangs.
        let latest = bounds.longest_connect_timeout() + RESPONSE_TIME;
        prop_assert!(latest <= bounds.max_change_age(), "{latest:?}");
    }

    #[test]
    fn calls_stop_within_the_grace_even_if_the_process_is_held_up(settings in any_settings()) {
        let bounds = ListAgeBounds::new(&settings);
        let latest_write = bounds.usable_for() + MAX_PROCESS_PAUSE + EVENT_HANDLING;
        prop_assert!(latest_write <= bounds.max_change_age() + bounds.drain_grace);
        let latest_write = bounds.usable_after_address_change() + MAX_PROCESS_PAUSE + EVENT_HANDLING;
        prop_assert!(latest_write <= MAX_AGE_AFTER_ADDRESS_CHANGE + bounds.drain_grace);
        let latest_write = bounds.usable_after_lost_response() + MAX_PROCESS_PAUSE + EVENT_HANDLING;
        prop_assert!(latest_write <= bounds.drain_grace);
    }

    #[test]
    fn a_list_is_still_usable_when_the_next_one_is_due(settings in watching_settings()) {
        let bounds = ListAgeBounds::new(&settings);
        prop_assert!(bounds.usable_for() > latest_call_after_silence(&bounds));
    }

    #[test]
    fn all_senders_together_stay_within_the_rate_of_a_shared_service(settings in any_settings()) {
        let bounds = ListAgeBounds::new(&settings);
        if !settings.poll_discovery || bounds.mode() == FollowMode::Poll {
            return Ok(());
        }
        let senders = settings.sender_count as f64;
        // Watches are as short as a few senders can afford.
        let shortest = bounds.max_change_age().mul_f64(MIN_WATCH_FRACTION).as_secs_f64();
        let watches = senders / bounds.watch_duration(&ServiceLoad::new()).as_secs_f64();
        prop_assert!(watches <= (SHARED_CALLS_PER_SECOND * 1.01).max(senders / shortest), "{watches}");
        let overlapping = senders / bounds.overlap_interval().as_secs_f64();
        prop_assert!(overlapping <= SHARED_CALLS_PER_SECOND * 1.01, "{overlapping}");
        let retries = senders / bounds.initial_rejection_backoff().as_secs_f64();
        prop_assert!(retries <= SHARED_RETRIES_PER_SECOND * 1.01, "{retries}");
        let retries = senders / bounds.longest_backoff().as_secs_f64();
        prop_assert!(retries <= SHARED_RETRIES_PER_SECOND * 1.01, "{retries}");
    }

    #[test]
    fn the_largest_fleets_poll_a_shared_service(settings in any_settings(), sender_count in 41..=900_usize) {
        let settings = Settings { poll_discovery: true, sender_count, ..settings };
        prop_assert_eq!(ListAgeBounds::new(&settings).mode(), FollowMode::Poll);
    }
}
