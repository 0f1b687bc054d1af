//! Estimators: counters, averages, rates and random numbers. No decision is made here.

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
