//! Encodes replies to clients as HTTP responses.

use crate::forwarder::messages::client_request::ClientReply;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// How long a client should wait before it resubmits a message that was rejected because the forwarder is
/// overloaded.
pub(super) const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The complete response that is written directly to the socket if a connection exceeds the capacity, or is
/// closed while the client has sent more.
pub(super) const RAW_REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// An HTTP response to a client. Its body is always empty.
pub(super) type HttpReply = Response<Full<Bytes>>;

/// A response with this status and no headers.
pub(super) fn status_reply(status: StatusCode) -> HttpReply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// The response that carries a reply of the runtime.
pub(super) fn encode_reply(reply: ClientReply) -> HttpReply {
    match reply {
        ClientReply::Accepted => status_reply(StatusCode::ACCEPTED),
        ClientReply::Delivered => status_reply(StatusCode::OK),
        ClientReply::Failed => status_reply(StatusCode::INTERNAL_SERVER_ERROR),
        ClientReply::Rejected(retry_after) => rejection(retry_after),
    }
}

/// Marks the response as the last one on its connection.
pub(super) fn close_after(reply: &mut HttpReply) {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// The response for a rejected message. `Retry-After` is in seconds with three decimals.
fn rejection(retry_after: Option<Duration>) -> HttpReply {
    let mut reply = status_reply(StatusCode::SERVICE_UNAVAILABLE);
    // A number in decimal notation is always a valid header value.
    let seconds = retry_after.map(|retry_after| format!("{:.3}", retry_after.as_secs_f64()));
    if let Some(Ok(value)) = seconds.map(|seconds| HeaderValue::from_str(&seconds)) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

#[cfg(test)]
mod format_tests;
