//! Cancellation of calls that hold a slot although no response can be expected any more.

use super::{Balancer, concurrency::SendOptions};
use crate::interface::{Action, Micros};
use crate::sender_state::Attempt;
use std::collections::BTreeSet;

/// Where call slots are short, overdue calls may keep the call slots divided by this.
const OVERDUE_SLOTS_DIVISOR: usize = 8;

/// A call in flight for longer than is expected. Calls that are cancelled first come first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OverdueCall {
    /// It carries a message that is lost by the cancellation.
    at_most_once: bool,
    sent_at: Micros,
    call: u64,
}

impl Balancer {
    /// Cancels calls whose response is lost: they are overdue, and calls sent much later have been delivered.
    /// A destination without recent deliveries loses its oldest overdue call, so that a probe can be sent. As
    /// cancellation may lose messages, calls are cancelled only where messages wait for them to end.
    pub(super) fn cancel_lost_calls(&mut self, now: Micros, unsent: &SendOptions, actions: &mut Vec<Action>) {
        let ready = unsent.iter().filter(|(_, option)| option.candidate.is_ok()).map(|(id, _)| *id);
        let mut without_probe: BTreeSet<_> = ready.collect();
        without_probe.retain(|id| !self.state.calls.is_cancelling(*id));
        let mut cancelled_for_probe = BTreeSet::new();
        self.state.calls.cancel_where(actions, |attempt| {
            let route = self.state.directory.route(attempt.route);
            let lost_age = route.latency.lost_age(&self.parameters)
                + self.parameters.cancellation_reserve(self.parameters.at_most_once(attempt.class));
            let endpoint = &self.state.directory.endpoints[&attempt.route.endpoint];
            attempt.lost = unsent.contains_key(&attempt.route.destination)
                && attempt.sent_at.saturating_add(lost_age) < endpoint.last_delivered_call_sent_at;
            let no_delivery_since = now - attempt.sent_at.max(route.last_delivery) > lost_age;
            if no_delivery_since && without_probe.remove(&attempt.route.destination) {
                cancelled_for_probe.insert(attempt.call);
            }
            attempt.lost || cancelled_for_probe.contains(&attempt.call)
        });
    }

    /// With every slot taken and messages queued, cancels overdue calls but for a few.
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

    /// The overdue calls, those to be cancelled first at the front.
    fn overdue_calls(&self, now: Micros) -> Vec<OverdueCall> {
        let mut overdue = Vec::new();
        for (call, attempts) in self.state.calls.active_by_call() {
            let at_most_once = attempts.iter().any(|attempt| self.parameters.at_most_once(attempt.class));
            let first = attempts[0];
            let latency = &self.state.directory.route(first.route).latency;
            let overdue_age = latency.overdue_age_with_short_slots(&self.parameters)
                + self.parameters.cancellation_reserve(at_most_once);
            if now - first.sent_at > overdue_age {
                overdue.push(OverdueCall { at_most_once, sent_at: first.sent_at, call });
            }
        }
        overdue.sort_unstable();
        overdue
    }
}
