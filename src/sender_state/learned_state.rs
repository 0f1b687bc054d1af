//! Export and import of what a process hands over to its successor about destinations. Waits and warm-ups
//! apply to both processes.

use super::directory::Directory;
use super::route::{BreakerState, Route};
use crate::estimators::{DecayingCounter, MovingAverage, RateEstimator};
use crate::interface::{DestinationId, EndpointId, HealthState, LearnedState, Micros};

impl Route {
    fn export(
        &self,
        destination: DestinationId,
        endpoint: Option<EndpointId>,
        now: Micros,
        call_decay: f64,
        outcome_decay: f64,
    ) -> LearnedState {
        let counters = [&self.health.successes, &self.health.failures, &self.health.possible_executions];
        LearnedState {
            destination,
            endpoint,
            retry_after: self.limiter.wait_until - now,
            next_call_in: self.limiter.next_call_at - now,
            health: match self.breaker.state {
                BreakerState::Closed => HealthState::Healthy,
                BreakerState::Open { next_probe } => HealthState::Down { next_probe: next_probe - now },
                BreakerState::WarmingUp { since } => HealthState::WarmingUp { since: now - since },
            },
            healthy_rate: self.breaker.healthy_rate,
            age: self.calls.age(now),
            calls_sent: self.calls.count(now, call_decay),
            outcome_counts: counters.map(|counter| counter.get(now, outcome_decay)),
            usual_latency: self.latency.usual.get(),
            recent_latency: self.latency.recent.get(),
            rate_limit: self.limiter.limit,
            reported_limit: self.limiter.reported_limit,
        }
    }

    fn import(&mut self, now: Micros, learned: &LearnedState) {
        self.limiter.wait_until = now.saturating_add(learned.retry_after);
        self.limiter.next_call_at = now.saturating_add(learned.next_call_in);
        self.limiter.limit = learned.rate_limit;
        self.limiter.reported_limit = learned.reported_limit;
        self.breaker.state = match learned.health {
            HealthState::Healthy => BreakerState::Closed,
            HealthState::Down { next_probe } => {
                BreakerState::Open { next_probe: now.saturating_add(next_probe) }
            }
            HealthState::WarmingUp { since } => BreakerState::WarmingUp { since: now.saturating_sub(since) },
        };
        self.breaker.healthy_rate = learned.healthy_rate;
        self.calls = RateEstimator::of(now.saturating_sub(learned.age), learned.calls_sent, now);
        let [successes, failures, possible_executions] = learned.outcome_counts;
        self.health.successes = DecayingCounter::of(successes, now);
        self.health.failures = DecayingCounter::of(failures, now);
        self.health.possible_executions = DecayingCounter::of(possible_executions, now);
        self.latency.usual = MovingAverage::of(learned.usual_latency);
        self.latency.recent = MovingAverage::of(learned.recent_latency);
    }
}

impl Directory {
    /// Returns what is known about each destination, or about each endpoint where routes are separate.
    /// `call_decay` and `outcome_decay` are the time constants of the counts of calls and outcomes, in
    /// microseconds.
    pub(crate) fn export(&self, now: Micros, call_decay: f64, outcome_decay: f64) -> Vec<LearnedState> {
        let separate_routes = |id: &DestinationId| self.destinations[id].kind.separate_routes;
        let destinations = self.destinations.iter().filter(|(id, _)| !separate_routes(id));
        let endpoints = self.endpoints.iter().filter(|(_, known)| separate_routes(&known.destination));
        let destination_states =
            destinations.map(|(id, known)| known.route.export(*id, None, now, call_decay, outcome_decay));
        let endpoint_states = endpoints.map(|(id, known)| {
            known.route.export(known.destination, Some(*id), now, call_decay, outcome_decay)
        });
        destination_states.chain(endpoint_states).collect()
    }

    /// Applies what a predecessor had learned about a route. Unknown destinations and endpoints are ignored.
    pub(crate) fn import(&mut self, now: Micros, learned: &LearnedState) {
        let route = match learned.endpoint {
            Some(endpoint) => self.endpoints.get_mut(&endpoint).map(|known| &mut known.route),
            None => self.destinations.get_mut(&learned.destination).map(|known| &mut known.route),
        };
        if let Some(route) = route {
            route.import(now, learned);
        }
    }
}
