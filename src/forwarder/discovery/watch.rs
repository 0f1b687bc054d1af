//! Watches the endpoint list: each call waits at the service until the list changes.
//!
//! After an error in which changes may have been lost, the complete list is requested.

use super::request::{ListClient, ListQuery, PollError};
use crate::forwarder::discovery_client::Backoff;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::endpoint_list::EndpointList;
use std::time::Duration;
use tokio::sync::mpsc::Sender;

/// How long the service waits for a change before it responds. It is short, because a service that has stopped
/// responding is only detected after this time, and the sender must know a change a few seconds after it was made.
const WATCH_DURATION: Duration = Duration::from_secs(2);
/// The time that a response may take in addition to the time that the service waits for a change.
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
    client: ListClient,
    /// The next call requests the changes since this revision; the complete list if it is `None`.
    known_revision: Option<u64>,
    /// The bounded event queue of the runtime.
    events: Sender<RuntimeEvent>,
    backoff: Backoff,
}

impl ListWatcher {
    /// Creates a watcher that has not called the service yet.
    pub(super) fn new(
        client: ListClient,
        known_revision: Option<u64>,
        events: Sender<RuntimeEvent>,
        seed: u64,
    ) -> Self {
        ListWatcher { client, known_revision, events, backoff: watch_backoff(seed) }
    }

    /// Watches until the runtime stops receiving events.
    pub(super) async fn run(mut self) {
        loop {
            self.follow_address();
            let (query, time_limit) = self.next_query();
            let request = self.client.request_unless_address_changes(query, time_limit);
            let Some(response) = request.await else { continue };
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

    /// Requests the complete list from a new address: the list from the old one may be outdated.
    fn follow_address(&mut self) {
        if self.client.follow_address() {
            self.known_revision = None;
            self.backoff.reset();
        }
    }

    /// Returns what the next call requests, and the time limit of its response.
    fn next_query(&self) -> (ListQuery, Duration) {
        match self.known_revision {
            Some(since_revision) => {
                let query = ListQuery::Changes { since_revision, wait: WATCH_DURATION };
                (query, WATCH_DURATION + RESPONSE_TIMEOUT)
            }
            None => (ListQuery::Complete, RESPONSE_TIMEOUT),
        }
    }

    /// Continues from the revision of a received list.
    fn accept_revision(&mut self, list: &EndpointList) {
        self.backoff.reset();
        // A changed record that could not be parsed may be a drain: the complete list is requested to find out. A
        // complete list with such a record is used as it is, since another request would return the same.
        let is_usable = list.complete || list.unreadable == 0;
        self.known_revision = is_usable.then_some(list.revision);
    }

    /// Waits before the next call. A new address is called immediately.
    async fn back_off(&mut self, error: &PollError) {
        eprintln!("discovery: {error}");
        self.client.disconnect();
        // No change was lost if the service rejected the call because it is overloaded, and the complete list would
        // cost it more.
        if !error.is_rejection() {
            self.known_revision = None;
        }
        self.client.wait_unless_address_changes(self.backoff.next_delay()).await;
    }
}
