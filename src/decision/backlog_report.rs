//! What holds back messages, for the log. No decision is made here.

use super::{Balancer, BreakerState};
use crate::interface::{DestinationBacklog, DestinationId, Micros};
use std::collections::BTreeSet;

/// Destinations that are told of.
const MOST: usize = 4;

impl Balancer {
    /// For the log: the destinations with most messages waiting, and what holds them.
    pub fn backlog(&self, now: Micros) -> Vec<DestinationBacklog> {
        let lanes = |destination: &DestinationId| {
            self.destinations[destination].lanes.values().map(BTreeSet::len).sum()
        };
        let mut waiting: Vec<(usize, DestinationId)> = self.waiting.iter().map(|d| (lanes(d), *d)).collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        let one = |(messages, destination): (usize, DestinationId)| {
            let d = &self.destinations[&destination];
            let routes = d
                .endpoints
                .iter()
                .map(|t| if d.kind.separate_routes { &self.endpoints[t].scope } else { &d.scope });
            let scope = routes.min_by_key(|scope| scope.ready_at(now, &self.e)).unwrap_or(&d.scope);
            DestinationBacklog {
                destination,
                messages,
                endpoints: d.endpoints.len(),
                calls: self.in_flight.get(&destination).copied().unwrap_or(0),
                degraded: self.is_dest_degraded(destination, now),
                outage: matches!(scope.state, BreakerState::Open(_)),
                rate: scope.rate(now, &self.e).map(|(rate, _)| rate),
                ready_in: (scope.ready_at(now, &self.e) - now).max(0),
                retry_after: (scope.wait_until - now).max(0),
            }
        };
        waiting.into_iter().take(MOST).map(one).collect()
    }
}
