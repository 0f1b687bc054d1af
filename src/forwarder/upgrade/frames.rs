//! The frames that two processes exchange during an upgrade.
//!
//! The two processes may run different versions of the program. Therefore the serialized names and forms must
//! not change, and a new field needs a default.

use crate::forwarder::messages::admin_command::{AdminCommand, AdminReply};
use crate::forwarder::messages::attempt::AttemptRef;
use crate::forwarder::messages::client_request::ClientReply;
use crate::forwarder::messages::endpoint_list::EndpointRecord;
use crate::interface::{LearnedState, LoadReport, Micros, Outcome};
use serde::{Deserialize, Serialize};

/// The number of a request that the predecessor forwards to the successor. The reply carries the same number.
pub(crate) type RequestNumber = u64;

/// A message from one process to the other.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The successor requests to take over.
    TakeOver,
    /// The predecessor hands over the state that the journal does not contain, and then releases the lock.
    #[serde(rename = "Rest")]
    Handoff(Box<HandoffState>),
    /// The successor holds the lock and has read the journal. It has not written to the journal yet.
    Owned,
    /// The number of client connections that the predecessor still has.
    #[serde(rename = "Clients")]
    ClientConnections(usize),
    /// Attempts of the predecessor have ended.
    #[serde(rename = "Ended")]
    AttemptsEnded(Vec<EndedAttempt>),
    /// The successor cancels an attempt of the predecessor.
    #[serde(rename = "CallOff")]
    CancelAttempt(AttemptRef),
    /// The message of an attempt of the predecessor has failed or was rejected: the predecessor abandons the
    /// call.
    #[serde(rename = "GiveUp")]
    AbandonMessage(AttemptRef),
    /// A client that is connected to the predecessor submitted a message.
    #[serde(rename = "HandedIn")]
    ClientRequest(RequestNumber, ForwardedRequest),
    /// The successor's reply to a client that is connected to the predecessor.
    #[serde(rename = "Answered")]
    ClientReply(RequestNumber, ClientReply),
    /// An operator who is connected to the predecessor sent a command.
    #[serde(rename = "Asked")]
    AdminCommand(RequestNumber, AdminCommand),
    /// The successor's reply to an operator who is connected to the predecessor.
    #[serde(rename = "Replied")]
    AdminReply(RequestNumber, AdminReply),
}

/// The state that the journal does not contain.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HandoffState {
    /// Revision of the endpoint list; 0 if no list is known.
    #[serde(rename = "rev")]
    pub(crate) revision: u64,
    /// The endpoint list, including the removed endpoints that still have a call in flight.
    #[serde(rename = "targets")]
    pub(crate) endpoints: Vec<EndpointRecord>,
    /// The calls that the predecessor completes.
    pub(crate) calls: Vec<InFlightCall>,
    /// The number of client connections that the predecessor still has.
    #[serde(rename = "clients")]
    pub(crate) client_connections: usize,
    /// What the decision module has learned.
    #[serde(rename = "learnt")]
    pub(crate) learned: Vec<LearnedEntry>,
    /// Whether the endpoint list was fresh, so that the predecessor started calls. Earlier versions do not
    /// send this field.
    #[serde(rename = "fresh", default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) list_is_fresh: bool,
}

/// What the decision module has learned about a destination or an endpoint. Its JSON form is an array.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "(Option<String>, LearnedState)", into = "(Option<String>, LearnedState)")]
pub(crate) struct LearnedEntry {
    /// The discovery id of the endpoint that the state concerns, if any. The number of the endpoint in
    /// `state` is valid only in the process that sent it.
    pub(crate) endpoint: Option<String>,
    /// The learned state.
    pub(crate) state: LearnedState,
}

impl From<(Option<String>, LearnedState)> for LearnedEntry {
    fn from((endpoint, state): (Option<String>, LearnedState)) -> Self {
        LearnedEntry { endpoint, state }
    }
}

impl From<LearnedEntry> for (Option<String>, LearnedState) {
    fn from(entry: LearnedEntry) -> Self {
        (entry.endpoint, entry.state)
    }
}

/// A call that the predecessor has in flight.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct InFlightCall {
    /// The discovery id of the endpoint.
    #[serde(rename = "target")]
    pub(crate) endpoint: String,
    /// Time since the call was sent.
    pub(crate) age: Micros,
    /// The attempts of the call.
    pub(crate) attempts: Vec<AttemptRef>,
}

/// How an attempt of the predecessor ended.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndedAttempt {
    /// The id that the client gave to the message.
    pub(crate) message: String,
    /// Number of the attempt, from 0.
    pub(crate) attempt: usize,
    /// The outcome of the attempt.
    pub(crate) outcome: Outcome,
    /// The message is complete: it needs no further attempt and no final reply.
    pub(crate) finished: bool,
    /// What the endpoint reported about its rate limit, if it did.
    pub(crate) report: Option<LoadReport>,
    /// The Retry-After of the endpoint, if it sent one: how long the endpoint must not be called.
    #[serde(rename = "wait")]
    pub(crate) retry_after: Option<Micros>,
    /// The call was not written, or not completely: the attempt does not count towards the maximum of
    /// attempts.
    #[serde(default)]
    pub(crate) unsent: bool,
}

/// A message that a client submitted to the predecessor.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    /// The id that the client gave to the message.
    pub(crate) id: String,
    /// Name of the message's class.
    pub(crate) class: String,
    /// Name of the message's tenant.
    pub(crate) tenant: Option<String>,
    /// The destination.
    #[serde(rename = "dest")]
    pub(crate) destination: u64,
    /// The idempotency key.
    #[serde(rename = "key")]
    pub(crate) idempotency_key: Option<String>,
    /// The payload in Base64.
    pub(crate) body: String,
    /// Milliseconds until the client stops waiting.
    #[serde(rename = "left")]
    pub(crate) remaining_ms: u64,
}
