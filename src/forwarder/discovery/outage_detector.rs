//! Tells outages of the discovery service from calls that fail for other reasons.
//!
//! What a service that is down could not tell need not be known. A call that fails is no proof of that: its response may
//! have been written and lost, and a service that other callers crowd rejects calls although it can be reached. A watch that
//! was open for a while is not rejected by a crowd. If it ends with an error status, the service has gone down, and stays so
//! for as long as all calls fail in the same way.

use super::request::PollError;
use crate::forwarder::discovery_client::CallError;
use std::time::Duration;

/// Connections that break one after the other until the service is taken to be down. A response can be lost with one,
/// but hardly several in a row.
const MIN_BROKEN_CONNECTIONS: u32 = 3;

/// A call that is rejected later than this had waited at the service.
const MAX_IMMEDIATE_REJECTION: Duration = Duration::from_millis(500);
/// A watch that was open for longer had been taken up by the service.
const MIN_ESTABLISHED_WATCH: Duration = Duration::from_millis(1500);

/// How a call failed, as far as it tells something about the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// No connection came up.
    Unreachable,
    /// The connection broke before a response arrived.
    Broken,
    /// An error status arrived at once.
    RejectedAtOnce,
    /// An error status arrived after the call had waited at the service.
    RejectedLate,
    /// Anything else: the service can be reached.
    Other,
}

impl FailureKind {
    /// The kind of a call that failed this long after its start. `has_started` tells whether bytes of a response had
    /// arrived.
    pub(super) fn of(error: &PollError, elapsed: Duration, has_started: bool) -> Self {
        match error {
            PollError::Call(CallError::Connect(_)) => FailureKind::Unreachable,
            PollError::Call(CallError::Interrupted) if !has_started => FailureKind::Broken,
            PollError::Call(CallError::Status(_)) if elapsed <= MAX_IMMEDIATE_REJECTION => {
                FailureKind::RejectedAtOnce
            }
            PollError::Call(CallError::Status(_)) => FailureKind::RejectedLate,
            PollError::Call(_) | PollError::InvalidList(_) => FailureKind::Other,
        }
    }

    /// Whether the service responded with an error status.
    pub(super) fn is_rejection(self) -> bool {
        matches!(self, FailureKind::RejectedAtOnce | FailureKind::RejectedLate)
    }
}

/// A call that has failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedCall {
    pub(super) kind: FailureKind,
    /// It was a watch, the only open call, and not overdue.
    pub(super) was_healthy_watch: bool,
    pub(super) elapsed: Duration,
}

impl FailedCall {
    /// Whether a watch was rejected so soon that the service may not have taken it up.
    pub(super) fn ended_unestablished_watch(&self) -> bool {
        self.was_healthy_watch && self.kind.is_rejection() && self.elapsed <= MIN_ESTABLISHED_WATCH
    }

    /// Whether a watch was rejected that the service had taken up.
    fn ended_established_watch(&self) -> bool {
        self.was_healthy_watch && self.kind.is_rejection() && self.elapsed > MIN_ESTABLISHED_WATCH
    }
}

/// What the failed calls since the last list tell about the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceState {
    /// It can be reached, as far as is known.
    Reachable,
    /// So many connections in a row broke. Each may have carried a response.
    Breaking { connections: u32 },
    /// It is down, and calls fail in this way; `None` if none was made since it went down.
    Down { failure: Option<FailureKind> },
}

/// Follows the state of the service.
pub(super) struct OutageDetector {
    state: ServiceState,
    is_check_due: bool,
}

impl OutageDetector {
    /// A service that has not been called yet.
    pub(super) fn new() -> Self {
        OutageDetector { state: ServiceState::Reachable, is_check_due: false }
    }

    /// A call returned a list.
    pub(super) fn record_list(&mut self) {
        self.state = ServiceState::Reachable;
        self.is_check_due = false;
    }

    /// What the failed calls since the last list tell.
    pub(super) fn state(&self) -> ServiceState {
        self.state
    }

    /// Whether the last call has to be checked by another one at once.
    ///
    /// While connections break, the first response of a service that has returned may be lost with its connection, which
    /// looks like one more break. A response is hardly lost with the checked call and with the next one.
    pub(super) fn is_check_due(&self) -> bool {
        self.is_check_due
    }

    /// A call failed. Returns what that tells.
    pub(super) fn record_failure(&mut self, call: FailedCall) -> ServiceState {
        let failure = Some(call.kind);
        let breaks_again = self.state == ServiceState::Down { failure: Some(FailureKind::Broken) }
            && call.kind == FailureKind::Broken;
        self.is_check_due = breaks_again && !self.is_check_due;
        self.state = match (self.state, call.kind) {
            (_, FailureKind::Unreachable) => ServiceState::Down { failure },
            _ if call.ended_established_watch() => ServiceState::Down { failure: None },
            (ServiceState::Down { failure: None }, kind) if kind.is_rejection() => {
                ServiceState::Down { failure }
            }
            (ServiceState::Down { failure: previous }, _) if previous == failure => self.state,
            (ServiceState::Breaking { connections }, FailureKind::Broken) => after_broken(connections + 1),
            // A service that was down in another way accepts connections again, and may have responded.
            (_, FailureKind::Broken) => ServiceState::Breaking { connections: 1 },
            (_, FailureKind::RejectedAtOnce | FailureKind::RejectedLate | FailureKind::Other) => {
                ServiceState::Reachable
            }
        };
        self.state
    }
}

fn after_broken(connections: u32) -> ServiceState {
    match connections {
        MIN_BROKEN_CONNECTIONS.. => ServiceState::Down { failure: Some(FailureKind::Broken) },
        _ => ServiceState::Breaking { connections },
    }
}

#[cfg(test)]
mod tests;
