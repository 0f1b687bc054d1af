//! Starts the calls that the decision module has requested.

use super::Runtime;
use super::call_in_flight::command_capacity;
use super::calls::{StartedAttempt, StartedCall};
use super::endpoints::{Endpoint, Endpoints};
use super::idle_connections::ReusedConnection;
use crate::forwarder::endpoint_client::{self, CallItem, OutboundCall, WriteGuard, batched_bytes};
use crate::forwarder::messages::attempt::AttemptRef;
use crate::interface::{
    AttemptEnded, CallCapacity, EndpointId, Event, Idempotency, MessageId, Micros, Outcome,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::channel;
use tokio::time::Instant;

/// Lower bound of the time to establish a connection, in microseconds.
const MIN_CONNECT_TIMEOUT_MICROS: Micros = 1000;

/// An attempt that was decided in this turn.
pub(super) struct PlannedAttempt {
    id: MessageId,
    attempt: usize,
    endpoint: EndpointId,
    /// The length of the message in a batch.
    batched_bytes: usize,
    times_out_at: Micros,
    /// The call must not be written at or after this time.
    send_before: Micros,
}

/// Attempts that are sent in one call.
struct PlannedCall {
    endpoint: EndpointId,
    capacity: CallCapacity,
    attempts: Vec<PlannedAttempt>,
}

impl Runtime {
    /// Assigns a number to an attempt. Returns `None` if its message is no longer open. With a `timeout` of 0
    /// the attempt times out when the message expires.
    pub(super) fn plan_attempt(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Micros,
        send_before: Micros,
    ) -> Option<PlannedAttempt> {
        let message = self.messages.get_mut(id)?;
        let attempt = message.assign_attempt_number();
        let expires_at = message.expires_at;
        let times_out_at =
            if timeout == 0 { expires_at } else { now.saturating_add(timeout).min(expires_at) };
        let batched_bytes = batched_bytes(&message.content);
        Some(PlannedAttempt { id, attempt, endpoint, batched_bytes, times_out_at, send_before })
    }

    /// Starts the calls for the attempts of a turn.
    pub(super) fn start_calls(&mut self, now: Micros, attempts: Vec<PlannedAttempt>) {
        for call in group_into_calls(attempts, &self.endpoints) {
            self.start_call(now, call);
        }
    }

    fn start_call(&mut self, now: Micros, call: PlannedCall) {
        let endpoint = call.endpoint;
        let items = self.call_items(call);
        let Some(known) = self.endpoints.get(endpoint).filter(|_| !items.is_empty()) else { return };
        let address = known.record.address;
        let guard = Arc::new(self.write_guard(known, &items));
        let proven_only = items.iter().any(|item| self.is_not_idempotent(item.id));
        let reused = self.idle_connections.take(now, endpoint, proven_only);
        // The runtime keeps the sender with the call, and the call's task gets the receiver.
        let (command_sender, commands) = channel(command_capacity(items.len()));
        self.calls.add_call(
            now,
            StartedCall {
                endpoint,
                idle_for: reused.as_ref().map_or(0, |reused| reused.idle_for),
                attempts: items.iter().map(started_attempt).collect(),
                commands: command_sender,
                guard: guard.clone(),
            },
        );
        // The task ends by itself after it has reported the end of each attempt.
        tokio::spawn(endpoint_client::perform(OutboundCall {
            endpoint,
            address,
            items,
            rest: reused.as_ref().map_or(Duration::ZERO, ReusedConnection::remaining_rest),
            reused: reused.map(|ReusedConnection { connection, .. }| connection),
            connect_timeout: self.connect_timeout(),
            commands,
            guard,
            events: self.events.clone(),
        }));
    }

    /// The messages of a call. An attempt whose message or endpoint was removed is reported as not sent
    /// instead.
    fn call_items(&mut self, call: PlannedCall) -> Vec<CallItem> {
        let is_known = self.endpoints.contains(call.endpoint);
        let mut items = Vec::with_capacity(call.attempts.len());
        for attempt in call.attempts {
            let Some(message) = self.messages.get(attempt.id).filter(|_| is_known) else {
                self.report_not_sent(&attempt);
                continue;
            };
            items.push(CallItem {
                id: attempt.id,
                attempt: attempt.attempt,
                message: message.content.id.clone(),
                idempotency_key: message.content.idempotency_key.clone(),
                body: message.content.body.clone(),
                times_out_at: self.clock.instant(attempt.times_out_at),
                expires_at: self.clock.instant(message.expires_at),
                send_before: self.clock.instant(attempt.send_before),
            });
        }
        items
    }

    /// The guard with which the call records its attempts in the journal right before it is written.
    fn write_guard(&self, endpoint: &Endpoint, items: &[CallItem]) -> WriteGuard {
        let attempts = items.iter().map(attempt_ref).collect();
        let send_before = items.iter().map(|item| item.send_before).min().unwrap_or_else(Instant::now);
        let zone = endpoint.zone.clone();
        WriteGuard::new(self.journal.clone(), self.unix_clock, attempts, send_before, zone)
    }

    /// Whether the message must never be executed twice. A message of an unknown class is assumed not to be
    /// idempotent.
    fn is_not_idempotent(&self, id: MessageId) -> bool {
        let Some(message) = self.messages.get(id) else { return false };
        self.names
            .classes
            .index_of(&message.content.class)
            .is_none_or(|class| self.settings.classes[class].idempotency == Idempotency::NotIdempotent)
    }

    fn connect_timeout(&self) -> Duration {
        Duration::from_micros(self.settings.connect_timeout.max(MIN_CONNECT_TIMEOUT_MICROS) as u64)
    }

    /// Reports an attempt as not sent, at the start of the next turn.
    pub(super) fn report_not_sent(&mut self, planned: &PlannedAttempt) {
        self.decisions.defer(Event::AttemptEnded(AttemptEnded {
            id: planned.id,
            attempt: planned.attempt,
            outcome: Outcome::NotSent,
            elapsed: 0,
            finished: !self.messages.contains(planned.id),
            report: None,
            retry_after: None,
            unsent: true,
        }));
    }
}

/// Groups the attempts to one endpoint into calls as the decision module did: each attempt joins the last call to its
/// endpoint if there is room for its message.
fn group_into_calls(attempts: Vec<PlannedAttempt>, endpoints: &Endpoints) -> Vec<PlannedCall> {
    let mut calls: Vec<PlannedCall> = Vec::new();
    for attempt in attempts {
        let PlannedAttempt { endpoint, batched_bytes, .. } = attempt;
        let mut last_call = calls.iter_mut().rfind(|call| call.endpoint == endpoint);
        if let Some(call) = last_call.take_if(|call| call.capacity.take(batched_bytes)) {
            call.attempts.push(attempt);
        } else {
            let mut capacity = CallCapacity::new(endpoints.max_batch(endpoint));
            capacity.take(batched_bytes);
            calls.push(PlannedCall { endpoint, capacity, attempts: vec![attempt] });
        }
    }
    calls
}

fn started_attempt(item: &CallItem) -> StartedAttempt {
    StartedAttempt { key: item.key(), message: item.message.clone() }
}

fn attempt_ref(item: &CallItem) -> AttemptRef {
    AttemptRef { message: item.message.clone(), attempt: item.attempt }
}
