//! Health, limits and circuit breaker of a route: a destination as a whole, or one of its endpoints where
//! routes are separate.

use crate::estimators::{DecayingCounter, MovingAverage, RateEstimator, SECOND, random_unit};
use crate::interface::{Micros, Outcome};
use std::collections::BTreeMap;

/// The state of a circuit breaker.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum BreakerState {
    /// Calls are sent as usual.
    #[default]
    Closed,
    /// The route is considered down: only probe calls are sent, none before `next_probe`.
    Open {
        /// The earliest time of the next probe.
        next_probe: Micros,
    },
    /// The route has recovered, and has its full capacity only after the warm-up time.
    WarmingUp {
        /// When the route recovered.
        since: Micros,
    },
}

/// The circuit breaker of a route.
#[derive(Default)]
pub(crate) struct CircuitBreaker {
    /// The state of the circuit breaker.
    pub(crate) state: BreakerState,
    /// Calls per second that the route accepted from this sender before the outage; 0 if unknown.
    pub(crate) healthy_rate: f64,
}

impl CircuitBreaker {
    /// Whether the route is considered down.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, BreakerState::Open { .. })
    }
}

/// Decayed counts of the outcomes of calls.
#[derive(Default)]
pub(crate) struct Health {
    /// Deliveries.
    pub(crate) successes: DecayingCounter,
    /// Failures that are evidence about the health of the route.
    pub(crate) failures: DecayingCounter,
    /// Failed calls that may have been executed.
    pub(crate) possible_executions: DecayingCounter,
    /// Failures since the last delivery.
    pub(crate) failures_in_a_row: u32,
}

impl Health {
    /// Counts a failure. `time_constant` is in microseconds.
    pub(crate) fn record_failure(&mut self, now: Micros, outcome: Outcome, time_constant: f64) {
        self.failures.add(now, time_constant);
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        if !outcome.never_executed() {
            self.possible_executions.add(now, time_constant);
        }
    }

    /// Forgets the failures before a recovery, which are no evidence about the health after it.
    pub(crate) fn forget_failures(&mut self) {
        self.failures = DecayingCounter::default();
        self.possible_executions = DecayingCounter::default();
    }
}

/// Average latencies of deliveries, in microseconds.
#[derive(Default)]
pub(crate) struct Latency {
    /// The long-term average.
    pub(crate) usual: MovingAverage,
    /// The short-term average.
    pub(crate) recent: MovingAverage,
}

/// The rate limits of a route, and when its next call is due. Rates are in calls per second. Rejections of
/// calls that were sent before the first rejection of a wave was received belong to that wave.
#[derive(Default)]
pub(crate) struct RateLimiter {
    /// The current limit of this sender, if there is one.
    pub(crate) limit: Option<f64>,
    /// The limit for all senders together that the destination reported.
    pub(crate) reported_limit: Option<f64>,
    /// The rate for all senders together from the endpoint list; 0 if none is listed.
    pub(crate) listed_rate: f64,
    /// When the next evenly spaced call is due.
    pub(crate) next_call_at: Micros,
    /// End of the longest wait that the destination asked for or that was chosen as backoff.
    pub(crate) wait_until: Micros,
    /// Whether the last call carried as many messages as a call may.
    pub(crate) last_call_full: bool,
    /// Waves of rejections since the last delivery.
    pub(crate) rejection_waves: u32,
    /// When the first rejection of the latest wave was received.
    pub(crate) last_rejection_wave: Micros,
    /// When the limit was last changed.
    pub(crate) limit_changed_at: Micros,
}

impl RateLimiter {
    /// Records that a call is sent now: the next call is due one interval later.
    pub(crate) fn record_call(&mut self, now: Micros, calls_per_second: f64) {
        self.next_call_at = self.next_call_at.max(now) + (SECOND / calls_per_second) as Micros;
    }

    /// Undoes [`RateLimiter::record_call`] for a call that was never sent.
    pub(crate) fn undo_call(&mut self, calls_per_second: f64) {
        self.next_call_at -= (SECOND / calls_per_second) as Micros;
    }

    /// Sets the limit of this sender, in calls per second.
    pub(crate) fn set_limit(&mut self, now: Micros, limit: f64) {
        self.limit = Some(limit);
        self.limit_changed_at = now;
    }

    /// Records the first rejection of a wave.
    pub(crate) fn record_rejection_wave(&mut self, now: Micros) {
        self.rejection_waves += 1;
        self.last_rejection_wave = now;
    }

    /// Prevents calls until a time. A longer wait stays in force.
    pub(crate) fn hold_until(&mut self, until: Micros) {
        self.wait_until = self.wait_until.max(until);
    }
}

/// Health, limits and circuit breaker of a destination, or of one of its endpoints where routes are separate.
pub(crate) struct Route {
    /// The circuit breaker, which allows only probe calls while it is open.
    pub(crate) breaker: CircuitBreaker,
    /// Recent outcomes of calls.
    pub(crate) health: Health,
    /// Average latencies of calls.
    pub(crate) latency: Latency,
    /// Limits and waits for new calls.
    pub(crate) limiter: RateLimiter,
    /// Rate of the calls that were sent.
    pub(crate) calls: RateEstimator,
    /// When each call in flight was sent, by the number of the call.
    pub(crate) in_flight: BTreeMap<u64, Micros>,
    /// When the last delivery was received.
    pub(crate) last_delivery: Micros,
    /// State of this route's random number generator.
    pub(crate) seed: u64,
}

impl Route {
    /// Number of calls in flight that are older than `age` and were sent at `since` or later.
    pub(crate) fn count_calls_older_than(&self, now: Micros, age: Micros, since: Micros) -> usize {
        let counts = |sent_at: &&Micros| now - **sent_at > age && **sent_at >= since;
        self.in_flight.values().filter(counts).count()
    }

    /// Records that a call is sent, and whether it carries as many messages as a call may. `time_constant` is
    /// in microseconds.
    pub(crate) fn record_sent_call(&mut self, call: u64, now: Micros, full: bool, time_constant: f64) {
        self.limiter.last_call_full = full;
        self.in_flight.insert(call, now);
        self.calls.add(now, time_constant);
    }

    /// Applies the wait, and the outage or warm-up, of another route to this one too.
    pub(crate) fn adopt_restrictions(&mut self, other: &Route) {
        self.limiter.hold_until(other.limiter.wait_until);
        if self.breaker.state == BreakerState::Closed {
            self.breaker.state = other.breaker.state;
        }
    }

    /// Forgets rates, limits and latencies. The wait, the outage or warm-up, recent outcomes and calls in
    /// flight are kept.
    pub(crate) fn forget_rates_and_latency(&mut self, now: Micros, seed: &mut u64) {
        let previous = std::mem::replace(self, Route::new(now, seed));
        self.adopt_restrictions(&previous);
        self.health = previous.health;
        self.in_flight = previous.in_flight;
    }

    /// Creates a route about which nothing is known. Its random numbers are derived from `seed`.
    pub(crate) fn new(now: Micros, seed: &mut u64) -> Self {
        random_unit(seed);
        let limiter = RateLimiter {
            next_call_at: now,
            wait_until: now,
            last_rejection_wave: now,
            limit_changed_at: now,
            ..RateLimiter::default()
        };
        Route {
            breaker: CircuitBreaker::default(),
            health: Health::default(),
            latency: Latency::default(),
            limiter,
            calls: RateEstimator::of(now, 0.0, now),
            in_flight: BTreeMap::new(),
            last_delivery: now,
            seed: *seed,
        }
    }
}
