//! What holds back messages, for the log. No decision is made here.

use super::{Balancer, State};
use crate::api::{Backlog, DestId, Micros};
use std::collections::BTreeSet;

/// Destinations that are told of.
const MOST: usize = 4;

impl Balancer {
    /// For the log: the destinations with most messages waiting, and what holds them.
    pub fn backlog(&self, now: Micros) -> Vec<Backlog> {
        let lanes = |dest: &DestId| self.dests[dest].lanes.values().map(BTreeSet::len).sum();
        let mut waiting: Vec<(usize, DestId)> = self.waiting.iter().map(|d| (lanes(d), *d)).collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        let one = |(messages, dest): (usize, DestId)| {
            let d = &self.dests[&dest];
            let routes =
                d.targets.iter().map(|t| if d.kind.routes_apart { &self.targets[t].scope } else { &d.scope });
            let scope = routes.min_by_key(|scope| scope.ready_at(now, &self.e)).unwrap_or(&d.scope);
            Backlog {
                dest,
                messages,
                endpoints: d.targets.len(),
                calls: self.in_flight.get(&dest).copied().unwrap_or(0),
                degraded: self.is_dest_degraded(dest, now),
                outage: matches!(scope.state, State::Outage(_)),
                rate: scope.rate(now, &self.e).map(|(rate, _)| rate),
                ready_in: (scope.ready_at(now, &self.e) - now).max(0),
                waits_for: (scope.wait_until - now).max(0),
            }
        };
        waiting.into_iter().take(MOST).map(one).collect()
    }
}
