//! Messages with ordering keys, in the order of their submission.

use crate::interface::{MessageId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// The messages with one ordering key.
#[derive(Default)]
struct OrderingKey {
    queue: VecDeque<MessageId>,
    attempts_in_flight: usize,
    paused_until: Micros,
}

/// The first of the messages with an ordering key.
pub(crate) struct NextInOrder {
    /// The id of the message.
    pub(crate) id: MessageId,
    /// Attempts in flight with this key, of this message or of others.
    pub(crate) attempts_in_flight: usize,
    /// End of the pause of the key.
    pub(crate) paused_until: Micros,
}

/// The messages with ordering keys, by key. A key is removed once it has no message, no attempt in flight and
/// no pause.
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

    /// Pauses a key until a time. A longer pause of the key stays in force.
    pub(crate) fn pause(&mut self, key: &str, until: Micros) {
        if let Some(ordering) = self.0.get_mut(key) {
            ordering.paused_until = ordering.paused_until.max(until);
        }
    }

    /// Returns the first message of a key. The key is removed if it has no message, no attempt in flight and
    /// no pause.
    pub(crate) fn next(&mut self, key: &str, now: Micros) -> Option<NextInOrder> {
        let &OrderingKey { ref queue, attempts_in_flight, paused_until } = self.0.get(key)?;
        let first = queue.front().copied();
        if first.is_none() && attempts_in_flight == 0 && now >= paused_until {
            self.0.remove(key);
        }
        first.map(|id| NextInOrder { id, attempts_in_flight, paused_until })
    }
}
