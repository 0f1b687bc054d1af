//! The loop that follows the endpoint list: it calls the discovery service and sends each list to the
//! runtime.
//!
//! After a list, the next call is a watch, to which the service responds when the list changes or the wait
//! ends. After a failure, the next call follows a backoff. A call without a response in time is overdue: it
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
use super::list_response::{acceptance_age, current_at, log_list, next_revision, response_time};
use super::open_calls::{CallEvent, FinishedCall, ListCall, OpenCalls};
use super::outage_detector::{FailedCall, FailureKind, ListEvidence, OutageDetector, is_established};
use super::request::{ListQuery, PollError};
use super::schedule::{CallContext, CallSchedule};
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
}

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
    /// Whether the list was the response to a watch.
    is_watch_response: bool,
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
        self.report_age().await
    }

    async fn next_step(&mut self) -> Step {
        let age_changes_at = self.age.next_change();
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
        if self.calls.open().any(|call| self.follows_list(call) && !is_established(now - call.started_at)) {
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
                self.set_timer(TimerAction::Hedge, Instant::now());
            }
        }
    }

    fn call(&mut self, context: CallContext) {
        let address = *self.address.borrow();
        let query = self.query(context);
        let call = self.calls.start(address, query, self.schedule.limits(query));
        if context == CallContext::AfterList && query.is_watch() {
            self.age.record_watch(call.started_at, query.wait());
        }
        if context == CallContext::AfterPossiblyLateList {
            self.record_watch_gap();
        }
        let hedge_after = self.schedule.hedge_after(query, context);
        self.set_timer(TimerAction::MarkOverdue, call.started_at + hedge_after);
    }

    /// What the next call asks for. If the list has to be confirmed at a later time, the wait of a watch ends
    /// then, so that the response confirms the list.
    fn query(&self, context: CallContext) -> ListQuery {
        let query = self.schedule.query(self.known_revision, context, self.age.is_confirmed());
        let now = Instant::now();
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
        if newest.is_some_and(|newest| newest.number == call.number)
            && self.timer_action == TimerAction::MarkOverdue
        {
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
            self.next_context = CallContext::AfterFailure;
            if self.calls.open().len() == 0 {
                self.set_timer(TimerAction::Call, Instant::now());
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
    /// has a higher revision, or one of a higher revision that arrived while this call was open. A lower
    /// revision in the response to a call that started later is that of a service that has restarted.
    fn is_outdated(&self, call: ListCall, list: &EndpointList) -> bool {
        let Some(applied) = self.applied else { return false };
        let is_late = call.number < applied.call;
        let is_overtaken = call.started_at < applied.at && list.revision < applied.revision;
        is_overtaken || is_late && self.known_revision.is_none_or(|known| list.revision <= known)
    }

    fn record_list(&mut self, call: ListCall, list: &EndpointList) {
        let now = Instant::now();
        let newest_call = self.applied.map_or(call.number, |applied| applied.call.max(call.number));
        let is_watch_response = call.query.is_watch();
        self.applied =
            Some(AppliedList { call: newest_call, revision: list.revision, at: now, is_watch_response });
        self.known_revision = next_revision(call.query, list);
        self.failing_since = None;
        self.outages.record_list();
        self.age.record_current(current_at(call, list, now));
        self.next_context = self.context_after(call, list, now);
        self.schedule.record_list(response_time(call, list, now));
        let newest_watch = self.calls.open().rev().find(|open| open.query.is_watch());
        match newest_watch {
            Some(watch) if self.known_revision.is_some() => self.continue_watch(watch, call, now),
            _ => self.set_timer(TimerAction::Call, now),
        }
    }

    /// The context of the call after this list. The service counts a change between the response to a watch
    /// and the next call as sent. The list includes such a change in time only if the service accepts the
    /// next call in time, which is assumed if it has just accepted this one in time.
    fn context_after(&self, call: ListCall, list: &EndpointList, now: Instant) -> CallContext {
        if !self.bounds.is_shared() || !call.query.is_watch() {
            return CallContext::AfterList;
        }
        let age = acceptance_age(call, list, now, ListAgeBounds::longest_short_watch());
        match self.bounds.is_accepted_in_time(age) {
            true => CallContext::AfterList,
            false => CallContext::AfterPossiblyLateList,
        }
    }

    /// Handles a list that arrived while a watch is open. Another call starts at once only if the watch was
    /// started before the call that returned the list, and is either overdue or so long that the list would
    /// become stale meanwhile.
    fn continue_watch(&mut self, watch: ListCall, call: ListCall, now: Instant) {
        let overdue_at = watch.started_at + self.schedule.overdue_after(watch.query);
        let is_short = !self.bounds.has_long_watches();
        if now < overdue_at && is_short {
            self.set_timer(TimerAction::MarkOverdue, overdue_at);
        } else if watch.number < call.number {
            self.set_timer(TimerAction::Call, now);
        }
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
        let is_newest = self.calls.open().all(|open| open.number < call.number);
        if is_newest {
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
            is_other_unanswered: self.has_unanswered_call(),
            started_at: call.started_at,
            failed_at: now,
        };
        if failed_call.ended_unestablished_watch() {
            self.record_watch_gap();
        }
        let evidence = self.outages.record_failure(failed_call);
        if self.is_superseded(call) {
            return;
        }
        self.age.record_failure();
        match evidence {
            ListEvidence::NothingSent => self.age.record_nothing_sent(now),
            ListEvidence::ResponsePossiblyLost => self.age.record_lost_response(now),
            ListEvidence::Unknown if kind.has_no_connection() && failed_call.is_other_unanswered => {
                self.age.record_unreachable(now);
            }
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
        let is_watch_response = |applied: &AppliedList| applied.is_watch_response && self.bounds.is_shared();
        if let Some(applied) = self.applied.filter(is_watch_response) {
            self.age.record_watch_gap(applied.at);
        }
    }

    /// Whether this call was a watch right after a list, was within its wait, and had no other call beside
    /// it.
    fn was_healthy_watch(&self, call: ListCall, elapsed: Duration) -> bool {
        let is_only_call = self.calls.open().len() == 0;
        self.follows_list(call) && is_only_call && elapsed < call.query.wait()
    }

    /// Whether this call is a watch right after a list.
    fn follows_list(&self, call: ListCall) -> bool {
        call.query.is_watch() && self.applied.is_some_and(|applied| applied.call + 1 == call.number)
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

#[cfg(test)]
mod tests;
