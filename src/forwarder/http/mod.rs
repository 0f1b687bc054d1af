//! A client for HTTP/1.1 connections that carry one request at a time.
//!
//! A request is never sent twice. Clients with a connection pool may resend a request on another connection,
//! and its message could then be executed twice.

mod connect;
mod connection;
mod interruption;
mod observed_read;
mod response_status;

pub(crate) use connect::{Connect, ReadNow, TcpConnector, is_local_failure};
pub(crate) use connection::{Connection, SendRequestError};
pub(crate) use interruption::repeat_if_interrupted;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use observed_read::poll_read_observed;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time from the first byte of a response to the end of its head, and then to read its body. It is
/// short, because endpoints write a complete response at once.
const RESPONSE_COMPLETION_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the body of a response within [`RESPONSE_COMPLETION_TIMEOUT`]. Returns `None` if the body is longer
/// than `max_bytes`, ends early or takes too long.
pub(crate) async fn read_body_with_timeout(incoming: Incoming, max_bytes: usize) -> Option<Bytes> {
    timeout(RESPONSE_COMPLETION_TIMEOUT, read_body(incoming, max_bytes)).await.ok()?
}

/// Reads the body of a response, however long that takes. Returns `None` if the body is longer than
/// `max_bytes` or ends early.
pub(crate) async fn read_body(incoming: Incoming, max_bytes: usize) -> Option<Bytes> {
    read_body_observed(incoming, max_bytes, || {}).await
}

/// Like [`read_body`], and calls `on_data` whenever a part of the body has arrived.
pub(crate) async fn read_body_observed(
    incoming: Incoming,
    max_bytes: usize,
    mut on_data: impl FnMut(),
) -> Option<Bytes> {
    let mut body = Limited::new(incoming, max_bytes);
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        if let Ok(data) = frame.ok()?.into_data() {
            read.extend_from_slice(&data);
            on_data();
        }
    }
    Some(read.freeze())
}

/// Sets the `Host` header, which HTTP/1.1 requires.
pub(crate) fn set_host(request: &mut Request<Full<Bytes>>, address: SocketAddr) {
    // An address with a port is always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
}
