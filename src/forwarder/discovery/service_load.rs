//! An estimate of the load of the discovery service, from the calls of this sender.

use std::time::Duration;

/// The estimate of the response time falls by this factor with each faster response.
const RESPONSE_TIME_DECAY: f64 = 0.7;
/// The interval between calls grows by this factor with each failed or overdue call.
const INTERVAL_INCREASE: f64 = 1.5;
/// The interval shrinks by this factor with each list.
const INTERVAL_DECREASE: f64 = 0.9;
/// The largest factor of the interval.
const MAX_INTERVAL_FACTOR: f64 = 2.0;

/// The estimate of the load of the service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceLoad {
    response_time: Duration,
    interval_factor: f64,
}

impl ServiceLoad {
    /// The estimate before the first call.
    pub(super) fn new() -> Self {
        ServiceLoad { response_time: Duration::ZERO, interval_factor: 1.0 }
    }

    /// The expected response time of the service.
    pub(super) fn response_time(&self) -> Duration {
        self.response_time
    }

    /// The factor of the interval between calls.
    pub(super) fn interval_factor(&self) -> f64 {
        self.interval_factor
    }

    /// Records a list that arrived this long after the service could have sent it.
    pub(super) fn record_list(&mut self, response_time: Duration) {
        self.response_time = response_time.max(self.response_time.mul_f64(RESPONSE_TIME_DECAY));
        self.interval_factor = (self.interval_factor * INTERVAL_DECREASE).max(1.0);
    }

    /// Records a failed or overdue call.
    pub(super) fn record_failure(&mut self) {
        self.interval_factor = (self.interval_factor * INTERVAL_INCREASE).min(MAX_INTERVAL_FACTOR);
    }
}
