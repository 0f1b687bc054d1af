//! The health of a route, judged by recent outcomes, latencies and the age of the calls in flight.

use super::parameters::Parameters;
use crate::estimators::{DecayingCounter, SECOND};
use crate::interface::Micros;
use crate::sender_state::{BreakerState, Latency, Route};

/// Assumed earlier successes, so that a destination does not count as degraded after a few samples.
const PRIOR_SUCCESSES: f64 = 3.0;
/// A destination is degraded if more than this fraction of its recent outcomes are failures.
const DEGRADED_FAILURE_SHARE: f64 = 0.2;
/// Decayed count of failures that indicates an outage, if the failures outnumber the successes.
const OUTAGE_FAILURES: f64 = 2.5;
/// Consecutive failures that indicate an outage, if the last delivery is longer ago than the age from which a
/// call is overdue.
const OUTAGE_FAILURES_IN_A_ROW: u32 = 4;
/// Weight of one delivery in the long-term average latency (tens of calls).
pub(super) const USUAL_LATENCY_GAIN: f64 = 0.05;
/// Weight of one delivery in the short-term average latency (a few calls).
pub(super) const RECENT_LATENCY_GAIN: f64 = 0.3;
/// A route is slow once its recent latency exceeds this multiple of the usual one.
const SLOW_FACTOR: f64 = 3.0;
/// A call is overdue once it has been in flight for this multiple of the latency.
const OVERDUE_FACTOR: f64 = 4.0;
/// The least age from which a call is overdue if call slots are scarce: the latency objective divided by
/// this.
const SCARCE_SLOTS_OBJECTIVE_DIVISOR: f64 = 8.0;

impl Latency {
    /// Age from which a call is overdue, judged by the usual latency.
    pub(super) fn overdue_age(&self, parameters: &Parameters) -> Micros {
        (OVERDUE_FACTOR * self.usual.get()).max(parameters.latency_objective / 2.0) as Micros
    }

    /// Age from which a call is overdue, judged by both the usual and the recent latency.
    pub(super) fn lost_age(&self, parameters: &Parameters) -> Micros {
        self.overdue_age(parameters).max((OVERDUE_FACTOR * self.recent.get()) as Micros)
    }

    /// Age from which a call is overdue while messages wait for its slot.
    pub(super) fn overdue_age_with_scarce_slots(&self, parameters: &Parameters) -> Micros {
        let latency = self.usual.get().max(self.recent.get());
        let least = parameters.latency_objective / SCARCE_SLOTS_OBJECTIVE_DIVISOR;
        let age = (OVERDUE_FACTOR * latency).max(least) as Micros;
        if latency > 0.0 { age } else { self.overdue_age(parameters) }
    }
}

impl Route {
    /// Whether the failures indicate an outage, by their number or because nothing is delivered any more:
    /// slow failures take long to outnumber the successes of a busy period.
    pub(super) fn failures_show_outage(&self, now: Micros, parameters: &Parameters) -> bool {
        let nothing_delivered = now - self.last_delivery > self.latency.overdue_age(parameters);
        self.failures_outnumber_successes(now, parameters)
            || (nothing_delivered && self.health.failures_in_a_row >= OUTAGE_FAILURES_IN_A_ROW)
    }

    /// Whether recent failures outnumber successes. At few calls per second, fewer failures are required.
    fn failures_outnumber_successes(&self, now: Micros, parameters: &Parameters) -> bool {
        let failures = self.health.failures.get(now, parameters.outcome_decay);
        let half_expected_calls = self.own_rate(now, parameters) * parameters.outcome_decay / SECOND / 2.0;
        let min_failures = OUTAGE_FAILURES.min(half_expected_calls.max(OUTAGE_FAILURES * parameters.share));
        failures >= min_failures && failures > self.health.successes.get(now, parameters.outcome_decay)
    }

    /// Whether many calls fail after a possible execution, which loses messages that must not be executed
    /// twice.
    pub(super) fn loses_calls(&self, now: Micros, parameters: &Parameters) -> bool {
        self.is_frequent(&self.health.possible_executions, now, parameters)
    }

    /// Whether failures of a kind are a large fraction of the recent outcomes.
    fn is_frequent(&self, failures: &DecayingCounter, now: Micros, parameters: &Parameters) -> bool {
        let failures = failures.get(now, parameters.outcome_decay);
        let successes = self.health.successes.get(now, parameters.outcome_decay);
        failures / (failures + successes + PRIOR_SUCCESSES) > DEGRADED_FAILURE_SHARE
    }

    /// Number of overdue calls, without those sent so long before the last delivery that their responses are
    /// lost.
    pub(super) fn overdue_calls(&self, now: Micros, parameters: &Parameters) -> usize {
        let age = self.latency.overdue_age(parameters);
        self.count_calls_older_than(now, age, self.last_delivery - age)
    }

    /// Whether the lower cap on calls in flight applies.
    pub(super) fn is_degraded(&self, now: Micros, parameters: &Parameters) -> bool {
        self.breaker.state != BreakerState::Closed
            || self.latency.recent.get() > SLOW_FACTOR * self.latency.usual.get()
            || self.is_frequent(&self.health.failures, now, parameters)
            || self.overdue_calls(now, parameters) > 0
    }
}
