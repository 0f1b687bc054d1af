//! The log lines about the state of the runtime: at its start and end, at SIGTERM and periodically.

use super::Runtime;
use super::clock::MICROS_PER_MILLISECOND;
use crate::interface::{DestinationBacklog, Micros};

impl Runtime {
    /// Logs the endpoint list and the open messages that this process starts with.
    pub(super) fn log_start(&self) {
        let revision = self.endpoints.revision().map_or("none".to_owned(), |revision| revision.to_string());
        eprintln!(
            "runtime: starts with revision {revision} of the endpoint list, {} messages open",
            self.messages.len()
        );
    }

    /// Logs that SIGTERM was received, with the open messages and the calls in flight.
    pub(super) fn log_termination(&self) {
        eprintln!(
            "runtime: SIGTERM received, shutting down; {} messages open, {} calls in flight",
            self.messages.len(),
            self.calls.len()
        );
    }

    /// Logs the messages and calls that are left when the process ends.
    pub(super) fn log_end(&self) {
        eprintln!(
            "runtime: ends with {} messages open, {} calls in flight",
            self.messages.len(),
            self.calls.len()
        );
    }

    /// Logs the metrics of the interval and what delays messages, if the interval has ended.
    pub(super) fn log_if_due(&mut self, now: Micros) {
        let Some(metrics) = self.metrics.take_if_due() else { return };
        eprintln!(
            "runtime: {} messages open, {} calls in flight, {} idle connections; {metrics}",
            self.messages.len(),
            self.calls.len(),
            self.idle_connections.len()
        );
        for backlog in self.decisions.backlog(now) {
            log_backlog(&backlog);
        }
    }
}

fn log_backlog(backlog: &DestinationBacklog) {
    eprintln!(
        "runtime: destination {}: {} messages queued, {} endpoints, {} calls in flight, degraded {}, \
         outage {}, rate {:.1?}, ready in {} ms, Retry-After {} ms",
        backlog.destination,
        backlog.messages,
        backlog.endpoints,
        backlog.calls,
        backlog.degraded,
        backlog.outage,
        backlog.rate,
        backlog.ready_in / MICROS_PER_MILLISECOND,
        backlog.retry_after / MICROS_PER_MILLISECOND
    );
}
