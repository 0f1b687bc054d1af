//! Messages that have no final answer yet.

use super::message_queues::QueueKey;
use crate::interface::{Micros, PossibleExecution, Submission};

/// Whether a message can be sent.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum MessageState {
    /// Ready in a queue of its destination.
    Queued,
    /// Not to be sent before this time.
    Delayed { until: Micros },
    /// An attempt is in flight.
    InFlight,
    /// Between two of these states, or behind another message with its ordering key.
    Blocked,
}

/// A message without a final answer.
pub(crate) struct Message {
    /// The message as it was submitted, without the ordering key if its class is not ordered.
    pub(crate) submission: Submission,
    /// The tenant had used up its quota.
    pub(crate) over_quota: bool,
    /// A delivery up to this time has the full weight.
    pub(crate) due: Micros,
    /// When the message is answered if it has not been delivered.
    pub(crate) give_up_at: Micros,
    /// Number of attempts made.
    pub(crate) attempts: usize,
    /// The attempts that never left this process.
    pub(crate) unsent_attempts: usize,
    /// Whether it can be sent.
    pub(crate) state: MessageState,
    /// The first attempt that may have been executed.
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// The response is being streamed to the client, so that no other answer must follow.
    pub(crate) response_started: bool,
}

impl Message {
    /// A message that is not queued yet.
    pub(crate) fn new(submission: Submission, over_quota: bool, due: Micros, now: Micros) -> Self {
        Message {
            over_quota,
            due,
            give_up_at: now,
            attempts: submission.history.attempts,
            unsent_attempts: 0,
            state: MessageState::Blocked,
            possible_execution: submission.history.possible_execution,
            response_started: false,
            submission,
        }
    }

    /// The queue that it belongs to.
    pub(crate) fn queue_key(&self) -> QueueKey {
        QueueKey { class: self.submission.class, over_quota: self.over_quota }
    }

    /// Whether a predecessor accepted it and no attempt has left a process so far.
    pub(crate) fn is_accepted_and_untried(&self) -> bool {
        self.submission.history.accepted && self.attempts == self.unsent_attempts
    }
}
