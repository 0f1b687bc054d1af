//! A connection of the HTTP client, and the requests sent on it.

use super::RESPONSE_COMPLETION_TIMEOUT;
use super::connect::{Connect, TcpConnector};
use super::response_status::{ResponseProgress, StatusRecordingStream, StreamState};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{sleep, timeout};

/// Maximum length of the head of a response, and of the unread bytes that a connection buffers.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendRequestError {
    /// No byte of the request was written. The request is returned for use on another connection.
    #[error("the connection closed before the request was written")]
    NotWritten(Box<Request<Full<Bytes>>>),
    /// The connection broke before the last byte of the request was written.
    #[error("the connection broke before the request was written completely")]
    PartlyWritten,
    /// The request was written, and may have arrived.
    #[error("the connection broke before a response arrived")]
    Interrupted,
    /// The request was written, and the other side closed the connection in an orderly way without a byte of
    /// a response. TCP delivers in order, so it had written nothing before.
    #[error("the connection was closed without a response")]
    ClosedWithoutResponse,
    /// A response arrived but cannot be parsed.
    #[error("the response cannot be parsed")]
    InvalidResponse,
}

/// An open connection. It is closed when it is dropped.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// How much of the last response has arrived. The stream, owned by the driver task, holds another sender
    /// of the channel and updates the value; the channel keeps only the last one.
    progress: watch::Sender<ResponseProgress>,
    /// Shared with the stream.
    stream_state: Arc<StreamState>,
    /// The task that reads and writes the socket. It ends with the connection.
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a TCP connection to `address` within `time_limit`.
    pub(crate) async fn open(address: SocketAddr, time_limit: Duration) -> io::Result<Self> {
        Connection::open_with(&TcpConnector, address, time_limit).await
    }

    /// Opens a connection to `address` with `connector` within `time_limit`.
    pub(crate) async fn open_with<C: Connect>(
        connector: &C,
        address: SocketAddr,
        time_limit: Duration,
    ) -> io::Result<Self> {
        let (progress, _) = watch::channel(ResponseProgress::NotStarted);
        let stream_state = Arc::new(StreamState::default());
        let handshake = async {
            let stream = connector.connect(address).await?;
            let stream = StatusRecordingStream::new(stream, progress.clone(), stream_state.clone());
            let mut client = http1::Builder::new();
            client
                .max_buf_size(MAX_BUFFER_BYTES)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(io::Error::other)
        };
        let (sender, connection) =
            timeout(time_limit, handshake).await.map_err(|_| io::ErrorKind::TimedOut)??;
        let driver = tokio::spawn(async move {
            // An error also fails the request that is in flight on the connection, and is handled there.
            let _ = connection.await;
        });
        Ok(Connection { sender, progress, stream_state, driver })
    }

    /// Whether the connection was open when the driver last read from it. It is closed once the other side
    /// has closed it or has sent bytes that are not the response to a request.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Whether the connection may carry another request.
    ///
    /// Bytes after the last response would be taken for the response to the next request, or would make it
    /// fail. The driver closes an idle connection at the first such byte, but only once it has been
    /// scheduled: this method yields to it first.
    pub(crate) async fn is_reusable(&self) -> bool {
        yield_now().await;
        self.is_open()
    }

    /// The status in the status line of the last response, even if the response was invalid further on.
    pub(crate) fn status(&self) -> Option<StatusCode> {
        match *self.progress.borrow() {
            ResponseProgress::StatusReceived(status) => Some(status),
            ResponseProgress::NotStarted | ResponseProgress::Started => None,
        }
    }

    /// Sends one request and waits for the head of its response. The caller sets a timeout for the start of
    /// the response. Once started, the head must be complete within [`RESPONSE_COMPLETION_TIMEOUT`], or the
    /// response counts as invalid: otherwise it would occupy its call slot until the call times out.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendRequestError> {
        self.send_observed(request, || {}).await
    }

    /// Like [`Self::send`], and calls `on_response_start` once the first bytes of the response have arrived.
    pub(crate) async fn send_observed(
        &mut self,
        request: Request<Full<Bytes>>,
        on_response_start: impl FnOnce(),
    ) -> Result<Response<Incoming>, SendRequestError> {
        let mut on_response_start = Some(on_response_start);
        if self.sender.ready().await.is_err() {
            return Err(SendRequestError::NotWritten(Box::new(request)));
        }
        self.progress.send_replace(ResponseProgress::NotStarted);
        self.stream_state.expect_request();
        let mut progress = self.progress.subscribe();
        let response = tokio::select! {
            biased;
            response = self.sender.try_send_request(request) => response,
            () = head_overdue(&mut progress, &mut on_response_start) =>
                return Err(SendRequestError::InvalidResponse),
        };
        if let (Ok(_), Some(on_response_start)) = (&response, on_response_start) {
            on_response_start();
        }
        response.map_err(|mut error| match error.take_message() {
            Some(request) => SendRequestError::NotWritten(Box::new(request)),
            None if error.error().is_parse() || self.has_response_started() => {
                SendRequestError::InvalidResponse
            }
            // The bytes that could not be written belong to this request.
            None if self.stream_state.write_has_failed() => SendRequestError::PartlyWritten,
            None if self.stream_state.was_closed_by_peer() => SendRequestError::ClosedWithoutResponse,
            None => SendRequestError::Interrupted,
        })
    }

    /// Closes the connection and returns once its socket is released.
    pub(crate) async fn close(mut self) {
        self.driver.abort();
        let _ = (&mut self.driver).await;
    }

    fn has_response_started(&self) -> bool {
        *self.progress.borrow() != ResponseProgress::NotStarted
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Completes when a response has started and its head has not arrived within [`RESPONSE_COMPLETION_TIMEOUT`].
async fn head_overdue(
    progress: &mut watch::Receiver<ResponseProgress>,
    on_response_start: &mut Option<impl FnOnce()>,
) {
    // The channel is not closed: the connection holds a sender and outlives its request.
    let _ = progress.wait_for(|progress| *progress != ResponseProgress::NotStarted).await;
    if let Some(on_response_start) = on_response_start.take() {
        on_response_start();
    }
    sleep(RESPONSE_COMPLETION_TIMEOUT).await;
}

#[cfg(test)]
mod tests;
