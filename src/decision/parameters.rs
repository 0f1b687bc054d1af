//! The settings of a sender and the values that are derived from them alone.

use crate::estimators::SECOND;
use crate::interface::{Idempotency, Micros, Settings};

/// Senders are loaded unevenly: each may use up to this multiple of an even share of a common limit.
pub(super) const UNEVEN_SHARE_FACTOR: f64 = 2.0;
/// The latency objective and the resolution of timers are at least this.
const MIN_DURATION: Micros = 1_000;
/// Time constant of the decay of outcome counts, as a fraction of the warm-up time.
const OUTCOME_DECAY_FRACTION: f64 = 0.4;

/// The settings and the values derived from them. Durations are in microseconds.
pub(super) struct Parameters {
    pub(super) settings: Settings,
    /// The shortest latency objective of all classes.
    pub(super) latency_objective: f64,
    /// How long a destination warms up after an outage.
    pub(super) warm_up: f64,
    /// Time constant of the decay of outcome counts.
    pub(super) outcome_decay: f64,
    /// Number of senders, at least one.
    pub(super) senders: f64,
    /// Fraction of a common limit of all senders that this sender may use.
    pub(super) share: f64,
    /// The slowest useful rate in calls per second: one call per latency objective, or two per objective from
    /// all senders together.
    pub(super) min_rate: f64,
    /// The lowest rate limit in calls per second. It is lower than `min_rate`.
    pub(super) rate_floor: f64,
    /// The least latency that is assumed, derived from the latency objective.
    pub(super) min_latency: f64,
    /// Resolution of the timers of the host.
    pub(super) tick: Micros,
}

impl Parameters {
    pub(super) fn new(mut settings: Settings) -> Self {
        settings.max_retry_after = if settings.retry_after { settings.max_retry_after.max(0) } else { 0 };
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest = objectives.filter(|objective| *objective > 0).min();
        let latency_objective = shortest.unwrap_or(SECOND as Micros).max(MIN_DURATION) as f64;
        let warm_up = (settings.warm_up_time.max(settings.overload_window) as f64).max(latency_objective);
        let share = UNEVEN_SHARE_FACTOR / (settings.sender_count as f64).max(UNEVEN_SHARE_FACTOR);
        let min_rate = SECOND / latency_objective * share;
        Parameters {
            latency_objective,
            warm_up,
            outcome_decay: warm_up * OUTCOME_DECAY_FRACTION,
            senders: settings.sender_count.max(1) as f64,
            share,
            min_rate,
            rate_floor: min_rate / 4.0,
            min_latency: latency_objective / 16.0,
            tick: settings.min_turn_interval.max(MIN_DURATION),
            settings,
        }
    }

    /// Whether so many senders share limits that they must not call at the same time.
    pub(super) fn has_many_senders(&self) -> bool {
        self.share < 0.5
    }

    /// The latency objective divided by a whole number, in whole microseconds.
    pub(super) fn objective_divided_by(&self, divisor: Micros) -> Micros {
        self.latency_objective as Micros / divisor
    }

    /// Whether messages of a class must never be executed twice.
    pub(super) fn at_most_once(&self, class: usize) -> bool {
        self.settings.classes[class].idempotency == Idempotency::NotIdempotent
    }

    /// Additional age that a call must reach before it is cancelled if the cancellation loses a message.
    pub(super) fn cancellation_reserve(&self, at_most_once: bool) -> Micros {
        if at_most_once { self.objective_divided_by(2) } else { 0 }
    }
}
