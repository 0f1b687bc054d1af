//! Messages that are sent one at a time, in the order of their submission.

use crate::interface::{MessageId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// The messages with one ordering key.
#[derive(Default)]
struct OrderingKey {
    queue: VecDeque<MessageId>,
    attempts_in_flight: usize,
    paused_until: Micros,
}

/// The messages with ordering keys, by key. A key is dropped once nothing more is to be remembered about it.
#[derive(Default)]
pub(crate) struct OrderingKeys(BTreeMap<String, OrderingKey>);

impl OrderingKeys {
    /// Adds a message behind the others with its key.
    pub(crate) fn push(&mut self, key: &str, id: MessageId) {
        self.0.entry(key.to_owned()).or_default().queue.push_back(id);
    }

    /// Removes a message.
    pub(crate) fn remove(&mut self, key: &str, id: MessageId) {
        self.0.entry(key.to_owned()).or_default().queue.retain(|queued| *queued != id);
    }

    /// Counts an attempt that is sent.
    pub(crate) fn start_attempt(&mut self, key: &str) {
        if let Some(ordering) = self.0.get_mut(key) {
            ordering.attempts_in_flight += 1;
        }
    }

    /// Counts the end of an attempt.
    pub(crate) fn end_attempt(&mut self, key: &str) {
        if let Some(ordering) = self.0.get_mut(key) {
            ordering.attempts_in_flight = ordering.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Pauses a key at least until a time.
    pub(crate) fn pause(&mut self, key: &str, until: Micros) {
        if let Some(ordering) = self.0.get_mut(key) {
            ordering.paused_until = ordering.paused_until.max(until);
        }
    }

    /// The first message of a key and the end of the pause, unless an attempt is in flight.
    pub(crate) fn next(&mut self, key: &str, now: Micros) -> Option<(MessageId, Micros)> {
        let ordering = self.0.get(key).filter(|ordering| ordering.attempts_in_flight == 0)?;
        let paused_until = ordering.paused_until;
        let first = ordering.queue.front().copied();
        if first.is_none() && now >= paused_until {
            self.0.remove(key);
        }
        first.map(|id| (id, paused_until))
    }
}
