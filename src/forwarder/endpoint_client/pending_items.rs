//! The attempts of a call in flight: those that wait for its response, and those that have ended without it.

use super::call::{CallCommand, CallItem};
use super::outcome::attempt_result;
use super::write_guard::WriteGuard;
use crate::forwarder::messages::call_report::AttemptResult;
use crate::interface::Outcome;
use tokio::time::Instant;

/// The attempts of a call in flight.
pub(super) struct PendingItems {
    /// Attempts that wait for the response.
    waiting: Vec<CallItem>,
    /// Results of the attempts that ended before the response arrived.
    ended: Vec<AttemptResult>,
    /// The call must not be written at or after this time. `None` once the time has passed.
    send_before: Option<Instant>,
}

impl PendingItems {
    /// Creates the attempts of a call. All of them wait for the response.
    pub(super) fn new(items: Vec<CallItem>) -> Self {
        let send_before = items.iter().map(|item| item.send_before).min();
        PendingItems { waiting: items, ended: Vec::new(), send_before }
    }

    /// When the next attempt times out; `None` if no attempt waits any more.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        self.waiting.iter().map(|item| item.times_out_at).min()
    }

    /// The time from which the call must not be written any more; `None` once it has passed.
    pub(super) fn send_before(&self) -> Option<Instant> {
        self.send_before
    }

    /// Ends the attempts that have timed out, and the whole call if one of its messages has expired: its client is
    /// notified of the failure, so that it must not be delivered after that. During shutdown the decision module does
    /// not end calls any more, and only this check does.
    pub(super) fn end_timed_out(&mut self, now: Instant) {
        let has_expired = self.waiting.iter().any(|item| item.expires_at <= now);
        self.end_where(Outcome::TimedOut, |item| has_expired || item.times_out_at <= now);
    }

    /// Ends the call if it has not been written before the time of [`Self::send_before`], which has passed: a retry
    /// may have been decided in time and its connection established too late. The whole call ends, because a single
    /// message cannot be removed from it.
    pub(super) fn end_if_unwritten(&mut self, guard: &WriteGuard) {
        self.send_before = None;
        self.withhold_write(guard);
    }

    /// Carries out a command of the runtime.
    pub(super) fn apply(&mut self, command: CallCommand, guard: &WriteGuard) {
        match command {
            CallCommand::Cancel(key) => self.end_where(Outcome::Cancelled, |item| item.key() == key),
            CallCommand::Abandon => self.end_where(Outcome::TimedOut, |_| true),
            // Establishing the connection may take long. A call decided before the destination asked for a wait
            // must not be written during that wait.
            CallCommand::WithholdWrite => self.withhold_write(guard),
        }
    }

    /// Forbids writing the call from now on. A call that is already being written continues; if that fails before
    /// the first byte, it is not repeated on another connection.
    fn withhold_write(&mut self, guard: &WriteGuard) {
        guard.withhold();
        if !guard.is_begun() {
            self.end_where(Outcome::NotSent, |_| true);
        }
    }

    /// Ends the waiting attempts that match with this outcome.
    fn end_where(&mut self, outcome: Outcome, matches: impl Fn(&CallItem) -> bool) {
        let ended = self.waiting.extract_if(.., |item| matches(item));
        self.ended.extend(ended.map(|item| attempt_result(&item, outcome)));
    }

    /// Returns the attempts that still wait, and the results of the others. If the call was never written, these
    /// results say so, whatever ended the attempts: they were certainly not executed.
    pub(super) fn into_parts(mut self, guard: &WriteGuard) -> (Vec<CallItem>, Vec<AttemptResult>) {
        if !guard.is_begun() {
            self.ended.iter_mut().for_each(mark_never_written);
        }
        (self.waiting, self.ended)
    }
}

/// Replaces an outcome that leaves open whether the message was executed.
fn mark_never_written(result: &mut AttemptResult) {
    if result.outcome != Outcome::NotSent {
        result.outcome = Outcome::ConnectFailed;
        result.unsent = true;
    }
}
