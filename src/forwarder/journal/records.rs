//! The records of the journal, and what is recovered from them.

use crate::forwarder::messages::notice::NoticeOutcome;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message that the forwarder has accepted. The serialized names are part of the file format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AcceptedMessage {
    /// The id that the client gave to the message.
    pub(crate) id: String,
    /// Name of the class of the message.
    pub(crate) class: String,
    /// Name of the tenant of the message.
    pub(crate) tenant: Option<String>,
    /// The destination.
    #[serde(rename = "dest")]
    pub(crate) destination: u64,
    #[serde(rename = "key")]
    pub(crate) idempotency_key: Option<String>,
    /// When the message expires, in Unix milliseconds.
    #[serde(rename = "deadline")]
    pub(crate) deadline_unix_ms: u64,
    /// The payload. In the file it follows the JSON as raw bytes.
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
        /// When the attempt was sent, in Unix milliseconds.
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
        /// Whether the endpoint may have executed the attempt.
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
        /// How the message ended.
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
    /// The record of an attempt that is about to be sent to an endpoint in `zone`.
    pub(crate) fn attempt_started(
        message: String,
        attempt: usize,
        sent_at_unix_ms: u64,
        zone: String,
    ) -> Self {
        Record::AttemptStarted { message, attempt, sent_at_unix_ms, zone }
    }

    /// The record of the end of an attempt.
    pub(crate) fn attempt_ended(message: String, attempt: usize, may_have_executed: bool) -> Self {
        Record::AttemptEnded { message, attempt, may_have_executed }
    }

    /// The record of a notice that has to be sent.
    pub(crate) fn notice_pending(
        message: String,
        outcome: NoticeOutcome,
        remember_until_unix_ms: u64,
    ) -> Self {
        Record::NoticePending { message, outcome, remember_until_unix_ms }
    }

    /// The record of a complete message.
    pub(crate) fn completed(message: String, outcome: FinalOutcome, remember_until_unix_ms: u64) -> Self {
        Record::Completed { message, outcome, remember_until_unix_ms }
    }
}

/// How a message ended. The serialized names are part of the file format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FinalOutcome {
    /// An endpoint confirmed the delivery.
    Delivered,
    /// The message failed and may have been executed.
    Failed,
    /// The message was never executed, so it is safe to submit it again.
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

/// The outcome of a message, kept so that a client that submits the message again receives the same reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RememberedOutcome {
    /// How the message ended.
    pub(crate) outcome: FinalOutcome,
    /// The outcome is remembered until this time, in Unix milliseconds.
    pub(crate) until_unix_ms: u64,
}

/// An attempt of a recovered message.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecoveredAttempt {
    /// When the attempt was sent, in Unix milliseconds.
    pub(crate) sent_at_unix_ms: u64,
    /// Zone of the endpoint.
    pub(crate) zone: String,
    /// Whether an endpoint may have executed the attempt. False only if it is known that none did.
    pub(crate) may_have_executed: bool,
}

/// A message that was open when the previous process ended or handed over.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecoveredMessage {
    /// The message as it was accepted.
    pub(crate) message: AcceptedMessage,
    /// The attempts of the message, by number.
    pub(crate) attempts: Vec<RecoveredAttempt>,
    /// The notice to send if the message failed or was rejected. No further attempt may be made in that case.
    pub(crate) pending_notice: Option<NoticeOutcome>,
    /// Whether a damaged record may have been about this message, which may therefore have been executed.
    pub(crate) in_doubt: bool,
}
