//! The circuit breaker of a route: outages, the probe calls during them, and the warm-up after them.

use super::parameters::{Parameters, UNEVEN_SHARE_FACTOR};
use crate::estimators::{SECOND, random_unit};
use crate::interface::Micros;
use crate::sender_state::{BreakerState, Route};

/// The least interval between two probes is the latency objective divided by this.
const MIN_PROBE_INTERVAL_OBJECTIVE_DIVISOR: f64 = 16.0;
/// The longest interval between two probes is the warm-up time divided by this and by the sender's share.
const MAX_PROBE_INTERVAL_WARM_UP_DIVISOR: f64 = 4.0;

/// The longest interval between two probes in microseconds, before jitter.
pub(super) fn longest_probe_interval(parameters: &Parameters) -> f64 {
    parameters.warm_up / MAX_PROBE_INTERVAL_WARM_UP_DIVISOR / parameters.share
}

impl Route {
    /// Opens the breaker, unless it is open already.
    pub(super) fn open_breaker(&mut self, now: Micros, parameters: &Parameters) {
        self.record_healthy_rate(now, parameters);
        if !self.breaker.is_open() {
            self.schedule_probe(now, parameters);
        }
    }

    /// Records the rate of calls while the breaker is closed. The rates of probes and of the warm-up are
    /// derived from it.
    pub(super) fn record_healthy_rate(&mut self, now: Micros, parameters: &Parameters) {
        if self.breaker.state == BreakerState::Closed {
            let share = self.own_share(parameters) / UNEVEN_SHARE_FACTOR;
            self.breaker.healthy_rate =
                self.accepted_rate(now, parameters).max(share).max(parameters.min_rate);
        }
    }

    /// Calls per second that the destination has accepted from this sender; 0 before the first delivery,
    /// because the retries of a sender that starts during an outage say nothing about an accepted rate.
    fn accepted_rate(&self, now: Micros, parameters: &Parameters) -> f64 {
        if self.latency.usual.get() == 0.0 {
            return 0.0;
        }
        self.calls.per_second(now, parameters.warm_up, parameters.warm_up)
    }

    /// Opens the breaker, or keeps it open, until the next probe. The rate of probes stays within the reduced
    /// capacity right after an outage.
    pub(super) fn schedule_probe(&mut self, now: Micros, parameters: &Parameters) {
        let settings = &parameters.settings;
        let rate = settings.overload_factor * settings.initial_capacity * self.breaker.healthy_rate;
        let shortest = parameters.latency_objective / MIN_PROBE_INTERVAL_OBJECTIVE_DIVISOR;
        let longest = longest_probe_interval(parameters);
        let interval = (SECOND / rate.max(parameters.rate_floor)).clamp(shortest, longest);
        // Many senders detect an outage, or its end, at the same time: their probes are spread at random.
        let offset = if self.breaker.is_open() { 0.5 } else { 0.0 };
        let fraction = if parameters.has_many_senders() { offset + random_unit(&mut self.seed) } else { 1.0 };
        let next_probe = now.max(self.limiter.wait_until) + (interval * fraction) as Micros;
        self.breaker.state = BreakerState::Open { next_probe };
    }

    /// Moves a call that became due while sending was suspended to a random time, if the destination is down
    /// or warming up. Many senders that resume together would otherwise all call at once, beyond its reduced
    /// capacity.
    pub(super) fn reschedule_due_call(&mut self, now: Micros, parameters: &Parameters) {
        if !parameters.has_many_senders() || self.ready_at() >= now {
            return;
        }
        match self.breaker.state {
            BreakerState::Closed => {}
            BreakerState::Open { .. } => self.schedule_probe(now, parameters),
            BreakerState::WarmingUp { .. } => self.delay_warm_up_call(now, parameters),
        }
    }

    /// Updates the breaker after a delivery: an outage ends and the warm-up starts, or the breaker closes if
    /// the warm-up time has passed.
    pub(super) fn recover(&mut self, now: Micros, parameters: &Parameters) {
        match self.breaker.state {
            BreakerState::Open { .. } => {
                self.start_warm_up(now, parameters);
                self.health.forget_failures();
            }
            BreakerState::WarmingUp { since } if (now - since) as f64 > parameters.warm_up => {
                self.breaker.state = BreakerState::Closed;
            }
            _ => {}
        }
    }

    /// Starts the warm-up, with an immediate call if the sender is one of few. Many senders detect a recovery
    /// together, for example when hanging calls get their responses, and an immediate call from each would
    /// exceed the reduced capacity.
    pub(super) fn start_warm_up(&mut self, now: Micros, parameters: &Parameters) {
        self.breaker.state = BreakerState::WarmingUp { since: now };
        self.limiter.next_call_at = now;
        if parameters.has_many_senders() {
            self.delay_warm_up_call(now, parameters);
        }
    }

    /// Moves the next call of the warm-up to a random time within one call interval.
    fn delay_warm_up_call(&mut self, now: Micros, parameters: &Parameters) {
        if let Some(rate) = self.allowed_rate(now, parameters) {
            self.limiter.next_call_at = now + (random_unit(&mut self.seed) * SECOND / rate) as Micros;
        }
    }

    /// Calls per second that are allowed while the destination warms up; `None` in the other states.
    pub(super) fn warm_up_rate(&self, now: Micros, parameters: &Parameters) -> Option<f64> {
        let BreakerState::WarmingUp { since } = self.breaker.state else { return None };
        let settings = &parameters.settings;
        let progress = ((now - since) as f64 / parameters.warm_up).min(1.0);
        let capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * progress;
        Some((settings.overload_factor * capacity * self.breaker.healthy_rate).max(parameters.rate_floor))
    }
}
