//! One call for the endpoint list.

use crate::forwarder::discovery_client::{CallError, DiscoveryClient};
use crate::forwarder::http;
use crate::forwarder::messages::endpoint_list::EndpointList;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::Duration;

/// Size of the longest list that is read.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    /// The call failed, or the service rejected it.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response is not an endpoint list.
    #[error("invalid list: {0}")]
    InvalidList(#[from] serde_json::Error),
}

impl PollError {
    /// Whether the service responded with an error status, typically because it is overloaded.
    pub(super) fn is_rejection(&self) -> bool {
        matches!(self, PollError::Call(CallError::Status(_)))
    }
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListQuery {
    /// The complete list, at once.
    Complete,
    /// The changes since a revision. The service waits up to `wait` for a change before it responds.
    Changes { since_revision: u64, wait: Duration },
}

impl ListQuery {
    fn uri(self) -> Uri {
        match self {
            ListQuery::Complete => Uri::from_static("/api/targets"),
            ListQuery::Changes { since_revision, wait } => {
                format!("/api/targets?index={since_revision}&wait={}", wait.as_millis())
                    .parse()
                    .expect("a fixed path with two decimal numbers is a valid URI")
            }
        }
    }
}

/// Requests the list from the service at `address`. The response has to be complete within `time_limit`.
pub(super) async fn request_list(
    client: &mut DiscoveryClient,
    address: SocketAddr,
    query: ListQuery,
    time_limit: Duration,
) -> Result<EndpointList, PollError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = query.uri();
    let text = client.call(address, request, time_limit, read_body).await?;
    Ok(serde_json::from_slice(&text)?)
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, CallError> {
    match response.status() {
        StatusCode::OK => {
            http::read_complete_body(response.into_body(), MAX_LIST_BYTES).await.ok_or(CallError::Interrupted)
        }
        status => Err(CallError::Status(status)),
    }
}
