//! Exponential backoff between attempts to call the discovery service.

use crate::estimators::random_unit;
use std::time::Duration;

/// A jittered delay is multiplied by a random factor from this number to this number plus one.
const MIN_JITTER: f64 = 0.5;

/// The delays between failed attempts: each is twice as long as the one before, up to a maximum.
pub(crate) struct Backoff {
    initial: Duration,
    maximum: Duration,
    /// The next delay, before jitter.
    next: Duration,
    /// The state of the random generator; `None` if delays have no jitter.
    jitter_state: Option<u64>,
}

impl Backoff {
    /// Creates a backoff without jitter.
    pub(crate) fn new(initial: Duration, maximum: Duration) -> Self {
        Backoff { initial, maximum, next: initial, jitter_state: None }
    }

    /// Creates a backoff whose delays are multiplied by a random factor between 0.5 and 1.5, so that callers
    /// that failed at the same time do not retry at the same time.
    pub(crate) fn with_jitter(initial: Duration, maximum: Duration, seed: u64) -> Self {
        // The random generator would return zero forever if its state were zero.
        Backoff { jitter_state: Some(seed | 1), ..Backoff::new(initial, maximum) }
    }

    /// Returns the delay before the next attempt.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (self.next * 2).min(self.maximum);
        match &mut self.jitter_state {
            Some(state) => delay.mul_f64(MIN_JITTER + random_unit(state)),
            None => delay,
        }
    }

    /// Starts again from the initial delay.
    pub(crate) fn reset(&mut self) {
        self.next = self.initial;
    }
}
