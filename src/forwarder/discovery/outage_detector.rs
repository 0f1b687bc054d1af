//! Determines from failed calls whether the discovery service is down, and what the list in use may lack.
//!
//! Two facts are separate: that the service is down now, so that it cannot send a further change, and that it
//! may have sent a change before that did not arrive. An outage proves the first one only. See
//! [`ListEvidence`] for what each failure shows about the second one.
//!
//! A failed call alone rarely proves an outage: its response may have been written and lost, the network may
//! be cut, and a service that is overloaded with the calls of others rejects calls although it can be reached.
//! But overload does not end a watch that has been open for a while. If such a watch ends with an error
//! status, the service has gone down, and is down for as long as all calls fail in the same way.

use super::request::PollError;
use crate::forwarder::discovery_client::CallError;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// The number of consecutive broken connections after which the service counts as unresponsive.
const MIN_BROKEN_CONNECTIONS: u32 = 3;

/// Calls that end within this time after each other ended together.
const MAX_JOINT_END: Duration = Duration::from_millis(100);
/// A call that fails later than this after its start has waited, for a connection or at the service.
const MAX_IMMEDIATE_FAILURE: Duration = Duration::from_millis(500);

/// How a call failed, as far as it indicates the state of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// The connection was refused at once: nothing listens at the address.
    Refused,
    /// No connection was established for another reason: the network may be cut, the service may be
    /// overloaded, or this process may lack resources. A refusal that comes late may end a cut.
    NotConnected,
    /// The service closed the connection in an orderly way before a response. It had written nothing, because
    /// TCP delivers in order.
    Closed,
    /// The connection was reset before a response arrived. A response may have been written and lost.
    Broken,
    /// An error status arrived at once.
    RejectedAtOnce,
    /// An error status arrived after the call had waited at the service.
    RejectedLate,
    /// Anything else: the service can be reached.
    Other,
}

impl FailureKind {
    /// The kind of the failure of a call this long after its start. `has_started` is true if bytes of a
    /// response had arrived.
    pub(super) fn of(error: &PollError, elapsed: Duration, has_started: bool) -> Self {
        let is_immediate = elapsed <= MAX_IMMEDIATE_FAILURE;
        match error {
            PollError::Call(CallError::Connect(error)) => match error.kind() {
                io::ErrorKind::ConnectionRefused if is_immediate => FailureKind::Refused,
                _ => FailureKind::NotConnected,
            },
            PollError::Call(CallError::Closed) if !has_started => FailureKind::Closed,
            PollError::Call(CallError::Interrupted) if !has_started => FailureKind::Broken,
            PollError::Call(CallError::Status(_)) if is_immediate => FailureKind::RejectedAtOnce,
            PollError::Call(CallError::Status(_)) => FailureKind::RejectedLate,
            PollError::Call(_) | PollError::InvalidList(_) => FailureKind::Other,
        }
    }

    /// Whether the service responded with an error status.
    pub(super) fn is_rejection(self) -> bool {
        matches!(self, FailureKind::RejectedAtOnce | FailureKind::RejectedLate)
    }

    /// Whether no connection was established.
    pub(super) fn has_no_connection(self) -> bool {
        matches!(self, FailureKind::Refused | FailureKind::NotConnected)
    }

    /// Whether the service ended the call and shows thereby that it has written no list.
    pub(super) fn ended_without_list(self) -> bool {
        self.is_rejection() || self == FailureKind::Closed
    }
}

/// A call that has failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedCall {
    pub(super) kind: FailureKind,
    /// Whether the call was a watch within its wait, and no call was overdue.
    pub(super) was_healthy_watch: bool,
    /// Whether the call was open for so long that the service must have accepted it.
    pub(super) was_established: bool,
    /// Whether another call is open that started after the list in use was requested. It may have missed a
    /// change.
    pub(super) is_other_unanswered: bool,
    pub(super) started_at: Instant,
    pub(super) failed_at: Instant,
}

impl FailedCall {
    /// Whether the call was a watch that the service ended so soon that it may not have accepted it.
    pub(super) fn ended_unestablished_watch(&self) -> bool {
        self.ended_watch() && !self.was_established
    }

    /// Whether the call was a watch that the service ended after it had accepted it.
    fn ended_established_watch(&self) -> bool {
        self.ended_watch() && self.was_established
    }

    fn ended_watch(&self) -> bool {
        self.was_healthy_watch && self.kind.ended_without_list()
    }
}

/// The state of the service, according to the failed calls since the last list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceState {
    /// The service can be reached, as far as is known.
    Reachable,
    /// This number of consecutive connections broke.
    Breaking { connections: u32 },
    /// Connections are not established, or break one after the other. The service may be up nevertheless.
    Unresponsive,
    /// The service is down, and calls fail in this way; `None` if no call was made since it went down.
    Down { failure: Option<FailureKind> },
}

impl ServiceState {
    /// Whether the service is down, or cannot be told from one that is.
    pub(super) fn is_outage(self) -> bool {
        matches!(self, ServiceState::Unresponsive | ServiceState::Down { .. })
    }
}

/// What a failed call shows about changes that the service has sent since the list in use was current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListEvidence {
    /// The call was an established watch, and the service, which is overloaded and not down, has ended it
    /// together with a call that it rejected. It has sent none while the watch was open.
    NothingSentByWatch,
    /// The call shows that the service has sent none while the call was open, or that it is down. The list
    /// does not age up to the end of this call, unless an earlier call leaves open what was sent.
    NothingSent,
    /// A response to the call may have been written and lost.
    ResponsePossiblyLost,
    /// The call leaves open what the service has sent.
    Unknown,
}

/// Determines the state of the service from the results of calls.
pub(super) struct OutageDetector {
    state: ServiceState,
    /// When the last broken connection was counted; `None` if a call has failed in another way since.
    broken_at: Option<Instant>,
    /// When a call was rejected at once last.
    rejected_at: Option<Instant>,
    /// When an established watch ended last with an error status.
    watch_ended_at: Option<Instant>,
}

impl OutageDetector {
    /// Creates a detector for a service that has not been called yet.
    pub(super) fn new() -> Self {
        OutageDetector {
            state: ServiceState::Reachable,
            broken_at: None,
            rejected_at: None,
            watch_ended_at: None,
        }
    }

    /// Records that a call returned a list.
    pub(super) fn record_list(&mut self) {
        self.state = ServiceState::Reachable;
    }

    /// The state according to the failed calls since the last list.
    pub(super) fn state(&self) -> ServiceState {
        self.state
    }

    /// Records a failed call, and returns what it shows about the list.
    pub(super) fn record_failure(&mut self, call: FailedCall) -> ListEvidence {
        let was_down = matches!(self.state, ServiceState::Down { .. });
        if self.ended_by_rejection(call) {
            self.state = ServiceState::Reachable;
            return match call.ended_established_watch() {
                true => ListEvidence::NothingSentByWatch,
                false => ListEvidence::Unknown,
            };
        }
        if !self.broke_with_earlier_call(call) {
            self.broken_at = (call.kind == FailureKind::Broken).then_some(call.failed_at);
            self.state = self.state_after(call);
        }
        let is_down = matches!(self.state, ServiceState::Down { .. });
        match call.kind {
            FailureKind::Broken => ListEvidence::ResponsePossiblyLost,
            _ if call.ended_established_watch() => ListEvidence::NothingSent,
            // Watches end when the service goes down. One that stays open was cut off before.
            _ if is_down && (was_down || !call.is_other_unanswered) => ListEvidence::NothingSent,
            _ => ListEvidence::Unknown,
        }
    }

    /// Whether an established watch ended together with a call that was rejected at once, of which this call is
    /// one. An overloaded service that rejects a call may end the other calls of the same sender.
    fn ended_by_rejection(&mut self, call: FailedCall) -> bool {
        let is_joint =
            |at: Option<Instant>| at.is_some_and(|at| call.failed_at.duration_since(at) <= MAX_JOINT_END);
        if call.ended_established_watch() && call.kind.is_rejection() {
            self.watch_ended_at = Some(call.failed_at);
            return is_joint(self.rejected_at);
        }
        if call.kind != FailureKind::RejectedAtOnce {
            return false;
        }
        self.rejected_at = Some(call.failed_at);
        let was_open = self.watch_ended_at.is_some_and(|ended_at| call.started_at <= ended_at);
        was_open && is_joint(self.watch_ended_at)
    }

    /// Whether the connection of this call broke together with the last one that was counted, because the
    /// call was open at that time. One restart of the service breaks all open connections and counts once. A
    /// call that started later counts again, also if each call breaks the connection of the one before.
    fn broke_with_earlier_call(&self, call: FailedCall) -> bool {
        let connections_break = matches!(self.state, ServiceState::Breaking { .. });
        let was_open = self.broken_at.is_some_and(|broken_at| call.started_at <= broken_at);
        call.kind == FailureKind::Broken && connections_break && was_open
    }

    fn state_after(&self, call: FailedCall) -> ServiceState {
        let failure = Some(call.kind);
        match (self.state, call.kind) {
            (_, FailureKind::Refused) => ServiceState::Down { failure },
            (_, FailureKind::NotConnected) => ServiceState::Unresponsive,
            (_, kind) if kind.is_rejection() && call.ended_established_watch() => {
                ServiceState::Down { failure: None }
            }
            (ServiceState::Down { failure: None }, kind) if kind.is_rejection() => {
                ServiceState::Down { failure }
            }
            (ServiceState::Down { failure: previous }, _) if previous == failure => self.state,
            (ServiceState::Breaking { connections }, FailureKind::Broken) => after_broken(connections + 1),
            (ServiceState::Unresponsive, FailureKind::Broken) => ServiceState::Unresponsive,
            (_, FailureKind::Broken) => ServiceState::Breaking { connections: 1 },
            _ => ServiceState::Reachable,
        }
    }
}

fn after_broken(connections: u32) -> ServiceState {
    match connections {
        MIN_BROKEN_CONNECTIONS.. => ServiceState::Unresponsive,
        _ => ServiceState::Breaking { connections },
    }
}

#[cfg(test)]
mod tests;
