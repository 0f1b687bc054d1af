//! Changes around the sender: of destinations and the endpoint list, and by operators and clients.

use super::driver::History;
use super::inputs::{Endpoint, Input, ListedState};

impl History<'_> {
    pub(super) fn change_conditions(&mut self) {
        for destination in self.scenario.destinations {
            if self.generator.per_mille(self.scenario.rates.condition) {
                self.conditions.insert(destination.id, self.generator.pick(self.scenario.conditions));
            }
        }
    }

    /// The endpoints of a complete list, which lacks the removed ones.
    pub(super) fn complete_list(&self) -> Vec<Endpoint> {
        self.endpoints.values().filter(|endpoint| endpoint.state != ListedState::Deleted).copied().collect()
    }

    pub(super) fn change_list(&mut self) {
        if self.generator.per_mille(self.scenario.rates.watch_failed) {
            self.handle(Input::WatchFailed);
        }
        if !self.generator.per_mille(self.scenario.rates.list) {
            return;
        }
        let mut changed = Vec::new();
        for _ in 0..=self.generator.below(3) {
            let destination = self.generator.pick(self.scenario.destinations);
            // The range has one endpoint more than the first list, so that endpoints are also added.
            let id = destination.id * 10 + self.generator.below(destination.endpoints + 1);
            let state = self.generator.pick(&[
                ListedState::Serving,
                ListedState::Serving,
                ListedState::Draining,
                ListedState::Deleted,
            ]);
            let weight = self.generator.between(2, 400) as f64 / 4.0;
            let zone = (id % 3) as usize;
            let (kind, destination) = (destination.kind, destination.id);
            let endpoint = Endpoint { id, destination, kind, zone, weight, state };
            self.endpoints.insert(id, endpoint);
            changed.push(endpoint);
        }
        let is_complete = self.generator.per_mille(300);
        let input =
            if is_complete { Input::ListSnapshot(self.complete_list()) } else { Input::ListUpdate(changed) };
        self.handle(input);
    }

    fn any_endpoint(&mut self) -> u64 {
        let ids: Vec<u64> = self.endpoints.keys().copied().collect();
        self.generator.pick(&ids)
    }

    /// Operators ban endpoints, end bans, and drain and resume the process.
    pub(super) fn run_admin_commands(&mut self) {
        if self.generator.per_mille(self.scenario.rates.ban) {
            let endpoint = self.any_endpoint();
            if self.banned.insert(endpoint) {
                self.handle(Input::BanStarted { endpoint });
            }
        }
        if self.generator.per_mille(self.scenario.rates.ban_end)
            && let Some(endpoint) = self.banned.pop_first()
        {
            self.handle(Input::BanEnded { endpoint });
        }
        if self.generator.per_mille(self.scenario.rates.drain) {
            self.draining = !self.draining;
            self.handle(if self.draining { Input::Drain } else { Input::Resume });
        }
    }

    /// Clients disconnect, and streamed responses begin.
    pub(super) fn disconnect_and_stream(&mut self) {
        let open: Vec<u64> = self.messages.iter().filter(|(_, m)| !m.finished).map(|(id, _)| *id).collect();
        if !open.is_empty() && self.generator.per_mille(self.scenario.rates.client_disconnected) {
            let id = self.generator.pick(&open);
            self.finish(id);
            self.handle(Input::ClientDisconnected { id });
        }
        let streams: Vec<u64> = self.attempts.iter().map(|a| a.id).filter(|id| open.contains(id)).collect();
        if !streams.is_empty() && self.generator.per_mille(self.scenario.rates.response_started) {
            let id = self.generator.pick(&streams);
            if let Some(message) = self.messages.get_mut(&id).filter(|message| !message.finished) {
                message.response_started = true;
                self.handle(Input::ResponseStarted { id });
            }
        }
    }
}
