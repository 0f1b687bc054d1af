//! The lifecycle of the process and the time limits of its graceful shutdown.

use crate::forwarder::server::LifecyclePhase;
use std::time::Duration;
use tokio::time::Instant;

/// New clients are served until this long after SIGTERM.
const CLIENT_GRACE_PERIOD: Duration = Duration::from_millis(400);
/// No call starts later than this after SIGTERM. It could still be in flight when the process ends, and would
/// then count as possibly executed.
const CALL_START_PERIOD: Duration = Duration::from_millis(1500);
/// Calls that are still in flight this long after SIGTERM are no longer waited for.
const CALL_COMPLETION_PERIOD: Duration = Duration::from_millis(3200);
/// The process ends at the latest this long after SIGTERM, so that it is not killed.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(3500);
/// How long a process waits for SIGTERM after its successor has become the owner of the messages. It ends
/// without SIGTERM then, once it has no clients, calls and pending replies left.
const MAX_IDLE_AFTER_UPGRADE: Duration = Duration::from_secs(10);

/// How far this process has handed over to a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HandoverStage {
    /// This process owns the messages.
    NotStarted,
    /// This process has handed over, and the successor has not confirmed yet that it owns the messages.
    AwaitingConfirmation,
    /// The successor owns the messages.
    Complete {
        /// When this process handled the confirmation.
        since: Instant,
    },
}

/// The work that keeps the process from ending.
pub(super) struct RemainingWork {
    /// Clients have open connections.
    pub(super) clients: bool,
    /// The journal has unwritten records.
    pub(super) journal: bool,
    /// Calls are in flight, or replies of the successor are outstanding.
    pub(super) calls_or_replies: bool,
}

/// Owns the state from which the lifecycle phase of the process is derived.
pub(super) struct Lifecycle {
    /// When SIGTERM was received.
    terminated_at: Option<Instant>,
    /// Whether the decision module accepts new clients.
    accepts_clients: bool,
}

impl Lifecycle {
    /// The lifecycle of a process that serves clients.
    pub(super) fn new() -> Self {
        Lifecycle { terminated_at: None, accepts_clients: true }
    }

    /// Starts the shutdown, on SIGTERM. Later signals do not change its time limits.
    pub(super) fn terminate(&mut self) {
        self.terminated_at.get_or_insert_with(Instant::now);
    }

    /// Records whether the decision module accepts new clients.
    pub(super) fn set_accepts_clients(&mut self, accepts_clients: bool) {
        self.accepts_clients = accepts_clients;
    }

    /// Whether SIGTERM was received.
    pub(super) fn is_terminating(&self) -> bool {
        self.terminated_at.is_some()
    }

    /// Whether new calls may be started.
    pub(super) fn may_start_calls(&self) -> bool {
        self.time_since_termination().is_none_or(|elapsed| elapsed < CALL_START_PERIOD)
    }

    /// Whether calls in flight are no longer waited for.
    pub(super) fn is_past_call_completion(&self) -> bool {
        self.time_since_termination().is_some_and(|elapsed| elapsed >= CALL_COMPLETION_PERIOD)
    }

    /// The phase of the process. `has_attempts` is whether attempts are in flight, `has_messages` whether
    /// messages are open.
    pub(super) fn phase(
        &self,
        handover: HandoverStage,
        has_attempts: bool,
        has_messages: bool,
    ) -> LifecyclePhase {
        match handover {
            HandoverStage::AwaitingConfirmation => return LifecyclePhase::HandingOver,
            HandoverStage::Complete { .. } => return LifecyclePhase::Stopped,
            HandoverStage::NotStarted => {}
        }
        match self.time_since_termination() {
            Some(elapsed) if may_stop_serving(elapsed, has_attempts, has_messages) => LifecyclePhase::Stopped,
            Some(_) => LifecyclePhase::Closing,
            None if self.accepts_clients => LifecyclePhase::Serving,
            None => LifecyclePhase::Draining,
        }
    }

    /// Whether the process may end.
    pub(super) fn is_complete(&self, handover: HandoverStage, remaining: &RemainingWork) -> bool {
        let overdue = self.time_since_termination().is_some_and(|elapsed| elapsed > MAX_SHUTDOWN_TIME);
        let done = match handover {
            HandoverStage::Complete { since } => {
                let may_end = self.is_terminating() || since.elapsed() > MAX_IDLE_AFTER_UPGRADE;
                may_end && !remaining.clients && !remaining.calls_or_replies
            }
            HandoverStage::NotStarted | HandoverStage::AwaitingConfirmation => {
                self.is_terminating() && !remaining.clients && !remaining.journal
            }
        };
        overdue || done
    }

    fn time_since_termination(&self) -> Option<Duration> {
        self.terminated_at.map(|at| at.elapsed())
    }
}

/// Whether the phase may become [`LifecyclePhase::Stopped`] when `elapsed` has passed since SIGTERM.
fn may_stop_serving(elapsed: Duration, has_attempts: bool, has_messages: bool) -> bool {
    let all_calls_ended = !has_attempts && (elapsed >= CALL_START_PERIOD || !has_messages);
    elapsed >= CALL_COMPLETION_PERIOD || (elapsed >= CLIENT_GRACE_PERIOD && all_calls_ended)
}

#[cfg(test)]
mod tests;
