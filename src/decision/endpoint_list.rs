//! The endpoint list: the subscription to it, its changes, and endpoints that operators disable.

use super::Balancer;
use crate::estimators::random_unit;
use crate::interface::{EndpointEntry, EndpointId, EndpointWeights, Micros};
use crate::sender_state::RouteId;

/// The backoff doubles with each consecutive failure of the subscription, up to this many.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

impl Balancer {
    pub(super) fn update_list(&mut self, now: Micros, entries: &[EndpointEntry]) {
        self.state.subscription_failures = 0;
        let settings = &self.parameters.settings;
        for entry in entries {
            let kind = settings.kinds.get(entry.kind).copied().unwrap_or_default();
            let route = self.state.directory.update(now, entry, kind, &mut self.state.seed);
            if settings.endpoint_weights != EndpointWeights::Off && entry.weight > 0.0 {
                route.limiter.listed_rate = entry.weight;
            }
            route.start_limiter(now, kind.batch, &self.parameters);
        }
    }

    /// Schedules another subscription after a random backoff: the subscriptions of many senders may fail
    /// together.
    pub(super) fn retry_subscription(&mut self, now: Micros) {
        self.state.subscription_failures += 1;
        let doublings = self.state.subscription_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = self.parameters.objective_divided_by(8) << doublings;
        let jitter = (backoff as f64 * random_unit(&mut self.state.seed)) as Micros;
        self.state.subscribe_at = Some(now + backoff / 2 + jitter);
    }

    /// Stops new calls to an endpoint until the ban ends, even if it is listed as in service.
    pub(super) fn start_ban(&mut self, now: Micros, id: EndpointId) {
        if let Some(route) = self.state.directory.start_ban(id) {
            route.record_healthy_rate(now, &self.parameters);
        }
    }

    /// Allows new calls to an endpoint again. The endpoint may have been restarted, so it warms up as after
    /// an outage, or is probed first if it is down. If other endpoints share its limits, they are preferred
    /// for the warm-up time instead.
    pub(super) fn end_ban(&mut self, now: Micros, id: EndpointId) {
        let directory = &mut self.state.directory;
        let Some(endpoint) = directory.end_ban(id) else { return };
        endpoint.avoid_until = now + self.parameters.warm_up as Micros;
        let destination = endpoint.destination;
        let known = &directory.destinations[&destination];
        let shares_limits = !known.kind.separate_routes && known.endpoints.len() > 1;
        let route = directory.route_mut(RouteId { destination, endpoint: id });
        if shares_limits || route.breaker.is_open() {
            return;
        }
        if route.breaker.healthy_rate == 0.0 {
            route.record_healthy_rate(now, &self.parameters);
        }
        route.start_warm_up(now, &self.parameters);
    }
}
