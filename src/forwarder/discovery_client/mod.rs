//! Calls to the discovery service, shared by [`super::discovery`] and [`super::notices`]. Each call has a
//! connection of its own, which is closed after the response.
//!
//! A response may be followed by bytes that belong to none, for example a second copy. On a connection that
//! carried another call, these would be taken for the response to it if they arrive while it waits: an
//! acknowledgement for notices that have not arrived, or a list for a watch that has seen no change.

mod backoff;

pub(crate) use backoff::Backoff;

use crate::forwarder::http::{self, Connection, SendRequestError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Why a call to the discovery service failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection was established.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The response did not arrive within the time limit.
    #[error("no response in time")]
    Timeout,
    /// The connection broke before a response arrived, or the response is not valid HTTP.
    #[error("the connection broke")]
    Interrupted,
    /// The service closed the connection in an orderly way, and had written no response.
    #[error("the service closed the connection")]
    Closed,
    /// The connection broke in the middle of a response.
    #[error("the response is incomplete")]
    IncompleteResponse,
    /// The response has a status that does not mean success.
    #[error("response status {0}")]
    Status(StatusCode),
}

impl CallError {
    /// The error of a call whose response has no valid head.
    fn of_unanswered(error: SendRequestError) -> Self {
        match error {
            SendRequestError::ClosedWithoutResponse | SendRequestError::NotWritten(_) => CallError::Closed,
            SendRequestError::PartlyWritten
            | SendRequestError::Interrupted
            | SendRequestError::InvalidResponse => CallError::Interrupted,
        }
    }
}

/// The time limits of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    /// The connection has to be established within this time.
    pub(crate) connect: Duration,
    /// Once the connection is established, the response has to be complete within this time.
    pub(crate) response: Duration,
}

/// Sends a request to `address` and passes the head of the response to `read_response`. Calls
/// `on_response_start` once the first bytes of the response have arrived.
///
/// # Errors
///
/// See [`CallError`].
pub(crate) async fn call<T>(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    limits: CallLimits,
    on_response_start: impl FnOnce(),
    read_response: impl AsyncFnOnce(Response<Incoming>) -> Result<T, CallError>,
) -> Result<T, CallError> {
    http::set_host(&mut request, address);
    let mut connection = Connection::open(address, limits.connect).await?;
    let exchange = async {
        let sent = connection.send_observed(request, on_response_start).await;
        let response = sent.map_err(CallError::of_unanswered)?;
        read_response(response).await
    };
    timeout(limits.response, exchange).await.map_err(|_| CallError::Timeout)?
}

/// Waits until an address is published that `address` has not marked as seen. The new one is not marked.
///
/// # Errors
///
/// The address cannot change any more, because its sender was dropped.
pub(crate) async fn address_changed(
    address: &watch::Receiver<SocketAddr>,
) -> Result<(), watch::error::RecvError> {
    address.clone().changed().await
}
