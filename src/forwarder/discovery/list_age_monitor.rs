//! Decides whether the endpoint list in use is fresh or stale, by the freshness bound of [`list_age`].
//!
//! The list becomes stale when its age reaches the bound, and earlier if the service may have sent a change
//! that did not arrive. A list that the service has not confirmed, for example that of the configuration, is
//! stale from the start of the process or from a later time that depends on its origin.
//!
//! [`list_age`]: super::list_age

use super::list_age::ListAgeBounds;
use super::open_calls::ListCall;
use std::time::Duration;
use tokio::time::Instant;

/// Whether the endpoint list in use is recent enough for calls to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListAge {
    /// Calls may start.
    Fresh,
    /// No call may start: the age of the list has reached the freshness bound, so that endpoints may have
    /// been drained.
    Stale,
}

/// Decides when the list becomes stale or fresh.
///
/// The age counts from the latest moment at which the list was known to be current. A service that is down
/// cannot send a change, so an outage postpones that moment, but only for a list to which nothing can have
/// been missed before: no call since then has left open what the service had sent.
pub(super) struct ListAgeMonitor {
    bounds: ListAgeBounds,
    /// The latest moment at which the list was known to be current; the start of the process if there is
    /// none.
    current_at: Instant,
    /// The list is stale from this time on, unless it is that of a local agent.
    expires_at: Instant,
    /// While the watch that followed the list is open and no call has failed, the list is stale only from
    /// this time on, if that is later.
    expires_during_watch_at: Option<Instant>,
    /// The periods in which the list is stale unless the service confirms it.
    unconfirmed: Vec<UnconfirmedPeriod>,
    /// Responses of which bytes have arrived, and which were not read to their end. Each may contain a drain.
    partial_responses: Vec<PartialResponse>,
    /// The connections that broke since the list was current.
    lost_responses: Option<LostResponses>,
    /// When a call failed last that leaves open what the service has sent.
    inconclusive_at: Option<Instant>,
    /// When a local agent could not be reached last while a call to it had no response. The list of an agent
    /// ages only then: otherwise its silence may be an outage of the service behind it.
    unreachable_agent_at: Option<Instant>,
    /// When the first response to a watch arrived after which the service may not have accepted the next call
    /// in time. A change between the two counts as sent.
    watch_gap_at: Option<Instant>,
    reported: ListAge,
}

/// The origin of a list that the service has not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListOrigin {
    /// The configuration of the first process with its state folder. The service has sent nothing since.
    FirstConfiguration,
    /// The configuration of a later process. The list may lack changes that the service has sent to an
    /// earlier process.
    Configuration,
    /// The process that has handed over to this one.
    Predecessor,
}

/// A period in which the list is stale unless the service has confirmed it.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedPeriod {
    /// The list in use is confirmed by a response whose list was current at this time or later.
    current_since: Instant,
    from: Instant,
    /// The end of the period, if the service was down: it is assumed to stay down.
    until: Option<Instant>,
    /// Whether an outage postpones the period, because the service has sent no change that the list lacks.
    is_delayed_by_outages: bool,
}

impl UnconfirmedPeriod {
    fn new(current_since: Instant, from: Instant) -> Self {
        UnconfirmedPeriod { current_since, from, until: None, is_delayed_by_outages: false }
    }

    fn delayed_by_outages(self) -> Self {
        UnconfirmedPeriod { is_delayed_by_outages: true, ..self }
    }

    /// Records that the service was down at this time. `is_postponed` is false if the service may have sent a
    /// change before.
    fn record_outage(&mut self, at: Instant, is_postponed: bool, bounds: &ListAgeBounds) {
        if self.is_delayed_by_outages {
            if is_postponed {
                self.from = self.from.max(at + bounds.usable_for());
            }
        } else {
            self.until = bounds.longest_confirmation_wait().map(|longest| self.from + longest);
        }
    }

    fn contains(&self, instant: Instant) -> bool {
        self.from <= instant && self.until.is_none_or(|until| instant < until)
    }
}

/// A response of the service that has started, and has not ended yet or never will.
struct PartialResponse {
    /// The number of its call.
    call: u64,
    /// When bytes of it arrived last. Further bytes may have been written and lost.
    progress_at: Instant,
}

/// Connections that broke. With each of them a response may have been lost that contains a drain.
#[derive(Clone, Copy, Debug)]
struct LostResponses {
    first_at: Instant,
    last_at: Instant,
}

impl LostResponses {
    /// The ones that remain once the list was current at this time.
    fn after(self, current_at: Instant) -> Option<Self> {
        let first_at = if self.first_at <= current_at { self.last_at } else { self.first_at };
        (current_at < self.last_at).then_some(LostResponses { first_at, ..self })
    }
}

impl ListAgeMonitor {
    /// Creates the monitor of the list that the process starts with at this time.
    pub(super) fn new(bounds: ListAgeBounds, start: Instant, origin: ListOrigin) -> Self {
        let unconfirmed = match origin {
            ListOrigin::FirstConfiguration if bounds.is_shared() => {
                UnconfirmedPeriod::new(start, start + bounds.usable_without_call()).delayed_by_outages()
            }
            // A change that an agent has counts as sent from the start of the process on.
            ListOrigin::FirstConfiguration | ListOrigin::Configuration => {
                UnconfirmedPeriod::new(start, start)
            }
            ListOrigin::Predecessor => UnconfirmedPeriod::new(start, start + bounds.usable_after_handover()),
        };
        ListAgeMonitor {
            bounds,
            current_at: start,
            expires_at: start + bounds.usable_for(),
            expires_during_watch_at: None,
            unconfirmed: vec![unconfirmed],
            partial_responses: Vec::new(),
            lost_responses: None,
            inconclusive_at: None,
            unreachable_agent_at: None,
            watch_gap_at: None,
            reported: ListAge::Fresh,
        }
    }

    /// Whether the service has confirmed the list, or is assumed to be down.
    pub(super) fn is_confirmed(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// Records that the list was current at this time.
    pub(super) fn record_current(&mut self, at: Instant) {
        self.renew(at);
        self.unconfirmed.retain(|period| at < period.current_since);
        self.current_at = self.current_at.max(at);
        self.expires_during_watch_at = None;
        self.partial_responses.retain(|response| at < response.progress_at);
        self.lost_responses = self.lost_responses.and_then(|lost| lost.after(at));
        self.inconclusive_at.take_if(|failed_at| *failed_at <= at);
        self.unreachable_agent_at.take_if(|failed_at| *failed_at <= at);
        self.watch_gap_at.take_if(|gap_at| *gap_at <= at);
    }

    /// Records that these watches for changes of the list in use are open. The list becomes stale as soon as one
    /// of them may have missed a change.
    pub(super) fn record_watches(&mut self, watches: &[ListCall]) {
        let usable_until =
            |watch: &ListCall| watch.started_at + self.bounds.usable_during_watch(watch.query.wait());
        self.expires_during_watch_at = watches.iter().map(usable_until).min();
    }

    /// Records that a call failed.
    pub(super) fn record_failure(&mut self) {
        self.expires_during_watch_at = None;
    }

    /// How long ago the list was known to be current.
    pub(super) fn since_current(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.current_at)
    }

    /// Records that the service has sent nothing up to this time, because it is down or has ended a watch
    /// without a list. This does not confirm the list: the service may have sent a change before, which is
    /// forgotten only once a list arrives that was current since.
    pub(super) fn record_nothing_sent(&mut self, at: Instant) {
        let is_postponed = self.inconclusive_at.is_none();
        if is_postponed {
            self.renew(at);
        }
        for period in &mut self.unconfirmed {
            period.record_outage(at, is_postponed, &self.bounds);
        }
    }

    /// Records that a service that is up has ended a watch for changes of this list at this time, and has sent
    /// nothing before.
    pub(super) fn record_watch_end(&mut self, at: Instant) {
        if self.inconclusive_at.is_none() {
            self.renew(at);
        }
    }

    /// Records that a call failed, or was abandoned, at this time and leaves open what the service has sent. A
    /// later outage does not renew the list.
    pub(super) fn record_inconclusive_failure(&mut self, at: Instant) {
        self.inconclusive_at = Some(at);
    }

    /// Records that no connection to the service was established at this time, and that an earlier call is open
    /// without a response. That call may have missed a change, also one to a local agent.
    pub(super) fn record_unreachable(&mut self, at: Instant) {
        self.record_inconclusive_failure(at);
        self.unreachable_agent_at = Some(at);
    }

    /// Records that a connection broke at this time. A response may have been written and lost, and the
    /// changes in it count as sent.
    pub(super) fn record_lost_response(&mut self, at: Instant) {
        let first_at = self.lost_responses.map_or(at, |lost| lost.first_at);
        self.lost_responses = Some(LostResponses { first_at, last_at: at });
    }

    /// Records that the response to a watch arrived at this time, and that the service may not have accepted
    /// the next call in time. A change between the two counts as sent, also if the service goes down
    /// afterwards.
    pub(super) fn record_watch_gap(&mut self, at: Instant) {
        self.watch_gap_at.get_or_insert(at);
    }

    /// When the response arrived after which the service may not have accepted the next call in time, if no list
    /// has arrived since that was current later.
    pub(super) fn watch_gap_at(&self) -> Option<Instant> {
        self.watch_gap_at
    }

    /// Records that the service has accepted a watch that started after the gap, and reports no change.
    pub(super) fn close_watch_gap(&mut self) {
        self.watch_gap_at = None;
    }

    fn renew(&mut self, at: Instant) {
        self.expires_at = self.expires_at.max(at + self.bounds.usable_for());
    }

    /// Records that bytes of the response to this call have arrived. The changes in it count as sent, even if
    /// the rest does not arrive.
    pub(super) fn record_response_progress(&mut self, call: u64, at: Instant) {
        self.record_response_end(call);
        self.partial_responses.push(PartialResponse { call, progress_at: at });
    }

    /// Records that the response to this call was read to its end.
    pub(super) fn record_response_end(&mut self, call: u64) {
        self.partial_responses.retain(|response| response.call != call);
    }

    /// Whether bytes of the response to this call have arrived, and it was not read to its end.
    pub(super) fn has_partial_response(&self, call: u64) -> bool {
        self.partial_responses.iter().any(|response| response.call == call)
    }

    /// From when on the list is stale because the service may have sent a change that did not arrive.
    fn missed_change_expiry(&self) -> Option<Instant> {
        let partial = self.partial_responses.iter().map(|response| response.progress_at);
        let earliest =
            partial.chain(self.lost_responses.map(|lost| lost.first_at)).chain(self.watch_gap_at).min()?;
        Some(earliest + self.bounds.usable_after_missed_change())
    }

    /// When the list becomes stale by its age; `None` if it does not age.
    fn expiry(&self) -> Option<Instant> {
        let ages = self.bounds.is_shared() || self.unreachable_agent_at.is_some();
        let expires_at = self.expires_during_watch_at.map_or(self.expires_at, |at| at.max(self.expires_at));
        ages.then_some(expires_at)
    }

    /// Records that another address of the service was configured at this time. The list must include all
    /// changes that the service there has [`ListAgeBounds::max_staleness_after_address_change`] later, also
    /// those made after its first list.
    pub(super) fn record_address_change(&mut self, at: Instant) {
        let usable_until = at + self.bounds.usable_after_address_change();
        self.expires_at = self.expires_at.min(usable_until);
        self.expires_during_watch_at = None;
        let current_since = at + ListAgeBounds::max_staleness_after_address_change();
        self.unconfirmed.push(UnconfirmedPeriod::new(current_since, usable_until));
    }

    /// The earliest time after `now` at which the list has to be current to be confirmed.
    pub(super) fn next_confirmation(&self, now: Instant) -> Option<Instant> {
        self.unconfirmed.iter().map(|period| period.current_since).filter(|at| now < *at).min()
    }

    /// When the state changes next, if nothing is recorded before.
    pub(super) fn next_change(&self) -> Option<Instant> {
        match self.reported {
            ListAge::Fresh => {
                let unconfirmed_from = self.unconfirmed.iter().map(|period| period.from);
                unconfirmed_from.chain(self.expiry()).chain(self.missed_change_expiry()).min()
            }
            ListAge::Stale => self.unconfirmed.iter().filter_map(|period| period.until).min(),
        }
    }

    /// Returns the state at this time, if it differs from the one that was returned last.
    pub(super) fn change(&mut self, now: Instant) -> Option<ListAge> {
        self.unconfirmed.retain(|period| period.until.is_none_or(|until| now < until));
        let is_unconfirmed = self.unconfirmed.iter().any(|period| period.contains(now));
        let is_expired = self.expiry().is_some_and(|expires_at| expires_at <= now);
        let may_lack_change = self.missed_change_expiry().is_some_and(|from| from <= now);
        let age =
            if is_unconfirmed || is_expired || may_lack_change { ListAge::Stale } else { ListAge::Fresh };
        let previous = std::mem::replace(&mut self.reported, age);
        (previous != age).then_some(age)
    }
}

#[cfg(test)]
mod tests;
