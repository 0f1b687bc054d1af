//! Messages that have no final answer yet.

use super::message_queues::QueueKey;
use crate::interface::{Class, Idempotency, Micros, PossibleExecution, Submission, WeightDecay};

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
    /// A delivery up to this time earns the full weight.
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
    /// The client receives the response: it needs no answer from here.
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

    /// Fraction of its weight that is left at a time, by the weight decay that is configured.
    pub(crate) fn remaining_weight(&self, at: Micros, class: &Class, decay: WeightDecay) -> f64 {
        let late = (at - self.due).max(0) as f64;
        if decay == WeightDecay::HalfLife && class.latency_objective > 0 {
            return (-late / class.latency_objective as f64).exp2().max(class.late_weight_fraction);
        }
        let decay_time = (self.submission.expires_at - self.due).max(1) as f64;
        1.0 - (1.0 - class.late_weight_fraction) * (late / decay_time).min(1.0)
    }

    /// Whether its idempotency key is known in a zone, if it has been used. Some destinations remember a key
    /// only in the zone where it was first used.
    pub(crate) fn is_key_known_in(&self, zone: usize, idempotency: Idempotency) -> bool {
        let per_zone = matches!(idempotency, Idempotency::Keyed { per_zone: true, .. });
        !per_zone || self.possible_execution.is_none_or(|first| first.zone == zone)
    }
}
