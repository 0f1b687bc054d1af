//! Reads the response of an endpoint: its status, its headers and the state of each message in a batch.

use super::exchange::NoResponse;
use crate::forwarder::http;
use crate::interface::{LoadReport, Micros};
use crate::settings_reader::read_load_report;
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;

/// Maximum length of the body of a response.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Upper bound of the wait that is accepted from an endpoint. Endpoints ask for shorter waits: the bound
/// keeps a value that was damaged in transit from blocking a destination forever.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// The response to a call.
pub(super) struct EndpointResponse {
    /// The status.
    pub(super) status: StatusCode,
    /// No further call may be sent to the destination for this long.
    pub(super) retry_after: Option<Micros>,
    /// The endpoint rejected the call because it had no free slot.
    pub(super) no_slot: bool,
    /// What the endpoint reported about its rate limit.
    pub(super) load_report: Option<LoadReport>,
    /// The states of the messages of a batch. `None` if the call was no batch or its status is not 200.
    pub(super) item_states: Option<Vec<ItemState>>,
    /// The body was read to its end. Only then can the connection be reused.
    pub(super) is_complete: bool,
}

/// The state of one message of a batch.
#[derive(Deserialize)]
pub(super) struct ItemState {
    /// The id that the client gave to the message.
    pub(super) id: String,
    /// What the endpoint reports about the message.
    pub(super) state: DeliveryState,
}

/// What an endpoint reports about one message of a batch.
#[derive(Clone, Copy, Deserialize)]
#[serde(from = "String")]
pub(super) enum DeliveryState {
    /// The message was delivered.
    Accepted,
    /// The message was rejected without execution.
    Deferred,
    /// The message was not executed, and must not be sent again.
    Expired,
    /// The message was not executed: the endpoint takes no more messages from this batch.
    NoMore,
    /// The message failed, or its state is unknown to this version: it may have been executed.
    Failed,
}

impl From<String> for DeliveryState {
    fn from(state: String) -> Self {
        match state.as_str() {
            "accepted" => DeliveryState::Accepted,
            "deferred" => DeliveryState::Deferred,
            "expired" => DeliveryState::Expired,
            "no_more" => DeliveryState::NoMore,
            _ => DeliveryState::Failed,
        }
    }
}

impl EndpointResponse {
    /// A response of which only the status line was parsed.
    pub(super) fn status_only(status: StatusCode) -> Self {
        EndpointResponse {
            status,
            retry_after: None,
            no_slot: false,
            load_report: None,
            item_states: None,
            is_complete: false,
        }
    }

    /// Reads a response to its end.
    ///
    /// A response that is not complete is invalid, whatever its status: the call may have been executed. The
    /// exception is status 200 for a single message, which proves the delivery as soon as the status line has
    /// arrived.
    pub(super) async fn read(response: Response<Incoming>, is_batch: bool) -> Result<Self, NoResponse> {
        let mut read = EndpointResponse::from_head(response.status(), response.headers());
        let body = http::read_body_with_timeout(response.into_body(), MAX_BODY_BYTES).await;
        read.is_complete = body.is_some();
        let is_ok = read.status == StatusCode::OK;
        if is_batch && is_ok {
            let states = body.as_deref().and_then(parse_item_states);
            read.item_states = Some(states.ok_or(NoResponse::Invalid)?);
        } else if !read.is_complete && !is_ok {
            return Err(NoResponse::Invalid);
        }
        Ok(read)
    }

    fn from_head(status: StatusCode, headers: &HeaderMap) -> Self {
        EndpointResponse {
            retry_after: header_text(headers, "wait-ms").and_then(parse_retry_after),
            no_slot: header_text(headers, "slots-taken") == Some("1"),
            load_report: header_text(headers, "srv-load").and_then(parse_load_report),
            ..EndpointResponse::status_only(status)
        }
    }

    /// The state of the message with this id in a batch.
    pub(super) fn item_state(&self, message: &str) -> Option<DeliveryState> {
        let mut states = self.item_states.iter().flatten();
        states.find(|item| item.id == message).map(|item| item.state)
    }
}

/// Parses each item separately: one that cannot be parsed is skipped and does not affect the others.
fn parse_item_states(body: &[u8]) -> Option<Vec<ItemState>> {
    let items: Vec<serde_json::Value> = serde_json::from_slice(body).ok()?;
    Some(items.into_iter().filter_map(|item| serde_json::from_value(item).ok()).collect())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn parse_retry_after(milliseconds: &str) -> Option<Micros> {
    let milliseconds: f64 = milliseconds.parse().ok().filter(|ms| *ms > 0.0)?;
    Some((milliseconds.min(MAX_RETRY_AFTER_MS) * 1000.0) as Micros)
}

/// Parses each value separately: one that is not a finite number is skipped and does not affect the others.
fn parse_load_report(values: &str) -> Option<LoadReport> {
    let pairs = values.split(',').filter_map(|pair| pair.trim().split_once('='));
    read_load_report(pairs.filter(|(_, value)| value.parse().is_ok_and(f64::is_finite)))
}
