//! Metrics of messages, attempts and connections, which are logged at intervals.

use crate::forwarder::messages::call_report::ConnectionUsage;
use crate::interface::Outcome;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of endpoints that are logged individually.
const MAX_LOGGED_ENDPOINTS: usize = 3;

/// Why a message was not accepted or not delivered. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DropReason {
    /// The maximum number of open messages is reached.
    TooManyOpenMessages,
    /// The journal is full or cannot be written.
    JournalFull,
    /// The client disconnected before it received the reply.
    ClientDisconnected,
    /// The decision module rejected the message.
    Rejected,
    /// The decision module failed the message, which may have been executed.
    Failed,
    /// The message was accepted by an earlier process and never attempted. Counted in addition to `Rejected`
    /// or `Failed`.
    NeverAttempted,
}

/// Counts of one endpoint during an interval.
#[derive(Debug, Default)]
struct EndpointMetrics {
    attempts: usize,
    failed_attempts: usize,
    opened_connections: usize,
    failed_connections: usize,
    max_latency: Duration,
}

/// Counts since the last log line. `Display` writes the text of the line.
#[derive(Debug)]
pub(crate) struct IntervalMetrics {
    started_at: Instant,
    accepted: usize,
    dropped: BTreeMap<DropReason, usize>,
    /// Attempts by outcome.
    attempts: BTreeMap<&'static str, usize>,
    /// The time for which calls occupied call slots, by the outcome of the last attempt of the call.
    slot_time: BTreeMap<&'static str, Duration>,
    opened_connections: usize,
    /// Connections that could not be established, by kind of error.
    failed_connections: BTreeMap<String, usize>,
    endpoints: BTreeMap<SocketAddr, EndpointMetrics>,
}

impl IntervalMetrics {
    /// Starts an interval.
    pub(crate) fn new() -> Self {
        IntervalMetrics {
            started_at: Instant::now(),
            accepted: 0,
            dropped: BTreeMap::new(),
            attempts: BTreeMap::new(),
            slot_time: BTreeMap::new(),
            opened_connections: 0,
            failed_connections: BTreeMap::new(),
            endpoints: BTreeMap::new(),
        }
    }

    /// Records that a message was accepted.
    pub(crate) fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    /// Records that a message was not accepted or not delivered.
    pub(crate) fn record_dropped(&mut self, reason: DropReason) {
        *self.dropped.entry(reason).or_default() += 1;
    }

    /// Records the connections that an ended call to this address opened or failed to open.
    pub(crate) fn record_connections(&mut self, address: SocketAddr, usage: ConnectionUsage) {
        let endpoint = self.endpoints.entry(address).or_default();
        endpoint.opened_connections += usage.opened;
        self.opened_connections += usage.opened;
        if let Some(kind) = usage.failed {
            endpoint.failed_connections += 1;
            *self.failed_connections.entry(kind.to_string()).or_default() += 1;
        }
    }

    /// Records the end of an attempt that was sent to this address `latency` ago. `call_ended` is whether its
    /// call ended too.
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

    /// If a log line is due, starts the next interval, and returns the ended one unless it is empty.
    pub(crate) fn take_if_due(&mut self) -> Option<IntervalMetrics> {
        if self.started_at.elapsed() < LOG_INTERVAL {
            return None;
        }
        let interval = std::mem::replace(self, IntervalMetrics::new());
        Some(interval).filter(|interval| !interval.is_empty())
    }

    fn is_empty(&self) -> bool {
        self.accepted == 0 && self.dropped.is_empty() && self.attempts.is_empty()
    }

    /// The endpoints with the most failed attempts, worst first.
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
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let slot_time_ms: BTreeMap<_, _> =
            self.slot_time.iter().map(|(label, time)| (label, time.as_millis())).collect();
        write!(formatter, "accepted {}, dropped {:?}", self.accepted, self.dropped)?;
        write!(formatter, "; attempts {:?}; slot time in ms {slot_time_ms:?}", self.attempts)?;
        write!(formatter, "; connections opened {}", self.opened_connections)?;
        write!(formatter, ", failed {:?}", self.failed_connections)?;
        for (address, endpoint) in self.worst_endpoints() {
            write!(formatter, "\n  {address}: {endpoint}")?;
        }
        Ok(())
    }
}

impl fmt::Display for EndpointMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} attempts, {} failed", self.attempts, self.failed_attempts)?;
        write!(
            formatter,
            ", connections opened {}, failed {}",
            self.opened_connections, self.failed_connections
        )?;
        write!(formatter, ", longest attempt {:?}", self.max_latency)
    }
}

#[cfg(test)]
mod tests;
