//! What one process of a sender hands to the next beside its messages: calls that are still out, and what was
//! learnt of destinations. Waits and cold returns bind the next process as they bound this one.

use super::{Attempt, Balancer, BreakerState, MessageState, Parameters, Scope};
use crate::estimators::DecayingCounter;
use crate::interface::*;

impl Scope {
    fn learned(
        &self,
        destination: DestinationId,
        endpoint: Option<EndpointId>,
        now: Micros,
        e: &Parameters,
    ) -> LearnedState {
        LearnedState {
            destination,
            endpoint,
            retry_after: self.wait_until - now,
            next_call_in: self.due - now,
            health: match self.state {
                BreakerState::Closed => HealthState::Healthy,
                BreakerState::Open(next_probe) => HealthState::Down { next_probe: next_probe - now },
                BreakerState::WarmingUp(since) => HealthState::WarmingUp { since: now - since },
            },
            healthy_rate: self.base,
            age: now - self.born,
            calls_sent: self.long.get(now, e.warm),
            outcome_counts: [&self.good, &self.bad, &self.spent].map(|count| count.get(now, e.health)),
            usual_latency: self.usual,
            recent_latency: self.pace,
            rate_limit: self.limit,
            reported_limit: self.ceiling,
        }
    }

    fn learn(&mut self, now: Micros, l: &LearnedState) {
        (self.wait_until, self.due) = (now.saturating_add(l.retry_after), now.saturating_add(l.next_call_in));
        self.state = match l.health {
            HealthState::Healthy => BreakerState::Closed,
            HealthState::Down { next_probe } => BreakerState::Open(now.saturating_add(next_probe)),
            HealthState::WarmingUp { since } => BreakerState::WarmingUp(now.saturating_sub(since)),
        };
        self.base = l.healthy_rate;
        self.born = now.saturating_sub(l.age);
        self.long = DecayingCounter::of(l.calls_sent, now);
        [self.good, self.bad, self.spent] = l.outcome_counts.map(|count| DecayingCounter::of(count, now));
        (self.usual, self.pace, self.limit, self.ceiling) =
            (l.usual_latency, l.recent_latency, l.rate_limit, l.reported_limit);
    }
}

impl Balancer {
    /// What is known of each destination, or of each route where routes are apart.
    pub fn learned(&self, now: Micros) -> Vec<LearnedState> {
        let whole = self.destinations.iter().filter(|(_, d)| !d.kind.separate_routes);
        let whole = whole.map(|(destination, d)| d.scope.learned(*destination, None, now, &self.e));
        let routes =
            self.endpoints.iter().filter(|(_, t)| self.destinations[&t.destination].kind.separate_routes);
        whole.chain(routes.map(|(id, t)| t.scope.learned(t.destination, Some(*id), now, &self.e))).collect()
    }

    /// Goes on from what an earlier process had learnt. Nothing is kept of what the list does not name.
    pub(super) fn learn(&mut self, now: Micros, l: &LearnedState) {
        let scope = match l.endpoint {
            Some(endpoint) => self.endpoints.get_mut(&endpoint).map(|t| &mut t.scope),
            None => self.destinations.get_mut(&l.destination).map(|d| &mut d.scope),
        };
        scope.into_iter().for_each(|scope| scope.learn(now, l));
    }

    /// Counts an attempt of an earlier process that is still out; false if its endpoint is not known.
    pub(super) fn still_out(
        &mut self,
        id: MessageId,
        attempt: usize,
        class: usize,
        out: InheritedCall,
    ) -> bool {
        let InheritedCall { call, endpoint, sent_at: sent } = out;
        let Some(destination) = self.endpoints.get(&endpoint).map(|t| t.destination) else { return false };
        if !self.calls.contains_key(&call) {
            *self.in_flight.entry(destination).or_default() += 1;
            self.endpoints.get_mut(&endpoint).expect("just seen").out += 1;
            self.scope(destination, endpoint).out.insert(call, sent);
            self.next_call = self.next_call.max(call + 1);
        }
        *self.calls.entry(call).or_default() += 1;
        let a =
            Attempt { call, endpoint, destination, class, sent, called_off: false, lost: false, key: None };
        self.attempts.insert((id, attempt), a);
        if let Some(m) = self.messages.get_mut(&id) {
            (m.place, m.attempts) = (MessageState::InFlight, attempt + 1);
        }
        true
    }
}
