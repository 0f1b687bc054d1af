//! Ends of attempts: retries, the order of messages, and updates of endpoints and routes by the outcome.

use super::{Balancer, health::RECENT_LATENCY_GAIN};
use crate::interface::{Action, AttemptEnded, MessageId, Micros, Outcome};
use crate::sender_state::{Attempt, Message};

/// The first retry after a possible execution is delayed by the latency objective divided by this.
const RETRY_DELAY_OBJECTIVE_DIVISOR: Micros = 16;
/// The delay doubles with each further attempt, up to this many times.
const MAX_RETRY_DELAY_DOUBLINGS: usize = 4;
/// From this many consecutive waves of rejected connections on, each rejection counts as a failure: a full
/// connection table has room now and then, an endpoint that is down has none.
const OUTAGE_CONNECT_REJECTION_WAVES: u32 = 4;
/// An endpoint whose call failed is avoided for the warm-up time divided by this.
const AVOID_WARM_UP_DIVISOR: Micros = 4;

impl Balancer {
    /// Processes the end of an attempt. The Retry-After and the pause of the ordering key are applied before
    /// a retry or another message is queued.
    pub(super) fn end_attempt(&mut self, now: Micros, end: &AttemptEnded, actions: &mut Vec<Action>) {
        let Some(attempt) = self.state.end_attempt(end.id, end.attempt) else { return };
        self.apply_retry_after(now, &attempt, end);
        if !self.state.calls.contains(attempt.call) {
            self.end_call(now, &attempt, end);
        }
        self.pause_ordering(now, &attempt, end.outcome);
        if end.finished || end.outcome == Outcome::Delivered {
            self.state.class_results[attempt.class].record_delivery(now, self.parameters.warm_up);
            self.close_message(now, end.id);
        } else if self.state.messages.get(end.id).is_some() {
            self.retry(now, &attempt, end, actions);
        }
        self.release_next(now, attempt.ordering_key.as_deref());
    }

    /// Applies the Retry-After of one message to all messages on the route, even before the call ends.
    fn apply_retry_after(&mut self, now: Micros, attempt: &Attempt, end: &AttemptEnded) {
        let rejection_wait =
            if let Outcome::Rejected { retry_after } = end.outcome { retry_after } else { None };
        if let Some(wait) = rejection_wait.or(end.retry_after) {
            self.state.directory.route_mut(attempt.route).limiter.hold_until(now + wait);
        }
    }

    /// Pauses an ordering key after an attempt that may still be executed.
    fn pause_ordering(&mut self, now: Micros, attempt: &Attempt, outcome: Outcome) {
        let Some(key) = &attempt.ordering_key else { return };
        if let Outcome::TimedOut | Outcome::Reset | Outcome::StaleConnection | Outcome::Cancelled = outcome {
            self.state.ordering_keys.pause(key, now + self.parameters.settings.ordering_gap);
        }
    }

    /// Queues the next message with an ordering key, once no attempt with the key is in flight and its pause
    /// is over.
    pub(super) fn release_next(&mut self, now: Micros, key: Option<&str>) {
        let next = key.and_then(|key| self.state.next_in_order(now, key));
        let Some(next) = next.filter(|next| next.attempts_in_flight == 0) else { return };
        if now < next.paused_until {
            self.state.messages.delay(next.id, next.paused_until);
        } else {
            self.state.enqueue(now, next.id);
        }
    }

    /// Removes a message that needs no further attempt or reply, and releases the next one with its key.
    pub(super) fn close_message(&mut self, now: Micros, id: MessageId) {
        let ordering_key = self.state.remove_message(id);
        self.release_next(now, ordering_key.as_deref());
    }

    /// Whether no further attempt is allowed, by number or because the message must not be executed twice.
    pub(super) fn has_no_attempt_left(&self, message: &Message) -> bool {
        let at_most_once = self.parameters.at_most_once(message.submission.class);
        (at_most_once && message.possible_execution.is_some())
            || message.attempts - message.unsent_attempts >= self.parameters.settings.max_attempts
    }

    /// Schedules a retry, or gives the final reply if none is allowed.
    fn retry(&mut self, now: Micros, attempt: &Attempt, end: &AttemptEnded, actions: &mut Vec<Action>) {
        let id = end.id;
        self.state.record_failed_attempt(attempt, end);
        self.schedule_give_up(id);
        let message = &self.state.messages[id];
        if now >= message.give_up_at || self.has_no_attempt_left(message) {
            return self.reject_or_fail(now, id, actions);
        }
        let doublings = (message.attempts - 1).min(MAX_RETRY_DELAY_DOUBLINGS);
        let delay = self.parameters.objective_divided_by(RETRY_DELAY_OBJECTIVE_DIVISOR) << doublings;
        // A retry on a new connection may follow a stale one at once. A message that the host did
        // not send is delayed.
        let held_back_by_host = end.unsent && end.outcome == Outcome::NotSent;
        let not_executed = end.outcome.never_executed() && !held_back_by_host;
        if not_executed || end.outcome == Outcome::StaleConnection {
            self.state.enqueue(now, id);
        } else {
            self.state.messages.delay(id, now + delay);
        }
    }

    /// Updates the endpoint and the route by the outcome of a call, which ends with its last attempt.
    fn end_call(&mut self, now: Micros, attempt: &Attempt, end: &AttemptEnded) {
        let settings = &self.parameters.settings;
        let responded = matches!(end.outcome, Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. });
        self.state.end_call(now, attempt, responded, settings.idle_timeout);
        let route = self.state.directory.route_mut(attempt.route);
        if let Some(rate) = route.allowed_rate(now, &self.parameters).filter(|_| end.unsent) {
            route.limiter.undo_call(rate);
        }
        let endpoint = self.state.directory.endpoint_mut(attempt.route.endpoint);
        match end.outcome {
            Outcome::Delivered => {
                endpoint.latency.add(end.elapsed as f64, RECENT_LATENCY_GAIN);
                endpoint.avoid_until = now;
                endpoint.record_delivery(attempt.sent_at);
            }
            // The endpoint has delivered later calls, which is better evidence of its health than a lost
            // response.
            Outcome::Cancelled if attempt.lost => return,
            Outcome::Rejected { .. }
            | Outcome::NotSent
            | Outcome::InvalidResponse
            | Outcome::StaleConnection => {}
            // The connection was rejected at once: the endpoint is up, but its connection table is full.
            Outcome::ConnectFailed if end.elapsed < settings.connect_timeout / 2 => {
                self.record_connect_rejection(now, attempt);
                let waves = self.state.directory.endpoints[&attempt.route.endpoint].connect_rejections.waves;
                if waves < OUTAGE_CONNECT_REJECTION_WAVES {
                    return;
                }
            }
            _ => endpoint.avoid_until = now + settings.warm_up_time / AVOID_WARM_UP_DIVISOR,
        }
        let batch = self.state.directory.destinations[&attempt.route.destination].kind.batch;
        let route = self.state.directory.route_mut(attempt.route);
        if let Some(limit) = end.report.and_then(|report| report.limit) {
            route.record_reported_limit(limit, batch, &self.parameters);
        }
        route.record_outcome(now, end, &self.parameters);
    }
}
