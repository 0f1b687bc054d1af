//! When the next call to the discovery service is made, and what it asks for.

use super::list_age::{FollowMode, ListAgeBounds};
use super::open_calls::CallLimits;
use super::poll_pacer::PollPacer;
use super::request::{ListQuery, PollError};
use super::service_load::ServiceLoad;
use crate::forwarder::discovery_client::Backoff;
use std::time::Duration;

/// Calls of a watching sender that may be open at once: the watch, and those made beside it while it is overdue.
const MAX_OPEN_CALLS_OF_WATCH: usize = 6;
/// Of the calls that are made beside an overdue one, those are kept open that are this far apart.
const KEPT_CALL_INTERVAL: Duration = Duration::from_millis(1500);
/// Calls of a polling sender that may be open at once. A slow service gets no more calls than a fast one.
const MAX_OPEN_CALLS_OF_POLL: usize = 2;

/// How a sender follows the list.
enum Strategy {
    /// Each call waits for a change. Failed ones are retried after a backoff.
    Watch(WatchPacer),
    /// The complete list is polled.
    Poll(PollPacer),
}

/// The delays between the calls of a watching sender.
pub(super) struct WatchPacer {
    /// After rejections: the service has too many calls, or is down.
    rejected: Backoff,
    /// After other failures. The response may have been written and lost.
    broken: Backoff,
}

impl WatchPacer {
    /// A pacer that has made no call yet.
    pub(super) fn new(bounds: &ListAgeBounds, seed: u64) -> Self {
        let longest = bounds.longest_backoff();
        WatchPacer {
            rejected: Backoff::with_jitter(bounds.initial_rejection_backoff(), longest, seed),
            broken: Backoff::with_jitter(bounds.initial_backoff(), longest, seed),
        }
    }

    pub(super) fn reset(&mut self) {
        self.rejected.reset();
        self.broken.reset();
    }

    /// The delay between a failed call and the next one.
    pub(super) fn delay_after_failure(&mut self, is_rejection: bool) -> Duration {
        if is_rejection { self.rejected.next_delay() } else { self.broken.next_delay() }
    }
}

/// Chooses the queries and the delays between them.
pub(super) struct CallSchedule {
    bounds: ListAgeBounds,
    load: ServiceLoad,
    /// The time limit of establishing a connection. It doubles with each connection that is not established.
    connect_timeout: Duration,
    strategy: Strategy,
}

impl CallSchedule {
    /// The schedule that these bounds ask for. `seed` determines the jitter.
    pub(super) fn new(bounds: ListAgeBounds, seed: u64) -> Self {
        let strategy = match bounds.mode() {
            FollowMode::Watch => Strategy::Watch(WatchPacer::new(&bounds, seed)),
            FollowMode::Poll => Strategy::Poll(PollPacer::new(bounds, seed)),
        };
        CallSchedule {
            bounds,
            load: ServiceLoad::new(),
            connect_timeout: ListAgeBounds::initial_connect_timeout(),
            strategy,
        }
    }

    /// The delay of the first call. A list that is known already need not be requested at once by a whole fleet.
    pub(super) fn first_delay(&mut self, list_is_known: bool) -> Duration {
        match &mut self.strategy {
            Strategy::Poll(pacer) if list_is_known => pacer.first_delay(),
            Strategy::Poll(_) | Strategy::Watch(_) => Duration::ZERO,
        }
    }

    /// What the next call asks for. `known_revision` is the revision of the list in use, if changes to it suffice. A
    /// call beside an overdue one asks for the complete list: a change may have been lost with its response.
    pub(super) fn query(&self, known_revision: Option<u64>, beside_overdue: bool) -> ListQuery {
        match (&self.strategy, known_revision) {
            (Strategy::Watch(_), Some(since_revision)) if !beside_overdue => {
                ListQuery::Changes { since_revision, wait: self.bounds.watch_duration(&self.load) }
            }
            _ => ListQuery::Complete,
        }
    }

    /// The calls that may be open at once.
    pub(super) fn max_open_calls(&self) -> usize {
        match &self.strategy {
            Strategy::Watch(_) => MAX_OPEN_CALLS_OF_WATCH,
            Strategy::Poll(_) => MAX_OPEN_CALLS_OF_POLL,
        }
    }

    /// The least time between two calls that are both kept open.
    pub(super) fn kept_call_interval(&self) -> Duration {
        match &self.strategy {
            Strategy::Watch(_) => KEPT_CALL_INTERVAL,
            Strategy::Poll(_) => Duration::ZERO,
        }
    }

    /// The time after which a call is overdue.
    pub(super) fn overdue_after(&self, query: ListQuery, beside_overdue: bool) -> Duration {
        match &self.strategy {
            Strategy::Watch(_) if beside_overdue => self.bounds.overlap_interval(),
            Strategy::Watch(_) => ListAgeBounds::overdue_after(query.wait(), &self.load),
            Strategy::Poll(pacer) => pacer.overdue_after(),
        }
    }

    /// For how long no bytes of a response may arrive until another call is made beside it.
    pub(super) fn response_completion_allowance(&self) -> Duration {
        match &self.strategy {
            Strategy::Watch(_) => ListAgeBounds::response_completion_allowance(),
            Strategy::Poll(pacer) => pacer.overdue_after(),
        }
    }

    /// The time limits of a call.
    pub(super) fn limits(&self, query: ListQuery) -> CallLimits {
        CallLimits { connect: self.connect_timeout, response: self.bounds.response_timeout(query.wait()) }
    }

    /// The delay between a list and the next call. The list arrived `response_time` after the service could have sent it.
    pub(super) fn delay_after_list(&mut self, response_time: Duration) -> Duration {
        self.load.record_list(response_time);
        self.connect_timeout = ListAgeBounds::initial_connect_timeout();
        match &mut self.strategy {
            Strategy::Watch(pacer) => {
                pacer.reset();
                Duration::ZERO
            }
            Strategy::Poll(pacer) => pacer.delay_after_list(),
        }
    }

    /// The delay between a failed call and the next one.
    pub(super) fn delay_after_failure(&mut self, error: &PollError) -> Duration {
        self.load.record_failure();
        if error.is_connect_failure() {
            self.connect_timeout = (self.connect_timeout * 2).min(self.bounds.longest_connect_timeout());
        }
        match &mut self.strategy {
            Strategy::Watch(pacer) => pacer.delay_after_failure(error.is_rejection()),
            Strategy::Poll(pacer) => pacer.delay_after_failure(error.is_rejection()),
        }
    }

    /// The delay between the moment when a call becomes overdue and the next one.
    pub(super) fn delay_after_overdue(&mut self) -> Duration {
        self.load.record_failure();
        match &mut self.strategy {
            Strategy::Watch(_) => Duration::ZERO,
            Strategy::Poll(pacer) => pacer.delay_after_failure(false),
        }
    }

    /// Forgets the failures of calls to an address that is no longer used.
    pub(super) fn change_address(&mut self) {
        self.load = ServiceLoad::new();
        self.connect_timeout = ListAgeBounds::initial_connect_timeout();
        if let Strategy::Watch(pacer) = &mut self.strategy {
            pacer.reset();
        }
    }
}
