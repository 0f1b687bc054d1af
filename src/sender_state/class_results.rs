//! Results of the messages of a class: delivered or not.

use crate::estimators::DecayingCounter;
use crate::interface::Micros;

/// Decayed counts of the messages of a class.
#[derive(Clone, Default)]
pub(crate) struct ClassResults {
    /// Messages that were delivered.
    pub(crate) delivered: DecayingCounter,
    /// Messages that ended in any way.
    pub(crate) ended: DecayingCounter,
}

impl ClassResults {
    /// Counts a message that was delivered. `time_constant` is in microseconds.
    pub(crate) fn record_delivery(&mut self, now: Micros, time_constant: f64) {
        self.delivered.add(now, time_constant);
        self.ended.add(now, time_constant);
    }

    /// Counts a message that was given up or rejected. `time_constant` is in microseconds.
    pub(crate) fn record_loss(&mut self, now: Micros, time_constant: f64) {
        self.ended.add(now, time_constant);
    }
}
