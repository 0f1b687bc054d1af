//! Tells outages of the discovery service from calls that fail for other reasons.
//!
//! What a service that is down could not tell need not be known. A call that fails is no proof of that: its response may
//! have been written and lost.

use super::request::PollError;
use crate::forwarder::discovery_client::CallError;

/// Connections that break one after the other until the service is taken to be down. A response can be lost with one,
/// but hardly several in a row.
const MIN_BROKEN_CONNECTIONS: u32 = 3;

/// How a call failed, as far as it tells something about the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// No connection came up.
    Unreachable,
    /// The connection broke before a response arrived.
    Broken,
    /// An error status arrived at once.
    Rejected,
    /// Anything else: the service can be reached.
    Other,
}

impl FailureKind {
    /// `was_queued` tells whether the call may have waited for its turn: a service that is down fails calls at once.
    /// `has_started` tells whether bytes of a response had arrived.
    pub(super) fn of(error: &PollError, was_queued: bool, has_started: bool) -> Self {
        match error {
            PollError::Call(CallError::Connect(_)) => FailureKind::Unreachable,
            PollError::Call(CallError::Interrupted) if !has_started => FailureKind::Broken,
            PollError::Call(CallError::Status(_)) if !was_queued => FailureKind::Rejected,
            PollError::Call(_) | PollError::InvalidList(_) => FailureKind::Other,
        }
    }
}

/// What the failed calls since the last list tell about the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceState {
    /// It can be reached, as far as is known.
    Reachable,
    /// So many connections in a row broke. Each may have carried a response.
    Breaking { connections: u32 },
    /// It is down, and calls fail in this way.
    Down { failure: FailureKind },
}

/// Follows the state of the service.
pub(super) struct OutageDetector {
    state: ServiceState,
}

impl OutageDetector {
    /// A service that has not been called yet.
    pub(super) fn new() -> Self {
        OutageDetector { state: ServiceState::Reachable }
    }

    /// A call returned a list.
    pub(super) fn record_list(&mut self) {
        self.state = ServiceState::Reachable;
    }

    /// A call failed. Returns what that tells.
    pub(super) fn record_failure(&mut self, failure: FailureKind) -> ServiceState {
        self.state = match (self.state, failure) {
            (_, FailureKind::Unreachable | FailureKind::Rejected) => ServiceState::Down { failure },
            (ServiceState::Breaking { connections }, FailureKind::Broken) => after_broken(connections + 1),
            (ServiceState::Down { failure: FailureKind::Broken }, FailureKind::Broken) => self.state,
            // A service that was down in another way accepts connections again, and may have responded.
            (_, FailureKind::Broken) => ServiceState::Breaking { connections: 1 },
            (_, FailureKind::Other) => ServiceState::Reachable,
        };
        self.state
    }
}

fn after_broken(connections: u32) -> ServiceState {
    match connections {
        MIN_BROKEN_CONNECTIONS.. => ServiceState::Down { failure: FailureKind::Broken },
        _ => ServiceState::Breaking { connections },
    }
}

#[cfg(test)]
mod tests;
