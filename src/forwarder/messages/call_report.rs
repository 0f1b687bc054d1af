//! What a finished call reports to the runtime.

use crate::forwarder::http::Connection;
use crate::interface::{EndpointId, LoadReport, MessageId, Micros, Outcome};
use std::io;
use std::net::SocketAddr;

/// How an attempt ended.
pub(crate) struct AttemptResult {
    /// The message.
    pub(crate) id: MessageId,
    /// Number of the attempt.
    pub(crate) attempt: usize,
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// The message needs no further attempt and no further answer.
    pub(crate) finished: bool,
    /// What the endpoint reported about its rate limit.
    pub(crate) report: Option<LoadReport>,
    /// A wait that the endpoint asked for, whatever the outcome.
    pub(crate) retry_after: Option<Micros>,
    /// Nothing of it was written.
    pub(crate) unsent: bool,
}

/// The end of a call: its attempts, and its connection if it can be reused.
pub(crate) struct CallReport {
    /// The endpoint that was called.
    pub(crate) endpoint: EndpointId,
    /// The address that was called. The endpoint may have moved since.
    pub(crate) address: SocketAddr,
    /// The attempts that ended with the call.
    pub(crate) results: Vec<AttemptResult>,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<Connection>,
    /// What the call did to get a connection.
    pub(crate) connection_usage: ConnectionUsage,
}

/// What a call did to get a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionUsage {
    /// Connections that were established.
    pub(crate) opened: usize,
    /// Why a connection could not be established.
    pub(crate) failed: Option<io::ErrorKind>,
    /// How the reused connection fared, if the call was written to one.
    pub(crate) reuse: Option<IdleReuse>,
}

/// How an idle connection fared when it was used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleReuse {
    /// It brought a response.
    Alive,
    /// It broke as soon as the call was written.
    Dead,
}
