//! The rate limit of a route: additive increase, multiplicative decrease, and backoff after rejections.

use super::parameters::{Parameters, UNEVEN_SHARE_FACTOR};
use crate::estimators::{SECOND, random_jitter, random_unit};
use crate::interface::Micros;
use crate::sender_state::Route;

/// A wave of rejections multiplies the limit by this.
const DECREASE_FACTOR: f64 = 0.7;
/// Additive increase of the limit per second, as a fraction of the sender's own share or, if higher, of the
/// limit plus `min_rate`.
const INCREASE_PER_SECOND: f64 = 0.08;
/// Size of a burst without spacing: the calls that the limit allows in this time.
pub(super) const BURST_SECONDS: f64 = 0.3;
/// If many senders share a limit, the longest backoff, in call intervals at one sender's share of it.
const MAX_BACKOFF_INTERVALS: f64 = 4.0;
/// The backoff doubles with each consecutive wave of rejections, up to this many.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// This many consecutive waves of rejections without a Retry-After indicate an outage and not a limit.
const OUTAGE_REJECTION_WAVES: u32 = 4;
/// A reported limit is plausible if it is within this factor of the listed rate.
const PLAUSIBLE_REPORT_FACTOR: f64 = 10.0;
/// The rate that is assumed where none is listed. A report is then plausible within the square of
/// `PLAUSIBLE_REPORT_FACTOR`.
const UNLISTED_CALLS_PER_SECOND: f64 = 10.0;

impl Route {
    /// Sets the first limit to a share of the listed rate, if a rate is listed and no limit is known.
    pub(super) fn start_limiter(&mut self, now: Micros, batch: usize, parameters: &Parameters) {
        let listed_rate = self.limiter.listed_rate;
        if listed_rate <= 0.0 || self.limiter.limit.is_some() {
            return;
        }
        let share = if batch > 1 { 1.0 / parameters.senders } else { 1.0 };
        let many_senders = parameters.has_many_senders();
        let limit = listed_rate * if many_senders { share.min(parameters.share) } else { share };
        self.limiter.limit = Some(limit);
        // Many senders may start together, after a restart or with a new endpoint: their calls are spread.
        if many_senders {
            let first_delay = random_unit(&mut self.seed) / limit.max(parameters.min_rate);
            self.limiter.next_call_at = now + ((BURST_SECONDS + first_delay) * SECOND) as Micros;
        }
    }

    /// Calls per second that this sender may use of the reported limit for all senders or, if none was
    /// reported, of the listed rate, which is reduced because it is approximate.
    pub(super) fn own_share(&self, parameters: &Parameters) -> f64 {
        let limiter = &self.limiter;
        limiter.reported_limit.unwrap_or(limiter.listed_rate / UNEVEN_SHARE_FACTOR) * parameters.share
    }

    /// Applies a reported limit unless it is implausible: recovery from a wrong limit would take long.
    pub(super) fn record_reported_limit(&mut self, reported: f64, batch: usize, parameters: &Parameters) {
        let limiter = &mut self.limiter;
        let is_listed = limiter.listed_rate > 0.0;
        let expected = if is_listed { limiter.listed_rate } else { UNLISTED_CALLS_PER_SECOND };
        let factor = if is_listed { PLAUSIBLE_REPORT_FACTOR } else { PLAUSIBLE_REPORT_FACTOR.powi(2) };
        if !(expected / factor..=expected * factor).contains(&reported) {
            return;
        }
        if limiter.reported_limit.is_none() {
            limiter.limit = Some(if batch > 1 { reported / parameters.senders } else { reported });
        }
        limiter.reported_limit = Some(reported);
    }

    /// Increases the limit after a delivery, in proportion to the time since its last change. Frequent calls
    /// that are not full do not test the limit, and do not increase it.
    pub(super) fn increase_limit(&mut self, now: Micros, parameters: &Parameters) {
        self.limiter.rejection_waves = 0;
        let Some(limit) = self.limiter.limit else { return };
        if !self.limiter.last_call_full && SECOND / limit <= parameters.latency_objective / 4.0 {
            return;
        }
        let max = parameters.warm_up / SECOND;
        let elapsed = ((now - self.limiter.limit_changed_at) as f64 / SECOND).clamp(0.0, max);
        let scale = (limit + parameters.min_rate).max(self.own_share(parameters));
        let increased = limit + elapsed * INCREASE_PER_SECOND * scale;
        let increased = self.limiter.reported_limit.map_or(increased, |max| increased.min(max));
        self.limiter.set_limit(now, increased);
    }

    /// Decreases the limit, once for all calls sent before the first rejection of a wave was received. The
    /// rate of very few calls is discounted: otherwise many senders with rare calls would each stay far above
    /// their share.
    pub(super) fn decrease_limit(&mut self, now: Micros, sent_at: Micros, parameters: &Parameters) {
        if sent_at < self.limiter.last_rejection_wave {
            return;
        }
        self.limiter.record_rejection_wave(now);
        let share = self.own_share(parameters);
        let is_shared = share > 0.0 && parameters.has_many_senders();
        let floor = if is_shared { share / MAX_BACKOFF_INTERVALS } else { parameters.rate_floor };
        let confidence = 1.0 - 1.0 / self.calls.count(now, parameters.warm_up).max(1.0);
        let sent_rate = (self.own_rate(now, parameters) * confidence).max(share);
        let base = self.limiter.limit.map_or(sent_rate, |limit| limit.min(sent_rate));
        self.limiter.set_limit(now, (base * DECREASE_FACTOR).max(floor));
    }

    /// Delays calls after a rejection. Many waves without a Retry-After, or a long Retry-After, indicate an
    /// outage.
    pub(super) fn back_off(&mut self, now: Micros, retry_after: Option<Micros>, parameters: &Parameters) {
        let wait = retry_after.unwrap_or(0).max(self.rejection_backoff(parameters));
        self.limiter.hold_until(now + wait);
        let many_waves = self.limiter.rejection_waves >= OUTAGE_REJECTION_WAVES;
        if retry_after.map_or(many_waves, |wait| wait as f64 > parameters.warm_up / 4.0) {
            self.open_breaker(now, parameters);
        }
    }

    /// Returns the backoff. Each wave doubles it, since rejected calls may use up the limit themselves.
    fn rejection_backoff(&mut self, parameters: &Parameters) -> Micros {
        let share = self.own_share(parameters);
        let many_senders = parameters.has_many_senders();
        let rate = self.limiter.limit.unwrap_or(parameters.min_rate).max(parameters.rate_floor);
        let longest = if share > 0.0 && many_senders {
            MAX_BACKOFF_INTERVALS * SECOND / share
        } else {
            parameters.latency_objective * (1.0 / parameters.share).min(4.0)
        };
        let doubled =
            SECOND / rate * f64::from(1u32 << self.limiter.rejection_waves.min(MAX_BACKOFF_DOUBLINGS));
        let jitter = if many_senders { random_jitter(&mut self.seed) } else { 1.0 };
        ((doubled / 2.0).min(longest) * jitter) as Micros
    }
}
