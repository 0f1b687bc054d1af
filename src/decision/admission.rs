//! Admission of messages, load shedding, and final replies to messages that were not delivered.

use super::{Balancer, Parameters};
use crate::estimators::SECOND;
use crate::interface::{Action, Idempotency, MessageId, Micros, Submission, Tenant};
use crate::sender_state::{Message, MessageState};

/// Load shedding starts when fewer than `max_open_messages` divided by this can still be opened.
const SHEDDING_RESERVE_DIVISOR: usize = 32;
/// Clients that have at least their fair share of the open messages are rejected when at most
/// `max_open_messages` divided by this can still be opened.
const FAIR_SHARE_RESERVE_DIVISOR: usize = 16;
/// Cost of rejecting a new message relative to that of rejecting a message that was accepted earlier.
const NEW_MESSAGE_COST: f64 = 0.7;

impl Balancer {
    pub(super) fn submit(&mut self, now: Micros, submission: Submission, actions: &mut Vec<Action>) {
        let (id, accepted) = (submission.id, submission.history.accepted);
        if self.state.messages.get(id).is_some() {
            return;
        }
        if let Some(retry_after) = self.immediate_rejection(&submission) {
            return actions.push(Action::Reject { id, retry_after });
        }
        let message = self.new_message(now, submission);
        self.state.messages.insert(message);
        self.schedule_give_up(id);
        if self.state.resume_attempt(id) {
            return;
        }
        if self.has_no_attempt_left(&self.state.messages[id]) {
            return self.reject_or_fail(now, id, actions);
        }
        let ordering_key = self.state.enqueue_in_order(now, id);
        self.release_next(now, ordering_key.as_deref());
        let max_open = self.parameters.settings.max_open_messages;
        if !accepted && self.state.messages.len() + max_open / SHEDDING_RESERVE_DIVISOR > max_open {
            self.shed_load(now, id, actions);
        }
    }

    /// Returns the Retry-After of a message that is not admitted: its class is unknown, or it is new and its
    /// destination was never listed, or its client has its fair share. Clients may name any number of such
    /// destinations, so nothing is stored for them.
    fn immediate_rejection(&self, submission: &Submission) -> Option<Micros> {
        let Parameters { settings, .. } = &self.parameters;
        if settings.classes.get(submission.class).is_none() {
            return Some(0);
        }
        if submission.history.accepted {
            return None;
        }
        if !self.state.directory.destinations.contains_key(&submission.destination) {
            return Some(settings.max_retry_after.min(self.parameters.objective_divided_by(1)));
        }
        // As at the limit of open messages, a place may be free again at any time.
        self.has_fair_share(submission).then_some(0)
    }

    /// Whether few messages can still be opened, and the client of this one has its fair share of them. The
    /// others could open none otherwise: a client that submits as soon as it has its reply takes each place
    /// that becomes free. A client that is alone leaves a reserve, too, for the first message of another one.
    fn has_fair_share(&self, submission: &Submission) -> bool {
        let Some(client) = submission.client else { return false };
        let max_open = self.parameters.settings.max_open_messages;
        let reserve = max_open / FAIR_SHARE_RESERVE_DIVISOR;
        if self.state.messages.len() + reserve < max_open {
            return false;
        }
        let by_client = self.state.messages.by_client();
        let shared = max_open - 2 * reserve;
        by_client.fair_share(shared).is_some_and(|share| by_client.messages_of(client) >= share)
    }

    fn new_message(&mut self, now: Micros, mut submission: Submission) -> Message {
        let class = &self.parameters.settings.classes[submission.class];
        // If the message expires before the latency objective, any delivery before its expiry is on time.
        let beyond_objective = class.deadline - class.latency_objective;
        let outlasts_objective = submission.expires_at - now > class.latency_objective;
        let on_time_until = submission.expires_at - if outlasts_objective { beyond_objective } else { 0 };
        submission.key = submission.key.filter(|_| class.ordered);
        let over_quota = submission.tenant.is_some_and(|tenant| self.count_against_quota(now, tenant));
        Message::new(submission, over_quota, on_time_until, now)
    }

    /// Counts a message against the quota of its tenant. Returns true if the tenant is over this sender's
    /// share of the quota.
    fn count_against_quota(&mut self, now: Micros, tenant: usize) -> bool {
        let Parameters { settings, warm_up, share, .. } = &self.parameters;
        let Some(Tenant { quota }) = settings.tenants.get(tenant) else { return false };
        let submitted = &mut self.state.tenant_submissions[tenant];
        submitted.add(now, *warm_up);
        submitted.get(now, *warm_up) * SECOND / warm_up > quota * share
    }

    /// Rejects one queued message to make room: the one with the least remaining value, divided by the length
    /// of its queue. The candidate of a queue is the new message if the queue holds it, otherwise its first
    /// message.
    fn shed_load(&mut self, now: Micros, new: MessageId, actions: &mut Vec<Action>) {
        let costs = self.state.messages.queues().all().filter_map(|queue| {
            let (_, first) = *queue.first()?;
            let holds_new = queue.iter().any(|(_, id)| *id == new);
            let (id, cost) = if holds_new { (new, NEW_MESSAGE_COST) } else { (first, 1.0) };
            Some((self.value(&self.state.messages[id], now) * cost / queue.len() as f64, id))
        });
        if let Some((_, id)) = costs.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.reject_or_fail(now, id, actions);
        }
    }

    /// Gives the final reply: a rejection if submitting the message again does no harm, otherwise a failure.
    pub(super) fn reject_or_fail(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.state.messages.get(id) else { return };
        let (class, destination) = (message.submission.class, message.submission.destination);
        self.state.class_results[class].record_loss(now, self.parameters.warm_up);
        let settings = &self.parameters.settings;
        let idempotent = settings.classes[class].idempotency == Idempotency::Idempotent;
        let executed = message.possible_execution.is_some() && !idempotent;
        if message.state == MessageState::InFlight || executed {
            actions.push(Action::Fail { id });
        } else {
            let known = self.state.directory.destinations.get(&destination);
            let wait = known.map_or(0, |known| known.route.limiter.wait_until - now);
            actions.push(Action::Reject { id, retry_after: wait.clamp(0, settings.max_retry_after) });
        }
        self.close_message(now, id);
    }
}
