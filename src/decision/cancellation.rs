//! Cancellation of calls that hold a call slot although no response can be expected any more.

use super::{Balancer, concurrency::SendOptions};
use crate::interface::{Action, Micros};
use crate::sender_state::Attempt;
use std::collections::BTreeSet;

/// When no call slot is free, overdue calls may keep the number of call slots divided by this.
const OVERDUE_SLOTS_DIVISOR: usize = 8;

/// A call in flight for longer than expected. The calls to cancel first are ordered first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OverdueCall {
    /// The call carries a message that must not be executed twice: cancellation loses the message.
    at_most_once: bool,
    sent_at: Micros,
    call: u64,
}

impl Balancer {
    /// Cancels calls whose response is lost: they are overdue, and the endpoint has delivered calls that were
    /// sent much later. For a destination without recent deliveries, one overdue call is cancelled so that a
    /// probe can be sent. Cancellation may lose messages, so only calls to the `blocked` destinations are
    /// cancelled, where messages wait for calls to end.
    pub(super) fn cancel_lost_calls(
        &mut self,
        now: Micros,
        blocked: &SendOptions,
        actions: &mut Vec<Action>,
    ) {
        let ready = blocked.iter().filter(|(_, option)| option.candidate.is_ok()).map(|(id, _)| *id);
        let mut awaiting_probe: BTreeSet<_> = ready.collect();
        awaiting_probe.retain(|id| !self.state.calls.is_cancelling(*id));
        let mut cancelled_for_probe = BTreeSet::new();
        self.state.calls.cancel_where(actions, |attempt| {
            let route = self.state.directory.route(attempt.route);
            let lost_age = route.latency.lost_age(&self.parameters)
                + self.parameters.cancellation_reserve(self.parameters.at_most_once(attempt.class));
            let endpoint = &self.state.directory.endpoints[&attempt.route.endpoint];
            attempt.lost = blocked.contains_key(&attempt.route.destination)
                && attempt.sent_at.saturating_add(lost_age) < endpoint.last_delivered_call_sent_at;
            let no_delivery_since = now - attempt.sent_at.max(route.last_delivery) > lost_age;
            if no_delivery_since && awaiting_probe.remove(&attempt.route.destination) {
                cancelled_for_probe.insert(attempt.call);
            }
            attempt.lost || cancelled_for_probe.contains(&attempt.call)
        });
    }

    /// If no call slot is free and messages are queued, cancels all but a few of the overdue calls.
    pub(super) fn free_overdue_slots(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let call_slots = self.parameters.settings.call_slots;
        if self.state.calls.slots_used() < call_slots || self.state.messages.queues().is_empty() {
            return;
        }
        let mut overdue = self.overdue_calls(now);
        let keep = (call_slots / OVERDUE_SLOTS_DIVISOR).max(1);
        overdue.truncate(overdue.len().saturating_sub(keep));
        let is_overdue = |attempt: &mut Attempt| overdue.iter().any(|overdue| overdue.call == attempt.call);
        self.state.calls.cancel_where(actions, is_overdue);
    }

    /// Returns the overdue calls, those to cancel first at the front.
    fn overdue_calls(&self, now: Micros) -> Vec<OverdueCall> {
        let mut overdue = Vec::new();
        for (call, attempts) in self.state.calls.active_by_call() {
            let at_most_once = attempts.iter().any(|attempt| self.parameters.at_most_once(attempt.class));
            let first = attempts[0];
            let latency = &self.state.directory.route(first.route).latency;
            let overdue_age = latency.overdue_age_with_scarce_slots(&self.parameters)
                + self.parameters.cancellation_reserve(at_most_once);
            if now - first.sent_at > overdue_age {
                overdue.push(OverdueCall { at_most_once, sent_at: first.sent_at, call });
            }
        }
        overdue.sort_unstable();
        overdue
    }
}
