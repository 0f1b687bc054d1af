//! The records of the journal, and what is recovered from them.

use crate::forwarder::messages::notice::NoticeOutcome;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message that the forwarder has accepted. The serialized names are part of the file format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AcceptedMessage {
    /// The id that the client gave to the message.
    pub(crate) id: String,
    /// Name of its class.
    pub(crate) class: String,
    /// Name of its tenant.
    pub(crate) tenant: Option<String>,
    /// The destination.
    #[serde(rename = "dest")]
    pub(crate) destination: u64,
    /// The idempotency key.
    #[serde(rename = "key")]
    pub(crate) idempotency_key: Option<String>,
    /// When the message expires, in Unix milliseconds.
    #[serde(rename = "deadline")]
    pub(crate) deadline_unix_ms: u64,
    /// The payload. It follows the JSON in the file as it is.
    #[serde(skip)]
    pub(crate) body: Bytes,
}

/// One entry of the journal.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    /// A message was accepted.
    Accepted(AcceptedMessage),
    /// An attempt is about to be written to an endpoint.
    AttemptStarted {
        /// Id of the message.
        message: String,
        /// Number of the attempt, from 0.
        attempt: usize,
        /// When it was sent, in Unix milliseconds.
        sent_at_unix_ms: u64,
        /// Zone of the endpoint.
        zone: String,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Id of the message.
        message: String,
        /// Number of the attempt, from 0.
        attempt: usize,
        /// Whether the endpoint may have executed it.
        may_have_executed: bool,
    },
    /// A message failed or was rejected, and its notice has not been acknowledged.
    NoticePending {
        /// Id of the message.
        message: String,
        /// What the notice reports.
        outcome: NoticeOutcome,
        /// The outcome is remembered until this time, in Unix milliseconds.
        remember_until_unix_ms: u64,
    },
    /// A message is complete: it needs no attempt and no notice.
    Completed {
        /// Id of the message.
        message: String,
        /// How it ended.
        outcome: FinalOutcome,
        /// The outcome is remembered until this time, in Unix milliseconds.
        remember_until_unix_ms: u64,
    },
    /// An operator disabled the endpoint with this id.
    EndpointBanned(String),
    /// An operator enabled the endpoint with this id again.
    EndpointAllowed(String),
}

impl Record {
    /// An attempt was sent at this Unix time (ms) to an endpoint of this zone.
    pub(crate) fn attempt_started(
        message: String,
        attempt: usize,
        sent_at_unix_ms: u64,
        zone: String,
    ) -> Self {
        Record::AttemptStarted { message, attempt, sent_at_unix_ms, zone }
    }

    /// An attempt ended; whether the endpoint may have executed it.
    pub(crate) fn attempt_ended(message: String, attempt: usize, may_have_executed: bool) -> Self {
        Record::AttemptEnded { message, attempt, may_have_executed }
    }

    /// A notice has to be sent; its outcome is remembered until this Unix time (ms).
    pub(crate) fn notice_pending(
        message: String,
        outcome: NoticeOutcome,
        remember_until_unix_ms: u64,
    ) -> Self {
        Record::NoticePending { message, outcome, remember_until_unix_ms }
    }

    /// The message is complete; its outcome is remembered until this Unix time (ms).
    pub(crate) fn completed(message: String, outcome: FinalOutcome, remember_until_unix_ms: u64) -> Self {
        Record::Completed { message, outcome, remember_until_unix_ms }
    }
}

/// How a message ended. The serialized names are part of the file format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FinalOutcome {
    /// An endpoint confirmed the delivery.
    Delivered,
    /// It failed and may have been executed.
    Failed,
    /// It was never executed; it is safe to submit it again.
    #[serde(rename = "Refused")]
    Rejected,
}

impl From<NoticeOutcome> for FinalOutcome {
    fn from(outcome: NoticeOutcome) -> Self {
        match outcome {
            NoticeOutcome::Failed => FinalOutcome::Failed,
            NoticeOutcome::Rejected { .. } => FinalOutcome::Rejected,
        }
    }
}

/// The outcome of a message, remembered so that a client that submits the message again gets the same reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RememberedOutcome {
    /// How the message ended.
    pub(crate) outcome: FinalOutcome,
    /// It is remembered until this time, in Unix milliseconds.
    pub(crate) until_unix_ms: u64,
}

/// An attempt of a recovered message.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecoveredAttempt {
    /// When it was sent, in Unix milliseconds.
    pub(crate) sent_at_unix_ms: u64,
    /// Zone of the endpoint.
    pub(crate) zone: String,
    /// False only where it is known that no endpoint executed it.
    pub(crate) may_have_executed: bool,
}

/// A message that was open when the previous process ended or handed over.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecoveredMessage {
    /// The message as it was accepted.
    pub(crate) message: AcceptedMessage,
    /// Its attempts, by number.
    pub(crate) attempts: Vec<RecoveredAttempt>,
    /// The message failed or was rejected, and this notice has to be sent. No further attempt may be made.
    pub(crate) pending_notice: Option<NoticeOutcome>,
    /// A record that can no longer be read may have been about this message, so it may have been executed.
    pub(crate) in_doubt: bool,
}
