//! Watches the endpoint list: each call waits at the service until the list changes.
//!
//! After an error that leaves the known revision in doubt, the complete list is requested.

use super::CONNECT_TIMEOUT;
use super::request::{ListQuery, PollError, request_list};
use crate::forwarder::discovery_client::{Backoff, DiscoveryClient};
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::endpoint_list::EndpointList;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch::Receiver;
use tokio::time::timeout;

/// How long the service waits for a change before it responds. Short: a service that has stopped responding
/// is only noticed after this time, and the sender is held to know a change a few seconds after it was made.
const WATCH_DURATION: Duration = Duration::from_secs(2);
/// How much longer than the service may wait its response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after the first failed call, before jitter.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay after failed calls, before jitter.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Returns the backoff between failed calls.
pub(super) fn watch_backoff(seed: u64) -> Backoff {
    Backoff::with_jitter(INITIAL_BACKOFF, MAX_BACKOFF, seed)
}

/// The state of the watching loop.
pub(super) struct ListWatcher {
    address: Receiver<SocketAddr>,
    /// Where the client's connection leads.
    connected_address: SocketAddr,
    client: DiscoveryClient,
    /// The revision that the next call asks for changes of; `None` if it asks for the complete list.
    known_revision: Option<u64>,
    events: Sender<RuntimeEvent>,
    backoff: Backoff,
}

impl ListWatcher {
    /// Creates a watcher that has not called the service yet.
    pub(super) fn new(
        address: Receiver<SocketAddr>,
        known_revision: Option<u64>,
        events: Sender<RuntimeEvent>,
        seed: u64,
    ) -> Self {
        let connected_address = *address.borrow();
        let client = DiscoveryClient::new(CONNECT_TIMEOUT);
        let backoff = watch_backoff(seed);
        ListWatcher { address, connected_address, client, known_revision, events, backoff }
    }

    /// Watches until the runtime stops receiving events.
    pub(super) async fn run(mut self) {
        loop {
            self.follow_address();
            let Some(response) = self.request_unless_address_changes().await else { continue };
            match response {
                Ok(list) => {
                    self.accept_revision(&list);
                    if self.events.send(RuntimeEvent::EndpointList(list)).await.is_err() {
                        return;
                    }
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Closes a connection that leads to an earlier address, and requests the complete list from the new one:
    /// the list of the old one may have been outdated.
    ///
    /// The address may also change between a response and the next call, so this is checked before each call.
    fn follow_address(&mut self) {
        let address = *self.address.borrow_and_update();
        if address != self.connected_address {
            self.client.disconnect();
            self.connected_address = address;
            self.known_revision = None;
            self.backoff.reset();
        }
    }

    /// Returns `None` if the address changed during the call.
    async fn request_unless_address_changes(&mut self) -> Option<Result<EndpointList, PollError>> {
        let (query, time_limit) = match self.known_revision {
            Some(since_revision) => {
                let query = ListQuery::Changes { since_revision, wait: WATCH_DURATION };
                (query, WATCH_DURATION + RESPONSE_TIMEOUT)
            }
            None => (ListQuery::Complete, RESPONSE_TIMEOUT),
        };
        tokio::select! {
            biased;
            response = request_list(&mut self.client, self.connected_address, query, time_limit) => Some(response),
            Ok(()) = self.address.changed() => None,
        }
    }

    fn accept_revision(&mut self, list: &EndpointList) {
        self.backoff.reset();
        // The complete list may hold more about a changed record that cannot be parsed.
        let is_usable = list.complete || list.unreadable == 0;
        self.known_revision = is_usable.then_some(list.revision);
    }

    /// Waits before the next call. A new address is called at once.
    async fn back_off(&mut self, error: &PollError) {
        eprintln!("discovery: {error}");
        self.client.disconnect();
        // A service that rejects a call for want of time does not put the known revision in doubt, and the
        // complete list would cost it more.
        if !error.is_rejection() {
            self.known_revision = None;
        }
        let _ = timeout(self.backoff.next_delay(), self.address.changed()).await;
    }
}
