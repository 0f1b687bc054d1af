//! The endpoint list, and what operators have taken out of it.

use super::{BURST_S, Balancer, BreakerState, Destination, Endpoint, Parameters, SECOND, Scope};
use crate::estimators::random_unit;
use crate::interface::*;

impl Scope {
    /// The pace to begin with, where a limit is listed.
    fn begin(&mut self, now: Micros, batch: usize, e: &Parameters) {
        let many = e.part < 0.5;
        let part = if batch > 1 { 1.0 / e.s.sender_count.max(1) as f64 } else { 1.0 };
        let limit = self.listed * if many { part.min(e.part) } else { part };
        self.limit = Some(limit);
        // Many begin in step, after a restart or with a new endpoint: first tries are spread over the time of
        // one call each.
        if many {
            let first = random_unit(&mut self.seed) / limit.max(e.least);
            self.due = now + ((BURST_S + first) * SECOND) as Micros;
        }
    }
}

impl Balancer {
    /// Only what is listed as serving gets anything new, from the moment it is heard.
    pub(super) fn list(&mut self, now: Micros, entries: Vec<EndpointEntry>) {
        self.broken = 0;
        for entry in entries {
            let new = || Destination { scope: Scope::new(now, &mut self.seed), ..Destination::default() };
            let destination = self.destinations.entry(entry.destination).or_insert_with(new);
            destination.kind = self.e.s.kinds.get(entry.kind).copied().unwrap_or_default();
            let new = || Endpoint {
                avoid_until: now,
                closed_until: now,
                answered: Micros::MIN,
                scope: Scope::new(now, &mut self.seed),
                ..Endpoint::default()
            };
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(new);
            (endpoint.destination, endpoint.zone) = (entry.destination, entry.zone);
            endpoint.serving = entry.state == EndpointState::Serving;
            if endpoint.serving && !self.banned.contains(&entry.endpoint) {
                destination.endpoints.insert(entry.endpoint);
            } else {
                destination.endpoints.remove(&entry.endpoint);
            }
            if entry.state == EndpointState::Deleted {
                self.gone.entry(entry.endpoint).or_insert(now);
            } else {
                self.gone.remove(&entry.endpoint);
            }
            let scope =
                if destination.kind.separate_routes { &mut endpoint.scope } else { &mut destination.scope };
            if self.e.s.endpoint_weights != EndpointWeights::Off && entry.weight > 0.0 {
                scope.listed = entry.weight;
            }
            if scope.listed > 0.0 && scope.limit.is_none() {
                scope.begin(now, destination.kind.batch, &self.e);
            }
        }
    }

    /// Forgets endpoints that are gone, once no call is out there. What holds for one (a wait, an outage)
    /// holds on if it is listed again soon; what its destination has taught stays.
    pub(super) fn forget_targets(&mut self, now: Micros) {
        let (known, warm) = (&mut self.endpoints, self.e.warm as Micros);
        self.gone.retain(|id, at| {
            let kept = known.get(id).is_some_and(|t| t.out > 0 || now < t.scope.wait_until.max(*at + warm));
            if !kept {
                known.remove(id);
            }
            kept
        });
    }

    /// Waits, limits, health and slow start hold for a destination, or route by route.
    pub(super) fn scope(&mut self, destination: DestinationId, endpoint: EndpointId) -> &mut Scope {
        match self.destinations.get_mut(&destination).expect("only known destinations are sent to") {
            d if !d.kind.separate_routes => &mut d.scope,
            _ => &mut self.endpoints.get_mut(&endpoint).expect("only known endpoints are sent to").scope,
        }
    }

    /// Leaves an endpoint out until the ban ends, whatever the list says of it.
    pub(super) fn ban(&mut self, now: Micros, endpoint: EndpointId) {
        let new = self.banned.insert(endpoint);
        let Some(destination) = self.endpoints.get(&endpoint).filter(|_| new).map(|t| t.destination) else {
            return;
        };
        let e = self.e.clone();
        self.scope(destination, endpoint).keep_base(now, &e);
        self.destinations
            .get_mut(&destination)
            .expect("listed with its endpoints")
            .endpoints
            .remove(&endpoint);
    }

    /// Puts it back. It may have been started anew meanwhile: as after an outage it is held to be cold. Where
    /// others share its limit, they go first while it warms up.
    pub(super) fn end_ban(&mut self, now: Micros, endpoint: EndpointId) {
        let (e, ended) = (self.e.clone(), self.banned.remove(&endpoint));
        let Some(t) = self.endpoints.get_mut(&endpoint).filter(|_| ended) else { return };
        t.avoid_until = now + e.warm as Micros;
        t.idle.clear();
        let (destination, serving) = (t.destination, t.serving);
        let d = self.destinations.get_mut(&destination).expect("listed with its endpoints");
        d.endpoints.extend(serving.then_some(endpoint));
        if d.kind.separate_routes || d.endpoints.len() <= 1 {
            let scope = self.scope(destination, endpoint);
            // Held to be down, it is tried first, and is cold after that.
            if !matches!(scope.state, BreakerState::Open(_)) {
                if scope.base == 0.0 {
                    scope.keep_base(now, &e);
                }
                (scope.state, scope.due) = (BreakerState::WarmingUp(now), now);
            }
        }
    }
}
