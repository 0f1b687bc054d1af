//! An estimate of the rate of recent events.

use super::{DecayingCounter, SECOND};
use crate::interface::Micros;

/// Estimates the rate of recent events from a decaying count, corrected for a short time of observation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateEstimator {
    since: Micros,
    events: DecayingCounter,
}

impl RateEstimator {
    /// Creates an estimator that has observed events from `since` on and has this decayed count at `now`.
    pub(crate) fn of(since: Micros, count: f64, now: Micros) -> RateEstimator {
        RateEstimator { since, events: DecayingCounter::of(count, now) }
    }

    /// Returns the time of observation in microseconds.
    pub(crate) fn age(&self, now: Micros) -> Micros {
        now - self.since
    }

    /// Decayed count of the events.
    pub(crate) fn count(&self, now: Micros, time_constant: f64) -> f64 {
        self.events.get(now, time_constant)
    }

    /// Counts one more event.
    pub(crate) fn add(&mut self, now: Micros, time_constant: f64) {
        self.events.add(now, time_constant);
    }

    /// Returns the events per second. The time of observation is taken as at least `min_age` (microseconds).
    pub(crate) fn per_second(&self, now: Micros, time_constant: f64, min_age: f64) -> f64 {
        let age = (self.age(now) as f64).max(min_age);
        self.count(now, time_constant) * SECOND / (time_constant * (1.0 - (-age / time_constant).exp()))
    }
}
