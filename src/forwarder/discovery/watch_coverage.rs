//! Whether an open watch covers the end of another one.
//!
//! The service counts a change between the response to a watch and the call that continues the watch as sent.
//! The continuing call may wait in the queue of the service, which the caller cannot see. The change is noticed
//! in time if another watch is established at that moment. Otherwise the end of the watch is a possible gap.

use super::open_calls::ListCall;
use tokio::time::Instant;

/// What is known of the watches of a sender.
#[derive(Debug, Default)]
pub(super) struct WatchCoverage {
    /// A call with this number or a lower one may be silent, because a call failed or became overdue after its
    /// start.
    silent_until: Option<u64>,
    /// When the last response to a watch arrived, if no established watch covered it.
    uncovered_at: Option<Instant>,
    /// When a standby watch starts beside the only open one.
    standby_at: Option<Instant>,
}

impl WatchCoverage {
    /// Whether nothing shows that this call may be silent.
    pub(super) fn is_trusted(&self, call: ListCall) -> bool {
        self.silent_until.is_none_or(|number| number < call.number)
    }

    /// Records that the calls up to the one with this number may be silent.
    pub(super) fn record_silence(&mut self, newest: Option<u64>) {
        self.silent_until = self.silent_until.max(newest);
    }

    /// Records a response to a watch.
    pub(super) fn record_watch_response(&mut self, at: Instant, is_covered: bool) {
        self.uncovered_at = (!is_covered).then_some(at);
    }

    /// Records a list, or the end of a watch that the service had accepted: no gap is open.
    pub(super) fn close_gap(&mut self) {
        self.uncovered_at = None;
    }

    /// The start of the gap that is open until a later call is accepted.
    pub(super) fn uncovered_at(&self) -> Option<Instant> {
        self.uncovered_at
    }

    /// Plans when a standby watch starts.
    pub(super) fn plan_standby(&mut self, at: Instant) {
        self.standby_at = Some(at);
    }

    /// Forgets the planned standby watch, because it starts now or is not needed.
    pub(super) fn cancel_standby(&mut self) {
        self.standby_at = None;
    }

    /// When a standby watch starts beside the only open one.
    pub(super) fn standby_at(&self) -> Option<Instant> {
        self.standby_at
    }
}
