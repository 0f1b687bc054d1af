//! How attempts end.

use super::{MessageId, Micros};
use serde::{Deserialize, Serialize};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The message was delivered.
    Delivered,
    /// The response reports an error; the message may have been executed.
    Error,
    /// The response says that the message was rejected without execution.
    #[serde(rename = "Full")]
    Rejected {
        /// The Retry-After of the destination, if it sent one: no further call may be sent for this long.
        #[serde(rename = "wait")]
        retry_after: Option<Micros>,
    },
    /// No response arrived in time; the message may have been executed, or may still be executed later.
    TimedOut,
    /// No connection was established, or it broke before the call was written completely; the message was
    /// never executed.
    ConnectFailed,
    /// The connection broke; the message may have been executed.
    Reset,
    /// The response cannot be parsed; the message may have been executed. This does not count against the
    /// health of the destination, which has responded: the response was damaged in transit.
    #[serde(rename = "Spoilt")]
    InvalidResponse,
    /// The reused connection broke as soon as the call was written to it; the message may have been executed.
    /// This does not count against the health of the destination: the connection had probably been closed
    /// while it was idle.
    #[serde(rename = "Dead")]
    StaleConnection,
    /// Cancelled by the sender; the message may have been executed.
    Cancelled,
    /// Not sent, or not completely, by the host, or declined by the endpoint, for example because it had no
    /// free slot or the message had expired; the message was never executed.
    NotSent,
}

impl Outcome {
    /// Whether the attempt is known never to have been executed.
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What a destination reports about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls per second that the limit allows; `None` if there is no limit.
    pub limit: Option<f64>,
}

/// The end of an attempt. The attempts of a message are numbered from 0 in the order in which they were sent.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt.
    pub attempt: usize,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent, in microseconds.
    pub elapsed: Micros,
    /// The message is complete: it needs no further attempt and no final reply.
    pub finished: bool,
    /// What the destination reported about its rate limit.
    pub report: Option<LoadReport>,
    /// The call was not written, or not completely: the attempt does not count towards
    /// [`super::Settings::max_attempts`].
    pub unsent: bool,
    /// The Retry-After that the destination sent with an outcome other than [`Outcome::Rejected`], which
    /// carries a Retry-After of its own: no further call may be sent for this long.
    pub retry_after: Option<Micros>,
}
