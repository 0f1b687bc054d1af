//! The calls in flight and their attempts.

use super::call_in_flight::{AttemptCommand, CallInFlight, CallProcess};
use crate::forwarder::endpoint_client::{CallCommand, WriteGuard};
use crate::forwarder::messages::attempt::{AttemptKey, AttemptRef};
use crate::forwarder::upgrade::PeerChannel;
use crate::interface::{EndpointId, InheritedCall, Micros};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc::Sender;

/// Identifies a call; later calls have higher numbers.
pub(super) type CallId = u64;

/// An attempt in flight.
struct AttemptInFlight {
    sent_at: Micros,
    /// The call that contains the attempt.
    call: CallId,
    /// The client's id of the message, which may be complete already.
    message: String,
}

impl AttemptInFlight {
    /// Identifies this attempt to another process; `attempt` is the number of the attempt.
    fn reference(&self, attempt: usize) -> AttemptRef {
        AttemptRef { message: self.message.clone(), attempt }
    }
}

/// An attempt that this process starts.
pub(super) struct StartedAttempt {
    pub(super) key: AttemptKey,
    /// The client's id of the message.
    pub(super) message: String,
}

/// A call that this process starts.
pub(super) struct StartedCall {
    pub(super) endpoint: EndpointId,
    /// How long the connection was idle before the call; 0 for a new connection.
    pub(super) idle_for: Micros,
    pub(super) attempts: Vec<StartedAttempt>,
    /// The call's task holds the receiver. The channel's capacity is
    /// [`super::call_in_flight::command_capacity`].
    pub(super) commands: Sender<CallCommand>,
    /// Shared with the call's task.
    pub(super) guard: Arc<WriteGuard>,
}

/// An attempt that has just ended.
pub(super) struct RemovedAttempt {
    pub(super) sent_at: Micros,
    /// The client's id of the message.
    pub(super) message: String,
    /// Whether this was the last attempt of its call.
    pub(super) call_ended: bool,
}

/// An attempt whose call may have been written, for the handover.
pub(super) struct WrittenAttempt {
    pub(super) call: CallId,
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Micros,
    pub(super) attempt: AttemptRef,
}

/// Owns the attempts and calls in flight.
#[derive(Default)]
pub(super) struct CallsInFlight {
    attempts: HashMap<AttemptKey, AttemptInFlight>,
    calls: HashMap<CallId, CallInFlight>,
    next_call: CallId,
}

impl CallsInFlight {
    /// The number of calls in flight.
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether any attempt is in flight.
    pub(super) fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// The attempts in flight.
    pub(super) fn attempt_keys(&self) -> Vec<AttemptKey> {
        self.attempts.keys().copied().collect()
    }

    /// Whether a call to this endpoint is in flight.
    pub(super) fn is_called(&self, endpoint: EndpointId) -> bool {
        self.calls.values().any(|call| call.endpoint == endpoint)
    }

    /// Adds a call that this process starts now.
    pub(super) fn add_call(&mut self, now: Micros, started: StartedCall) {
        let StartedCall { endpoint, idle_for, attempts, commands, guard } = started;
        let call = self.insert_call(CallInFlight {
            endpoint,
            attempts_left: attempts.len(),
            idle_for,
            write_withheld: false,
            process: CallProcess::This { commands, guard },
        });
        for StartedAttempt { key, message } in attempts {
            self.attempts.insert(key, AttemptInFlight { sent_at: now, call, message });
        }
    }

    /// Adds a call that the predecessor makes. Its attempts are added with
    /// [`CallsInFlight::add_inherited_attempt`] once their messages have numbers.
    pub(super) fn add_inherited_call(&mut self, endpoint: EndpointId, attempts: usize) -> CallId {
        self.insert_call(CallInFlight {
            endpoint,
            attempts_left: attempts,
            idle_for: 0,
            write_withheld: true,
            process: CallProcess::Predecessor,
        })
    }

    /// Adds an attempt of a call that the predecessor makes.
    pub(super) fn add_inherited_attempt(&mut self, key: AttemptKey, call: InheritedCall, message: String) {
        let attempt = AttemptInFlight { sent_at: call.sent_at, call: call.call, message };
        self.attempts.insert(key, attempt);
    }

    fn insert_call(&mut self, call: CallInFlight) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, call);
        id
    }

    /// Removes an attempt that has ended, and its call if this was the last attempt.
    pub(super) fn end_attempt(&mut self, key: AttemptKey) -> Option<RemovedAttempt> {
        let AttemptInFlight { sent_at, call, message } = self.attempts.remove(&key)?;
        let call_ended = self.end_attempt_of_call(call);
        Some(RemovedAttempt { sent_at, message, call_ended })
    }

    /// Counts an attempt of the call as ended. Returns whether the call has ended.
    fn end_attempt_of_call(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return true };
        call.attempts_left -= 1;
        let ended = call.attempts_left == 0;
        if ended {
            self.calls.remove(&id);
        }
        ended
    }

    /// The attempt in flight with this number, of the message with this client id.
    pub(super) fn find(&self, message: &str, attempt: usize) -> Option<AttemptKey> {
        let is_match = |key: &AttemptKey, in_flight: &AttemptInFlight| {
            key.attempt == attempt && in_flight.message == message
        };
        let mut attempts = self.attempts.iter();
        attempts.find(|(key, in_flight)| is_match(key, in_flight)).map(|(key, _)| *key)
    }

    /// Like [`CallsInFlight::find`], but only among the calls of the predecessor. This process may have made
    /// an attempt with the same number, if it sent a message again whose first call the predecessor withheld.
    pub(super) fn find_inherited(&self, message: &str, attempt: usize) -> Option<AttemptKey> {
        let is_match = |key: &AttemptKey, in_flight: &AttemptInFlight| {
            key.attempt == attempt && in_flight.message == message && self.is_inherited(in_flight)
        };
        let mut attempts = self.attempts.iter();
        attempts.find(|(key, in_flight)| is_match(key, in_flight)).map(|(key, _)| *key)
    }

    /// Whether the predecessor makes the call of this attempt.
    fn is_inherited(&self, in_flight: &AttemptInFlight) -> bool {
        let call = self.calls.get(&in_flight.call);
        call.is_some_and(|call| matches!(call.process, CallProcess::Predecessor))
    }

    /// The endpoint that an attempt was sent to.
    pub(super) fn endpoint_of(&self, key: AttemptKey) -> Option<EndpointId> {
        self.call_of(key).map(|call| call.endpoint)
    }

    /// How long the connection of an attempt's call was idle before the call.
    pub(super) fn idle_time_of(&self, key: AttemptKey) -> Option<Micros> {
        self.call_of(key).map(|call| call.idle_for)
    }

    fn call_of(&self, key: AttemptKey) -> Option<&CallInFlight> {
        self.calls.get(&self.attempts.get(&key)?.call)
    }

    /// Sends a command to the call of an attempt in flight, via the predecessor if the predecessor makes the
    /// call.
    pub(super) fn command(
        &self,
        key: AttemptKey,
        command: AttemptCommand,
        predecessor: Option<&PeerChannel>,
    ) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let Some(call) = self.calls.get(&attempt.call) else { return };
        match (&call.process, predecessor) {
            (CallProcess::Predecessor, Some(predecessor)) => {
                predecessor.send(command.to_frame(attempt.reference(key.attempt)));
            }
            _ => call.command(command.to_call(key)),
        }
    }

    /// Forbids all calls in flight to write anything from now on.
    pub(super) fn withhold_all_writes(&mut self) {
        self.calls.values_mut().for_each(CallInFlight::withhold_write);
    }

    /// Forbids the calls to these endpoints to write anything from now on.
    pub(super) fn withhold_writes(&mut self, endpoints: impl Fn(EndpointId) -> bool) {
        self.calls
            .values_mut()
            .filter(|call| endpoints(call.endpoint))
            .for_each(CallInFlight::withhold_write);
    }

    /// The attempts whose calls may have been written.
    pub(super) fn written_attempts(&self) -> impl Iterator<Item = WrittenAttempt> {
        self.attempts.iter().filter_map(|(key, in_flight)| {
            let call = self.calls.get(&in_flight.call).filter(|call| call.may_be_written())?;
            Some(WrittenAttempt {
                call: in_flight.call,
                endpoint: call.endpoint,
                sent_at: in_flight.sent_at,
                attempt: in_flight.reference(key.attempt),
            })
        })
    }

    /// The attempts that the predecessor has in flight.
    pub(super) fn attempts_of_predecessor(&self) -> impl Iterator<Item = AttemptRef> {
        let inherited = self.attempts.iter().filter(|(_, in_flight)| self.is_inherited(in_flight));
        inherited.map(|(key, in_flight)| in_flight.reference(key.attempt))
    }
}

#[cfg(test)]
mod tests;
