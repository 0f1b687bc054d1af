//! Concurrency limits, and the selection of calls at the end of a turn.

use super::Balancer;
use super::endpoint_choice::Candidate;
use crate::interface::{Action, DestinationId, Micros};
use std::collections::BTreeMap;

/// Quarters of the call slots that a healthy destination may hold.
const HEALTHY_CAP_QUARTERS: usize = 3;
/// Quarters of the call slots that a degraded destination may hold, and all degraded destinations together.
const DEGRADED_CAP_QUARTERS: usize = 2;

/// What could be sent to a destination in this turn.
struct SendOption {
    degraded: bool,
    /// The best call, or the time at which to look again.
    candidate: Result<Candidate, Micros>,
}

/// The selection of calls in one turn.
struct Selection {
    options: BTreeMap<DestinationId, SendOption>,
    /// Calls in flight to degraded destinations.
    degraded_calls: usize,
    /// When the first of the destinations that are not ready should be looked at again.
    look_again_at: Micros,
}

/// Destinations whose messages wait for calls in flight to end, and whether they are ready otherwise.
pub(super) type HeldBack = BTreeMap<DestinationId, bool>;

impl Balancer {
    /// The end of a turn: sends calls, and then cleans up.
    pub(super) fn end_turn(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.run_timers(now, actions);
        self.detect_hangs(now);
        let selection = self.send_calls(now, actions);
        self.cancel_lost_calls(now, &self.held_back(&selection), actions);
        self.free_overdue_slots(now, actions);
        self.close_idle_connections(now, actions);
        self.state.directory.forget_removed(now, self.parameters.warm_up as Micros);
        let wake = self.state.next_wake(now, selection.look_again_at);
        actions.extend(wake.map(|at| Action::Wake { at }));
    }

    fn detect_hangs(&mut self, now: Micros) {
        for destination in self.state.messages.queues().destinations() {
            for route_id in self.state.directory.route_ids(destination) {
                self.state.directory.route_mut(route_id).detect_hang(now, &self.parameters);
            }
        }
    }

    /// Sends the calls that earn most while slots are free and their destinations are under their caps.
    fn send_calls(&mut self, now: Micros, actions: &mut Vec<Action>) -> Selection {
        let calls = self.state.calls.by_destination();
        let degraded = calls.filter(|(id, _)| self.state.directory.is_degraded(*id, now, &self.parameters));
        let degraded_calls = degraded.map(|(_, calls)| calls).sum();
        let destinations = self.state.messages.queues().destinations();
        let options = destinations.map(|id| (id, self.send_option(id, now))).collect();
        let mut selection = Selection { options, degraded_calls, look_again_at: Micros::MAX };
        while self.state.calls.slots_used() < self.parameters.settings.call_slots {
            let Some(best) = self.best_candidate(&mut selection) else { break };
            let destination = best.route.destination;
            self.send(now, best, actions);
            // A call changes nothing for other destinations: only this one is looked at again.
            let sent = selection.options.remove(&destination);
            selection.degraded_calls += usize::from(sent.is_some_and(|option| option.degraded));
            if self.state.messages.queues().contains(destination) {
                selection.options.insert(destination, self.send_option(destination, now));
            }
        }
        selection
    }

    fn send_option(&self, destination: DestinationId, now: Micros) -> SendOption {
        let degraded = self.state.directory.is_degraded(destination, now, &self.parameters);
        SendOption { degraded, candidate: self.candidate(destination, now) }
    }

    fn best_candidate(&self, selection: &mut Selection) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        selection.look_again_at = Micros::MAX;
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
                Err(at) => selection.look_again_at = selection.look_again_at.min(at),
            }
        }
        best
    }

    fn held_back(&self, selection: &Selection) -> HeldBack {
        let cap = self.cap(DEGRADED_CAP_QUARTERS);
        let no_slot = self.state.calls.slots_used() >= self.parameters.settings.call_slots;
        let all = no_slot || selection.degraded_calls >= cap;
        let options = selection.options.iter().filter(|(id, _)| all || self.state.calls.count(**id) >= cap);
        options.map(|(id, option)| (*id, option.candidate.is_ok())).collect()
    }

    /// A number of quarters of the call slots, at least one slot. Computed so that it cannot overflow.
    fn cap(&self, quarters: usize) -> usize {
        let slots = self.parameters.settings.call_slots;
        (slots / 4 * quarters + slots % 4 * quarters / 4).max(1)
    }
}
