//! The phases of the process, and the numbers of client connections that processes count during an upgrade.

use std::sync::atomic::AtomicUsize;
use std::time::Duration;

/// How long a connection may have no open request before it is closed in [`LifecyclePhase::Draining`]. By
/// then the load balancer has noticed that the process is not ready, and requests in transit have arrived.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// The phases of the process, from normal operation to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifecyclePhase {
    /// Normal operation.
    Serving,
    /// The readiness check fails, so that the load balancer sends clients to other processes. Requests are
    /// still served. From this phase on, each reply is the last on its connection.
    Draining,
    /// The process has received SIGTERM. It still accepts connections and serves requests.
    Closing,
    /// A successor takes over. This process accepts no connections and closes idle ones.
    HandingOver,
    /// The process accepts only the connections that are already queued, and none if a successor has taken
    /// over. It closes idle connections, and completes requests that have begun to arrive.
    Stopped,
}

impl LifecyclePhase {
    /// The time after which connections without an open request are closed. `None` if they stay open.
    pub(super) fn idle_close_delay(self) -> Option<Duration> {
        match self {
            LifecyclePhase::Serving | LifecyclePhase::Closing => None,
            LifecyclePhase::Draining => Some(DRAIN_IDLE_TIMEOUT),
            LifecyclePhase::HandingOver | LifecyclePhase::Stopped => Some(Duration::ZERO),
        }
    }
}

/// The numbers of open client connections. During an upgrade, two processes share the file descriptors of
/// one, so the connections of both count towards the capacity.
#[derive(Default)]
pub(crate) struct ConnectionCounts {
    /// Connections to this process.
    pub(crate) own: AtomicUsize,
    /// Connections to the predecessor.
    pub(crate) predecessor: AtomicUsize,
}
