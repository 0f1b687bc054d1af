//! A message submitted by a client, and the reply to the client.

use crate::interface::ClientId;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A message submitted by a client.
pub(crate) struct ClientRequest {
    /// The id that the client gave to the message.
    pub(crate) id: String,
    /// The connection that the message arrived on; `None` if that is a connection to another process.
    pub(crate) client: Option<ClientId>,
    /// Index of the message's class.
    pub(crate) class: usize,
    /// Index of the message's tenant.
    pub(crate) tenant: Option<usize>,
    /// The destination.
    pub(crate) destination: u64,
    /// The idempotency key.
    pub(crate) idempotency_key: Option<String>,
    /// The payload, passed to the endpoint unchanged.
    pub(crate) body: Bytes,
    /// The message expires at this time, and the client stops waiting.
    pub(crate) deadline: Instant,
    /// The channel for the reply. It is closed once the client has disconnected.
    pub(crate) reply: oneshot::Sender<ClientReply>,
}

/// The reply to a client. It is passed between processes of different versions during an upgrade, so its
/// serialized names must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClientReply {
    /// The message is stored in the journal. It will be delivered, or a notice will be sent.
    Accepted,
    /// The message was delivered.
    Delivered,
    /// The message was not delivered, and submitting it again does no harm. If a time is given, the client
    /// should wait that long.
    #[serde(rename = "Refused")]
    Rejected(Option<Duration>),
    /// The message failed; it may have been executed.
    Failed,
}
