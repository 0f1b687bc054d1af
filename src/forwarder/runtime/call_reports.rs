//! Handles the results of calls.

use super::Runtime;
use super::calls::RemovedAttempt;
use crate::forwarder::http::Connection;
use crate::forwarder::journal::{FinalOutcome, Record};
use crate::forwarder::messages::call_report::{AttemptResult, CallReport, IdleReuse};
use crate::interface::{AttemptEnded, EndpointId, Event, Micros, Outcome};
use std::net::SocketAddr;
use std::time::Duration;

impl Runtime {
    /// Handles the end of a call that this process made.
    pub(super) fn handle_call_report(&mut self, now: Micros, report: CallReport) {
        if let Some(connection) = report.connection {
            self.keep_connection(report.endpoint, report.address, connection);
        }
        self.metrics.record_connections(report.address, report.connection_usage);
        if let Some(reuse) = report.connection_usage.reuse {
            self.record_reuse(now, report.endpoint, &report.results, reuse);
        }
        if report.results.iter().any(|result| result.retry_after.is_some()) {
            self.withhold_writes_to_destination_of(report.endpoint);
        }
        for result in report.results {
            self.end_attempt(now, report.address, result);
        }
    }

    /// Keeps the connection of an ended call for later calls, if the endpoint may still be called at this
    /// address and the pool has capacity.
    fn keep_connection(&mut self, endpoint: EndpointId, address: SocketAddr, connection: Connection) {
        let Some(known) = self.endpoints.get(endpoint) else { return };
        let is_banned = self.journal.lock().is_banned(&known.record.uid);
        let may_be_called =
            known.record.address == address && !self.endpoints.is_removed(endpoint) && !is_banned;
        if may_be_called && self.idle_connections.len() < self.max_idle_connections() {
            self.idle_connections.add(endpoint, connection);
        }
    }

    /// While a predecessor has calls in flight, the two processes share the file descriptors of one process.
    fn max_idle_connections(&self) -> usize {
        let capacity = self.idle_connections.capacity();
        if self.predecessor.is_some() { capacity / 2 } else { capacity }
    }

    fn record_reuse(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        results: &[AttemptResult],
        reuse: IdleReuse,
    ) {
        let Some(first) = results.first() else { return };
        if let Some(idle_for) = self.calls.idle_time_of(first.key()) {
            self.idle_connections.record_reuse(now, endpoint, idle_for, reuse);
        }
    }

    /// Handles the end of an attempt of this process or of the predecessor.
    pub(super) fn end_attempt(&mut self, now: Micros, address: SocketAddr, result: AttemptResult) {
        let Some(RemovedAttempt { sent_at, call_ended, .. }) = self.calls.end_attempt(result.key()) else {
            return;
        };
        let latency = Duration::from_micros(u64::try_from(now - sent_at).unwrap_or(0));
        self.metrics.record_attempt(address, result.outcome, latency, call_ended);
        self.journal_attempt_end(&result);
        let ended = AttemptEnded {
            id: result.id,
            attempt: result.attempt,
            outcome: result.outcome,
            elapsed: now - sent_at,
            finished: !self.messages.contains(result.id),
            report: result.report,
            retry_after: result.retry_after,
            unsent: result.unsent,
        };
        self.decisions.notify(now, Event::AttemptEnded(ended));
    }

    /// Enqueues the end of the attempt for the journal, and removes its message if the attempt has completed
    /// it.
    fn journal_attempt_end(&mut self, result: &AttemptResult) {
        let now_unix_ms = self.unix_clock.now_unix_ms();
        let record = if result.finished
            && let Some(message) = self.messages.remove(result.id)
        {
            let delivered = result.outcome == Outcome::Delivered;
            let outcome = if delivered { FinalOutcome::Delivered } else { FinalOutcome::Failed };
            let remember_until_unix_ms = self.remember_until_unix_ms(&message.content, outcome);
            Record::completed(message.content.id, outcome, remember_until_unix_ms)
        } else if let Some(message) = self.messages.get(result.id) {
            let may_have_executed = !result.outcome.never_executed();
            Record::attempt_ended(message.content.id.clone(), result.attempt, may_have_executed)
        } else {
            return;
        };
        self.journal.lock().enqueue(&record, now_unix_ms);
    }
}
