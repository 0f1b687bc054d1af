//! The state of one sender: all its records, and the operations that concern several of them.

use super::calls::{Attempt, CallTable};
use super::class_results::ClassResults;
use super::directory::{Directory, RouteId};
use super::message::MessageState;
use super::message_table::MessageTable;
use super::ordering_keys::{NextInOrder, OrderingKeys};
use crate::estimators::DecayingCounter;
use crate::interface::{
    AttemptEnded, EndpointId, InheritedCall, MessageId, Micros, PossibleExecution, Settings, Submission,
};
use std::collections::BTreeSet;

/// The state of one sender.
pub(crate) struct SenderState {
    /// State of the random number generator; never 0.
    pub(crate) seed: u64,
    /// Destinations and endpoints.
    pub(crate) directory: Directory,
    /// Messages without a final reply.
    pub(crate) messages: MessageTable,
    /// Ordering keys and their messages.
    pub(crate) ordering_keys: OrderingKeys,
    /// Calls in flight and their attempts.
    pub(crate) calls: CallTable,
    /// Recent submissions, by tenant.
    pub(crate) tenant_submissions: Vec<DecayingCounter>,
    /// Results of messages, by class.
    pub(crate) class_results: Vec<ClassResults>,
    /// Until this time the connection tables of endpoints are assumed to be full.
    pub(crate) connection_tables_full_until: Micros,
    /// Endpoints whose connections became idle in this turn because a call got a response.
    pub(crate) used_endpoints: BTreeSet<EndpointId>,
    /// When to subscribe to the endpoint list, if a subscription is to be made.
    pub(crate) subscribe_at: Option<Micros>,
    /// Whether the endpoint list is too old, so that no attempt may be started.
    pub(crate) list_stale: bool,
    /// Consecutive failures of the subscription.
    pub(crate) subscription_failures: u32,
    /// The time of the wake-up that was requested from the host; `Micros::MAX` if none is pending.
    wake_at: Micros,
}

impl SenderState {
    /// Creates the state of a sender that knows only its settings.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        SenderState {
            seed: seed | 1,
            directory: Directory::default(),
            messages: MessageTable::default(),
            ordering_keys: OrderingKeys::default(),
            calls: CallTable::default(),
            tenant_submissions: vec![DecayingCounter::default(); settings.tenants.len()],
            class_results: vec![ClassResults::default(); settings.classes.len()],
            connection_tables_full_until: Micros::MIN,
            used_endpoints: BTreeSet::new(),
            subscribe_at: settings.poll_discovery.then_some(Micros::MIN),
            list_stale: false,
            subscription_failures: 0,
            wake_at: Micros::MAX,
        }
    }

    /// Puts a message into its queue. The destination of the message is added if it is not known.
    pub(crate) fn enqueue(&mut self, now: Micros, id: MessageId) {
        let destination = self.messages.enqueue(id);
        self.directory.destination_or_new(destination, now, &mut self.seed);
    }

    /// Puts a message behind the others with its ordering key, and returns the key. A message without an
    /// ordering key is put into its queue.
    pub(crate) fn enqueue_in_order(&mut self, now: Micros, id: MessageId) -> Option<String> {
        let key = self.messages[id].submission.key.clone();
        match &key {
            Some(key) => self.ordering_keys.push(key, id),
            None => self.enqueue(now, id),
        }
        key
    }

    /// Removes a message that needs nothing more, if it is open, and returns its ordering key if it has one.
    /// Attempts of the message that are in flight are kept.
    pub(crate) fn remove_message(&mut self, id: MessageId) -> Option<String> {
        let key = self.messages.remove(id)?.submission.key?;
        self.ordering_keys.remove(&key, id);
        Some(key)
    }

    /// Returns the first message of an ordering key, unless it is already queued, delayed or in flight.
    pub(crate) fn next_in_order(&mut self, now: Micros, key: &str) -> Option<NextInOrder> {
        let next = self.ordering_keys.next(key, now)?;
        (self.messages[next.id].state == MessageState::Blocked).then_some(next)
    }

    /// Records that an attempt is sent. Its class and ordering key are set to those of the message, and its
    /// zone to that of the endpoint.
    pub(crate) fn start_attempt(&mut self, id: MessageId, attempt: Attempt) {
        let message = self.messages.start_attempt(id);
        let ordering_key = message.submission.key.clone();
        if let Some(key) = &ordering_key {
            self.ordering_keys.start_attempt(key);
        }
        let zone = self.directory.endpoints[&attempt.route.endpoint].zone;
        let attempt = Attempt { class: message.submission.class, zone, ordering_key, ..attempt };
        self.calls.insert(id, message.attempts - 1, attempt);
    }

    /// Records that an attempt has ended, and returns the attempt if it was in flight.
    pub(crate) fn end_attempt(&mut self, id: MessageId, number: usize) -> Option<Attempt> {
        let attempt = self.calls.remove(id, number)?;
        if let Some(key) = &attempt.ordering_key {
            self.ordering_keys.end_attempt(key);
        }
        Some(attempt)
    }

    /// Records that an attempt of an open message has failed. Afterwards the message is neither queued nor
    /// delayed.
    pub(crate) fn record_failed_attempt(&mut self, attempt: &Attempt, end: &AttemptEnded) {
        let message = self.messages.get_mut(end.id).expect("the message is open");
        if !end.outcome.never_executed() && message.possible_execution.is_none() {
            message.possible_execution =
                Some(PossibleExecution { sent_at: attempt.sent_at, zone: attempt.zone });
        }
        message.state = MessageState::Blocked;
        message.unsent_attempts += usize::from(end.unsent);
    }

    /// Records that a call has ended. If the endpoint responded, the connection becomes idle.
    pub(crate) fn end_call(&mut self, now: Micros, attempt: &Attempt, responded: bool, idle_timeout: Micros) {
        self.directory.remove_call_in_flight(attempt.route, attempt.call);
        let endpoint = self.directory.endpoint_mut(attempt.route.endpoint);
        endpoint.calls_in_flight = endpoint.calls_in_flight.saturating_sub(1);
        if responded {
            endpoint.idle_connections.add(now, idle_timeout);
            self.used_endpoints.insert(attempt.route.endpoint);
        }
    }

    /// Records the attempt of a submitted message that is in flight in a predecessor. Returns false if there
    /// is none or its endpoint is not known.
    pub(crate) fn resume_attempt(&mut self, id: MessageId) -> bool {
        let Submission { class, history, .. } = &self.messages[id].submission;
        let (class, attempts, in_flight) = (*class, history.attempts, history.in_flight);
        in_flight.is_some_and(|call| self.inherit_attempt(id, attempts, class, call))
    }

    /// Records an attempt that is in flight in a predecessor. Returns false if its endpoint is not known.
    pub(crate) fn inherit_attempt(
        &mut self,
        id: MessageId,
        number: usize,
        class: usize,
        inherited: InheritedCall,
    ) -> bool {
        let InheritedCall { call, endpoint, sent_at } = inherited;
        let Some(known) = self.directory.endpoints.get_mut(&endpoint) else { return false };
        let (route, zone) = (RouteId { destination: known.destination, endpoint }, known.zone);
        if !self.calls.contains(call) {
            known.calls_in_flight += 1;
            self.directory.route_mut(route).in_flight.insert(call, sent_at);
        }
        self.calls.insert(id, number, Attempt { class, zone, ..Attempt::new(call, route, sent_at) });
        self.messages.set_in_flight(id, number + 1);
        true
    }

    /// Records that a wake-up of the host has arrived.
    pub(crate) fn record_wake(&mut self, now: Micros) {
        if now >= self.wake_at {
            self.wake_at = Micros::MAX;
        }
    }

    /// Returns the time of the wake-up to request from the host: the earliest of the timers and `at`. Returns
    /// `None` if an earlier wake-up is pending or none is needed.
    pub(crate) fn next_wake(&mut self, now: Micros, at: Micros) -> Option<Micros> {
        let timers = [self.messages.next_timer(), self.subscribe_at];
        let at = timers.into_iter().flatten().fold(at, Micros::min).max(now + 1);
        if at >= self.wake_at || at == Micros::MAX {
            return None;
        }
        self.wake_at = at;
        Some(at)
    }
}
