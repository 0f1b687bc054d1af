//! Determines when the next call to the discovery service is made, and what it asks for.

use super::list_age::ListAgeBounds;
use super::outage_detector::FailureKind;
use super::request::ListQuery;
use super::service_load::ServiceLoad;
use crate::estimators::random_unit;
use crate::forwarder::discovery_client::{Backoff, CallLimits};
use std::time::Duration;

/// The context of a call, on which its query and its timing depend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallContext {
    /// The first call, whose response confirms the list in use.
    First,
    /// A call right after a response with a list.
    AfterList,
    /// A call right after a response to a watch that may have arrived so late that the service may not accept
    /// this call in time.
    AfterPossiblyLateList,
    /// A watch beside the only open one. It is established when that one ends, so that a change between the end
    /// and the next call is noticed.
    Standby,
    /// A call after one that failed.
    AfterFailure,
    /// A call beside one that is overdue and still open, with whose response a change may have been lost.
    Hedge,
}

/// Chooses the queries and the delays between them.
pub(super) struct CallSchedule {
    bounds: ListAgeBounds,
    load: ServiceLoad,
    /// The time limit of establishing a connection. It doubles after each connection that is not established,
    /// up to a maximum.
    connect_timeout: Duration,
    backoffs: Backoffs,
    /// The state of the random generator of the delays of standby watches.
    jitter_state: u64,
}

/// The delays between failed calls and the next ones.
struct Backoffs {
    /// After rejections: the service is overloaded.
    rejected: Backoff,
    /// While the service is down, or cannot be told from one that is.
    outage: Backoff,
    /// After other failures. The response may have been written and lost.
    broken: Backoff,
}

impl Backoffs {
    fn new(bounds: &ListAgeBounds, seed: u64) -> Self {
        let longest = bounds.longest_backoff();
        let after_rejection = bounds.initial_rejection_backoff();
        Backoffs {
            rejected: Backoff::with_jitter(after_rejection, longest, seed),
            outage: Backoff::with_jitter(after_rejection, bounds.longest_outage_backoff(), seed),
            broken: Backoff::with_jitter(bounds.initial_backoff(), longest, seed),
        }
    }

    fn reset(&mut self) {
        self.rejected.reset();
        self.outage.reset();
        self.broken.reset();
    }
}

impl CallSchedule {
    /// Creates the schedule for these bounds. `seed` determines the jitter.
    pub(super) fn new(bounds: ListAgeBounds, seed: u64) -> Self {
        CallSchedule {
            bounds,
            load: ServiceLoad::new(),
            connect_timeout: bounds.initial_connect_timeout(),
            backoffs: Backoffs::new(&bounds, seed),
            // The random generator would return zero forever if its state were zero.
            jitter_state: seed | 1,
        }
    }

    /// What the next call asks for. `known_revision` is the revision since which changes are requested;
    /// `is_confirmed` is true if the service has confirmed the list in use. `other_watch` is the time until the
    /// end of the watch that is open already.
    pub(super) fn query(
        &self,
        known_revision: Option<u64>,
        context: CallContext,
        is_confirmed: bool,
        other_watch: Option<Duration>,
    ) -> ListQuery {
        let Some(since_revision) = known_revision else { return ListQuery::Complete };
        let wait = match context {
            CallContext::Hedge => return ListQuery::Complete,
            CallContext::Standby => ListAgeBounds::standby_duration(),
            CallContext::AfterList => match other_watch {
                Some(remaining) => self.bounds.watch_duration_beside(remaining, &self.load),
                None => self.bounds.watch_duration(&self.load),
            },
            CallContext::AfterPossiblyLateList => ListAgeBounds::verification_watch_duration(),
            CallContext::AfterFailure if self.bounds.has_long_watches() || is_confirmed => {
                self.bounds.first_watch_duration(&self.load)
            }
            // The service responds at once, and briefly if nothing has changed.
            CallContext::First | CallContext::AfterFailure => Duration::ZERO,
        };
        ListQuery::Changes { since_revision, wait }
    }

    /// How long after a list a standby watch starts.
    pub(super) fn standby_delay(&mut self) -> Duration {
        let (earliest, latest) = self.bounds.standby_delay().into_inner();
        earliest + latest.saturating_sub(earliest).mul_f64(random_unit(&mut self.jitter_state))
    }

    /// The time after which a call that is not a hedge is overdue.
    pub(super) fn overdue_after(&self, query: ListQuery) -> Duration {
        self.bounds.overdue_after(query.wait(), &self.load)
    }

    /// The time after which a hedge is made beside this call.
    pub(super) fn hedge_after(&self, query: ListQuery, context: CallContext) -> Duration {
        match context {
            CallContext::Hedge => self.bounds.hedge_interval(),
            CallContext::First
            | CallContext::AfterList
            | CallContext::AfterPossiblyLateList
            | CallContext::Standby
            | CallContext::AfterFailure => self.overdue_after(query),
        }
    }

    /// The time limits of a call. A standby watch that is not connected soon shows that the list may lack a
    /// change.
    pub(super) fn limits(&self, query: ListQuery, context: CallContext) -> CallLimits {
        let connect = match context {
            CallContext::Standby => self.connect_timeout.min(ListAgeBounds::standby_connect_timeout()),
            _ => self.connect_timeout,
        };
        CallLimits { connect, response: self.bounds.response_timeout(query.wait()) }
    }

    /// Records a list that arrived this long after the service could have sent it.
    pub(super) fn record_list(&mut self, response_time: Duration) {
        self.load.record_list(response_time);
        self.connect_timeout = self.bounds.initial_connect_timeout();
        self.backoffs.reset();
    }

    /// The delay between a failed call and the next one. `is_outage` is true if the service is down, or cannot
    /// be told from one that is.
    pub(super) fn delay_after_failure(&mut self, failure: FailureKind, is_outage: bool) -> Duration {
        self.load.record_failure();
        if failure.has_no_connection() {
            self.connect_timeout = (self.connect_timeout * 2).min(self.bounds.longest_connect_timeout());
        }
        match (is_outage, failure.is_rejection()) {
            (true, _) => self.backoffs.outage.next_delay(),
            (false, true) => self.backoffs.rejected.next_delay(),
            (false, false) => self.backoffs.broken.next_delay(),
        }
    }

    /// Records that a call became overdue.
    pub(super) fn record_overdue(&mut self) {
        self.load.record_failure();
    }

    /// Forgets the failures of calls to an address that is no longer used.
    pub(super) fn change_address(&mut self) {
        self.load = ServiceLoad::new();
        self.connect_timeout = self.bounds.initial_connect_timeout();
        self.backoffs.reset();
    }
}
