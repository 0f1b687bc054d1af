//! Diagnostics: reports what delays the messages of a destination. The reports affect no decision.

use super::Balancer;
use crate::interface::{DestinationBacklog, DestinationId, Micros};

const MAX_REPORTED_DESTINATIONS: usize = 4;

impl Balancer {
    /// Returns the destinations with the most queued messages, and what delays their messages.
    pub fn backlog(&self, now: Micros) -> Vec<DestinationBacklog> {
        let longest = self.state.messages.queues().longest(MAX_REPORTED_DESTINATIONS);
        longest.into_iter().map(|(messages, id)| self.destination_backlog(id, messages, now)).collect()
    }

    fn destination_backlog(&self, id: DestinationId, messages: usize, now: Micros) -> DestinationBacklog {
        let directory = &self.state.directory;
        let destination = &directory.destinations[&id];
        let routes = directory.route_ids(id).into_iter().map(|route_id| directory.route(route_id));
        let route = routes.min_by_key(|route| route.ready_at()).unwrap_or(&destination.route);
        DestinationBacklog {
            destination: id,
            messages,
            endpoints: destination.endpoints.len(),
            calls: self.state.calls.count(id),
            degraded: self.is_degraded(id, now),
            outage: route.breaker.is_open(),
            rate: route.allowed_rate(now, &self.parameters),
            ready_in: (route.ready_at() - now).max(0),
            retry_after: (route.limiter.wait_until - now).max(0),
        }
    }
}
