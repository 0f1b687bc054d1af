//! Counts what happens between two log lines, so that the log alone shows what delays or loses messages.

use crate::forwarder::messages::call_report::ConnectionUsage;
use crate::interface::Outcome;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often the counts are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Endpoints that get a line of their own: those with the most failed attempts.
const MAX_LOGGED_ENDPOINTS: usize = 3;

/// Why a message was not accepted or not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DropReason {
    /// As many messages are open as are allowed.
    TooManyOpenMessages,
    /// The journal has no room for it.
    JournalFull,
    /// The client disconnected before it got the reply.
    ClientDisconnected,
    /// The decision module rejected it.
    Rejected,
    /// The decision module gave it up.
    Failed,
    /// Counted beside one of the last two: an earlier process had accepted it, and no attempt was ever made.
    NeverAttempted,
}

/// What happened at one endpoint.
#[derive(Debug, Default)]
struct EndpointMetrics {
    attempts: usize,
    failed_attempts: usize,
    opened_connections: usize,
    failed_connections: usize,
    max_latency: Duration,
}

/// What happened since the last log line. It is displayed as the text of that line.
#[derive(Debug)]
pub(crate) struct IntervalMetrics {
    since: Instant,
    accepted: usize,
    dropped: BTreeMap<DropReason, usize>,
    /// Attempts by outcome.
    attempts: BTreeMap<&'static str, usize>,
    /// How long calls took slots, by the outcome of the attempt that ended last.
    slot_time: BTreeMap<&'static str, Duration>,
    opened_connections: usize,
    /// Connections that were not established, by reason.
    failed_connections: BTreeMap<String, usize>,
    endpoints: BTreeMap<SocketAddr, EndpointMetrics>,
}

impl IntervalMetrics {
    /// Starts an interval.
    pub(crate) fn new() -> Self {
        IntervalMetrics {
            since: Instant::now(),
            accepted: 0,
            dropped: BTreeMap::new(),
            attempts: BTreeMap::new(),
            slot_time: BTreeMap::new(),
            opened_connections: 0,
            failed_connections: BTreeMap::new(),
            endpoints: BTreeMap::new(),
        }
    }

    /// A message was accepted.
    pub(crate) fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    /// A message was not accepted or not delivered.
    pub(crate) fn record_dropped(&mut self, reason: DropReason) {
        *self.dropped.entry(reason).or_default() += 1;
    }

    /// A call to this address ended; what it did to get a connection.
    pub(crate) fn record_connections(&mut self, address: SocketAddr, usage: ConnectionUsage) {
        let endpoint = self.endpoints.entry(address).or_default();
        endpoint.opened_connections += usage.opened;
        self.opened_connections += usage.opened;
        if let Some(kind) = usage.failed {
            endpoint.failed_connections += 1;
            *self.failed_connections.entry(kind.to_string()).or_default() += 1;
        }
    }

    /// An attempt at this address ended after this time, and its call with it if `call_ended`.
    pub(crate) fn record_attempt(
        &mut self,
        address: SocketAddr,
        outcome: Outcome,
        latency: Duration,
        call_ended: bool,
    ) {
        let label = outcome_label(outcome);
        *self.attempts.entry(label).or_default() += 1;
        if call_ended {
            *self.slot_time.entry(label).or_default() += latency;
        }
        let endpoint = self.endpoints.entry(address).or_default();
        endpoint.attempts += 1;
        endpoint.failed_attempts += usize::from(is_failure(outcome));
        endpoint.max_latency = endpoint.max_latency.max(latency);
    }

    /// If a log line is due, starts the next interval, and returns this one if anything happened in it.
    pub(crate) fn take_if_due(&mut self) -> Option<IntervalMetrics> {
        if self.since.elapsed() < LOG_INTERVAL {
            return None;
        }
        let interval = std::mem::replace(self, IntervalMetrics::new());
        Some(interval).filter(|interval| !interval.is_empty())
    }

    fn is_empty(&self) -> bool {
        self.accepted == 0 && self.dropped.is_empty() && self.attempts.is_empty()
    }

    /// The endpoints with the most failed attempts.
    fn worst_endpoints(&self) -> Vec<(&SocketAddr, &EndpointMetrics)> {
        let failing = self.endpoints.iter().filter(|(_, endpoint)| endpoint.failed_attempts > 0);
        let mut worst: Vec<_> = failing.collect();
        worst.sort_by_key(|(_, endpoint)| Reverse(endpoint.failed_attempts));
        worst.truncate(MAX_LOGGED_ENDPOINTS);
        worst
    }
}

/// The name of an outcome in the log.
fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Delivered => "delivered",
        Outcome::Error => "error",
        Outcome::Rejected { retry_after: Some(_) } => "rejected with Retry-After",
        Outcome::Rejected { retry_after: None } => "rejected",
        Outcome::TimedOut => "timed out",
        Outcome::ConnectFailed => "connect failed",
        Outcome::Reset => "reset",
        Outcome::InvalidResponse => "invalid response",
        Outcome::StaleConnection => "stale connection",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not sent",
    }
}

/// Whether an outcome counts as a failure of the endpoint in the log.
fn is_failure(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Delivered | Outcome::Rejected { .. } | Outcome::NotSent => false,
        Outcome::Error
        | Outcome::TimedOut
        | Outcome::ConnectFailed
        | Outcome::Reset
        | Outcome::InvalidResponse
        | Outcome::StaleConnection
        | Outcome::Cancelled => true,
    }
}

impl fmt::Display for IntervalMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let slot_time_ms: BTreeMap<_, _> =
            self.slot_time.iter().map(|(label, time)| (label, time.as_millis())).collect();
        write!(f, "accepted {}, dropped {:?}", self.accepted, self.dropped)?;
        write!(f, "; attempts {:?}; slot time in ms {slot_time_ms:?}", self.attempts)?;
        write!(f, "; connections opened {}", self.opened_connections)?;
        write!(f, ", failed {:?}", self.failed_connections)?;
        for (address, endpoint) in self.worst_endpoints() {
            write!(f, "\n  {address}: {endpoint}")?;
        }
        Ok(())
    }
}

impl fmt::Display for EndpointMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} attempts, {} failed", self.attempts, self.failed_attempts)?;
        write!(f, ", connections opened {}, failed {}", self.opened_connections, self.failed_connections)?;
        write!(f, ", longest attempt {:?}", self.max_latency)
    }
}

#[cfg(test)]
mod tests;
