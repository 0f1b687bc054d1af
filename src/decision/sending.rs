//! Sending of a call to an endpoint, and of the messages in it.

use super::{Balancer, endpoint_choice::Candidate};
use crate::interface::{Action, CallCapacity, MessageId, Micros};
use crate::sender_state::Attempt;

/// Timeout of messages that may be attempted again, as a multiple of the usual latency.
const TIMEOUT_LATENCIES: f64 = 10.0;
/// The least timeout of messages that may be attempted again, in latency objectives.
const MIN_TIMEOUT_OBJECTIVES: f64 = 2.0;

impl Balancer {
    /// Sends one call with the chosen message and, as far as there is room, others for the same destination.
    pub(super) fn send(&mut self, now: Micros, candidate: Candidate, actions: &mut Vec<Action>) {
        let Candidate { route: route_id, message, .. } = candidate;
        let call = self.state.calls.next_call();
        let batch = self.state.directory.destinations[&route_id.destination].kind.batch;
        let mut capacity = CallCapacity::new(batch);
        let mut next = Some(message);
        while let Some(id) =
            next.filter(|id| capacity.take(self.state.messages[*id].submission.batched_bytes))
        {
            self.start_attempt(now, id, Attempt::new(call, route_id, now), actions);
            next = self.best_message(route_id, now).map(|choice| choice.id);
        }
        self.state.directory.endpoint_mut(route_id.endpoint).record_call();
        // A message that waits has no room in this call.
        let is_full = capacity.is_full() || next.is_some();
        let route = self.state.directory.route_mut(route_id);
        route.record_call(call, now, is_full, &self.parameters);
    }

    fn start_attempt(&mut self, now: Micros, id: MessageId, attempt: Attempt, actions: &mut Vec<Action>) {
        let (route_id, parameters) = (attempt.route, &self.parameters);
        let latency = self.state.directory.route(route_id).latency.usual.get().max(parameters.min_latency);
        let min_timeout = MIN_TIMEOUT_OBJECTIVES * parameters.latency_objective;
        let retry_timeout = (TIMEOUT_LATENCIES * latency).max(min_timeout) as Micros;
        self.state.start_attempt(id, attempt);
        let message = &self.state.messages[id];
        let time_left = (message.submission.expires_at - now).max(1);
        // A message that must not be executed twice gets all of its remaining time.
        let at_most_once = self.parameters.at_most_once(message.submission.class);
        let timeout = if at_most_once { time_left } else { retry_timeout.min(time_left) };
        let send_before = self.sendable_until(message);
        actions.push(Action::Send { id, endpoint: route_id.endpoint, timeout, send_before });
    }
}
