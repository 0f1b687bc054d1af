//! Changes of the directory by the endpoint list and by operators.
//!
//! Invariant: the endpoints of a destination are those that the list has in service for it and that are not
//! banned.

use super::directory::{Directory, Endpoint, RouteId};
use super::route::Route;
use crate::interface::{DestinationId, DestinationKind, EndpointEntry, EndpointId, EndpointState, Micros};

impl Directory {
    /// Applies an entry of the endpoint list, and returns the route of its endpoint. Only endpoints in
    /// service get new calls.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        entry: &EndpointEntry,
        kind: DestinationKind,
        seed: &mut u64,
    ) -> &mut Route {
        self.destination_or_new(entry.destination, now, seed);
        self.set_kind(entry.destination, kind);
        self.move_endpoint(now, entry.endpoint, entry.destination, seed);
        let new = || Endpoint::new(now, entry.destination, seed);
        let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(new);
        endpoint.zone = entry.zone;
        endpoint.serving = entry.state == EndpointState::Serving;
        let usable = endpoint.serving && !self.banned.contains(&entry.endpoint);
        self.set_usable(entry.endpoint, usable);
        if entry.state == EndpointState::Deleted {
            self.removed.entry(entry.endpoint).or_insert(now);
        } else {
            self.removed.remove(&entry.endpoint);
        }
        self.route_mut(RouteId { destination: entry.destination, endpoint: entry.endpoint })
    }

    /// Sets the kind of a known destination. Its waits, outages and warm-ups still apply if its routes become
    /// separate or shared.
    fn set_kind(&mut self, id: DestinationId, kind: DestinationKind) {
        let destination = self.destinations.get_mut(&id).expect("the destination is known");
        let was_separate = std::mem::replace(&mut destination.kind, kind).separate_routes;
        if was_separate == kind.separate_routes {
            return;
        }
        let endpoints = self.endpoints.values_mut().filter(|endpoint| endpoint.destination == id);
        let routes = endpoints.map(|endpoint| &mut endpoint.route);
        if was_separate {
            routes.for_each(|route| destination.route.adopt_restrictions(route));
        } else {
            routes.for_each(|route| route.adopt_restrictions(&destination.route));
        }
    }

    /// Moves a known endpoint to the destination under which it is listed now. If that destination is a
    /// different one, the waits, outages, recent outcomes and calls in flight of the endpoint are kept, but
    /// its rates, latencies and connections are forgotten.
    fn move_endpoint(&mut self, now: Micros, id: EndpointId, destination: DestinationId, seed: &mut u64) {
        let Some(endpoint) = self.endpoints.get(&id).filter(|known| known.destination != destination) else {
            return;
        };
        if let Some(old_destination) = self.destinations.get_mut(&endpoint.destination) {
            old_destination.endpoints.remove(&id);
        }
        let endpoint = self.endpoint_mut(id);
        endpoint.destination = destination;
        endpoint.idle_connections.clear();
        endpoint.route.forget_rates_and_latency(now, seed);
    }

    /// Forgets endpoints that were removed at least `retention` (microseconds) ago, once they have no call in
    /// flight and their wait is over. The waits and outages of an endpoint that is listed again before that
    /// still apply. What is known about destinations is kept.
    pub(crate) fn forget_removed(&mut self, now: Micros, retention: Micros) {
        let endpoints = &mut self.endpoints;
        self.removed.retain(|id, removed_at| {
            let forget_at = *removed_at + retention;
            let keep = endpoints.get(id).is_some_and(|endpoint| {
                endpoint.calls_in_flight > 0 || now < endpoint.route.limiter.wait_until.max(forget_at)
            });
            if !keep {
                endpoints.remove(id);
            }
            keep
        });
    }

    /// Bans an endpoint, so that no new call is sent to it. Returns the route of the endpoint if it is known
    /// and was not banned.
    pub(crate) fn start_ban(&mut self, id: EndpointId) -> Option<&mut Route> {
        if !self.banned.insert(id) {
            return None;
        }
        let destination = self.endpoints.get(&id)?.destination;
        self.set_usable(id, false);
        Some(self.route_mut(RouteId { destination, endpoint: id }))
    }

    /// Ends the ban of an endpoint, and forgets its idle connections. Returns the endpoint if it is known and
    /// was banned.
    pub(crate) fn end_ban(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        if !self.banned.remove(&id) {
            return None;
        }
        let serving = self.endpoints.get(&id)?.serving;
        if serving {
            self.set_usable(id, true);
        }
        let endpoint = self.endpoint_mut(id);
        endpoint.idle_connections.clear();
        Some(endpoint)
    }

    /// Sets whether new calls may be sent to an endpoint.
    fn set_usable(&mut self, id: EndpointId, usable: bool) {
        let destination = self.endpoints[&id].destination;
        let destination =
            self.destinations.get_mut(&destination).expect("destinations of endpoints are known");
        if usable {
            destination.endpoints.insert(id);
        } else {
            destination.endpoints.remove(&id);
        }
    }

    /// Marks every endpoint as removed, before the entries of a complete endpoint list are applied.
    pub(crate) fn remove_all(&mut self, now: Micros) {
        self.destinations.values_mut().for_each(|destination| destination.endpoints.clear());
        for (id, endpoint) in &mut self.endpoints {
            endpoint.serving = false;
            self.removed.entry(*id).or_insert(now);
        }
    }
}
