//! Parses and validates the requests of clients.

use crate::settings_reader::NameList;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum length of the body of a message.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// Maximum length of an id, a key or a tenant name. It is bounded because records of the journal contain
/// them.
const MAX_NAME_BYTES: usize = 128;
/// Maximum time until the deadline of a message. The bound keeps sums of times from overflowing.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

const ID_HEADER: &str = "req-id";
const TENANT_HEADER: &str = "req-owner";
const DEADLINE_HEADER: &str = "req-deadline-ms";
const KEY_HEADER: &str = "idempotency-key";
const ENVELOPE_HEADER: &str = "envelope";
/// The field of the envelope that names the destination.
const DESTINATION_FIELD: &str = "dest";

/// Why a request is rejected before it reaches the runtime.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestRejection {
    /// The request has several body lengths, or a length and a transfer encoding.
    #[error("ambiguous body length")]
    AmbiguousFraming,
    /// The body has a transfer encoding. Only bodies with a length are accepted, so that it is always clear
    /// where the next request starts.
    #[error("no body length")]
    LengthRequired,
    /// The path is unknown or does not support the method.
    #[error("unknown path or method")]
    NotFound,
    /// The path names no class.
    #[error("unknown class")]
    UnknownClass,
    /// The header occurs more than once: different parsers could use different values.
    #[error("repeated header {0}")]
    RepeatedHeader(&'static str),
    /// The header is missing, or its value is not permitted.
    #[error("invalid header {0}")]
    InvalidHeader(&'static str),
    /// The body is too long.
    #[error("body too large")]
    BodyTooLarge,
    /// The connection broke within the body.
    #[error("incomplete body")]
    IncompleteBody,
    /// The body did not arrive in time.
    #[error("body timed out")]
    BodyTimeout,
}

impl RequestRejection {
    /// The status of the reply.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            RequestRejection::AmbiguousFraming
            | RequestRejection::UnknownClass
            | RequestRejection::RepeatedHeader(_)
            | RequestRejection::InvalidHeader(_)
            | RequestRejection::IncompleteBody => StatusCode::BAD_REQUEST,
            RequestRejection::LengthRequired => StatusCode::LENGTH_REQUIRED,
            RequestRejection::NotFound => StatusCode::NOT_FOUND,
            RequestRejection::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestRejection::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// The index of the class that the path names. The path must have exactly one segment.
pub(super) fn parse_class(path: &str, classes: &NameList) -> Result<usize, RequestRejection> {
    let class = path.trim_start_matches('/');
    if class.contains('/') {
        return Err(RequestRejection::NotFound);
    }
    classes.index_of(class).ok_or(RequestRejection::UnknownClass)
}

/// The validated headers of a message.
pub(super) struct MessageHeaders {
    /// The id that the client gave to the message.
    pub(super) id: String,
    /// Index of the message's tenant.
    pub(super) tenant: Option<usize>,
    /// The destination of the message.
    pub(super) destination: u64,
    /// The idempotency key of the message.
    pub(super) key: Option<String>,
    /// The time until the message expires. The client stops waiting then.
    pub(super) remaining: Duration,
}

impl MessageHeaders {
    /// Parses the headers of a message. `tenants` are the names of the tenants; `key_required` is set if the
    /// class of the message requires an idempotency key.
    pub(super) fn parse(
        headers: &HeaderMap,
        tenants: &NameList,
        key_required: bool,
    ) -> Result<Self, RequestRejection> {
        check_repeated_headers(headers)?;
        Ok(MessageHeaders {
            tenant: parse_tenant(headers, tenants)?,
            key: parse_key(headers, key_required)?,
            remaining: parse_deadline(headers)?,
            id: parse_id(headers)?,
            destination: parse_destination(headers)?,
        })
    }
}

fn check_repeated_headers(headers: &HeaderMap) -> Result<(), RequestRejection> {
    let checked = [ID_HEADER, TENANT_HEADER, DEADLINE_HEADER, KEY_HEADER, ENVELOPE_HEADER];
    let repeated = checked.into_iter().find(|name| headers.get_all(*name).iter().count() > 1);
    repeated.map_or(Ok(()), |name| Err(RequestRejection::RepeatedHeader(name)))
}

/// The trimmed value of a header. A missing header counts as an empty one.
fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestRejection> {
    let Some(value) = headers.get(name) else { return Ok("") };
    value.to_str().map(str::trim).map_err(|_| RequestRejection::InvalidHeader(name))
}

/// The text of a header that holds an id, a key or a name.
fn short_header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestRejection> {
    let text = header_text(headers, name)?;
    if text.len() > MAX_NAME_BYTES { Err(RequestRejection::InvalidHeader(name)) } else { Ok(text) }
}

fn parse_tenant(headers: &HeaderMap, tenants: &NameList) -> Result<Option<usize>, RequestRejection> {
    let name = short_header_text(headers, TENANT_HEADER)?;
    if name.is_empty() && tenants.is_empty() {
        return Ok(None);
    }
    tenants.index_of(name).map(Some).ok_or(RequestRejection::InvalidHeader(TENANT_HEADER))
}

fn parse_key(headers: &HeaderMap, required: bool) -> Result<Option<String>, RequestRejection> {
    match short_header_text(headers, KEY_HEADER)? {
        "" if required => Err(RequestRejection::InvalidHeader(KEY_HEADER)),
        "" => Ok(None),
        key => Ok(Some(key.to_owned())),
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Duration, RequestRejection> {
    let milliseconds = header_text(headers, DEADLINE_HEADER)?.parse().ok();
    milliseconds
        .filter(|milliseconds| *milliseconds <= MAX_DEADLINE_MS)
        .map(Duration::from_millis)
        .ok_or(RequestRejection::InvalidHeader(DEADLINE_HEADER))
}

fn parse_id(headers: &HeaderMap) -> Result<String, RequestRejection> {
    match short_header_text(headers, ID_HEADER)? {
        "" => Err(RequestRejection::InvalidHeader(ID_HEADER)),
        id => Ok(id.to_owned()),
    }
}

/// The destination in the envelope, which consists of `name=value` fields separated by commas.
fn parse_destination(headers: &HeaderMap) -> Result<u64, RequestRejection> {
    header_text(headers, ENVELOPE_HEADER)?
        .split(',')
        .filter_map(|field| field.trim().split_once('='))
        .filter(|(name, _)| *name == DESTINATION_FIELD)
        .find_map(|(_, value)| value.parse().ok())
        .ok_or(RequestRejection::InvalidHeader(ENVELOPE_HEADER))
}

/// The length of the body, which is known before the body arrives.
pub(super) fn body_length(body: &Incoming) -> Result<u64, RequestRejection> {
    let length = body.size_hint().exact();
    length.filter(|length| *length <= MAX_BODY_BYTES).ok_or(RequestRejection::BodyTooLarge)
}

/// Reads the complete body within `limit`.
pub(super) async fn read_body(body: Incoming, limit: Duration) -> Result<Bytes, RequestRejection> {
    match timeout(limit, Limited::new(body, MAX_BODY_BYTES as usize).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(RequestRejection::IncompleteBody),
        Err(_) => Err(RequestRejection::BodyTimeout),
    }
}

#[cfg(test)]
mod tests;
