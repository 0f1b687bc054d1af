//! A cache of the outcomes of messages that ended recently.

use super::records::{FinalOutcome, RememberedOutcome};
use std::collections::HashMap;

/// Upper bound of the number of remembered outcomes.
const MAX_OUTCOMES: usize = 4096;
/// When the cache is full, the outcomes that expire first are dropped: their number divided by this.
const DROPPED_DIVISOR: usize = 8;
/// Interval at which expired outcomes are dropped.
const SWEEP_INTERVAL_MS: u64 = 1000;

/// Remembers the outcome of each message until it expires. Expired outcomes are dropped at intervals, so that
/// neither the memory nor the compacted file grows with the number of all messages ever sent.
pub(super) struct OutcomeCache {
    by_message: HashMap<String, RememberedOutcome>,
    last_sweep_unix_ms: u64,
}

impl OutcomeCache {
    /// An empty cache; the first interval starts now.
    pub(super) fn new(now_unix_ms: u64) -> Self {
        OutcomeCache { by_message: HashMap::new(), last_sweep_unix_ms: now_unix_ms }
    }

    /// The number of remembered outcomes, including expired ones that have not been dropped yet.
    pub(super) fn len(&self) -> usize {
        self.by_message.len()
    }

    /// The outcome of this message, if it is remembered.
    pub(super) fn get(&self, message: &str) -> Option<RememberedOutcome> {
        self.by_message.get(message).copied()
    }

    /// Remembers an outcome, unless it has expired. If the cache is full, the outcomes that expire first make
    /// room: the latest ones are the most likely to be asked for.
    pub(super) fn insert(
        &mut self,
        message: &str,
        outcome: FinalOutcome,
        until_unix_ms: u64,
        now_unix_ms: u64,
    ) {
        let is_sweep_due = now_unix_ms >= self.last_sweep_unix_ms + SWEEP_INTERVAL_MS;
        if is_sweep_due || self.len() >= MAX_OUTCOMES {
            self.drop_expired(now_unix_ms);
            self.last_sweep_unix_ms = now_unix_ms;
        }
        if until_unix_ms > now_unix_ms {
            if self.len() >= MAX_OUTCOMES && !self.by_message.contains_key(message) {
                self.drop_first_to_expire();
            }
            self.by_message.insert(message.to_owned(), RememberedOutcome { outcome, until_unix_ms });
        }
    }

    /// Drops the expired outcomes.
    pub(super) fn drop_expired(&mut self, now_unix_ms: u64) {
        self.by_message.retain(|_, remembered| remembered.until_unix_ms > now_unix_ms);
    }

    fn drop_first_to_expire(&mut self) {
        let mut times: Vec<u64> =
            self.by_message.values().map(|remembered| remembered.until_unix_ms).collect();
        let last_dropped = times.len() / DROPPED_DIVISOR;
        let (_, limit, _) = times.select_nth_unstable(last_dropped);
        let limit = *limit;
        self.by_message.retain(|_, remembered| remembered.until_unix_ms > limit);
    }

    /// All remembered outcomes with their messages, in no particular order.
    #[cfg(test)]
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, RememberedOutcome)> {
        self.by_message.iter().map(|(message, remembered)| (message.as_str(), *remembered))
    }
}

#[cfg(test)]
mod tests;
