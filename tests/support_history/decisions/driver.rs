//! A host for the decision module that runs a seeded, valid history: every attempt that is sent ends once,
//! wake-ups come when they were requested, and destinations change their condition.

use super::attempts::{Attempt, LastCall};
use super::encoding::{encode_decision, tag};
use super::inputs::{Decision, Endpoint, Input, ListedState, MILLISECOND, PossibleExecution, SECOND};
use super::scenario::{Condition, Scenario};
use super::translation::Subject;
use crate::support_history::{CHECKPOINT_EVERY, Digest, Generator, Recording};
use std::collections::{BTreeMap, BTreeSet};

/// Times are multiples of this.
const TURN_INTERVAL: i64 = 5 * MILLISECOND;
/// Turns between two additions of the state of the module to the digest.
const TURNS_PER_STATE: usize = 50;

/// What the host knows about a message.
pub(crate) struct Message {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Option<String>,
    pub expires_at: i64,
    pub destination: u64,
    pub attempts: usize,
    pub possible_execution: Option<PossibleExecution>,
    pub finished: bool,
    pub response_started: bool,
}

/// The host: its messages, the attempts in flight and the endpoint list.
pub(crate) struct History<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) subject: Subject,
    pub(super) generator: Generator,
    pub(super) now: i64,
    pub(super) wake_at: i64,
    pub(super) messages: BTreeMap<u64, Message>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) endpoints: BTreeMap<u64, Endpoint>,
    pub(super) banned: BTreeSet<u64>,
    pub(super) draining: bool,
    pub(super) conditions: BTreeMap<u64, Condition>,
    pub(super) next_message: u64,
    pub(super) next_call: u64,
    pub(super) last_call: Option<LastCall>,
    pub(super) digest: Digest,
    pub(super) occurred: [usize; 9],
}

impl<'a> History<'a> {
    pub(crate) fn new(scenario: &'a Scenario) -> Self {
        let mut generator = Generator::new(scenario.seed);
        let mut endpoints = BTreeMap::new();
        for destination in scenario.destinations {
            for offset in 0..destination.endpoints {
                let id = destination.id * 10 + offset;
                let weight = generator.between(2, 400) as f64 / 4.0;
                let (zone, kind) = (offset as usize % 3, destination.kind);
                let state = ListedState::Serving;
                endpoints.insert(id, Endpoint { id, destination: destination.id, kind, zone, weight, state });
            }
        }
        History {
            scenario,
            subject: Subject::new(&scenario.profile, generator.next()),
            generator,
            now: 100 * SECOND,
            wake_at: i64::MAX,
            messages: BTreeMap::new(),
            attempts: Vec::new(),
            endpoints,
            banned: BTreeSet::new(),
            draining: false,
            conditions: scenario.destinations.iter().map(|d| (d.id, Condition::Healthy)).collect(),
            next_message: 0,
            next_call: 0,
            last_call: None,
            digest: Digest::new(),
            occurred: [0; 9],
        }
    }

    /// Runs the whole history.
    pub(crate) fn run(mut self) -> Recording {
        let mut checkpoints = Vec::new();
        let list = self.complete_list();
        self.handle(Input::ListSnapshot(list));
        for turn in 1..=self.scenario.turns {
            self.turn(turn);
            if turn % TURNS_PER_STATE == 0 {
                self.subject.encode_state(self.now, &mut self.digest);
            }
            if turn % CHECKPOINT_EVERY == 0 {
                checkpoints.push(self.digest.value());
            }
        }
        for tag in self.scenario.must_occur {
            assert!(self.occurred[*tag] > 0, "{}: no decision numbered {tag}", self.scenario.name);
        }
        Recording { name: self.scenario.name, count: self.occurred.iter().sum(), checkpoints }
    }

    fn turn(&mut self, turn: usize) {
        self.pass_time();
        if self.wake_at <= self.now {
            self.wake_at = i64::MAX;
            self.handle(Input::Wake);
        }
        self.end_attempts();
        let every = self.scenario.take_over_every;
        if every > 0 && turn.is_multiple_of(every) {
            self.take_over();
        }
        self.change_conditions();
        self.change_list();
        self.run_admin_commands();
        self.disconnect_and_stream();
        self.submit_messages();
        self.handle(Input::TurnEnd);
        self.last_call = None;
        let open: BTreeSet<u64> = self.attempts.iter().map(|attempt| attempt.id).collect();
        self.messages.retain(|id, message| !message.finished || open.contains(id));
    }

    fn pass_time(&mut self) {
        let is_long = self.generator.per_mille(8);
        let longest = if is_long { 5 * SECOND } else { 200 * MILLISECOND };
        let planned = self.now + self.generator.between(0, longest);
        let next = planned.min(self.wake_at).max(self.now + 1);
        self.now = (next + TURN_INTERVAL - 1) / TURN_INTERVAL * TURN_INTERVAL;
    }

    pub(super) fn handle(&mut self, input: Input) {
        for decision in self.subject.handle(self.now, input) {
            encode_decision(self.now, &decision, &mut self.digest);
            self.occurred[tag(&decision)] += 1;
            self.carry_out(decision);
        }
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Send { id, endpoint, timeout, .. } => {
                self.assert_usable(endpoint);
                self.send(id, endpoint, timeout);
            }
            Decision::Reject { id, .. } | Decision::Fail { id } => self.finish(id),
            Decision::Cancel { id, attempt } => self.cancel(id, attempt),
            Decision::Wake { at } => self.wake_at = self.wake_at.min(at),
            Decision::CloseIdleConnections { .. } | Decision::Subscribe | Decision::AcceptClients(_) => {}
        }
    }

    fn assert_usable(&self, endpoint: u64) {
        let usable =
            self.endpoints[&endpoint].state == ListedState::Serving && !self.banned.contains(&endpoint);
        assert!(usable, "{}: endpoint {endpoint} is not in service or banned", self.scenario.name);
    }

    pub(super) fn finish(&mut self, id: u64) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.finished = true;
        }
    }
}
