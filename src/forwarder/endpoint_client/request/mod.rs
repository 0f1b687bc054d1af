//! Encodes a call as an HTTP request.

use super::call::CallItem;
use crate::forwarder::http;
use crate::forwarder::journal::AcceptedMessage;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Uri};
use serde::Serialize;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The path of calls with one message.
const SINGLE_PATH: &str = "/hook";
/// The path of calls with several messages.
const BATCH_PATH: &str = "/hook/batch";

/// One message in the body of a batch.
#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    /// The payload in Base64.
    body: String,
}

/// Encodes a call with one message or a batch. Returns `None` if there is no message, or if the id or the key
/// of a single message is not a valid header value.
pub(super) fn encode_request(items: &[CallItem], address: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let mut request = match items {
        [] => return None,
        [item] => encode_single(item)?,
        items => encode_batch(items)?,
    };
    *request.method_mut() = Method::POST;
    request.headers_mut().insert("req-deadline-ms", remaining_time(items)?);
    http::set_host(&mut request, address);
    Some(request)
}

/// Whether the request is a batch.
pub(super) fn is_batch(request: &Request<Full<Bytes>>) -> bool {
    request.uri().path() == BATCH_PATH
}

/// The time in milliseconds until the last of the attempts times out.
fn remaining_time(items: &[CallItem]) -> Option<HeaderValue> {
    let last_timeout = items.iter().map(|item| item.times_out_at).max()?;
    let remaining = last_timeout.saturating_duration_since(Instant::now());
    Some(HeaderValue::from(u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)))
}

fn encode_single(item: &CallItem) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(item.body.clone()));
    *request.uri_mut() = Uri::from_static(SINGLE_PATH);
    request.headers_mut().insert("req-id", HeaderValue::from_str(&item.message).ok()?);
    if let Some(key) = &item.idempotency_key {
        request.headers_mut().insert("idempotency-key", HeaderValue::from_str(key).ok()?);
    }
    Some(request)
}

fn encode_batch(items: &[CallItem]) -> Option<Request<Full<Bytes>>> {
    let batch: Vec<BatchItem> = items.iter().map(batch_item).collect();
    let body = serde_json::to_vec(&batch).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.uri_mut() = Uri::from_static(BATCH_PATH);
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Some(request)
}

/// The length of a message in the body of a batch, without a separator.
pub(crate) fn batched_bytes(message: &AcceptedMessage) -> usize {
    let AcceptedMessage { id, idempotency_key, body, .. } = message;
    let without_body = BatchItem { id, key: idempotency_key.as_deref(), body: String::new() };
    let frame = serde_json::to_vec(&without_body).map_or(usize::MAX, |text| text.len());
    let payload = base64::encoded_len(body.len(), true).unwrap_or(usize::MAX);
    frame.saturating_add(payload)
}

fn batch_item(item: &CallItem) -> BatchItem<'_> {
    BatchItem { id: &item.message, key: item.idempotency_key.as_deref(), body: STANDARD.encode(&item.body) }
}

#[cfg(test)]
mod format_tests;
