//! The freshness bound of the endpoint list, and the intervals of calls to discovery that follow from it.
//!
//! The list in use must include each change:
//!
//! - as soon as the service has sent it, that is when it writes a response with the change, even if the
//!   response is lost; a change between the response to a watch and the call that continues the watch counts
//!   as sent, too;
//! - otherwise at the latest [`MAX_STALENESS`] after the service has the change and can be reached. Settings
//!   can shorten this time; other limits hold after a change of address, after a handover and during a long
//!   watch.
//!
//! Calls to an endpoint must stop within a grace period ([`Settings::drain_grace`]) after the list must
//! include its drain.
//!
//! The freshness bound follows from that: a list may be used for the maximum staleness plus the grace period
//! after the last moment at which it was known to be current, less the longest delay of the first byte of a
//! call ([`ListAgeBounds::usable_for`]). If the service may have sent a change that did not arrive, only the
//! grace period remains ([`ListAgeBounds::usable_after_missed_change`]). A list older than the bound is
//! stale, and no call to an endpoint starts.
//!
//! While a shared service is down, the list does not age, because the service cannot send a change. The list
//! of a local agent does not age either, because an agent is silent while it has no updates.
//!
//! The sum of the intervals below is the latest moment at which this process learns of a change while the
//! service can be reached. `docs/design.md` lists the sums; the property tests check them for all settings
//! and fleet sizes.

use super::service_load::ServiceLoad;
use crate::interface::Settings;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The maximum staleness: the list must include a change this long after the service had it and could be
/// reached, even if calls failed.
const MAX_STALENESS: Duration = Duration::from_secs(6);
/// After a failed call, the list must include a change that is older than this multiple of
/// [`Settings::max_list_age`].
const FAILED_CALL_STALENESS_FACTOR: u32 = 4;
/// The list must include a change this long after operators configured another address of the service.
const MAX_STALENESS_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);
/// The list must include a change this long after another process has handed over.
const MAX_STALENESS_AFTER_HANDOVER: Duration = Duration::from_secs(2);

/// The rate of calls that a shared service is expected to serve. All senders together stay below it while
/// calls succeed.
const SHARED_CALLS_PER_SECOND: f64 = 10.0;
/// The rate of all senders together while an overloaded service rejects calls. A rejection costs it less than
/// a response.
const SHARED_RETRIES_PER_SECOND: f64 = 20.0;
/// The longest retry interval of one sender. It limits the interval in a larger fleet, whose service has a
/// larger capacity.
const MAX_SHARED_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// The rate of all senders together while the service is down. It is low, so that they do not overload the
/// service when it is back.
const SHARED_OUTAGE_CALLS_PER_SECOND: f64 = 8.0;
/// The longest interval between the calls of one sender while the service is down.
const MAX_OUTAGE_INTERVAL: Duration = Duration::from_secs(10);

/// How long a local agent is asked to wait for a change, as a fraction of the maximum staleness.
const AGENT_WATCH_FRACTION: f64 = 1.0 / 3.0;
/// How long a service that few senders share is asked to wait for a change, as a fraction of the maximum
/// staleness. The rest of that time is left to detect a watch that gets no response, and to call again.
const SHARED_WATCH_FRACTION: f64 = 2.0 / 3.0;
/// The longest time for which a service keeps a call in its queue until it rejects it. A watch that has been
/// open for longer is accepted.
const LONGEST_QUEUE_TIME: Duration = Duration::from_millis(3500);
/// A watch that follows a prompt response, or a watch of a local agent, is accepted if it has been open for
/// longer than this.
const MIN_ESTABLISHED_WATCH: Duration = Duration::from_millis(1500);
/// How much longer than [`LONGEST_QUEUE_TIME`] a watch is meant to be open when the other one ends.
const QUEUE_TIME_MARGIN: Duration = Duration::from_secs(1);
/// The earliest start of a standby watch after that of the watch beside which it starts.
const MIN_STANDBY_DELAY: Duration = Duration::from_millis(1500);
/// The earliest and the latest start of the standby watches of a fleet, multiplied by the square root of the
/// number of senders: the service of a larger fleet accepts more calls a second. Until the earliest start, the
/// service accepts the first calls of a fleet that has started together.
const STANDBY_SPREAD: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3);
/// The longest time for which the service may be asked to wait for a change.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// The latest time after its start at which a watch is overdue, as a fraction of the maximum staleness.
const MAX_OVERDUE_FRACTION: f64 = 0.75;
/// The list must include a change that a watch without a response misses this long after the end of its wait,
/// if that is later than [`MAX_STALENESS`] after the start of the watch.
const MAX_STALENESS_AFTER_WAIT: Duration = Duration::from_secs(2);
/// The wait of the first watch after a failure in a large fleet. Its response shows that the service accepts
/// watches, before a watch with a long wait follows.
const FIRST_WATCH: Duration = Duration::from_millis(300);
/// The wait of a watch that verifies that the service accepts the call that continues a watch in time.
const VERIFICATION_WATCH: Duration = Duration::from_millis(100);
/// A response within this time always counts as prompt: the service accepts calls at once.
const MIN_PROMPT_RESPONSE: Duration = Duration::from_millis(150);
/// A call without a response this long after the end of its wait is overdue, and a hedge is made beside it.
/// This is the allowance for a service that responds fast.
const MIN_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);
/// The longest allowance for a response, for a service that responds slowly.
const MAX_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(1500);
/// The allowance for the response to a call with a short wait in a large fleet: the service handles the calls
/// of other senders first.
const LARGE_FLEET_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(2500);
/// The allowance for a response is this multiple of the usual response time of the service.
const RESPONSE_ALLOWANCE_FACTOR: u32 = 2;
/// The minimum interval between hedges to a shared service.
const SHARED_HEDGE_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between hedges to a local agent. It is short, because the list must include its changes as
/// soon as the agent responds again.
const AGENT_HEDGE_INTERVAL: Duration = Duration::from_millis(300);
/// A service that rejects calls for this long may be restarting.
const MIN_RESTART_DURATION: Duration = Duration::from_secs(1);
/// In a larger fleet, a service that rejects calls is more likely to be overloaded, and complete lists cost
/// it more than changes. There it is assumed to restart after this multiple of the fair interval.
const RESTART_INTERVALS: u32 = 2;
/// The first backoff after failed calls in a small fleet, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The first backoff in a larger fleet is its retry interval divided by this, because the calls of all
/// senders may have failed together.
const INITIAL_BACKOFF_DIVISOR: u32 = 8;
/// The longest backoff after failed calls to a service that few senders share, before jitter.
const SHARED_BACKOFF: Duration = Duration::from_secs(1);
/// The longest backoff after failed calls to a local agent, before jitter.
const AGENT_BACKOFF: Duration = Duration::from_millis(200);
/// If no bytes of a response arrive for this long and it has not ended, a hedge is made beside the call.
const RESPONSE_COMPLETION_ALLOWANCE: Duration = Duration::from_millis(150);
/// The time limit of establishing the first connection to a shared service. It is short, so that an outage is
/// detected soon.
const INITIAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit of establishing a connection to a local agent, which is near.
const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The time limit of establishing the connection of a standby watch.
const STANDBY_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest time limit of establishing a connection to a shared service, as a fraction of the maximum
/// staleness. It applies after failed connections, because the network may be slow.
const CONNECT_FRACTION: f64 = 0.5;

/// The longest pause of the process between reading its clock and writing.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);
/// The time that the runtime takes to handle an event, in addition to the time between two turns.
const EVENT_HANDLING: Duration = Duration::from_millis(50);

/// The bounds of the age of the endpoint list, computed from the settings alone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListAgeBounds {
    /// Whether all senders of the fleet call one service. Otherwise each has a local agent, to which updates
    /// are pushed.
    is_shared: bool,
    senders: f64,
    /// The list must include a change within this time, even if calls failed.
    max_staleness: Duration,
    /// The list must include a change within this time before the first call has ended.
    max_staleness_without_call: Duration,
    /// The grace period: new calls to an endpoint must stop within this time after the list must include its
    /// drain.
    drain_grace: Duration,
    turn_interval: Duration,
}

impl fmt::Display for ListAgeBounds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (senders, watch) = (self.senders, self.watch_duration(&ServiceLoad::new()));
        let service = if self.is_shared { "a shared service" } else { "a local agent" };
        write!(formatter, "{senders} senders, {service}, watches of {} ms", watch.as_millis())
    }
}

impl ListAgeBounds {
    /// Computes the bounds for these settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        let duration = |micros: i64| Duration::from_micros(micros.max(0).unsigned_abs());
        let max_list_age = duration(settings.max_list_age);
        let is_limited = settings.poll_discovery && !max_list_age.is_zero();
        let bounded_staleness =
            |limit: Duration| if is_limited { MAX_STALENESS.min(limit) } else { MAX_STALENESS };
        ListAgeBounds {
            is_shared: settings.poll_discovery,
            senders: settings.sender_count.max(1) as f64,
            max_staleness: bounded_staleness(max_list_age * FAILED_CALL_STALENESS_FACTOR),
            max_staleness_without_call: bounded_staleness(max_list_age),
            drain_grace: duration(settings.drain_grace),
            turn_interval: duration(settings.min_turn_interval),
        }
    }

    /// The interval between the calls of each sender, if all senders together make this many calls per
    /// second.
    fn fair_interval(&self, calls_per_second: f64) -> Duration {
        match self.is_shared {
            true => Duration::from_secs_f64(self.senders / calls_per_second),
            false => Duration::ZERO,
        }
    }

    /// How long the service is asked to wait for a change before it responds. In larger fleets, that is the
    /// fair interval between the calls of a sender. A loaded service is called less often and gets more time
    /// for a response.
    pub(super) fn watch_duration(&self, load: &ServiceLoad) -> Duration {
        if !self.is_shared {
            return whole_milliseconds(self.max_staleness.mul_f64(AGENT_WATCH_FRACTION));
        }
        let fair = self.fair_interval(SHARED_CALLS_PER_SECOND);
        if self.has_long_watches() {
            return whole_milliseconds(fair.mul_f64(load.interval_factor()).min(MAX_WATCH));
        }
        let longest =
            self.max_staleness.mul_f64(MAX_OVERDUE_FRACTION).saturating_sub(Self::response_allowance(load));
        whole_milliseconds(self.max_staleness.mul_f64(SHARED_WATCH_FRACTION).min(longest))
    }

    /// How long the service is asked to wait for a change by a watch beside another one that ends after
    /// `remaining`. It waits for as long as possible if the other one would end soon after it otherwise: one of
    /// the two is established when the other ends.
    pub(super) fn watch_duration_beside(&self, remaining: Duration, load: &ServiceLoad) -> Duration {
        let usual = self.watch_duration(load);
        if usual + LONGEST_QUEUE_TIME + QUEUE_TIME_MARGIN <= remaining { usual } else { MAX_WATCH }
    }

    /// How long the service is asked to wait for a change by a standby watch.
    pub(super) fn standby_duration() -> Duration {
        MAX_WATCH
    }

    /// How long after a list a standby watch starts. The senders of a fleet choose different times, because
    /// they receive a change at the same time.
    pub(super) fn standby_delay(&self) -> RangeInclusive<Duration> {
        let [earliest, latest] =
            [STANDBY_SPREAD.start(), STANDBY_SPREAD.end()].map(|delay| delay.mul_f64(self.senders.sqrt()));
        earliest.max(MIN_STANDBY_DELAY)..=latest.max(MIN_STANDBY_DELAY)
    }

    /// The longest time for which a service keeps a call in its queue until it rejects it.
    pub(super) fn longest_queue_time() -> Duration {
        LONGEST_QUEUE_TIME
    }

    /// How long a call has to be open so that the service must have accepted it. `follows_prompt_list` is true
    /// if the service has just responded promptly to another call.
    pub(super) fn established_after(&self, follows_prompt_list: bool) -> Duration {
        match self.is_shared && !follows_prompt_list {
            true => LONGEST_QUEUE_TIME,
            false => MIN_ESTABLISHED_WATCH,
        }
    }

    /// Whether watches are long: the fleet is so large that the fair interval exceeds the wait of a watch in
    /// a small fleet.
    pub(super) fn has_long_watches(&self) -> bool {
        self.fair_interval(SHARED_CALLS_PER_SECOND) > self.max_staleness.mul_f64(SHARED_WATCH_FRACTION)
    }

    /// The wait of the first watch after a failure.
    pub(super) fn first_watch_duration(&self, load: &ServiceLoad) -> Duration {
        if self.has_long_watches() { FIRST_WATCH } else { self.watch_duration(load) }
    }

    /// The wait of a watch that verifies that the service accepts calls in time.
    pub(super) fn verification_watch_duration() -> Duration {
        VERIFICATION_WATCH
    }

    /// The longest wait of a watch whose response shows that the service still accepts calls as it accepted
    /// this one.
    pub(super) fn longest_short_watch() -> Duration {
        FIRST_WATCH
    }

    /// Whether a call that the service accepted this long ago shows that it accepts calls within the grace
    /// period, so that a change between two calls of a watch arrives in time. A response within
    /// [`MIN_PROMPT_RESPONSE`] suffices where the grace period leaves hardly any time.
    pub(super) fn is_accepted_in_time(&self, acceptance_age: Duration) -> bool {
        acceptance_age <= self.usable_after_missed_change().max(MIN_PROMPT_RESPONSE)
    }

    /// How long after its start a call that asks the service to wait for `wait` is overdue.
    pub(super) fn overdue_after(&self, wait: Duration, load: &ServiceLoad) -> Duration {
        match self.has_long_watches() && wait <= FIRST_WATCH {
            true => wait + LARGE_FLEET_RESPONSE_ALLOWANCE,
            false => wait + Self::response_allowance(load),
        }
    }

    /// The freshness bound during a watch: how long a list may be used that was current at the start of the
    /// watch, while that watch is open and no call fails. The list need not include a change sooner that a
    /// watch without a response misses.
    pub(super) fn usable_during_watch(&self, wait: Duration) -> Duration {
        let staleness_limit = self.max_staleness.max(wait + MAX_STALENESS_AFTER_WAIT);
        (staleness_limit + self.drain_grace).saturating_sub(self.longest_write_delay())
    }

    fn response_allowance(load: &ServiceLoad) -> Duration {
        let usual = load.response_time() * RESPONSE_ALLOWANCE_FACTOR;
        usual.clamp(MIN_RESPONSE_ALLOWANCE, MAX_RESPONSE_ALLOWANCE)
    }

    /// The interval between hedges.
    pub(super) fn hedge_interval(&self) -> Duration {
        match self.is_shared {
            true => {
                let fair = self.fair_interval(SHARED_CALLS_PER_SECOND);
                fair.clamp(SHARED_HEDGE_INTERVAL, MAX_SHARED_RETRY_INTERVAL)
            }
            false => AGENT_HEDGE_INTERVAL,
        }
    }

    /// How long a service rejects calls until it is assumed to restart, so that the complete list is
    /// requested.
    pub(super) fn min_restart_duration(&self) -> Duration {
        MIN_RESTART_DURATION.max(self.fair_interval(SHARED_CALLS_PER_SECOND) * RESTART_INTERVALS)
    }

    /// The first backoff after a failure that is not a rejection, before jitter.
    pub(super) fn initial_backoff(&self) -> Duration {
        INITIAL_BACKOFF.max(self.retry_interval() / INITIAL_BACKOFF_DIVISOR)
    }

    /// The first backoff after a rejection, before jitter. All senders may have been rejected together, so it
    /// keeps them within the rate of retries from the first retry on.
    pub(super) fn initial_rejection_backoff(&self) -> Duration {
        self.initial_backoff().max(self.retry_interval())
    }

    /// The longest backoff after failed calls, before jitter.
    pub(super) fn longest_backoff(&self) -> Duration {
        match self.is_shared {
            true => SHARED_BACKOFF.max(self.retry_interval()),
            false => AGENT_BACKOFF,
        }
    }

    /// The longest backoff while the service is down, before jitter.
    pub(super) fn longest_outage_backoff(&self) -> Duration {
        match self.is_shared {
            true => {
                let fair = self.fair_interval(SHARED_OUTAGE_CALLS_PER_SECOND);
                fair.clamp(SHARED_BACKOFF, MAX_OUTAGE_INTERVAL).max(self.longest_backoff())
            }
            false => AGENT_BACKOFF,
        }
    }

    fn retry_interval(&self) -> Duration {
        self.fair_interval(SHARED_RETRIES_PER_SECOND).min(MAX_SHARED_RETRY_INTERVAL)
    }

    /// How long no bytes of an unfinished response may arrive until a hedge is made.
    pub(super) fn response_completion_allowance() -> Duration {
        RESPONSE_COMPLETION_ALLOWANCE
    }

    /// The time limit of a call that asks the service to wait for `wait`. It is long, because a slow response
    /// can still be of use; hedges are made beside it.
    pub(super) fn response_timeout(&self, wait: Duration) -> Duration {
        wait + self.max_staleness
    }

    /// The time limit of establishing the first connection to the service.
    pub(super) fn initial_connect_timeout(&self) -> Duration {
        if self.is_shared { INITIAL_CONNECT_TIMEOUT } else { AGENT_CONNECT_TIMEOUT }
    }

    /// The time limit of establishing the connection of a standby watch. It ends within the grace period.
    pub(super) fn standby_connect_timeout() -> Duration {
        STANDBY_CONNECT_TIMEOUT
    }

    /// The longest time limit of establishing a connection to the service. It is short for a local agent,
    /// which sends its changes as soon as it is back.
    pub(super) fn longest_connect_timeout(&self) -> Duration {
        if self.is_shared { self.max_staleness.mul_f64(CONNECT_FRACTION) } else { AGENT_CONNECT_TIMEOUT }
    }

    /// The freshness bound: how long after it was current a list may be used, if the service can be reached
    /// and no newer list arrives. It is the maximum staleness plus the grace period, less the longest delay
    /// of the first byte of a call.
    pub(super) fn usable_for(&self) -> Duration {
        (self.max_staleness + self.drain_grace).saturating_sub(self.longest_write_delay())
    }

    /// The freshness bound before the first response: how long after its start the first process with a state
    /// folder may use the list in its configuration, if the service sends nothing.
    pub(super) fn usable_without_call(&self) -> Duration {
        (self.max_staleness_without_call + self.drain_grace).saturating_sub(self.longest_write_delay())
    }

    /// How long after another address was configured the list must include the changes that the service there
    /// has.
    pub(super) fn max_staleness_after_address_change() -> Duration {
        MAX_STALENESS_AFTER_ADDRESS_CHANGE
    }

    /// The freshness bound after a change of address: how long after it the list from the old address may be
    /// used, if the service at the new one can be reached and sends nothing.
    pub(super) fn usable_after_address_change(&self) -> Duration {
        let difference = MAX_STALENESS.saturating_sub(MAX_STALENESS_AFTER_ADDRESS_CHANGE);
        self.usable_for().saturating_sub(difference)
    }

    /// The freshness bound after the service may have sent a change that did not arrive: the list must
    /// include such a change from the moment at which it was sent, so only the grace period remains.
    pub(super) fn usable_after_missed_change(&self) -> Duration {
        self.drain_grace.saturating_sub(self.longest_write_delay())
    }

    /// The freshness bound after a handover: how long after it the list of the predecessor may be used, if
    /// the service sends nothing.
    pub(super) fn usable_after_handover(&self) -> Duration {
        (MAX_STALENESS_AFTER_HANDOVER + self.drain_grace).saturating_sub(self.longest_write_delay())
    }

    /// How long a process waits for a shared service that is down to confirm its list. `None` for a local
    /// agent, where there is no limit: the agent may have had a change before this process started.
    pub(super) fn longest_confirmation_wait(&self) -> Option<Duration> {
        self.is_shared.then_some(self.max_staleness)
    }

    /// Whether other senders call the same service. Only then does the list age without a response: a local
    /// agent is silent while it has no updates.
    pub(super) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// The longest time between the decision to call an endpoint and the first byte of the call.
    fn longest_write_delay(&self) -> Duration {
        MAX_PROCESS_PAUSE + EVENT_HANDLING + self.turn_interval
    }
}

/// Rounds down to whole milliseconds, the unit of the protocol.
fn whole_milliseconds(duration: Duration) -> Duration {
    Duration::from_millis(duration.as_millis() as u64)
}

#[cfg(test)]
mod tests;
