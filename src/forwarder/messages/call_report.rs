//! The report of a finished call to the runtime.

use super::attempt::AttemptKey;
use crate::forwarder::http::Connection;
use crate::interface::{EndpointId, LoadReport, MessageId, Micros, Outcome};
use std::io;
use std::net::SocketAddr;

/// How an attempt ended.
pub(crate) struct AttemptResult {
    /// The number of the message.
    pub(crate) id: MessageId,
    /// Number of the attempt, from 0.
    pub(crate) attempt: usize,
    /// How the attempt ended.
    pub(crate) outcome: Outcome,
    /// The message is complete: it needs no further attempt and no final reply.
    pub(crate) finished: bool,
    /// What the endpoint reported about its rate limit, if anything.
    pub(crate) report: Option<LoadReport>,
    /// The wait that the endpoint requested, in microseconds. It may accompany any outcome.
    pub(crate) retry_after: Option<Micros>,
    /// The call was not written, or not completely: the attempt does not count towards the maximum of
    /// attempts.
    pub(crate) unsent: bool,
}

impl AttemptResult {
    /// The attempt that ended.
    pub(crate) fn key(&self) -> AttemptKey {
        AttemptKey { id: self.id, attempt: self.attempt }
    }
}

/// The end of a call: its attempts, and its connection if it can be reused.
pub(crate) struct CallReport {
    /// The endpoint that was called.
    pub(crate) endpoint: EndpointId,
    /// The address that was called. The endpoint list may contain another address by now.
    pub(crate) address: SocketAddr,
    /// The attempts that ended with the call.
    pub(crate) results: Vec<AttemptResult>,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<Connection>,
    /// How the call got its connection.
    pub(crate) connection_usage: ConnectionUsage,
}

/// How a call got its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionUsage {
    /// The number of connections that were established.
    pub(crate) opened: usize,
    /// Why a connection could not be established; `None` if none failed.
    pub(crate) failed: Option<io::ErrorKind>,
    /// Whether the reused connection was alive; `None` if the call was not written to a reused connection.
    pub(crate) reuse: Option<IdleReuse>,
}

/// Whether an idle connection that was reused was still alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleReuse {
    /// A response to the call arrived on the connection.
    Alive,
    /// The connection broke as soon as the call was written.
    Dead,
}
