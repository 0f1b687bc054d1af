//! Estimators: counters, averages and random numbers. Nothing in this module decides anything.

mod decaying_counter;
mod moving_average;
mod random;
mod rate_estimator;

pub(crate) use decaying_counter::DecayingCounter;
pub(crate) use moving_average::MovingAverage;
pub(crate) use random::{random_jitter, random_unit};
pub(crate) use rate_estimator::RateEstimator;

/// Microseconds in a second.
pub(crate) const SECOND: f64 = 1e6;
