//! Calls to the discovery service for the endpoint list.

use super::CONNECT_TIMEOUT;
use crate::forwarder::discovery_client::{CallError, DiscoveryClient, address_changed};
use crate::forwarder::http;
use crate::forwarder::messages::endpoint_list::EndpointList;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch::Receiver;
use tokio::time::timeout;

/// The longest body of a response that is read.
const MAX_LIST_BYTES: usize = 8 << 20;

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

/// A client of the discovery service that follows the service to a new address.
pub(super) struct ListClient {
    /// The current address. The start-up code of the forwarder holds the sender and publishes a new address when
    /// operators reload the configuration.
    address: Receiver<SocketAddr>,
    /// The address that the client's connection leads to.
    connected_address: SocketAddr,
    client: DiscoveryClient,
}

impl ListClient {
    /// Creates a client that is not connected yet.
    pub(super) fn new(address: Receiver<SocketAddr>) -> Self {
        let connected_address = *address.borrow();
        ListClient { address, connected_address, client: DiscoveryClient::new(CONNECT_TIMEOUT) }
    }

    /// Closes a connection that leads to an earlier address, and returns whether the address has changed. The address
    /// may change at any time, so that this must be called before each call.
    pub(super) fn follow_address(&mut self) -> bool {
        let address = *self.address.borrow_and_update();
        let has_changed = address != self.connected_address;
        if has_changed {
            self.client.disconnect();
            self.connected_address = address;
        }
        has_changed
    }

    /// Requests the list. The response has to be complete within `time_limit`. Returns `None` if the address changes
    /// meanwhile.
    pub(super) async fn request_unless_address_changes(
        &mut self,
        query: ListQuery,
        time_limit: Duration,
    ) -> Option<Result<EndpointList, PollError>> {
        tokio::select! {
            biased;
            response = request_list(&mut self.client, self.connected_address, query, time_limit) => Some(response),
            Ok(()) = address_changed(&self.address) => None,
        }
    }

    /// Closes the connection. The next call opens another one.
    pub(super) fn disconnect(&mut self) {
        self.client.disconnect();
    }

    /// Waits for `delay`, or until the address changes.
    pub(super) async fn wait_unless_address_changes(&mut self, delay: Duration) {
        let _ = timeout(delay, self.address.changed()).await;
    }
}

async fn request_list(
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
