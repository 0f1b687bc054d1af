//! Follows the endpoint list of the discovery service and sends each version of it to the runtime.
//!
//! - [`follower`] is the loop that makes the calls. Each call is usually a watch: it waits at the service
//!   until the list changes.
//! - [`list_age`] defines the freshness bound, that is how old the list in use may be, and computes the
//!   intervals of calls from it.
//! - [`list_age_monitor`] decides by this bound whether the list is stale. No call to an endpoint starts
//!   while it is.
//! - [`outage_detector`] decides whether a failed call means that the service is down.

mod follower;
mod list_age;
mod list_age_monitor;
mod list_response;
mod open_calls;
mod outage_detector;
mod request;
mod schedule;
mod service_load;
mod watch_coverage;

pub(crate) use list_age_monitor::{ListAge, ListOrigin};

use crate::forwarder::event::RuntimeEvent;
use crate::interface::Settings;
use follower::ListFollower;
use list_age::ListAgeBounds;
use list_age_monitor::ListAgeMonitor;
use std::net::SocketAddr;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;

/// The list that a process starts with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InitialList {
    bounds: ListAgeBounds,
    /// The revision since which changes are requested; `None` if the complete list has to be requested.
    revision: Option<u64>,
    /// When the process became the owner of the state folder.
    start: Instant,
    origin: ListOrigin,
}

impl InitialList {
    /// The list of a process with these settings that became the owner of the state folder at `start`.
    /// `revision` is that of the list, or `None` if the complete list has to be requested.
    pub(crate) fn new(
        settings: &Settings,
        revision: Option<u64>,
        start: Instant,
        origin: ListOrigin,
    ) -> Self {
        InitialList { bounds: ListAgeBounds::new(settings), revision, start, origin }
    }

    /// Whether the list may be used at this time, before the service has responded.
    pub(crate) fn age_at(self, now: Instant) -> ListAge {
        self.monitor().change(now).unwrap_or(ListAge::Fresh)
    }

    fn monitor(self) -> ListAgeMonitor {
        ListAgeMonitor::new(self.bounds, self.start, self.origin)
    }
}

/// Follows the endpoint list until the runtime stops receiving events.
///
/// `initial_list` is the list that the runtime already has. `address` changes when operators reload a
/// configuration with another address. `seed` determines the jitter of delays. A response may be at most
/// `max_list_bytes` long. All lists are sent to `events` in the order in which they arrived; the runtime
/// holds the other end of this bounded channel, and a full channel delays the next call.
pub(crate) async fn follow(
    address: Receiver<SocketAddr>,
    events: Sender<RuntimeEvent>,
    initial_list: InitialList,
    seed: u64,
    max_list_bytes: usize,
) {
    ListFollower::new(address, events, initial_list, seed, max_list_bytes).run().await;
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;
