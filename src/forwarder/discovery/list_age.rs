//! How old the endpoint list may become, and the intervals of calls to discovery that follow from it.
//!
//! The sum of the named intervals is the latest moment at which this process hears of a change while the service can be
//! reached. `docs/design.md` lists the sums; the property tests hold them for all settings and sizes of the fleet.

use super::service_load::ServiceLoad;
use crate::interface::Settings;
use std::fmt;
use std::time::Duration;

/// A change must be known this long after the service had it and could be reached, whatever happened to the calls.
const MAX_STALENESS: Duration = Duration::from_secs(6);
/// After a failed call, changes must be known that are older than this many maximum list ages.
const FAILED_CALL_STALENESS_FACTOR: u32 = 4;
/// A change must be known this long after operators configured another address of the service.
const MAX_STALENESS_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);
/// A change must be known this long after another process has handed over.
const MAX_STALENESS_AFTER_HANDOVER: Duration = Duration::from_secs(2);

/// The calls per second that a service which is shared by a fleet is expected to answer. All senders together stay
/// below this rate while calls succeed.
const SHARED_CALLS_PER_SECOND: f64 = 10.0;
/// The rate of all senders together while a crowded service rejects calls, which cost it less.
const SHARED_RETRIES_PER_SECOND: f64 = 20.0;
/// The longest interval between such calls of one sender: a service for a larger fleet has a larger capacity.
const MAX_SHARED_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// The rate of all senders together while the service is down. It is low, so that they do not crowd it when it returns.
const SHARED_OUTAGE_CALLS_PER_SECOND: f64 = 8.0;
/// The longest interval between such calls of one sender.
const MAX_OUTAGE_INTERVAL: Duration = Duration::from_secs(10);

/// The time for which the service of a sender of its own is asked to wait for a change, as a fraction of the largest
/// change age.
const AGENT_WATCH_FRACTION: f64 = 1.0 / 3.0;
/// The same for a service that few senders share. It leaves the rest of the age to detect a watch that gets no response,
/// and to ask again.
const SHARED_WATCH_FRACTION: f64 = 2.0 / 3.0;
/// The longest time for which the service may be asked to wait.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// The latest moment at which a watch is overdue, as a fraction of the largest change age from its start.
const MAX_OVERDUE_FRACTION: f64 = 0.75;
/// What a watch that has fallen silent misses must be known this long after the service should have responded, if that is
/// later than [`MAX_STALENESS`].
const MAX_STALENESS_AFTER_WAIT: Duration = Duration::from_secs(2);
/// A watch that shows whether the service has taken it up, before one that may wait for long.
const FIRST_WATCH: Duration = Duration::from_millis(300);
/// A watch that shows whether the service takes up calls that go on with a watch in time.
const VERIFICATION_WATCH: Duration = Duration::from_millis(100);
/// A response within this time is that of a service that takes up calls at once.
const MIN_PROMPT_RESPONSE: Duration = Duration::from_millis(150);
/// A call without a response after this time, in addition to the time that the service was asked to wait, is overdue:
/// another call is made beside it.
const MIN_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);
/// The same for a service that responds slowly.
const MAX_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(1500);
/// The same for a service that many senders share, which handles the calls of others first.
const LARGE_FLEET_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(2500);
/// A slow service is allowed this multiple of its usual response time.
const RESPONSE_ALLOWANCE_FACTOR: u32 = 2;
/// The least interval between calls to a shared service that are made beside overdue ones.
const SHARED_HEDGE_INTERVAL: Duration = Duration::from_secs(1);
/// The same where a sender has a service of its own. It must know changes as soon as that responds again.
const AGENT_HEDGE_INTERVAL: Duration = Duration::from_millis(300);
/// A service that rejects calls for this long may be restarting.
const MIN_RESTART_DURATION: Duration = Duration::from_secs(1);
/// In a larger fleet it is rather overloaded, and complete lists would cost it more than changes: there it is this
/// multiple of the fair interval.
const RESTART_INTERVALS: u32 = 2;
/// The backoff after the first failed call in a small fleet, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// A larger fleet starts with its longest backoff divided by this: all its senders may have failed together.
const INITIAL_BACKOFF_DIVISOR: u32 = 8;
/// The longest backoff after failed calls to a service that few senders share, before jitter.
const SHARED_BACKOFF: Duration = Duration::from_secs(1);
/// The same where a sender has a service of its own.
const AGENT_BACKOFF: Duration = Duration::from_millis(200);
/// If no bytes of a response arrive for this long and it has not ended, another call is made beside it.
const RESPONSE_COMPLETION_ALLOWANCE: Duration = Duration::from_millis(150);
/// A connection to the service that is not established in this time has failed. It is short, so that a service that is
/// down is known to be down soon.
const INITIAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The same where a sender has a service of its own, which is near.
const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The same after failed connections, as a fraction of the largest change age: the network may be slow.
const CONNECT_FRACTION: f64 = 0.5;

/// The process may be held up for this long between reading its clock and writing.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);
/// The time that the runtime takes to handle an event, beside the time between two turns.
const EVENT_HANDLING: Duration = Duration::from_millis(50);

/// The bounds of the age of the endpoint list, computed from the settings alone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListAgeBounds {
    /// Many senders call one service. Otherwise each has a service of its own, which updates are pushed to.
    is_shared: bool,
    senders: f64,
    /// The age at which a change must be known, also if calls failed.
    max_staleness: Duration,
    /// The same before the first call has ended.
    max_staleness_without_call: Duration,
    /// New calls to an endpoint must stop within this time after its drain must be known.
    drain_grace: Duration,
    turn_interval: Duration,
}

impl fmt::Display for ListAgeBounds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (senders, watch) = (self.senders, self.watch_duration(&ServiceLoad::new()));
        let service = if self.is_shared { "a shared service" } else { "an own service" };
        write!(formatter, "{senders} senders, {service}, watches of {} ms", watch.as_millis())
    }
}

impl ListAgeBounds {
    /// The bounds for these settings.
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

    /// The interval at which each sender of the fleet may call, if all of them together make this many calls per
    /// second.
    fn fair_interval(&self, calls_per_second: f64) -> Duration {
        match self.is_shared {
            true => Duration::from_secs_f64(self.senders / calls_per_second),
            false => Duration::ZERO,
        }
    }

    /// How long the service is asked to wait for a change before it responds. In larger fleets, that is the interval at
    /// which all senders together may call. `load` makes calls rarer and leaves more time for a response.
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

    /// Whether a watch may wait for longer than a list that is not known to be current may be used.
    pub(super) fn has_long_watches(&self) -> bool {
        self.fair_interval(SHARED_CALLS_PER_SECOND) > self.max_staleness.mul_f64(SHARED_WATCH_FRACTION)
    }

    /// How long the first watch after a failure waits.
    pub(super) fn first_watch_duration(&self, load: &ServiceLoad) -> Duration {
        if self.has_long_watches() { FIRST_WATCH } else { self.watch_duration(load) }
    }

    /// How long a watch waits that checks whether the service takes up calls in time.
    pub(super) fn verification_watch_duration() -> Duration {
        VERIFICATION_WATCH
    }

    /// Whether a watch that was answered so long after it could have been was taken up so soon that a change before that is
    /// known in time. Where the grace leaves next to no time for that, a usual response time suffices.
    pub(super) fn is_accepted_in_time(&self, response_time: Duration) -> bool {
        response_time <= self.usable_after_missed_change().max(MIN_PROMPT_RESPONSE)
    }

    /// When a call that asks the service to wait for `wait` is overdue, counted from its start.
    pub(super) fn overdue_after(&self, wait: Duration, load: &ServiceLoad) -> Duration {
        match self.has_long_watches() && wait <= FIRST_WATCH {
            true => wait + LARGE_FLEET_RESPONSE_ALLOWANCE,
            false => wait + Self::response_allowance(load),
        }
    }

    /// How long a list is acted on that was current when a watch began, while that watch is open and no call fails. What a
    /// watch that has fallen silent misses need not be known sooner.
    pub(super) fn usable_during_watch(&self, wait: Duration) -> Duration {
        let staleness_limit = self.max_staleness.max(wait + MAX_STALENESS_AFTER_WAIT);
        (staleness_limit + self.drain_grace).saturating_sub(self.longest_write_delay())
    }

    fn response_allowance(load: &ServiceLoad) -> Duration {
        let usual = load.response_time() * RESPONSE_ALLOWANCE_FACTOR;
        usual.clamp(MIN_RESPONSE_ALLOWANCE, MAX_RESPONSE_ALLOWANCE)
    }

    /// The least interval between calls that are made beside overdue ones.
    pub(super) fn hedge_interval(&self) -> Duration {
        match self.is_shared {
            true => {
                let fair = self.fair_interval(SHARED_CALLS_PER_SECOND);
                fair.clamp(SHARED_HEDGE_INTERVAL, MAX_SHARED_RETRY_INTERVAL)
            }
            false => AGENT_HEDGE_INTERVAL,
        }
    }

    /// How long a service rejects calls until it is assumed to restart, so that the complete list is requested.
    pub(super) fn min_restart_duration(&self) -> Duration {
        MIN_RESTART_DURATION.max(self.fair_interval(SHARED_CALLS_PER_SECOND) * RESTART_INTERVALS)
    }

    /// The backoff after the first connection that breaks, before jitter.
    pub(super) fn initial_backoff(&self) -> Duration {
        INITIAL_BACKOFF.max(self.retry_interval() / INITIAL_BACKOFF_DIVISOR)
    }

    /// The same after a rejection. All senders may have been rejected together, so that all of them together stay within
    /// the rate of retries from the first one on.
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

    /// For how long no bytes of a response may arrive until another call is made beside it.
    pub(super) fn response_completion_allowance() -> Duration {
        RESPONSE_COMPLETION_ALLOWANCE
    }

    /// The time limit of a call that asks the service to wait for `wait`. A slow response is awaited for as long as it
    /// can be of use; further calls are made beside it.
    pub(super) fn response_timeout(&self, wait: Duration) -> Duration {
        wait + self.max_staleness
    }

    /// The time limit of establishing the first connection to the service.
    pub(super) fn initial_connect_timeout(&self) -> Duration {
        if self.is_shared { INITIAL_CONNECT_TIMEOUT } else { AGENT_CONNECT_TIMEOUT }
    }

    /// The longest time limit of establishing a connection to the service. A service of its own tells what it has as soon as
    /// it is back, so that no attempt may last long.
    pub(super) fn longest_connect_timeout(&self) -> Duration {
        if self.is_shared { self.max_staleness.mul_f64(CONNECT_FRACTION) } else { AGENT_CONNECT_TIMEOUT }
    }

    /// How long after it was current a list is still acted on, if the service can be reached and tells nothing newer.
    /// Each change since must be known after [`Self::max_staleness`], and calls must stop within the grace after that.
    /// It is shorter by the time that a call may be held up until its first byte.
    pub(super) fn usable_for(&self) -> Duration {
        (self.max_staleness + self.drain_grace).saturating_sub(self.longest_write_delay())
    }

    /// How long after its start the first process with a state folder acts on the list in its configuration, if the service
    /// tells nothing.
    pub(super) fn usable_without_call(&self) -> Duration {
        (self.max_staleness_without_call + self.drain_grace).saturating_sub(self.longest_write_delay())
    }

    /// How long after another address of the service was configured a change must be known that it has.
    pub(super) fn max_staleness_after_address_change() -> Duration {
        MAX_STALENESS_AFTER_ADDRESS_CHANGE
    }

    /// How long the last list is still acted on after the address of the service has changed, if the new address can be
    /// reached and tells nothing.
    pub(super) fn usable_after_address_change(&self) -> Duration {
        let difference = MAX_STALENESS.saturating_sub(MAX_STALENESS_AFTER_ADDRESS_CHANGE);
        self.usable_for().saturating_sub(difference)
    }

    /// How long the list is still acted on after the last bytes of a response that was not read to its end. What it tells
    /// must be known from the moment in which it was written.
    pub(super) fn usable_after_missed_change(&self) -> Duration {
        self.drain_grace.saturating_sub(self.longest_write_delay())
    }

    /// How long the list of a process that has handed over to this one is still acted on, if the service tells nothing.
    pub(super) fn usable_after_handover(&self) -> Duration {
        (MAX_STALENESS_AFTER_HANDOVER + self.drain_grace).saturating_sub(self.longest_write_delay())
    }

    /// How long a process waits for a shared service that is down to confirm its list. `None` if there is no limit: an agent
    /// may have had a change before this process started.
    pub(super) fn longest_confirmation_wait(&self) -> Option<Duration> {
        self.is_shared.then_some(self.max_staleness)
    }

    /// Whether other senders call the same service. If so, a list that is too old is not acted on; a service that sends
    /// updates to its own sender only is silent while it has none itself.
    pub(super) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// The longest time between a decision to call an endpoint and the first byte.
    fn longest_write_delay(&self) -> Duration {
        MAX_PROCESS_PAUSE + EVENT_HANDLING + self.turn_interval
    }
}

/// The protocol counts in whole milliseconds.
fn whole_milliseconds(duration: Duration) -> Duration {
    Duration::from_millis(duration.as_millis() as u64)
}

#[cfg(test)]
mod tests;
