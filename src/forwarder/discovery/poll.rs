//! Polls the complete endpoint list from a service that is shared by many senders.
//!
//! A watch does not suit such a service: each change would be sent to all watchers at once. A watcher is also
//! held to know a change that follows right after a response, even if the service has no time for its next
//! call.

use super::CONNECT_TIMEOUT;
use super::poll_pacer::PollPacer;
use super::request::{ListQuery, PollError, request_list};
use crate::forwarder::discovery_client::{DiscoveryClient, address_changed};
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::endpoint_list::EndpointList;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch::Receiver;
use tokio::time::timeout;

/// The state of the polling loop.
pub(super) struct ListPoller {
    address: Receiver<SocketAddr>,
    /// Where the client's connection leads.
    connected_address: SocketAddr,
    client: DiscoveryClient,
    events: Sender<RuntimeEvent>,
    pacer: PollPacer,
}

impl ListPoller {
    /// Creates a poller that has not called the service yet.
    pub(super) fn new(address: Receiver<SocketAddr>, events: Sender<RuntimeEvent>, pacer: PollPacer) -> Self {
        let connected_address = *address.borrow();
        let client = DiscoveryClient::new(CONNECT_TIMEOUT);
        ListPoller { address, connected_address, client, events, pacer }
    }

    /// Polls until the runtime stops receiving events. The first poll is delayed only if a list is known
    /// already.
    pub(super) async fn run(mut self, list_is_known: bool) {
        let mut delay = if list_is_known { self.pacer.first_delay() } else { Duration::ZERO };
        loop {
            // A new address is called at once: the list of the old one may have been outdated.
            let _ = timeout(delay, self.address.changed()).await;
            self.follow_address();
            let Some(response) = self.request_unless_address_changes().await else { continue };
            delay = match response {
                Ok(list) => {
                    eprintln!("discovery: revision {}, {} endpoints", list.revision, list.endpoints.len());
                    if self.events.send(RuntimeEvent::EndpointList(list)).await.is_err() {
                        return;
                    }
                    self.pacer.delay_after_list()
                }
                Err(error) => self.delay_after_failure(&error),
            };
        }
    }

    /// Closes a connection that leads to an earlier address.
    fn follow_address(&mut self) {
        let address = *self.address.borrow_and_update();
        if address != self.connected_address {
            self.client.disconnect();
            self.connected_address = address;
        }
    }

    /// Returns `None` if the address changed during the call.
    async fn request_unless_address_changes(&mut self) -> Option<Result<EndpointList, PollError>> {
        let time_limit = self.pacer.response_timeout();
        tokio::select! {
            biased;
            response = request_list(&mut self.client, self.connected_address, ListQuery::Complete, time_limit) => {
                Some(response)
            }
            Ok(()) = address_changed(&self.address) => None,
        }
    }

    fn delay_after_failure(&mut self, error: &PollError) -> Duration {
        self.client.disconnect();
        let delay = self.pacer.delay_after_failure(error);
        eprintln!("discovery: {error}; next poll in {} ms", delay.as_millis());
        delay
    }
}
