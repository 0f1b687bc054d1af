//! Updates of a route by calls and their outcomes, and when the route is ready for the next call.

use super::health::{RECENT_LATENCY_GAIN, USUAL_LATENCY_GAIN};
use super::{Parameters, rate_limiter::BURST_SECONDS};
use crate::estimators::SECOND;
use crate::interface::{AttemptEnded, Micros, Outcome};
use crate::sender_state::{BreakerState, Route};

impl Route {
    /// Calls per second of this sender, over the warm-up time or since the route became known.
    pub(super) fn own_rate(&self, now: Micros, parameters: &Parameters) -> f64 {
        self.calls.per_second(now, parameters.warm_up, parameters.latency_objective)
    }

    /// Calls per second that are allowed now; `None` if nothing limits them.
    pub(super) fn allowed_rate(&self, now: Micros, parameters: &Parameters) -> Option<f64> {
        let limit = self.limiter.limit.map(|limit| limit.max(parameters.rate_floor));
        let Some(rate) = self.warm_up_rate(now, parameters) else { return limit };
        Some(limit.map_or(rate, |limit| limit.min(rate)))
    }

    /// The earliest time at which a call may be sent.
    pub(super) fn ready_at(&self) -> Micros {
        let limiter = &self.limiter;
        let spaced = match self.breaker.state {
            BreakerState::Open { next_probe } => next_probe,
            BreakerState::WarmingUp { .. } => limiter.next_call_at,
            BreakerState::Closed if limiter.limit.is_none() => limiter.wait_until,
            BreakerState::Closed => limiter.next_call_at - (BURST_SECONDS * SECOND) as Micros,
        };
        limiter.wait_until.max(spaced)
    }

    /// Records a call that is sent now. A `full` call carries as many messages as a call may.
    pub(super) fn record_call(&mut self, call: u64, now: Micros, full: bool, parameters: &Parameters) {
        if let Some(rate) = self.allowed_rate(now, parameters) {
            self.limiter.record_call(now, rate);
        }
        self.record_sent_call(call, now, full, parameters.warm_up);
        if self.breaker.is_open() {
            self.schedule_probe(now, parameters);
        }
    }

    /// Updates health, latency, limit and circuit breaker by the outcome of a call.
    pub(super) fn record_outcome(&mut self, now: Micros, end: &AttemptEnded, parameters: &Parameters) {
        match end.outcome {
            Outcome::Delivered => {
                self.health.successes.add(now, parameters.outcome_decay);
                self.health.failures_in_a_row = 0;
                self.last_delivery = now;
                self.latency.usual.add(end.elapsed as f64, USUAL_LATENCY_GAIN);
                self.latency.recent.add(end.elapsed as f64, RECENT_LATENCY_GAIN);
                self.increase_limit(now, parameters);
                self.recover(now, parameters);
            }
            Outcome::Rejected { retry_after } => {
                self.decrease_limit(now, now - end.elapsed, parameters);
                self.back_off(now, retry_after, parameters);
            }
            // Invalid responses and stale connections are no evidence about the health of the destination.
            Outcome::NotSent | Outcome::InvalidResponse | Outcome::StaleConnection => {}
            outcome => {
                self.health.record_failure(now, outcome, parameters.outcome_decay);
                if self.failures_show_outage(now, parameters) {
                    self.open_breaker(now, parameters);
                }
            }
        }
    }
}
