//! The loop that follows the endpoint list: it calls the discovery service and sends each list to the
//! runtime.
//!
//! After a list, the next call is a watch, to which the service responds when the list changes or the wait
//! ends. Once the list has not changed for a while, a second watch is kept open, so that one of the two is
//! established when the other ends. After a failure, the next call follows a backoff. A call without a response in time is overdue: it
//! stays open, because a slow service may still respond to it, and another call, a hedge, is made beside it.
//! The first response counts.
//!
//! The loop also reports to the runtime when the list becomes stale or fresh, by the freshness bound of
//! [`list_age`].
//!
//! [`list_age`]: super::list_age

use super::InitialList;
use super::list_age::ListAgeBounds;
use super::list_age_monitor::{ListAge, ListAgeMonitor};
use super::list_response::{
    acceptance_age, current_at, has_no_changes, log_list, next_revision, response_time,
};
use super::open_calls::{CallEvent, FinishedCall, ListCall, OpenCalls};
use super::outage_detector::{FailedCall, FailureKind, ListEvidence, OutageDetector};
use super::request::{ListQuery, PollError};
use super::schedule::{CallContext, CallSchedule};
use super::watch_coverage::WatchCoverage;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::endpoint_list::EndpointList;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::error::SendError;
use tokio::sync::watch::Receiver;
use tokio::time::{Instant, sleep_until};

/// An event that the follower handles.
enum Step {
    /// Operators have configured another address.
    ChangeAddress,
    /// Bytes of the response to a call have arrived.
    ResponseProgress(ListCall),
    /// A call has ended.
    Complete(FinishedCall),
    /// The timer has fired.
    Timer,
    /// The list may have become stale or fresh.
    CheckAge,
}

/// What happens when the timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimerAction {
    /// The call that follows a list or a failure starts.
    Call,
    /// The newest call becomes overdue.
    MarkOverdue,
    /// A call beside the overdue one starts.
    Hedge,
    /// A watch beside the only open one starts.
    Standby,
}

/// After this number of late responses to verification watches in a row, a long watch follows.
const MAX_LATE_VERIFICATIONS: u32 = 2;

/// The runtime has stopped receiving events.
#[derive(Debug, thiserror::Error)]
#[error("the runtime has ended")]
struct RuntimeEnded;

impl<T> From<SendError<T>> for RuntimeEnded {
    fn from(_: SendError<T>) -> Self {
        RuntimeEnded
    }
}

/// A list that was sent to the runtime.
#[derive(Clone, Copy)]
struct AppliedList {
    /// The newest call that has returned a list.
    call: u64,
    revision: u64,
    at: Instant,
    /// Whether the response was prompt.
    is_prompt: bool,
}

/// The state of the loop that follows the list.
pub(super) struct ListFollower {
    /// The address of the service. The task that reloads the configuration publishes a new one.
    address: Receiver<SocketAddr>,
    /// The bounded event queue of the runtime.
    events: Sender<RuntimeEvent>,
    bounds: ListAgeBounds,
    schedule: CallSchedule,
    calls: OpenCalls,
    timer_at: Instant,
    timer_action: TimerAction,
    /// The context of the next call that is not a hedge.
    next_context: CallContext,
    /// The revision since which changes are requested; `None` if the complete list has to be requested.
    known_revision: Option<u64>,
    /// The list in use, if a call has returned it.
    applied: Option<AppliedList>,
    /// When the first call failed since the last list.
    failing_since: Option<Instant>,
    outages: OutageDetector,
    age: ListAgeMonitor,
    coverage: WatchCoverage,
    /// The number of verification watches in a row whose response was late.
    late_verifications: u32,
    /// When a call showed last that the service had sent nothing.
    nothing_sent_at: Option<Instant>,
}

impl ListFollower {
    /// Creates a follower that has made no call yet. `initial_list` is the list that the runtime has.
    pub(super) fn new(
        address: Receiver<SocketAddr>,
        events: Sender<RuntimeEvent>,
        initial_list: InitialList,
        seed: u64,
        max_list_bytes: usize,
    ) -> Self {
        let now = Instant::now();
        let bounds = initial_list.bounds;
        ListFollower {
            address,
            events,
            bounds,
            calls: OpenCalls::new(max_list_bytes),
            timer_at: now,
            schedule: CallSchedule::new(bounds, seed),
            timer_action: TimerAction::Call,
            next_context: CallContext::First,
            known_revision: initial_list.revision,
            applied: None,
            failing_since: None,
            outages: OutageDetector::new(),
            age: initial_list.monitor(),
            coverage: WatchCoverage::default(),
            late_verifications: 0,
            nothing_sent_at: None,
        }
    }

    /// Follows the list until the runtime stops receiving events.
    pub(super) async fn run(mut self) {
        // The address that was published until now is no change: the first call uses it.
        self.address.mark_unchanged();
        eprintln!("discovery: {}", self.bounds);
        while self.take_step().await.is_ok() {}
    }

    async fn take_step(&mut self) -> Result<(), RuntimeEnded> {
        match self.next_step().await {
            Step::ChangeAddress => self.change_address(),
            Step::ResponseProgress(call) => self.handle_response_progress(call),
            Step::Complete(finished) => self.complete_call(finished).await?,
            Step::Timer => self.handle_timer(),
            Step::CheckAge => {}
        }
        if self.gap_closes_at().is_some_and(|at| at <= Instant::now()) {
            self.age.close_watch_gap();
        }
        self.report_age().await
    }

    async fn next_step(&mut self) -> Step {
        let age_changes_at = self.age.next_change().into_iter().chain(self.gap_closes_at()).min();
        tokio::select! {
            biased;
            Ok(()) = self.address.changed() => Step::ChangeAddress,
            event = self.calls.next_event() => match event {
                CallEvent::ResponseProgress(call) => Step::ResponseProgress(call),
                CallEvent::Finished(finished) => Step::Complete(finished),
            },
            () = sleep_until(self.timer_at) => Step::Timer,
            () = sleep_until(age_changes_at.unwrap_or(self.timer_at)),
                if age_changes_at.is_some() => Step::CheckAge,
        }
    }

    /// Calls a new address at once, because the list from the old address may be outdated. Requests the
    /// complete list, except in a large fleet, where complete lists for all senders would take the service
    /// too long.
    fn change_address(&mut self) {
        let now = Instant::now();
        if self.has_unanswered_call() {
            self.age.record_inconclusive_failure(now);
        }
        if !self.is_covered(now) {
            self.record_watch_gap();
        }
        self.calls.change_address();
        self.schedule.change_address();
        self.age.record_address_change(now);
        if !self.bounds.has_long_watches() {
            self.known_revision = None;
        }
        self.applied = None;
        self.failing_since = None;
        self.outages = OutageDetector::new();
        self.coverage = WatchCoverage::default();
        self.next_context = CallContext::AfterFailure;
        self.set_timer(TimerAction::Call, now);
    }

    fn set_timer(&mut self, timer_action: TimerAction, at: Instant) {
        self.timer_action = timer_action;
        self.timer_at = at;
    }

    fn handle_timer(&mut self) {
        match self.timer_action {
            TimerAction::Call => self.call(self.next_context),
            TimerAction::Hedge => {
                self.calls.make_room();
                self.call(CallContext::Hedge);
            }
            TimerAction::MarkOverdue => {
                let list_age = self.age.since_current(Instant::now()).as_millis();
                eprintln!("discovery: no response in time; list {list_age} ms old");
                self.schedule.record_overdue();
                self.suspect_open_calls();
                self.set_timer(TimerAction::Hedge, Instant::now());
            }
            TimerAction::Standby => {
                self.coverage.cancel_standby();
                self.call(CallContext::Standby);
            }
        }
    }

    fn call(&mut self, context: CallContext) {
        let address = *self.address.borrow();
        let query = self.query(context);
        let established_after = self.established_after(context);
        let call = self.calls.start(address, query, self.schedule.limits(query, context), established_after);
        if context == CallContext::AfterPossiblyLateList {
            self.record_watch_gap();
        }
        match context {
            CallContext::AfterList | CallContext::Standby if query.is_watch() => {
                if context == CallContext::AfterList {
                    self.record_watches();
                }
                self.await_watches(call.started_at);
            }
            _ => {
                let hedge_after = self.schedule.hedge_after(query, context);
                self.set_timer(TimerAction::MarkOverdue, call.started_at + hedge_after);
            }
        }
    }

    /// How long a call in this context has to be open so that the service must have accepted it.
    fn established_after(&self, context: CallContext) -> Duration {
        let follows_prompt_list =
            context == CallContext::AfterList && self.applied.is_some_and(|applied| applied.is_prompt);
        self.bounds.established_after(follows_prompt_list)
    }

    /// The open watches for changes of the list in use that nothing shows to be silent.
    fn watches(&self) -> impl Iterator<Item = ListCall> {
        self.calls.open().filter(|call| self.is_trusted_watch(*call))
    }

    /// Whether a call is a watch for changes of the list in use, and nothing shows it to be silent.
    fn is_trusted_watch(&self, call: ListCall) -> bool {
        self.coverage.is_trusted(call)
            && self.known_revision.is_some_and(|revision| call.query.watches(revision))
    }

    /// Whether an established watch is open, by whose response a change is noticed.
    fn is_covered(&self, now: Instant) -> bool {
        self.watches().filter_map(accepted_at).any(|accepted_at| accepted_at <= now)
    }

    /// When a possible gap between two watches is closed, because the service must have accepted the later one
    /// and has reported no change.
    fn gap_closes_at(&self) -> Option<Instant> {
        let gap_at = self.age.watch_gap_at()?;
        self.watches().filter(|watch| gap_at <= watch.started_at).filter_map(accepted_at).min()
    }

    /// Records that the open calls may be silent.
    fn suspect_open_calls(&mut self) {
        let newest = self.calls.open().next_back().map(|call| call.number);
        self.coverage.record_silence(newest);
    }

    /// Sets the timer while watches are open: to the start of a standby watch if there is one watch only, or to
    /// the time at which the first of them is overdue.
    fn await_watches(&mut self, now: Instant) {
        let overdue_at = |watch: ListCall| watch.started_at + self.schedule.overdue_after(watch.query);
        let Some(first_overdue_at) = self.watches().map(overdue_at).min() else {
            return self.set_timer(TimerAction::Call, now);
        };
        match self.plan_standby(now) {
            Some(standby_at) if standby_at < first_overdue_at => {
                self.set_timer(TimerAction::Standby, standby_at);
            }
            _ => self.set_timer(TimerAction::MarkOverdue, first_overdue_at),
        }
    }

    /// Sets the timer after the end of a watch that needs no call, if other watches are open.
    fn await_other_watches(&mut self, now: Instant) {
        let awaits_response = matches!(self.timer_action, TimerAction::MarkOverdue | TimerAction::Standby);
        if awaits_response && self.watches().next().is_some() {
            self.await_watches(now);
        }
    }

    /// When a standby watch starts, if one watch is open. A local agent is never overloaded, and needs none.
    fn plan_standby(&mut self, now: Instant) -> Option<Instant> {
        if !self.bounds.is_shared() || self.watches().count() != 1 {
            return None;
        }
        let planned = self.coverage.standby_at();
        let standby_at = planned.unwrap_or_else(|| now + self.schedule.standby_delay());
        self.coverage.plan_standby(standby_at);
        Some(standby_at.max(now))
    }

    /// What the next call asks for. If the list has to be confirmed at a later time, the wait of a watch ends
    /// then, so that the response confirms the list.
    fn query(&self, context: CallContext) -> ListQuery {
        let now = Instant::now();
        let other_watch = self.watches().map(|watch| watch.wait_end()).max();
        let remaining = other_watch.and_then(|end| end.checked_duration_since(now));
        let query = self.schedule.query(self.known_revision, context, self.age.is_confirmed(), remaining);
        match self.age.next_confirmation(now) {
            Some(confirmation) => query.with_longest_wait(confirmation - now),
            None => query,
        }
    }

    /// Handles the arrival of bytes of a response. The service counts the changes in it as sent, whether or
    /// not the rest arrives. A hedge follows if no more bytes arrive for a while and the response has not
    /// ended.
    fn handle_response_progress(&mut self, call: ListCall) {
        let now = Instant::now();
        self.age.record_response_progress(call.number, now);
        let newest = self.calls.open().next_back();
        let is_awaited = newest.is_some_and(|newest| newest.number == call.number)
            || self.watches().any(|watch| watch.number == call.number);
        if is_awaited && matches!(self.timer_action, TimerAction::MarkOverdue | TimerAction::Standby) {
            let overdue_at = call.started_at + self.schedule.overdue_after(call.query);
            let stalled_at = now + ListAgeBounds::response_completion_allowance();
            self.set_timer(TimerAction::MarkOverdue, stalled_at.min(overdue_at));
        }
    }

    async fn complete_call(&mut self, finished: FinishedCall) -> Result<(), RuntimeEnded> {
        let (call, result) = self.calls.complete(finished);
        match result {
            Ok(list) => self.handle_list(call, list).await,
            Err(error) => {
                self.record_failure(call, &error);
                Ok(())
            }
        }
    }

    /// Sends a list to the runtime, unless a newer one was sent before.
    async fn handle_list(&mut self, call: ListCall, list: EndpointList) -> Result<(), RuntimeEnded> {
        self.age.record_response_end(call.number);
        if self.is_outdated(call, &list) {
            eprintln!("discovery: call {}: revision {} is outdated; ignored", call.number, list.revision);
            if self.calls.open().len() == 0 {
                self.next_context = CallContext::AfterFailure;
                self.set_timer(TimerAction::Call, Instant::now());
            } else {
                self.await_other_watches(Instant::now());
            }
            return Ok(());
        }
        if self.calls.is_to_current_address(call) {
            self.record_list(call, &list);
        }
        log_list(call, &list, Instant::now());
        Ok(self.events.send(RuntimeEvent::EndpointList(list)).await?)
    }

    /// Whether this list adds nothing to one that was applied before: one from a newer call, unless this list
    /// has a higher revision or ends a watch for changes of that list, or one of a higher revision that arrived
    /// while this call was open. A lower revision in the response to a call that started later is that of a
    /// service that has restarted.
    fn is_outdated(&self, call: ListCall, list: &EndpointList) -> bool {
        let Some(applied) = self.applied else { return false };
        let is_late = call.number < applied.call && !self.is_trusted_watch(call);
        let is_overtaken = call.started_at < applied.at && list.revision < applied.revision;
        is_overtaken || is_late && self.known_revision.is_none_or(|known| list.revision <= known)
    }

    fn record_list(&mut self, call: ListCall, list: &EndpointList) {
        let now = Instant::now();
        let newest_call = self.applied.map_or(call.number, |applied| applied.call.max(call.number));
        let waited = (now - call.started_at).saturating_sub(call.query.wait());
        let is_prompt = self.bounds.is_accepted_in_time(waited);
        self.applied = Some(AppliedList { call: newest_call, revision: list.revision, at: now, is_prompt });
        self.known_revision = next_revision(call.query, list);
        if !has_no_changes(list) {
            self.coverage.cancel_standby();
        }
        self.failing_since = None;
        self.outages.record_list();
        self.age.record_current(current_at(call, list, now));
        self.next_context = self.context_after(call, list, now);
        self.schedule.record_list(response_time(call, list, now));
        self.set_timer_after_list(call, list, now);
    }

    /// The context of the call after this list. The service counts a change between the response to a watch
    /// and the next call as sent. The list includes such a change in time only if the service accepts the next
    /// call in time. This is verified after a long watch, and assumed if the service has just accepted this call
    /// in time, or if an established watch is open.
    fn context_after(&mut self, call: ListCall, list: &EndpointList, now: Instant) -> CallContext {
        if !self.bounds.is_shared() || !call.query.is_watch() {
            self.coverage.close_gap();
            return CallContext::AfterList;
        }
        let is_short = call.query.wait() <= ListAgeBounds::longest_short_watch();
        let is_covered = is_short && self.is_covered(now);
        self.coverage.record_watch_response(now, is_covered);
        let age = acceptance_age(call, list, now, ListAgeBounds::longest_short_watch());
        if is_covered || self.bounds.is_accepted_in_time(age) {
            self.late_verifications = 0;
            return CallContext::AfterList;
        }
        self.late_verifications = if is_short { self.late_verifications + 1 } else { 0 };
        if self.late_verifications < MAX_LATE_VERIFICATIONS {
            return CallContext::AfterPossiblyLateList;
        }
        // The service is too slow to verify this. The gap is closed once the next watch is established.
        self.record_watch_gap();
        CallContext::AfterList
    }

    /// Sets the timer after a list. The next call starts at once, unless a watch is open that continues to
    /// watch this list.
    fn set_timer_after_list(&mut self, call: ListCall, list: &EndpointList, now: Instant) {
        let open_watches = self.watches().count();
        let is_end_of_watch = call.query.is_watch() && has_no_changes(list);
        let is_relied_on = match open_watches {
            0 => false,
            1 => !is_end_of_watch && !self.needs_new_watch(call),
            _ => true,
        };
        if is_relied_on {
            self.record_watches();
            self.await_watches(now);
        } else {
            self.set_timer(TimerAction::Call, now);
        }
    }

    /// Records that the open watches follow the list in use.
    fn record_watches(&mut self) {
        let watches: Vec<ListCall> = self.watches().collect();
        self.age.record_watches(&watches);
    }

    /// Whether a watch has to start after this list although an earlier one is open: that one is so long that
    /// the list would become stale meanwhile.
    fn needs_new_watch(&self, call: ListCall) -> bool {
        let is_older = self.watches().all(|watch| watch.number < call.number);
        is_older && self.bounds.has_long_watches() && !call.query.is_watch()
    }

    fn record_failure(&mut self, call: ListCall, error: &PollError) {
        let now = Instant::now();
        let failure =
            FailureKind::of(error, now - call.started_at, self.age.has_partial_response(call.number));
        if failure.is_rejection() {
            self.age.record_response_end(call.number);
        }
        if !self.calls.is_to_current_address(call) {
            return;
        }
        self.record_service_state(call, failure, now);
        let is_outage = self.outages.state().is_outage();
        self.record_lost_changes(failure, is_outage, now);
        self.next_context = CallContext::AfterFailure;
        if !failure.is_rejection() {
            self.suspect_open_calls();
        }
        let is_newest = self.calls.open().all(|open| open.number < call.number);
        if !is_newest {
            self.await_other_watches(now);
        } else {
            let delay = self.schedule.delay_after_failure(failure, is_outage);
            let (elapsed, next_in) = ((now - call.started_at).as_millis(), delay.as_millis());
            let list_age = self.age.since_current(now).as_millis();
            let number = call.number;
            eprintln!(
                "discovery: call {number}: {error} after {elapsed} ms; list {list_age} ms old; \
                next call in {next_in} ms"
            );
            // The time that a connection attempt took is a part of the delay.
            let since = if failure.has_no_connection() { call.started_at } else { now };
            self.set_timer(TimerAction::Call, now.max(since + delay));
        }
    }

    /// Records what a failed call shows about the service and about the list, unless a newer call has returned
    /// a list.
    fn record_service_state(&mut self, call: ListCall, kind: FailureKind, now: Instant) {
        let failed_call = FailedCall {
            kind,
            was_healthy_watch: self.was_healthy_watch(call, now - call.started_at),
            was_established: call.is_established(now),
            is_other_unanswered: self.has_unanswered_call(),
            started_at: call.started_at,
            failed_at: now,
        };
        let is_covered = self.is_covered(now);
        if failed_call.ended_unestablished_watch() && !is_covered {
            self.record_watch_gap();
        } else if failed_call.was_healthy_watch {
            self.coverage.close_gap();
        }
        let evidence = self.outages.record_failure(failed_call);
        if self.is_superseded(call) {
            return;
        }
        self.age.record_failure();
        let was_covered = is_covered || self.nothing_sent_at.is_some_and(|at| call.started_at <= at);
        match evidence {
            ListEvidence::NothingSent => {
                self.nothing_sent_at = Some(now);
                self.age.record_nothing_sent(now);
            }
            ListEvidence::NothingSentByWatch => {
                self.nothing_sent_at = Some(now);
                self.age.record_watch_end(now);
            }
            ListEvidence::ResponsePossiblyLost => self.age.record_lost_response(now),
            ListEvidence::Unknown if kind.has_no_connection() && failed_call.is_other_unanswered => {
                self.age.record_unreachable(now);
            }
            // The service has written nothing to this call, and another watch shows what it has sent.
            ListEvidence::Unknown if kind.ended_without_list() && was_covered => {}
            ListEvidence::Unknown => self.age.record_inconclusive_failure(now),
        }
    }

    /// Whether a call is open that may have missed a change of the list in use.
    fn has_unanswered_call(&self) -> bool {
        self.calls.open().any(|open| !self.is_superseded(open))
    }

    /// Whether a newer call has returned a list.
    fn is_superseded(&self, call: ListCall) -> bool {
        self.applied.is_some_and(|applied| call.number < applied.call)
    }

    /// Records that the service may not have accepted the call that continues a watch: it counts changes
    /// since the response to the watch as sent. A local agent is never overloaded: if it rejects a call, it
    /// is down and has sent nothing.
    fn record_watch_gap(&mut self) {
        if let Some(at) = self.coverage.uncovered_at().filter(|_| self.bounds.is_shared()) {
            self.age.record_watch_gap(at);
        }
    }

    /// Whether this call was a watch for changes of the list in use, was within its wait, and had only such
    /// watches beside it.
    fn was_healthy_watch(&self, call: ListCall, elapsed: Duration) -> bool {
        let has_only_watches = self.watches().count() == self.calls.open().len();
        self.applied.is_some()
            && self.is_trusted_watch(call)
            && has_only_watches
            && elapsed < call.query.wait()
    }

    /// Requests the complete list next if changes may have been lost. An overloaded service that rejects a
    /// call loses no change, but one that rejects calls for a while may be restarting.
    fn record_lost_changes(&mut self, failure: FailureKind, is_outage: bool, now: Instant) {
        let failing_since = *self.failing_since.get_or_insert(now);
        let may_restart = is_outage || now - failing_since >= self.bounds.min_restart_duration();
        if !failure.is_rejection() || may_restart {
            self.known_revision = None;
        }
    }

    /// Informs the runtime when the list becomes stale or fresh.
    async fn report_age(&mut self) -> Result<(), RuntimeEnded> {
        let Some(age) = self.age.change(Instant::now()) else { return Ok(()) };
        match age {
            ListAge::Stale => eprintln!("discovery: the endpoint list is too old; no new calls to endpoints"),
            ListAge::Fresh => eprintln!("discovery: the endpoint list is fresh again"),
        }
        Ok(self.events.send(RuntimeEvent::ListAge(age)).await?)
    }
}

/// When the service must have accepted this watch; `None` if its wait ends before.
fn accepted_at(watch: ListCall) -> Option<Instant> {
    let accepted_at = watch.started_at + ListAgeBounds::longest_queue_time();
    (accepted_at <= watch.wait_end()).then_some(accepted_at)
}

#[cfg(test)]
mod tests;
