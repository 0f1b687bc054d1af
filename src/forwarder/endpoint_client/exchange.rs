//! Sends a call on a reused or a new connection, and receives its response.

use super::request::is_batch;
use super::response::EndpointResponse;
use super::write_guard::WriteGuard;
use crate::forwarder::http::{Connect, Connection, SendRequestError, is_local_failure};
use crate::forwarder::messages::call_report::{ConnectionUsage, IdleReuse};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A reused connection that breaks within this time after a call was written to it is considered stale: an
/// endpoint that receives a call and then fails takes longer.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(100);

/// Why a call has no response that can be parsed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(super) enum NoResponse {
    /// No connection was established, or it broke before the call was written completely. An endpoint
    /// executes only complete calls.
    #[error("not connected")]
    NotConnected,
    /// The call was not written completely, for a reason that says nothing about the endpoint's health: this
    /// process cannot open a connection now, or the connection had been closed while it was idle.
    #[error("not sent")]
    NotSent,
    /// The [`WriteGuard`] did not permit the write, and nothing was written.
    #[error("the write was withheld")]
    Withheld,
    /// The connection broke. The call may have been executed.
    #[error("the connection broke before a response arrived")]
    Interrupted,
    /// A response arrived but cannot be parsed. The call may have been executed.
    #[error("the response cannot be parsed")]
    Invalid,
    /// The reused connection had become stale while it was idle. The call may have been executed
    /// nevertheless.
    #[error("the reused connection was stale")]
    StaleConnection,
}

/// The connection of a call, and what the call did to get it.
pub(super) struct CallConnection<C> {
    connector: C,
    address: SocketAddr,
    connect_timeout: Duration,
    /// The connection, if one is open.
    connection: Option<Connection>,
    /// What the call did to get a connection.
    usage: ConnectionUsage,
}

/// What is known of a sent request when its failure is interpreted.
struct SentRequest {
    is_batch: bool,
    /// The connection had carried another call before this one.
    on_reused_connection: bool,
    sent_at: Instant,
}

impl<C: Connect> CallConnection<C> {
    /// Prepares a connection to `address`: `reused` if it can still carry a call, and otherwise a new one,
    /// which is opened by `connector` within `connect_timeout`.
    pub(super) fn new(
        connector: C,
        address: SocketAddr,
        connect_timeout: Duration,
        reused: Option<Connection>,
    ) -> Self {
        let usage = ConnectionUsage::default();
        CallConnection { connector, address, connect_timeout, connection: reused, usage }
    }

    /// Sends the request if `guard` permits it, and reads its response. If a reused connection turns out to
    /// be closed before anything was written, a new connection is opened.
    ///
    /// # Errors
    ///
    /// See [`NoResponse`].
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        guard: &WriteGuard,
    ) -> Result<EndpointResponse, NoResponse> {
        let is_batch = is_batch(&request);
        let mut request = Box::new(request);
        loop {
            let on_reused_connection = self.is_reusable().await;
            if !on_reused_connection {
                self.open().await?;
            }
            let Some(connection) = &mut self.connection else { return Err(NoResponse::NotConnected) };
            // Checked as late as possible: only the readiness of the connection is awaited before the write.
            if !guard.try_begin() {
                return Err(NoResponse::Withheld);
            }
            let sent = SentRequest { is_batch, on_reused_connection, sent_at: Instant::now() };
            match connection.send(*request).await {
                Ok(response) => {
                    if on_reused_connection {
                        self.usage.reuse = Some(IdleReuse::Alive);
                    }
                    return EndpointResponse::read(response, is_batch).await;
                }
                Err(SendRequestError::NotWritten(unsent)) if on_reused_connection => {
                    request = unsent;
                    self.connection = None;
                }
                Err(error) => return self.interpret_failure(&error, &sent),
            }
        }
    }

    /// Closes the connection, if one is open, and returns once its socket is released.
    pub(super) async fn close(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close().await;
        }
    }

    /// The connection, if one is open, and what the call did to get it.
    pub(super) fn into_parts(self) -> (Option<Connection>, ConnectionUsage) {
        (self.connection, self.usage)
    }

    async fn is_reusable(&self) -> bool {
        match &self.connection {
            Some(connection) => connection.is_reusable().await,
            None => false,
        }
    }

    async fn open(&mut self) -> Result<(), NoResponse> {
        match Connection::open_with(&self.connector, self.address, self.connect_timeout).await {
            Ok(connection) => {
                self.usage.opened += 1;
                self.connection = Some(connection);
                Ok(())
            }
            Err(error) => {
                self.usage.failed = Some(error.kind());
                Err(if is_local_failure(&error) { NoResponse::NotSent } else { NoResponse::NotConnected })
            }
        }
    }

    /// Derives the result of the call from the error of its request.
    fn interpret_failure(
        &mut self,
        error: &SendRequestError,
        sent: &SentRequest,
    ) -> Result<EndpointResponse, NoResponse> {
        match error {
            SendRequestError::NotWritten(_) => Err(NoResponse::NotConnected),
            SendRequestError::PartlyWritten if sent.on_reused_connection => {
                self.usage.reuse = Some(IdleReuse::Dead);
                Err(NoResponse::NotSent)
            }
            SendRequestError::PartlyWritten => Err(NoResponse::NotConnected),
            _ if self.proves_delivery(sent) => Ok(EndpointResponse::status_only(StatusCode::OK)),
            SendRequestError::InvalidResponse => Err(NoResponse::Invalid),
            SendRequestError::Interrupted | SendRequestError::ClosedWithoutResponse
                if sent.was_connection_stale() =>
            {
                self.usage.reuse = Some(IdleReuse::Dead);
                Err(NoResponse::StaleConnection)
            }
            SendRequestError::Interrupted | SendRequestError::ClosedWithoutResponse => {
                Err(NoResponse::Interrupted)
            }
        }
    }

    /// Whether the status line alone shows that the message was delivered, whatever happened to the rest of
    /// the response.
    ///
    /// On a reused connection the status line may belong to a late duplicate of the previous call's response.
    /// A message wrongly considered delivered would be lost, so the status line alone is not sufficient
    /// there.
    fn proves_delivery(&self, sent: &SentRequest) -> bool {
        let status = self.connection.as_ref().and_then(Connection::status);
        !sent.is_batch && !sent.on_reused_connection && status == Some(StatusCode::OK)
    }
}

impl SentRequest {
    /// Whether the connection, which has just broken, was already stale when the request was written to it.
    fn was_connection_stale(&self) -> bool {
        self.on_reused_connection && self.sent_at.elapsed() < STALE_CONNECTION_WINDOW
    }
}

#[cfg(test)]
mod tests;
