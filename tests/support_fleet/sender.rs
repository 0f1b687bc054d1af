//! The host of one decision module.

use super::scenario::{BATCHED, Scenario};
use crate::common::{CLIENT_TIMEOUT, attempt_ended, entry, submission};
use message_forwarder::Balancer;
use message_forwarder::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// The destination that all messages are for.
const DESTINATION: DestinationId = 1;

/// A call in flight.
pub(crate) struct Call {
    pub endpoint: EndpointId,
    pub sent_at: Micros,
    /// Message and number of each attempt in it.
    pub attempts: Vec<(MessageId, usize)>,
    /// The call arrived during the outage.
    pub during_outage: bool,
}

/// What a restarted sender takes over of an open message.
struct OpenMessage {
    class: usize,
    expires_at: Micros,
    history: MessageHistory,
}

/// A call that a turn starts: endpoint, timeout and attempts.
pub(crate) struct NewCall {
    pub endpoint: EndpointId,
    pub timeout: Micros,
    pub attempts: Vec<(MessageId, usize)>,
}

/// What the fleet has to do after a turn.
#[derive(Default)]
pub(crate) struct TurnResult {
    pub calls: Vec<NewCall>,
    pub cancelled: Vec<u64>,
    pub wake_at: Option<Micros>,
}

/// One sender.
pub(crate) struct Sender {
    scenario: Scenario,
    balancer: Balancer,
    open: BTreeMap<MessageId, OpenMessage>,
    pub calls: BTreeMap<u64, Call>,
    /// Routes whose outage the sender has learned of.
    known_outages: BTreeSet<usize>,
    actions: Vec<Action>,
    /// The part of the messages that the sender gets, relative to the weights of the other senders.
    pub weight: f64,
    pub delivered: usize,
}

impl Sender {
    pub(crate) fn new(scenario: Scenario, seed: u64, weight: f64, now: Micros) -> Self {
        let mut sender = Sender {
            scenario,
            balancer: Balancer::new(scenario.settings(), seed),
            open: BTreeMap::new(),
            calls: BTreeMap::new(),
            known_outages: BTreeSet::new(),
            actions: Vec::new(),
            weight,
            delivered: 0,
        };
        sender.receive_list(now);
        sender
    }

    fn receive_list(&mut self, now: Micros) {
        let weight = self.scenario.capacity * self.scenario.listed_factor;
        let endpoints = 1..=self.scenario.endpoints;
        let list = endpoints.map(|id| EndpointEntry { weight, ..entry(id, DESTINATION, self.scenario.kind) });
        self.event(now, Event::ListSnapshot(list.collect()));
    }

    pub(crate) fn event(&mut self, now: Micros, event: Event) {
        self.balancer.on_event(now, event, &mut self.actions);
    }

    pub(crate) fn submit(&mut self, now: Micros, id: MessageId, class: usize) {
        let message =
            OpenMessage { class, expires_at: now + CLIENT_TIMEOUT, history: MessageHistory::default() };
        self.open.insert(id, message);
        self.event(now, Event::Submit(submission(id, class, DESTINATION, now + CLIENT_TIMEOUT)));
    }

    /// Restarts the sender, which keeps its open messages and nothing else. Its calls in flight are lost.
    pub(crate) fn restart(&mut self, now: Micros, seed: u64) {
        self.balancer = Balancer::new(self.scenario.settings(), seed);
        self.known_outages.clear();
        self.actions.clear();
        for call in std::mem::take(&mut self.calls).into_values() {
            for (id, _) in call.attempts {
                if let Some(message) = self.open.get_mut(&id) {
                    let first = PossibleExecution { sent_at: call.sent_at, zone: 0 };
                    message.history.possible_execution.get_or_insert(first);
                }
            }
        }
        self.receive_list(now);
        let ids: Vec<MessageId> = self.open.keys().copied().collect();
        for id in ids {
            let message = &self.open[&id];
            let history = MessageHistory { accepted: true, ..message.history };
            let taken_over = submission(id, message.class, DESTINATION, message.expires_at);
            self.event(now, Event::Submit(Submission { history, ..taken_over }));
        }
    }

    /// Ends a call, if it is still in flight.
    pub(crate) fn end_call(&mut self, now: Micros, call: u64, outcome: Outcome) {
        let Some(call) = self.calls.remove(&call) else { return };
        if call.during_outage && outcome != Outcome::Delivered {
            self.known_outages.insert(self.route_of(call.endpoint));
        }
        let report = LoadReport { limit: Some(self.scenario.capacity) };
        let responded = matches!(outcome, Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. });
        let report = Some(report).filter(|_| self.scenario.reports && responded);
        for (id, attempt) in call.attempts {
            if outcome == Outcome::Delivered {
                self.open.remove(&id);
                self.delivered += 1;
            } else if let Some(message) = self.open.get_mut(&id).filter(|_| !outcome.never_executed()) {
                let first = PossibleExecution { sent_at: call.sent_at, zone: 0 };
                message.history.possible_execution.get_or_insert(first);
            }
            let ended = attempt_ended(id, attempt, outcome, now - call.sent_at);
            self.event(now, Event::AttemptEnded(AttemptEnded { report, ..ended }));
        }
    }

    pub(crate) fn end_turn(&mut self, now: Micros) -> TurnResult {
        self.event(now, Event::TurnEnd);
        let mut result = TurnResult::default();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    self.add_attempt(&mut result, id, endpoint, timeout);
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(self.open.remove(&id)),
                Action::Cancel { id, attempt } => {
                    let has = |call: &Call| call.attempts.contains(&(id, attempt));
                    result
                        .cancelled
                        .extend(self.calls.iter().find(|(_, call)| has(call)).map(|(call, _)| *call));
                }
                Action::Wake { at } => result.wake_at = Some(at),
                _ => {}
            }
        }
        result
    }

    /// Attempts of one turn to one endpoint travel in one call, up to the batch size.
    fn add_attempt(&mut self, result: &mut TurnResult, id: MessageId, endpoint: EndpointId, timeout: Micros) {
        let message = self.open.get_mut(&id).expect("only open messages are sent");
        let attempt = (id, message.history.attempts);
        message.history.attempts += 1;
        let batch = if self.scenario.kind == BATCHED { super::scenario::BATCH } else { 1 };
        match result.calls.last_mut() {
            Some(call) if call.endpoint == endpoint && call.attempts.len() < batch => {
                call.attempts.push(attempt);
            }
            _ => result.calls.push(NewCall { endpoint, timeout, attempts: vec![attempt] }),
        }
    }

    pub(crate) fn route_of(&self, endpoint: EndpointId) -> usize {
        if self.scenario.routes() > 1 { endpoint as usize - 1 } else { 0 }
    }

    pub(crate) fn knows_outage_of(&self, route: usize) -> bool {
        self.known_outages.contains(&route)
    }
}
