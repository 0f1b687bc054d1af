//! A counter whose value decays exponentially.

use crate::interface::Micros;

/// A count of events that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCounter {
    count: f64,
    updated_at: Micros,
}

impl DecayingCounter {
    /// Creates a counter with this value at `now`.
    pub(crate) fn of(count: f64, now: Micros) -> DecayingCounter {
        DecayingCounter { count, updated_at: now }
    }

    /// Returns the count at `now`. It falls by a factor of e in each `time_constant` (microseconds).
    pub(crate) fn get(&self, now: Micros, time_constant: f64) -> f64 {
        self.count * (-((now - self.updated_at) as f64) / time_constant).exp()
    }

    /// Counts one more event.
    pub(crate) fn add(&mut self, now: Micros, time_constant: f64) {
        *self = DecayingCounter::of(self.get(now, time_constant) + 1.0, now);
    }
}
