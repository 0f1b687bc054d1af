//! The choice among the endpoints of a destination.

use super::{Balancer, Parameters};
use crate::interface::{DestinationId, EndpointId, MessageId, Micros};
use crate::sender_state::{Destination, Endpoint, RouteId};

/// If many senders share a rate limit, messages are collected for the latency objective divided by this.
const BATCHING_DELAY_OBJECTIVE_DIVISOR: Micros = 3;

/// The best call to a destination.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Value of the messages in the call per microsecond of slot time.
    pub value_rate: f64,
    pub route: RouteId,
    pub message: MessageId,
}

impl Balancer {
    /// Returns the best call that can be sent to a destination now, or else the time at which to check again.
    pub(super) fn candidate(&self, destination: DestinationId, now: Micros) -> Result<Candidate, Micros> {
        let (parameters, directory) = (&self.parameters, &self.state.directory);
        let known = &directory.destinations[&destination];
        // A call takes one slot for all the messages in it.
        let queued = self.state.messages.queues().len(destination);
        let messages_per_call = queued.min(known.kind.batch.max(1)) as f64;
        let batching_ends_at =
            if queued >= known.kind.batch { Micros::MIN } else { self.batching_ends_at(destination, known) };
        let mut recheck_at = Micros::MAX;
        for endpoint in self.endpoints_by_expected_time(known, now) {
            let route_id = RouteId { destination, endpoint };
            let (route, endpoint) = (directory.route(route_id), &directory.endpoints[&endpoint]);
            let connected = endpoint.idle_connections.has_usable(now, parameters.settings.idle_timeout);
            let batch_at = if route.breaker.is_open() { Micros::MIN } else { batching_ends_at };
            let connect_at = if connected { Micros::MIN } else { endpoint.connect_rejections.backoff_until };
            let ready_at = route.ready_at().max(batch_at).max(connect_at);
            if ready_at > now {
                recheck_at = recheck_at.min(ready_at);
            } else if let Some(choice) = self.best_message(route_id, now) {
                let latency = route.latency.usual.get().max(route.latency.recent.get());
                let slot_time = latency.max(parameters.latency_objective / 32.0);
                let value_rate = choice.value * messages_per_call / slot_time;
                return Ok(Candidate { value_rate, route: route_id, message: choice.id });
            } else {
                recheck_at = recheck_at.min(now + parameters.objective_divided_by(16));
            }
        }
        Err(recheck_at)
    }

    /// Returns the endpoints of a destination, the one with the lowest expected response time first.
    fn endpoints_by_expected_time(&self, destination: &Destination, now: Micros) -> Vec<EndpointId> {
        let endpoints = destination.endpoints.iter().map(|id| (*id, &self.state.directory.endpoints[id]));
        let mut expected_times: Vec<(f64, EndpointId)> =
            endpoints.map(|(id, endpoint)| (self.expected_time(destination, endpoint, now), id)).collect();
        expected_times.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        expected_times.into_iter().map(|(_, id)| id).collect()
    }

    /// Estimates the response time of an endpoint in microseconds. Each call in flight and a different zone
    /// add one latency, a new connection adds half a latency.
    fn expected_time(&self, destination: &Destination, endpoint: &Endpoint, now: Micros) -> f64 {
        let Parameters { latency_objective, settings, .. } = &self.parameters;
        let (measured, usual) = (endpoint.latency.get(), destination.route.latency.usual.get());
        let latency = if measured > 0.0 { measured } else { usual.max(self.parameters.min_latency) };
        let new_connection = !endpoint.idle_connections.has_usable(now, settings.idle_timeout);
        let half_latencies = 2.0
            + 2.0 * endpoint.calls_in_flight as f64
            + f64::from(new_connection)
            + f64::from(endpoint.zone != settings.zone) * 2.0;
        latency / 2.0 * half_latencies + if now < endpoint.avoid_until { *latency_objective } else { 0.0 }
    }

    /// Returns when to stop collecting messages for one call. A delay within the latency objective costs
    /// nothing, and a call with few messages uses up as much of a shared limit as a full one.
    fn batching_ends_at(&self, id: DestinationId, destination: &Destination) -> Micros {
        if !self.parameters.has_many_senders() || destination.route.limiter.limit.is_none() {
            return Micros::MIN;
        }
        let ends = self.state.messages.queues().of(id).filter_map(|(key, queue)| {
            let objective = self.parameters.settings.classes[key.class].latency_objective;
            Some(queue.first()?.0 - objective + objective / BATCHING_DELAY_OBJECTIVE_DIVISOR)
        });
        ends.min().unwrap_or(Micros::MIN)
    }
}
