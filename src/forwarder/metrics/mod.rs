//! Counts what happens between two log lines: enough to see from the log alone what a bad day is made of.

use crate::forwarder::messages::call_report::ConnectionUsage;
use crate::interface::Outcome;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often the counts are logged.
const EVERY: Duration = Duration::from_secs(5);
/// So many of the endpoints with the most calls that failed have a line of their own.
const WORST: usize = 3;

/// Why a message was not taken on or was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DropReason {
    /// The forwarder holds all that it may.
    TooManyOpenMessages,
    /// The journal has no room.
    JournalFull,
    /// The client left before it heard.
    ClientDisconnected,
    /// The module refused it.
    Rejected,
    /// The module gave it up.
    Failed,
    /// One of these two, found untried at the start and never tried since.
    NeverAttempted,
}

#[derive(Debug, Default)]
struct Endpoint {
    calls: usize,
    failed: usize,
    unconnected: usize,
    opened: usize,
    worst_wait: Duration,
}

/// What happened since the last line.
#[derive(Debug)]
pub(crate) struct IntervalMetrics {
    since: Instant,
    accepted: usize,
    losses: BTreeMap<DropReason, usize>,
    outcomes: BTreeMap<&'static str, usize>,
    /// For how long calls took slots, by the last end heard of each.
    slot_time: BTreeMap<&'static str, Duration>,
    opened: usize,
    unconnected: BTreeMap<String, usize>,
    endpoints: BTreeMap<SocketAddr, Endpoint>,
}

impl IntervalMetrics {
    pub(crate) fn new() -> Self {
        IntervalMetrics {
            since: Instant::now(),
            accepted: 0,
            losses: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            slot_time: BTreeMap::new(),
            opened: 0,
            unconnected: BTreeMap::new(),
            endpoints: BTreeMap::new(),
        }
    }

    pub(crate) fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    pub(crate) fn record_dropped(&mut self, loss: DropReason) {
        *self.losses.entry(loss).or_default() += 1;
    }

    pub(crate) fn record_connections(&mut self, to: SocketAddr, connection_usage: ConnectionUsage) {
        let endpoint = self.endpoints.entry(to).or_default();
        endpoint.opened += connection_usage.opened;
        self.opened += connection_usage.opened;
        if let Some(kind) = connection_usage.failed {
            endpoint.unconnected += 1;
            *self.unconnected.entry(kind.to_string()).or_default() += 1;
        }
    }

    /// An attempt ended; `last` is whether its call is over with it.
    pub(crate) fn record_attempt(&mut self, to: SocketAddr, outcome: Outcome, took: Duration, last: bool) {
        let (name, failed) = match outcome {
            Outcome::Delivered => ("delivered", false),
            Outcome::Error => ("error", true),
            Outcome::Rejected { retry_after: Some(_) } => ("full with a wait", false),
            Outcome::Rejected { retry_after: None } => ("full", false),
            Outcome::TimedOut => ("timed out", true),
            Outcome::ConnectFailed => ("not connected", true),
            Outcome::Reset => ("reset", true),
            Outcome::InvalidResponse => ("spoilt", true),
            Outcome::StaleConnection => ("on a dead connection", true),
            Outcome::Cancelled => ("called off", true),
            Outcome::NotSent => ("not sent", false),
        };
        *self.outcomes.entry(name).or_default() += 1;
        if last {
            *self.slot_time.entry(name).or_default() += took;
        }
        let endpoint = self.endpoints.entry(to).or_default();
        endpoint.calls += 1;
        endpoint.failed += usize::from(failed);
        endpoint.worst_wait = endpoint.worst_wait.max(took);
    }

    /// The counts, if it is time for a line and anything has happened, and a new start.
    pub(crate) fn take_if_due(&mut self) -> Option<IntervalMetrics> {
        if self.since.elapsed() < EVERY {
            return None;
        }
        let counts = std::mem::replace(self, IntervalMetrics::new());
        let idle = counts.accepted == 0 && counts.losses.is_empty() && counts.outcomes.is_empty();
        Some(counts).filter(|_| !idle)
    }
}

impl fmt::Display for IntervalMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "taken on {}, lost {:?}; attempts {:?}", self.accepted, self.losses, self.outcomes)?;
        let slot_time: BTreeMap<_, _> = self.slot_time.iter().map(|(k, v)| (k, v.as_millis())).collect();
        write!(f, "; slots taken for ms {slot_time:?}")?;
        write!(f, "; connections opened {}, not opened {:?}", self.opened, self.unconnected)?;
        let mut worst: Vec<_> = self.endpoints.iter().filter(|(_, e)| e.failed > 0).collect();
        worst.sort_by_key(|(_, e)| std::cmp::Reverse(e.failed));
        for (at, e) in worst.iter().take(WORST) {
            write!(f, "\n  {at}: {} attempts, {} failed, {} connections", e.calls, e.failed, e.opened)?;
            write!(f, " opened and {} not, longest {:?}", e.unconnected, e.worst_wait)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
