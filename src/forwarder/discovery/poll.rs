//! Polls the complete endpoint list from a service that is shared by many senders.
//!
//! Watches would overload such a service, because it would send each change to all watchers at once. A watcher must
//! also know a change that follows immediately after a response, even if the service is too busy for its next call.

use super::poll_pacer::PollPacer;
use super::request::{ListClient, ListQuery, PollError};
use crate::forwarder::event::RuntimeEvent;
use std::time::Duration;
use tokio::sync::mpsc::Sender;

/// The state of the polling loop.
pub(super) struct ListPoller {
    client: ListClient,
    /// The bounded event queue of the runtime.
    events: Sender<RuntimeEvent>,
    pacer: PollPacer,
}

impl ListPoller {
    /// Creates a poller that has not called the service yet.
    pub(super) fn new(client: ListClient, events: Sender<RuntimeEvent>, pacer: PollPacer) -> Self {
        ListPoller { client, events, pacer }
    }

    /// Polls until the runtime stops receiving events. The first poll is delayed only if a list is known
    /// already.
    pub(super) async fn run(mut self, list_is_known: bool) {
        let mut delay = if list_is_known { self.pacer.first_delay() } else { Duration::ZERO };
        loop {
            // A new address is called immediately: the list from the old one may be outdated.
            self.client.wait_unless_address_changes(delay).await;
            self.client.follow_address();
            let time_limit = self.pacer.response_timeout();
            let request = self.client.request_unless_address_changes(ListQuery::Complete, time_limit);
            let Some(response) = request.await else { continue };
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

    /// Logs the failure and returns the delay before the next poll.
    fn delay_after_failure(&mut self, error: &PollError) -> Duration {
        self.client.disconnect();
        let delay = self.pacer.delay_after_failure(error);
        eprintln!("discovery: {error}; next poll in {} ms", delay.as_millis());
        delay
    }
}
