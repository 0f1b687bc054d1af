//! The frames that two processes exchange during an upgrade.
//!
//! The processes may run different versions of the program: the serialized names and forms stay as they are.
//! A new field needs a default.

use crate::forwarder::messages::admin_command::{AdminCommand, AdminReply};
use crate::forwarder::messages::attempt::AttemptRef;
use crate::forwarder::messages::client_request::ClientReply;
use crate::forwarder::messages::endpoint_list::EndpointRecord;
use crate::interface::{LearnedState, LoadReport, Micros, Outcome};
use serde::{Deserialize, Serialize};

/// The number of a request that one process forwards to the other. The reply carries the same number.
pub(crate) type RequestNumber = u64;

/// A message from one process to the other.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The successor requests to take over.
    TakeOver,
    /// The predecessor hands over what the journal does not contain, and releases the lock.
    #[serde(rename = "Rest")]
    Handoff(Box<HandoffState>),
    /// The successor holds the lock and has read the journal. It has written nothing to it yet.
    Owned,
    /// How many client connections the predecessor still has.
    #[serde(rename = "Clients")]
    ClientConnections(usize),
    /// These attempts of the predecessor have ended.
    #[serde(rename = "Ended")]
    AttemptsEnded(Vec<EndedAttempt>),
    /// The successor cancels an attempt of the predecessor.
    #[serde(rename = "CallOff")]
    CancelAttempt(AttemptRef),
    /// The successor has given up the message of an attempt of the predecessor.
    #[serde(rename = "GiveUp")]
    AbandonMessage(AttemptRef),
    /// A client of the predecessor submitted a message.
    #[serde(rename = "HandedIn")]
    ClientRequest(RequestNumber, ForwardedRequest),
    /// The successor's reply to this client.
    #[serde(rename = "Answered")]
    ClientReply(RequestNumber, ClientReply),
    /// An operator sent a command to the predecessor.
    #[serde(rename = "Asked")]
    AdminCommand(RequestNumber, AdminCommand),
    /// The successor's reply to this operator.
    #[serde(rename = "Replied")]
    AdminReply(RequestNumber, AdminReply),
}

/// What the journal does not contain.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HandoffState {
    /// Revision of the endpoint list; 0 if there is none.
    #[serde(rename = "rev")]
    pub(crate) revision: u64,
    /// The endpoint list, with the removed endpoints that still have a call in flight.
    #[serde(rename = "targets")]
    pub(crate) endpoints: Vec<EndpointRecord>,
    /// The calls that the predecessor completes.
    pub(crate) calls: Vec<InFlightCall>,
    /// How many client connections the predecessor still has.
    #[serde(rename = "clients")]
    pub(crate) client_connections: usize,
    /// What the decision module has learned.
    #[serde(rename = "learnt")]
    pub(crate) learned: Vec<LearnedEntry>,
    /// Whether the predecessor acted on the endpoint list. Earlier versions do not tell.
    #[serde(rename = "fresh", default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) list_is_fresh: bool,
}

/// What the decision module has learned about a destination or an endpoint. Its JSON form is an array.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "(Option<String>, LearnedState)", into = "(Option<String>, LearnedState)")]
pub(crate) struct LearnedEntry {
    /// The discovery id of the endpoint that the state names by number. Numbers differ between processes.
    pub(crate) endpoint: Option<String>,
    /// What was learned.
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

/// A call in flight.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct InFlightCall {
    /// The discovery id of the endpoint.
    #[serde(rename = "target")]
    pub(crate) endpoint: String,
    /// How long ago it was sent.
    pub(crate) age: Micros,
    /// The attempts that were sent in it.
    pub(crate) attempts: Vec<AttemptRef>,
}

/// How an attempt of the predecessor ended.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndedAttempt {
    /// The id that the client gave to the message.
    pub(crate) message: String,
    /// Number of the attempt, from 0.
    pub(crate) attempt: usize,
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// The message needs no further attempt and no further answer.
    pub(crate) finished: bool,
    /// What the endpoint reported about its rate limit.
    pub(crate) report: Option<LoadReport>,
    /// How long the endpoint must not be called, if it sent a Retry-After.
    #[serde(rename = "wait")]
    pub(crate) retry_after: Option<Micros>,
    /// Nothing of it was written.
    #[serde(default)]
    pub(crate) unsent: bool,
}

/// A message that a client submitted to the predecessor.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
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
    /// The payload in Base64.
    pub(crate) body: String,
    /// Milliseconds until the client stops waiting.
    #[serde(rename = "left")]
    pub(crate) remaining_ms: u64,
}
