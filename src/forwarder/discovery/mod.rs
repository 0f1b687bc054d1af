//! Follows the endpoint list of the discovery service and sends each version of it to the runtime.
//!
//! A sender normally [watches](self::watch) the list: each call waits at the service until the list changes.
//! Where many senders share one service, they [poll] the complete list instead, at a rate that adapts to the
//! load of the service.

mod poll;
mod poll_pacer;
mod request;
mod watch;

use crate::forwarder::event::RuntimeEvent;
use crate::interface::Settings;
use poll::ListPoller;
use poll_pacer::PollPacer;
use request::ListClient;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch::Receiver;
use watch::ListWatcher;

/// Timeout of connecting to the service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the endpoint list until the runtime stops receiving events.
///
/// `revision` is the revision of the list that the runtime already has; `None` if it has no list. `address` changes
/// when operators reload a configuration with another address. `seed` determines the jitter of delays. All lists are
/// sent to `events` in the order in which they arrived; the runtime holds the other end of this bounded channel, and
/// a full channel delays the next call.
pub(crate) async fn follow(
    address: Receiver<SocketAddr>,
    revision: Option<u64>,
    events: Sender<RuntimeEvent>,
    settings: Settings,
    seed: u64,
) {
    let client = ListClient::new(address);
    match PollPacer::for_shared_service(&settings, seed) {
        Some(pacer) => ListPoller::new(client, events, pacer).run(revision.is_some()).await,
        None => ListWatcher::new(client, revision, events, seed).run().await,
    }
}

#[cfg(test)]
mod tests;
