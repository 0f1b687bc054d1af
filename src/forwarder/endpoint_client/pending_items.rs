//! The attempts of a call in flight: those that wait for its response, and those that have ended without it.

use super::call::{CallCommand, CallItem};
use super::outcome::attempt_result;
use super::write_guard::WriteGuard;
use crate::forwarder::messages::call_report::AttemptResult;
use crate::interface::Outcome;
use tokio::time::Instant;

/// The attempts of a call in flight.
pub(super) struct PendingItems {
    /// The attempts that wait for the response.
    waiting: Vec<CallItem>,
    /// The results of the attempts that ended before the response arrived.
    ended: Vec<AttemptResult>,
    /// The call must not be written at or after this time; `None` once it has passed.
    send_before: Option<Instant>,
}

impl PendingItems {
    /// The attempts of a new call, all of which wait for the response.
    pub(super) fn new(items: Vec<CallItem>) -> Self {
        let send_before = items.iter().map(|item| item.send_before).min();
        PendingItems { waiting: items, ended: Vec::new(), send_before }
    }

    /// When the next attempt times out; `None` if no attempt waits for the response any more.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        self.waiting.iter().map(|item| item.times_out_at).min()
    }

    /// The call must not be written at or after this time; `None` once it has passed.
    pub(super) fn send_before(&self) -> Option<Instant> {
        self.send_before
    }

    /// Ends the attempts that have timed out, and the whole call if one of its messages has expired: the
    /// client is notified of the failure, so the message must not be delivered any more. During shutdown the
    /// decision module no longer ends calls, and only this check does.
    pub(super) fn end_timed_out(&mut self, now: Instant) {
        let has_expired = self.waiting.iter().any(|item| item.expires_at <= now);
        self.end_where(Outcome::TimedOut, |item| has_expired || item.times_out_at <= now);
    }

    /// Ends the call if it was not written before [`Self::send_before`], which has passed: a retry may have
    /// been decided in time while its connection was established too late. The whole call ends, because a
    /// single message cannot be removed from it.
    pub(super) fn end_if_unwritten(&mut self, guard: &WriteGuard) {
        self.send_before = None;
        self.withhold_write(guard);
    }

    /// Carries out a command of the runtime.
    pub(super) fn apply(&mut self, command: CallCommand, guard: &WriteGuard) {
        match command {
            CallCommand::Cancel(key) => self.end_where(Outcome::Cancelled, |item| item.key() == key),
            CallCommand::Abandon => self.end_where(Outcome::TimedOut, |_| true),
            // Establishing the connection may take long. A call decided before the destination asked for a
            // wait must not be written during that wait.
            CallCommand::WithholdWrite => self.withhold_write(guard),
        }
    }

    /// Forbids writing the call from now on. A call that is already being written continues; if that fails
    /// before the first byte, it is not retried on another connection.
    fn withhold_write(&mut self, guard: &WriteGuard) {
        guard.withhold();
        if !guard.has_begun() {
            self.end_where(Outcome::NotSent, |_| true);
        }
    }

    /// Ends with `outcome` the waiting attempts that match.
    fn end_where(&mut self, outcome: Outcome, matches: impl Fn(&CallItem) -> bool) {
        let ended = self.waiting.extract_if(.., |item| matches(item));
        self.ended.extend(ended.map(|item| attempt_result(&item, outcome)));
    }

    /// Returns the attempts that still wait for the response, and the results of the others. If the call was
    /// never written, the results say so, whatever ended the attempts: the messages were certainly not
    /// executed.
    pub(super) fn into_parts(mut self, guard: &WriteGuard) -> (Vec<CallItem>, Vec<AttemptResult>) {
        if !guard.has_begun() {
            self.ended.iter_mut().for_each(mark_never_written);
        }
        (self.waiting, self.ended)
    }
}

/// Replaces an outcome that leaves open whether the message was executed, because the call was never written.
fn mark_never_written(result: &mut AttemptResult) {
    if result.outcome != Outcome::NotSent {
        result.outcome = Outcome::ConnectFailed;
        result.unsent = true;
    }
}
