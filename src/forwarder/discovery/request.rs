//! One call to the discovery service for the endpoint list.

use crate::forwarder::discovery_client::{self, CallError, CallLimits};
use crate::forwarder::http;
use crate::forwarder::messages::endpoint_list::EndpointList;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

const NANOSECONDS_PER_MILLISECOND: u128 = 1_000_000;

/// Why a call did not return a list.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    /// The call failed, or the service rejected it.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response is not an endpoint list.
    #[error("invalid list: {0}")]
    InvalidList(#[from] serde_json::Error),
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
    /// How long the service waits for a change before it responds.
    pub(super) fn wait(self) -> Duration {
        match self {
            ListQuery::Complete => Duration::ZERO,
            ListQuery::Changes { wait, .. } => wait,
        }
    }

    /// Whether the call waits for a change.
    pub(super) fn is_watch(self) -> bool {
        !self.wait().is_zero()
    }

    /// Whether the call waits for a change of the list of this revision.
    pub(super) fn watches(self, revision: u64) -> bool {
        self.is_watch()
            && matches!(self, ListQuery::Changes { since_revision, .. } if since_revision == revision)
    }

    /// The same query with a wait of at most `longest`, rounded up to whole milliseconds.
    pub(super) fn with_longest_wait(self, longest: Duration) -> Self {
        let longest = Duration::from_millis(longest.as_nanos().div_ceil(NANOSECONDS_PER_MILLISECOND) as u64);
        match self {
            ListQuery::Complete => self,
            ListQuery::Changes { since_revision, wait } => {
                ListQuery::Changes { since_revision, wait: wait.min(longest) }
            }
        }
    }

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

/// Requests the list. The response has to be complete within its time limit, which includes the time to
/// connect, and its body may be at most `max_bytes` long. `on_progress` is called whenever bytes of the
/// response have arrived.
///
/// # Errors
///
/// See [`PollError`].
pub(super) async fn request_list(
    address: SocketAddr,
    query: ListQuery,
    limits: CallLimits,
    max_bytes: usize,
    on_progress: impl Fn(),
) -> Result<EndpointList, PollError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = query.uri();
    let read = async |response| read_body(response, max_bytes, &on_progress).await;
    let call = discovery_client::call(address, request, limits, &on_progress, read);
    let text = timeout(limits.response, call).await.map_err(|_| CallError::Timeout)??;
    Ok(serde_json::from_slice(&text)?)
}

async fn read_body(
    response: Response<Incoming>,
    max_bytes: usize,
    on_progress: impl Fn(),
) -> Result<Bytes, CallError> {
    match response.status() {
        StatusCode::OK => http::read_body_observed(response.into_body(), max_bytes, on_progress)
            .await
            .ok_or(CallError::IncompleteResponse),
        status => Err(CallError::Status(status)),
    }
}
