//! How many messages of a class were delivered and how many were not.

use crate::estimators::DecayingCounter;
use crate::interface::Micros;

/// Decayed counts of the messages of a class.
#[derive(Clone, Default)]
pub(crate) struct ClassResults {
    /// Messages that were delivered.
    pub(crate) delivered: DecayingCounter,
    /// Messages that were delivered, failed or were rejected.
    pub(crate) ended: DecayingCounter,
}

impl ClassResults {
    /// Counts a message that was delivered. `time_constant` is in microseconds.
    pub(crate) fn record_delivery(&mut self, now: Micros, time_constant: f64) {
        self.delivered.add(now, time_constant);
        self.ended.add(now, time_constant);
    }

    /// Counts a message that failed or was rejected. `time_constant` is in microseconds.
    pub(crate) fn record_loss(&mut self, now: Micros, time_constant: f64) {
        self.ended.add(now, time_constant);
    }
}
