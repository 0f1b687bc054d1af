//! Exponential backoff between attempts to call the discovery service.

use crate::estimators::random_unit;
use std::time::Duration;

/// The delays between failed attempts: each is twice as long as the one before, up to a maximum.
pub(crate) struct Backoff {
    initial: Duration,
    maximum: Duration,
    next: Duration,
    jitter_seed: Option<u64>,
}

impl Backoff {
    /// Creates a backoff without jitter.
    pub(crate) fn new(initial: Duration, maximum: Duration) -> Self {
        Backoff { initial, maximum, next: initial, jitter_seed: None }
    }

    /// Creates a backoff whose delays are multiplied by a random factor between 0.5 and 1.5, so that callers
    /// that failed at the same time do not retry at the same time.
    pub(crate) fn with_jitter(initial: Duration, maximum: Duration, seed: u64) -> Self {
        // The random generator never leaves zero.
        Backoff { jitter_seed: Some(seed | 1), ..Backoff::new(initial, maximum) }
    }

    /// Returns the delay before the next attempt.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (self.next * 2).min(self.maximum);
        match &mut self.jitter_seed {
            Some(seed) => delay.mul_f64(0.5 + random_unit(seed)),
            None => delay,
        }
    }

    /// Starts again from the initial delay.
    pub(crate) fn reset(&mut self) {
        self.next = self.initial;
    }
}
