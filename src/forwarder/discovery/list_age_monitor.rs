//! Watches the age of the endpoint list in use.

use super::list_age::ListAgeBounds;
use std::time::Duration;
use tokio::time::Instant;

/// Whether the endpoint list in use may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListAge {
    /// Calls may start.
    Fresh,
    /// The service can be reached and has told nothing for so long that endpoints may have been drained since.
    Stale,
}

/// Decides when the list is too old.
///
/// The age counts from the latest moment at which the list was known to be current, or at which the service may have
/// been down: what it could not tell yet need not be known.
pub(super) struct ListAgeMonitor {
    bounds: ListAgeBounds,
    /// The latest moment at which the list was known to be current; the start of the process if there is none.
    current_at: Instant,
    /// The list is too old from this time on, if it expires.
    expires_at: Instant,
    /// The same while the watch is open that followed the list, and no call has failed since.
    expires_during_watch_at: Option<Instant>,
    /// When the list must not be acted on unless the service confirms it.
    unconfirmed: Vec<UnconfirmedPeriod>,
    /// Responses of which bytes have arrived, and which were not read to their end. Each may tell of a drain.
    partial_responses: Vec<PartialResponse>,
    /// When the first connection broke with which a response may have been lost. It may have told of a drain.
    lost_response_at: Option<Instant>,
    /// When the first watch was answered whose next call the service may not have taken up in time. It may have told the watch
    /// of a change between the two.
    watch_gap_at: Option<Instant>,
    reported: ListAge,
}

/// What the list in use comes from, if the service has not confirmed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListOrigin {
    /// The configuration of the first process with its state folder. Nothing was told since.
    FirstConfiguration,
    /// The configuration of the process. The list may be older than what the process before was told.
    Configuration,
    /// The process that has handed over to this one.
    Predecessor,
}

/// When a list must not be acted on that the service has not confirmed.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedPeriod {
    /// A list that was current at this time or later confirms the one in use.
    current_since: Instant,
    from: Instant,
    /// The service, which was down before, is assumed to stay so after this time.
    until: Option<Instant>,
    /// Nothing was told that this process does not know: the period begins later if the service is down.
    is_delayed_by_outages: bool,
}

impl UnconfirmedPeriod {
    fn new(current_since: Instant, from: Instant) -> Self {
        UnconfirmedPeriod { current_since, from, until: None, is_delayed_by_outages: false }
    }

    fn delayed_by_outages(self) -> Self {
        UnconfirmedPeriod { is_delayed_by_outages: true, ..self }
    }

    /// The service was down at this time.
    fn record_outage(&mut self, at: Instant, bounds: &ListAgeBounds) {
        if self.is_delayed_by_outages {
            self.from = self.from.max(at + bounds.usable_for());
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
    /// When bytes of it arrived last. What follows them may have been written, and lost.
    progress_at: Instant,
}

impl ListAgeMonitor {
    /// The list that the process starts with at this time.
    pub(super) fn new(bounds: ListAgeBounds, start: Instant, origin: ListOrigin) -> Self {
        let unconfirmed = match origin {
            ListOrigin::FirstConfiguration if bounds.is_shared() => {
                UnconfirmedPeriod::new(start, start + bounds.usable_without_call()).delayed_by_outages()
            }
            // What an agent has counts as told from the start of the process on.
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
            lost_response_at: None,
            watch_gap_at: None,
            reported: ListAge::Fresh,
        }
    }

    /// Whether the service has confirmed the list, or is assumed to be down.
    pub(super) fn is_confirmed(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// The list was current at this time.
    pub(super) fn record_current(&mut self, at: Instant) {
        self.renew(at);
        self.unconfirmed.retain(|period| at < period.current_since);
        self.current_at = self.current_at.max(at);
        self.expires_during_watch_at = None;
        self.partial_responses.retain(|response| at < response.progress_at);
        self.lost_response_at.take_if(|lost_at| *lost_at <= at);
        self.watch_gap_at.take_if(|gap_at| *gap_at <= at);
    }

    /// A watch began at this time, right after the list was read.
    pub(super) fn record_watch(&mut self, at: Instant, wait: Duration) {
        self.expires_during_watch_at = Some(at + self.bounds.usable_during_watch(wait));
    }

    /// A call failed.
    pub(super) fn record_failure(&mut self) {
        self.expires_during_watch_at = None;
    }

    /// How long ago the list was known to be current.
    pub(super) fn since_current(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.current_at)
    }

    /// The service was down at this time. Whether it had told the process before of a change is not known by that.
    pub(super) fn record_outage(&mut self, at: Instant) {
        self.renew(at);
        self.lost_response_at = None;
        for period in &mut self.unconfirmed {
            period.record_outage(at, &self.bounds);
        }
    }

    /// A connection broke at this time, and a response that was written may not have arrived. What it told must be known.
    pub(super) fn record_lost_response(&mut self, at: Instant) {
        self.lost_response_at.get_or_insert(at);
    }

    /// A watch was answered at this time, and the service may have told it of a change since that has not arrived. An outage does
    /// not undo that.
    pub(super) fn record_watch_gap(&mut self, at: Instant) {
        self.watch_gap_at.get_or_insert(at);
    }

    fn renew(&mut self, at: Instant) {
        self.expires_at = self.expires_at.max(at + self.bounds.usable_for());
    }

    /// Bytes of the response to this call have arrived. What it tells must be known soon, even if the rest does not arrive.
    pub(super) fn record_response_progress(&mut self, call: u64, at: Instant) {
        self.record_response_end(call);
        self.partial_responses.push(PartialResponse { call, progress_at: at });
    }

    /// The response to this call was read to its end.
    pub(super) fn record_response_end(&mut self, call: u64) {
        self.partial_responses.retain(|response| response.call != call);
    }

    /// Whether bytes of the response to this call have arrived, and it was not read to its end.
    pub(super) fn has_partial_response(&self, call: u64) -> bool {
        self.partial_responses.iter().any(|response| response.call == call)
    }

    /// From when on the list must not be acted on because of a response that was lost, or not read to its end.
    fn missed_change_expiry(&self) -> Option<Instant> {
        let partial = self.partial_responses.iter().map(|response| response.progress_at);
        let earliest = partial.chain(self.lost_response_at).chain(self.watch_gap_at).min()?;
        Some(earliest + self.bounds.usable_after_missed_change())
    }

    fn expiry(&self) -> Instant {
        self.expires_during_watch_at.map_or(self.expires_at, |at| at.max(self.expires_at))
    }

    /// Another address of the service was configured at this time. What that has to tell some time later must be known
    /// then, also what is changed after its first list.
    pub(super) fn record_address_change(&mut self, at: Instant) {
        let usable_until = at + self.bounds.usable_after_address_change();
        self.expires_at = self.expires_at.min(usable_until);
        self.expires_during_watch_at = None;
        let current_since = at + ListAgeBounds::max_staleness_after_address_change();
        self.unconfirmed.push(UnconfirmedPeriod::new(current_since, usable_until));
    }

    /// From when on a list has to be current next to confirm the one in use, if that is later than this time.
    pub(super) fn next_confirmation(&self, now: Instant) -> Option<Instant> {
        self.unconfirmed.iter().map(|period| period.current_since).filter(|at| now < *at).min()
    }

    /// When the state will change, should nothing be recorded before.
    pub(super) fn next_change(&self) -> Option<Instant> {
        let expiry = self.bounds.is_shared().then(|| self.expiry());
        match self.reported {
            ListAge::Fresh => {
                let unconfirmed_from = self.unconfirmed.iter().map(|period| period.from);
                unconfirmed_from.chain(expiry).chain(self.missed_change_expiry()).min()
            }
            ListAge::Stale => self.unconfirmed.iter().filter_map(|period| period.until).min(),
        }
    }

    /// The state at this time, if it differs from the one that was returned last.
    pub(super) fn change(&mut self, now: Instant) -> Option<ListAge> {
        self.unconfirmed.retain(|period| period.until.is_none_or(|until| now < until));
        let is_unconfirmed = self.unconfirmed.iter().any(|period| period.contains(now));
        let is_expired = self.bounds.is_shared() && self.expiry() <= now;
        let may_lack_change = self.missed_change_expiry().is_some_and(|from| from <= now);
        let age =
            if is_unconfirmed || is_expired || may_lack_change { ListAge::Stale } else { ListAge::Fresh };
        let previous = std::mem::replace(&mut self.reported, age);
        (previous != age).then_some(age)
    }
}

#[cfg(test)]
mod tests;
