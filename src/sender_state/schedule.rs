//! Timers of messages.

use crate::interface::{MessageId, Micros};
use std::collections::BTreeSet;

/// Timers of messages, earliest first.
#[derive(Debug, Default)]
pub(crate) struct Schedule(BTreeSet<(Micros, MessageId)>);

impl Schedule {
    /// Sets a timer for a message.
    pub(crate) fn insert(&mut self, at: Micros, id: MessageId) {
        self.0.insert((at, id));
    }

    /// Removes the timer of a message for this time, if there is one.
    pub(crate) fn remove(&mut self, at: Micros, id: MessageId) {
        self.0.remove(&(at, id));
    }

    /// The time of the earliest timer.
    pub(crate) fn first_time(&self) -> Option<Micros> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes the earliest timer and returns its message, if the time has come.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<MessageId> {
        self.first_time().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, id)| id)
    }
}
