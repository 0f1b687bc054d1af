//! Messages in the order of the times that are set for them.

use crate::interface::{MessageId, Micros};
use std::collections::BTreeSet;

/// Messages in the order of the times that are set for them.
#[derive(Debug, Default)]
pub(crate) struct Schedule(BTreeSet<(Micros, MessageId)>);

impl Schedule {
    /// Sets a time for a message.
    pub(crate) fn insert(&mut self, at: Micros, id: MessageId) {
        self.0.insert((at, id));
    }

    /// Removes a time that is set for a message, if there is one.
    pub(crate) fn remove(&mut self, at: Micros, id: MessageId) {
        self.0.remove(&(at, id));
    }

    /// The earliest time.
    pub(crate) fn first_time(&self) -> Option<Micros> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes the message with the earliest time, if that time has come.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<MessageId> {
        self.first_time().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, id)| id)
    }
}
