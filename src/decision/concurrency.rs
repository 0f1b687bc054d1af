//! Concurrency limits, and the selection of calls at the end of a turn.

use super::{Balancer, endpoint_choice::Candidate};
use crate::interface::{Action, DestinationId, Micros};
use std::collections::BTreeMap;

/// Cap on the calls in flight to a healthy destination, in quarters of the call slots.
const HEALTHY_CAP_QUARTERS: usize = 3;
/// Cap on the calls in flight to a degraded destination, and to all of these together, in quarters of the
/// call slots.
const DEGRADED_CAP_QUARTERS: usize = 2;
/// A route with at least this many overdue calls is considered hanging.
const HANGING_CALLS: usize = 2;

/// The best call that could be sent to a destination in this turn.
pub(super) struct SendOption {
    degraded: bool,
    /// The best call, or the time at which to check again if no call can be sent now.
    pub candidate: Result<Candidate, Micros>,
}

/// The send option of each destination with queued messages.
pub(super) type SendOptions = BTreeMap<DestinationId, SendOption>;

/// The selection of calls in one turn.
struct Selection {
    options: SendOptions,
    /// Calls in flight to degraded destinations.
    degraded_calls: usize,
    /// The earliest time at which a destination that is not ready should be checked again.
    recheck_at: Micros,
}

impl Selection {
    /// A selection without any option to send.
    fn empty() -> Self {
        Selection { options: SendOptions::new(), degraded_calls: 0, recheck_at: Micros::MAX }
    }
}

impl Balancer {
    /// Ends a turn: runs due timers, sends calls, and then cancels calls that hold slots others wait for.
    pub(super) fn end_turn(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.run_timers(now, actions);
        self.detect_hangs(now);
        let selection =
            if self.state.list_stale { Selection::empty() } else { self.send_calls(now, actions) };
        let wake = self.state.next_wake(now, selection.recheck_at);
        // While the list is stale, no call may be sent, so no message waits for a call to end.
        if self.parameters.settings.cancellation && !self.state.list_stale {
            self.cancel_lost_calls(now, &self.blocked_by_calls(selection), actions);
            self.free_overdue_slots(now, actions);
        }
        self.close_idle_connections(now, actions);
        self.state.directory.forget_removed(now, self.parameters.warm_up as Micros);
        actions.extend(wake.map(|at| Action::Wake { at }));
    }

    /// Opens the breakers of hanging routes. A hanging destination sends no responses, so it is detected by
    /// the age of its calls in flight.
    fn detect_hangs(&mut self, now: Micros) {
        for destination in self.state.messages.queues().destinations() {
            for route_id in self.state.directory.route_ids(destination) {
                let route = self.state.directory.route_mut(route_id);
                if route.overdue_calls(now, &self.parameters) >= HANGING_CALLS {
                    route.open_breaker(now, &self.parameters);
                }
            }
        }
    }

    /// Sends the calls with the highest value while slots are free and destinations are below their caps.
    fn send_calls(&mut self, now: Micros, actions: &mut Vec<Action>) -> Selection {
        let calls = self.state.calls.by_destination();
        let degraded = calls.filter(|(id, _)| self.is_degraded(*id, now));
        let degraded_calls = degraded.map(|(_, calls)| calls).sum();
        let destinations = self.state.messages.queues().destinations();
        let options = destinations.map(|id| (id, self.send_option(id, now))).collect();
        let mut selection = Selection { options, degraded_calls, recheck_at: Micros::MAX };
        while self.state.calls.slots_used() < self.parameters.settings.call_slots {
            let Some(best) = self.best_candidate(&mut selection) else { break };
            let destination = best.route.destination;
            self.send(now, best, actions);
            // A call does not change the options of other destinations: only this one is evaluated again.
            let sent = selection.options.remove(&destination);
            selection.degraded_calls += usize::from(sent.is_some_and(|option| option.degraded));
            if self.state.messages.queues().contains(destination) {
                selection.options.insert(destination, self.send_option(destination, now));
            }
        }
        selection
    }

    pub(super) fn is_degraded(&self, destination: DestinationId, now: Micros) -> bool {
        self.state.directory.routes(destination).any(|route| route.is_degraded(now, &self.parameters))
    }

    fn send_option(&self, destination: DestinationId, now: Micros) -> SendOption {
        let degraded = self.is_degraded(destination, now);
        SendOption { degraded, candidate: self.candidate(destination, now) }
    }

    /// Returns the call with the highest value per slot time to a destination below its cap, and updates
    /// `recheck_at`.
    fn best_candidate(&self, selection: &mut Selection) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        selection.recheck_at = Micros::MAX;
        let all_degraded_at_cap = selection.degraded_calls >= self.cap(DEGRADED_CAP_QUARTERS);
        for (destination, option) in &selection.options {
            let quarters = if option.degraded { DEGRADED_CAP_QUARTERS } else { HEALTHY_CAP_QUARTERS };
            let at_cap = self.state.calls.count(*destination) >= self.cap(quarters);
            if at_cap || (option.degraded && all_degraded_at_cap) {
                continue;
            }
            match option.candidate {
                Ok(candidate) if best.is_none_or(|best| candidate.value_rate > best.value_rate) => {
                    best = Some(candidate);
                }
                Ok(_) => {}
                Err(at) => selection.recheck_at = selection.recheck_at.min(at),
            }
        }
        best
    }

    /// Returns the options that must wait for calls in flight to end, because no slot is free or a cap is
    /// reached.
    fn blocked_by_calls(&self, mut selection: Selection) -> SendOptions {
        let cap = self.cap(DEGRADED_CAP_QUARTERS);
        let no_slot = self.state.calls.slots_used() >= self.parameters.settings.call_slots;
        let all_blocked = no_slot || selection.degraded_calls >= cap;
        selection.options.retain(|id, _| all_blocked || self.state.calls.count(*id) >= cap);
        selection.options
    }

    /// Returns a number of quarters of the call slots, at least one slot. The computation cannot overflow.
    fn cap(&self, quarters: usize) -> usize {
        let slots = self.parameters.settings.call_slots;
        (slots / 4 * quarters + slots % 4 * quarters / 4).max(1)
    }
}
