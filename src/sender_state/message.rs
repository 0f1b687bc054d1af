//! A message without a final reply, and its state.

use super::message_queues::QueueKey;
use crate::interface::{Micros, PossibleExecution, Submission};

/// Whether a message can be sent.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum MessageState {
    /// In a queue of its destination, ready to be sent.
    Queued,
    /// Not to be sent before `until`.
    Delayed { until: Micros },
    /// An attempt is in flight.
    InFlight,
    /// Between two other states, or waiting for another message with its ordering key.
    Blocked,
}

/// A message without a final reply.
pub(crate) struct Message {
    /// The message as it was submitted, without the ordering key if its class is not ordered.
    pub(crate) submission: Submission,
    /// Whether the tenant had used up its quota when the message was submitted.
    pub(crate) over_quota: bool,
    /// Until this time a delivery is on time: it has its full weight.
    pub(crate) on_time_until: Micros,
    /// When the message gets its final reply if it has not been delivered.
    pub(crate) give_up_at: Micros,
    /// Number of attempts made.
    pub(crate) attempts: usize,
    /// Number of attempts whose call was not written, or not completely.
    pub(crate) unsent_attempts: usize,
    /// Whether the message can be sent.
    pub(crate) state: MessageState,
    /// The first attempt that may have been executed.
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// Whether the response is being streamed to the client, so that no final reply may follow.
    pub(crate) response_started: bool,
}

impl Message {
    /// Creates a message that is not queued yet.
    pub(crate) fn new(submission: Submission, over_quota: bool, on_time_until: Micros, now: Micros) -> Self {
        Message {
            over_quota,
            on_time_until,
            give_up_at: now,
            attempts: submission.history.attempts,
            unsent_attempts: 0,
            state: MessageState::Blocked,
            possible_execution: submission.history.possible_execution,
            response_started: false,
            submission,
        }
    }

    /// The queue that the message belongs to.
    pub(crate) fn queue_key(&self) -> QueueKey {
        QueueKey { class: self.submission.class, over_quota: self.over_quota }
    }

    /// Whether a predecessor accepted the message and no call with it has been written completely so far.
    pub(crate) fn is_accepted_but_never_attempted(&self) -> bool {
        self.submission.history.accepted && self.attempts == self.unsent_attempts
    }
}
