//! The rate at which a sender polls a discovery service that it shares with many others.
//!
//! The rate is found by additive increase and multiplicative decrease. The service handles calls in turn,
//! also those whose callers have stopped waiting: if it receives more calls than it can handle, it responds
//! to none in time.

use super::request::PollError;
use crate::estimators::random_unit;
use crate::interface::Settings;
use std::time::Duration;

/// A larger fleet than this polls; the senders of a smaller one watch.
const MAX_WATCHING_SENDERS: usize = 4;

/// Polls per [`Settings::max_list_age`] when the process starts.
const INITIAL_RATE: f64 = 1.0;
/// The rate does not fall below this.
const MIN_RATE: f64 = 0.25;
/// The rate does not rise above this.
pub(super) const MAX_RATE: f64 = 5.0;
/// Added to the rate after each list received.
const RATE_INCREASE: f64 = 0.1;
/// Multiplies the rate after each failed call.
const RATE_DECREASE_FACTOR: f64 = 0.5;

/// Longest delay after a list was received, as a fraction of [`Settings::max_list_age`].
const MAX_DELAY_AFTER_LIST: f64 = 0.75;
/// Longest delay after an error status, as a multiple of [`Settings::max_list_age`].
const MAX_DELAY_AFTER_REJECTION: f64 = 3.0;
/// Longest delay after a call without a response, as a fraction of [`Settings::max_list_age`]. It is short:
/// the sender is held to know what the response would have brought.
const MAX_DELAY_AFTER_NO_RESPONSE: f64 = 0.2;
/// The first polls of a fleet that starts all at once are spread over this fraction of
/// [`Settings::max_list_age`].
const FIRST_POLL_SPREAD: f64 = 0.5;
/// Timeout of a call, as a fraction of [`Settings::max_list_age`]: it has to wait for calls of other senders.
const RESPONSE_TIMEOUT_FRACTION: f64 = 0.25;

/// Chooses the delays between polls.
pub(super) struct PollPacer {
    max_list_age: Duration,
    /// Polls per `max_list_age`.
    rate: f64,
    jitter_seed: u64,
}

impl PollPacer {
    /// Returns `None` if this sender should watch instead: few senders share the service, or updates are
    /// pushed to each of them.
    pub(super) fn for_shared_service(settings: &Settings, seed: u64) -> Option<Self> {
        let max_list_age = Duration::from_micros(settings.max_list_age.max(0) as u64);
        let is_shared = settings.poll_discovery && settings.sender_count > MAX_WATCHING_SENDERS;
        (is_shared && !max_list_age.is_zero()).then_some(PollPacer {
            max_list_age,
            rate: INITIAL_RATE,
            // The random generator never leaves zero.
            jitter_seed: seed | 1,
        })
    }

    /// Returns the timeout of a call.
    pub(super) fn response_timeout(&self) -> Duration {
        self.max_list_age.mul_f64(RESPONSE_TIMEOUT_FRACTION)
    }

    /// Returns the delay between the start of the process and its first poll, if it starts with a known list.
    pub(super) fn first_delay(&mut self) -> Duration {
        self.max_list_age.mul_f64(FIRST_POLL_SPREAD * random_unit(&mut self.jitter_seed))
    }

    /// Raises the rate after a list was received, and returns the delay before the next poll.
    pub(super) fn delay_after_list(&mut self) -> Duration {
        self.rate = (self.rate + RATE_INCREASE).min(MAX_RATE);
        self.delay(MAX_DELAY_AFTER_LIST)
    }

    /// Lowers the rate after a failed call, and returns the delay before the next poll.
    pub(super) fn delay_after_failure(&mut self, error: &PollError) -> Duration {
        self.rate = (self.rate * RATE_DECREASE_FACTOR).max(MIN_RATE);
        self.delay(if error.is_rejection() { MAX_DELAY_AFTER_REJECTION } else { MAX_DELAY_AFTER_NO_RESPONSE })
    }

    #[cfg(test)]
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the delay that the rate asks for, within `max_fraction` of the list age. Both are jittered:
    /// otherwise the polls of many senders would stay in step.
    fn delay(&mut self, max_fraction: f64) -> Duration {
        let max_fraction = max_fraction * (0.8 + 0.2 * random_unit(&mut self.jitter_seed));
        let fraction = (0.5 + random_unit(&mut self.jitter_seed)) / self.rate;
        self.max_list_age.mul_f64(fraction.min(max_fraction))
    }
}
