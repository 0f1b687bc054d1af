//! Parses and validates the requests of clients.

use super::request_memory::{RequestMemory, ReservedMemory};
use crate::settings_reader::NameList;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum length of the body of a message.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// Length of the start of a body for which no memory is reserved: it is part of the memory of a connection.
/// So short messages are accepted while long ones use up the memory for requests.
const UNRESERVED_BODY_BYTES: usize = 4 << 10;
/// The steps in which the buffer of a longer body grows.
const BODY_GROWTH_BYTES: usize = 8 << 10;
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
    /// The requests of all clients together use up the memory for requests.
    #[error("out of memory for requests")]
    OutOfMemory,
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
            RequestRejection::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
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
pub(super) fn body_length(body: &Incoming) -> Result<usize, RequestRejection> {
    let length = body.size_hint().exact().filter(|length| *length <= MAX_BODY_BYTES);
    length.and_then(|length| usize::try_from(length).ok()).ok_or(RequestRejection::BodyTooLarge)
}

/// A complete body, and the memory that is reserved for it.
pub(super) struct ReceivedBody {
    /// The content.
    pub(super) bytes: Bytes,
    _memory: Option<ReservedMemory>,
}

/// Reads the complete body, which is `length` bytes long, within `limit`.
pub(super) async fn read_body(
    body: Incoming,
    length: usize,
    memory: &RequestMemory,
    limit: Duration,
) -> Result<ReceivedBody, RequestRejection> {
    let received = timeout(limit, collect_body(body, length, memory)).await;
    received.unwrap_or(Err(RequestRejection::BodyTimeout))
}

/// Copies the parts of the body into one buffer, which grows as they arrive. The parts themselves would keep
/// the buffers of the connection in use.
async fn collect_body(
    mut body: Incoming,
    length: usize,
    memory: &RequestMemory,
) -> Result<ReceivedBody, RequestRejection> {
    let mut buffer = BodyBuffer::new(length);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestRejection::IncompleteBody)?;
        // Bodies with a length have no trailers.
        if let Ok(data) = frame.into_data() {
            buffer.append(&data, memory)?;
        }
    }
    Ok(ReceivedBody { bytes: buffer.bytes.into(), _memory: buffer.memory })
}

/// The part of a body that has arrived.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// The length of the complete body.
    length: usize,
    memory: Option<ReservedMemory>,
}

impl BodyBuffer {
    fn new(length: usize) -> Self {
        let bytes = Vec::with_capacity(length.min(UNRESERVED_BODY_BYTES));
        BodyBuffer { bytes, length, memory: None }
    }

    fn append(&mut self, data: &[u8], memory: &RequestMemory) -> Result<(), RequestRejection> {
        while self.bytes.capacity() - self.bytes.len() < data.len() {
            self.grow(memory)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Extends the buffer by one step, and reserves the memory of the step.
    fn grow(&mut self, memory: &RequestMemory) -> Result<(), RequestRejection> {
        let capacity = self.bytes.capacity();
        // The HTTP server delivers no more than the complete body, so there is always a step left.
        let step = self.length.saturating_sub(capacity).clamp(1, BODY_GROWTH_BYTES);
        let reserved = memory.try_reserve(step).ok_or(RequestRejection::OutOfMemory)?;
        match &mut self.memory {
            Some(memory) => memory.merge(reserved),
            None => self.memory = Some(reserved),
        }
        self.bytes.reserve_exact(capacity + step - self.bytes.len());
        Ok(())
    }
}

#[cfg(test)]
mod tests;
