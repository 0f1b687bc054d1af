//! The destinations and endpoints that the sender knows.

use super::idle_connections::IdleConnections;
use super::route::Route;
use crate::estimators::MovingAverage;
use crate::interface::{DestinationId, DestinationKind, EndpointId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Where a call is sent: a destination and one of its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RouteId {
    /// The destination.
    pub(crate) destination: DestinationId,
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
}

/// A destination.
pub(crate) struct Destination {
    /// The kind of the destination.
    pub(crate) kind: DestinationKind,
    /// Endpoints that new calls may be sent to.
    pub(crate) endpoints: BTreeSet<EndpointId>,
    /// Health and limits of the destination, used unless its kind has separate routes.
    pub(crate) route: Route,
}

/// An endpoint.
pub(crate) struct Endpoint {
    /// The destination that the endpoint belongs to.
    pub(crate) destination: DestinationId,
    /// Index of the zone of the endpoint.
    pub(crate) zone: usize,
    /// Number of calls in flight to the endpoint.
    pub(crate) calls_in_flight: usize,
    /// Average latency of recent deliveries, in microseconds.
    pub(crate) latency: MovingAverage,
    /// Idle connections to the endpoint.
    pub(crate) idle_connections: IdleConnections,
    /// Until this time other endpoints are preferred.
    pub(crate) avoid_until: Micros,
    /// Whether the endpoint list has the endpoint in service.
    pub(crate) serving: bool,
    /// When the most recently sent call among the delivered ones was sent.
    pub(crate) last_delivered_call_sent_at: Micros,
    /// Connections that the endpoint rejected.
    pub(crate) connect_rejections: ConnectRejections,
    /// Health and limits of the endpoint, used if the kind of its destination has separate routes.
    pub(crate) route: Route,
}

/// Connections that an endpoint rejected at once, in waves: rejections of connections that were tried before
/// the first rejection of a wave was received count as one wave.
pub(crate) struct ConnectRejections {
    /// Number of waves since the last delivery.
    pub(crate) waves: u32,
    /// When the first rejection of the latest wave was received.
    pub(crate) last_wave: Micros,
    /// Until this time no new connection is tried.
    pub(crate) backoff_until: Micros,
}

impl ConnectRejections {
    /// Records the first rejection of a wave. At most `max_waves` waves are counted.
    pub(crate) fn record_wave(&mut self, now: Micros, max_waves: u32) {
        self.last_wave = now;
        self.waves = (self.waves + 1).min(max_waves);
    }
}

impl Endpoint {
    /// Creates an endpoint about which nothing is known.
    pub(crate) fn new(now: Micros, destination: DestinationId, seed: &mut u64) -> Self {
        Endpoint {
            destination,
            zone: 0,
            calls_in_flight: 0,
            latency: MovingAverage::default(),
            idle_connections: IdleConnections::default(),
            avoid_until: now,
            serving: false,
            last_delivered_call_sent_at: Micros::MIN,
            connect_rejections: ConnectRejections { waves: 0, last_wave: 0, backoff_until: now },
            route: Route::new(now, seed),
        }
    }

    /// Records that a call is sent.
    pub(crate) fn record_call(&mut self) {
        self.calls_in_flight += 1;
        self.idle_connections.take();
    }

    /// Records that a call was delivered, which shows that the endpoint accepts connections.
    pub(crate) fn record_delivery(&mut self, sent_at: Micros) {
        self.connect_rejections.waves = 0;
        self.last_delivered_call_sent_at = self.last_delivered_call_sent_at.max(sent_at);
    }
}

/// All known destinations and endpoints. The destination of a queued message and the destination and endpoint
/// of an attempt are always known.
#[derive(Default)]
pub(crate) struct Directory {
    /// All destinations that have been listed or that messages are queued for.
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    /// All endpoints that are listed or were removed not long ago.
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that are no longer listed, and the times at which they were removed.
    pub(super) removed: BTreeMap<EndpointId, Micros>,
    /// Endpoints that operators have disabled, listed or not.
    pub(super) banned: BTreeSet<EndpointId>,
}

impl Directory {
    /// Returns a destination, and adds it first if it is not known.
    pub(crate) fn destination_or_new(
        &mut self,
        id: DestinationId,
        now: Micros,
        seed: &mut u64,
    ) -> &mut Destination {
        self.destinations.entry(id).or_insert_with(|| Destination {
            kind: DestinationKind::default(),
            endpoints: BTreeSet::new(),
            route: Route::new(now, seed),
        })
    }

    /// Returns the route of a call: that of the endpoint if the destination has separate routes, otherwise
    /// that of the destination.
    pub(crate) fn route(&self, id: RouteId) -> &Route {
        match &self.destinations[&id.destination] {
            destination if destination.kind.separate_routes => &self.endpoints[&id.endpoint].route,
            destination => &destination.route,
        }
    }

    /// Returns the route of a call for changes, see [`Directory::route`].
    pub(crate) fn route_mut(&mut self, id: RouteId) -> &mut Route {
        let destination =
            self.destinations.get_mut(&id.destination).expect("destinations of calls are known");
        if !destination.kind.separate_routes {
            return &mut destination.route;
        }
        &mut self.endpoints.get_mut(&id.endpoint).expect("endpoints of calls are known").route
    }

    /// Returns an endpoint that calls are sent to.
    pub(crate) fn endpoint_mut(&mut self, endpoint: EndpointId) -> &mut Endpoint {
        self.endpoints.get_mut(&endpoint).expect("endpoints of calls are known")
    }

    /// Removes a call that has ended from the routes of its destination and its endpoint. Either may hold the
    /// call, since the kind of the destination may have changed after the call was sent.
    pub(crate) fn remove_call_in_flight(&mut self, id: RouteId, call: u64) {
        let destination =
            self.destinations.get_mut(&id.destination).expect("destinations of calls are known");
        destination.route.in_flight.remove(&call);
        self.endpoint_mut(id.endpoint).route.in_flight.remove(&call);
    }

    /// Returns the routes of all destinations and endpoints.
    pub(crate) fn all_routes_mut(&mut self) -> impl Iterator<Item = &mut Route> {
        let destination_routes = self.destinations.values_mut().map(|destination| &mut destination.route);
        let endpoint_routes = self.endpoints.values_mut().map(|endpoint| &mut endpoint.route);
        destination_routes.chain(endpoint_routes)
    }

    /// Returns the ids of the routes that calls to a destination may take.
    pub(crate) fn route_ids(&self, destination: DestinationId) -> Vec<RouteId> {
        let endpoints = self.destinations[&destination].endpoints.iter();
        endpoints.map(|endpoint| RouteId { destination, endpoint: *endpoint }).collect()
    }

    /// Returns the route of a known destination and, if its routes are separate, those of its endpoints.
    pub(crate) fn routes(&self, id: DestinationId) -> impl Iterator<Item = &Route> {
        self.destinations.get(&id).into_iter().flat_map(|destination| {
            let separate = destination.endpoints.iter().filter(|_| destination.kind.separate_routes);
            separate.map(|id| &self.endpoints[id].route).chain([&destination.route])
        })
    }
}
