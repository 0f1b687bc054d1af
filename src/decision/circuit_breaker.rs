//! The circuit breaker of a route: outages, the probe calls during them, and the warm-up after them.

use super::parameters::{Parameters, UNEVEN_SHARE_FACTOR};
use crate::estimators::{SECOND, random_unit};
use crate::interface::Micros;
use crate::sender_state::{BreakerState, Route};

/// Bounds on the time between two probes, as parts of the latency objective and of the warm-up time.
const MIN_PROBE_INTERVAL_OBJECTIVE_DIVISOR: f64 = 16.0;
const MAX_PROBE_INTERVAL_WARM_UP_DIVISOR: f64 = 4.0;

/// The longest time between two probes, before it is varied at random.
pub(super) fn longest_probe_interval(parameters: &Parameters) -> f64 {
    parameters.warm_up / MAX_PROBE_INTERVAL_WARM_UP_DIVISOR / parameters.share
}

impl Route {
    /// Starts an outage, unless there is one.
    pub(super) fn open_breaker(&mut self, now: Micros, parameters: &Parameters) {
        self.record_healthy_rate(now, parameters);
        if !self.breaker.is_open() {
            self.schedule_probe(now, parameters);
        }
    }

    /// Remembers the rate of healthy times, by which the rates of probes and of the warm-up are set.
    pub(super) fn record_healthy_rate(&mut self, now: Micros, parameters: &Parameters) {
        if self.breaker.state == BreakerState::Closed {
            let share = self.own_share(parameters) / UNEVEN_SHARE_FACTOR;
            self.breaker.healthy_rate =
                self.accepted_rate(now, parameters).max(share).max(parameters.min_rate);
        }
    }

    /// Calls per second that the destination has accepted from this sender, as far as it can know: retries
    /// in the first moments of a sender that starts during an outage are no rate.
    fn accepted_rate(&self, now: Micros, parameters: &Parameters) -> f64 {
        if self.latency.usual.get() == 0.0 {
            return 0.0;
        }
        self.calls.per_second(now, parameters.warm_up, parameters.warm_up)
    }

    /// Keeps the breaker open until the next probe. Probes stay within the capacity right after an outage.
    pub(super) fn schedule_probe(&mut self, now: Micros, parameters: &Parameters) {
        let settings = &parameters.settings;
        let rate = settings.overload_factor * settings.initial_capacity * self.breaker.healthy_rate;
        let shortest = parameters.latency_objective / MIN_PROBE_INTERVAL_OBJECTIVE_DIVISOR;
        let longest = longest_probe_interval(parameters);
        let interval = (SECOND / rate.max(parameters.rate_floor)).clamp(shortest, longest);
        // Many senders learn of an outage, or of its end, together: their probes are placed at random.
        let offset = if self.breaker.is_open() { 0.5 } else { 0.0 };
        let fraction = if parameters.has_many_senders() { offset + random_unit(&mut self.seed) } else { 1.0 };
        let next_probe = now.max(self.limiter.wait_until) + (interval * fraction) as Micros;
        self.breaker.state = BreakerState::Open { next_probe };
    }

    /// Delays a call that has been due for some time to a destination that is down or warming up. Many
    /// senders whose calls were held together would otherwise send them all at once, beyond its reduced
    /// capacity.
    pub(super) fn spread_overdue_call(&mut self, now: Micros, parameters: &Parameters) {
        if !parameters.has_many_senders() || self.ready_at() >= now {
            return;
        }
        match self.breaker.state {
            BreakerState::Closed => {}
            BreakerState::Open { .. } => self.schedule_probe(now, parameters),
            BreakerState::WarmingUp { .. } => self.delay_warm_up_call(now, parameters),
        }
    }

    /// A delivery ends an outage, and closes the breaker once the warm-up time has passed.
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

    /// Starts the warm-up, with a call at once if the sender is one of few. Many senders recover together,
    /// for example when hanging calls are answered, and a call of each at once would exceed the reduced
    /// capacity.
    pub(super) fn start_warm_up(&mut self, now: Micros, parameters: &Parameters) {
        self.breaker.state = BreakerState::WarmingUp { since: now };
        self.limiter.next_call_at = now;
        if parameters.has_many_senders() {
            self.delay_warm_up_call(now, parameters);
        }
    }

    /// Puts the next call of the warm-up at a random time within one interval.
    fn delay_warm_up_call(&mut self, now: Micros, parameters: &Parameters) {
        if let Some(rate) = self.allowed_rate(now, parameters) {
            self.limiter.next_call_at = now + (random_unit(&mut self.seed) * SECOND / rate) as Micros;
        }
    }

    /// Calls per second that are sent to a destination while it warms up; `None` in the other states.
    pub(super) fn warm_up_rate(&self, now: Micros, parameters: &Parameters) -> Option<f64> {
        let BreakerState::WarmingUp { since } = self.breaker.state else { return None };
        let settings = &parameters.settings;
        let progress = ((now - since) as f64 / parameters.warm_up).min(1.0);
        let capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * progress;
        Some((settings.overload_factor * capacity * self.breaker.healthy_rate).max(parameters.rate_floor))
    }
}
