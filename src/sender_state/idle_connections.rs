//! The idle connections to one endpoint.

use crate::interface::Micros;
use std::collections::VecDeque;

/// The times at which the idle connections to one endpoint were last used, in ascending order.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections(VecDeque<Micros>);

impl IdleConnections {
    /// Whether there is no connection, not even one that has reached the timeout.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a connection has been idle for less than the timeout.
    pub(crate) fn has_usable(&self, now: Micros, idle_timeout: Micros) -> bool {
        self.0.back().is_some_and(|last_used| now - last_used < idle_timeout)
    }

    /// Adds a connection that has become idle, and drops those that have reached the timeout.
    pub(crate) fn add(&mut self, now: Micros, idle_timeout: Micros) {
        self.0.push_back(now);
        self.0.retain(|last_used| now - last_used < idle_timeout);
    }

    /// Removes the most recently used connection, which a call will use.
    pub(crate) fn take(&mut self) {
        self.0.pop_back();
    }

    /// Removes all connections.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
