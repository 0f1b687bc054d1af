//! A host for the decision module that runs a seeded, legal history: every attempt that is sent ends once,
//! wake-ups come when they were requested, and destinations change their condition.

use super::calls::Plan;
use super::scenario::{Condition, Scenario};
use super::support_history::{CHECKPOINT_EVERY, Digest, Generator, Recording};
use super::translation::*;
use std::collections::{BTreeMap, BTreeSet};

/// Times are multiples of this.
const TURN_INTERVAL: i64 = 5 * MILLISECOND;
/// Turns between two additions of the state of the module to the digest.
const TURNS_PER_STATE: usize = 50;
/// The numbers of inherited calls are this far apart, beyond those of the calls of the subject.
const INHERITED_CALL_STEP: u64 = 1_000_000;
const UNLISTED_DESTINATION: u64 = 999;

struct Message {
    class: usize,
    tenant: Option<usize>,
    key: Option<String>,
    expires_at: i64,
    destination: u64,
    attempts: usize,
    possible_execution: Option<(i64, usize)>,
    finished: bool,
    started: bool,
}

struct Attempt {
    id: u64,
    number: usize,
    call: u64,
    endpoint: u64,
    sent: i64,
    ends_at: i64,
    ending: Ending,
    report: Option<Option<f64>>,
    wait: Option<i64>,
    unsent: bool,
}

/// The last call of a turn, which further messages may join.
struct LastCall {
    number: u64,
    endpoint: u64,
    messages: usize,
    plan: Plan,
}

pub(crate) struct History<'a> {
    scenario: &'a Scenario,
    subject: Subject,
    generator: Generator,
    now: i64,
    wake_at: i64,
    messages: BTreeMap<u64, Message>,
    attempts: Vec<Attempt>,
    endpoints: BTreeMap<u64, Endpoint>,
    banned: BTreeSet<u64>,
    draining: bool,
    conditions: BTreeMap<u64, Condition>,
    next_message: u64,
    next_call: u64,
    last_call: Option<LastCall>,
    digest: Digest,
    occurred: [usize; 9],
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
                let listed = Listed::Serving;
                endpoints
                    .insert(id, Endpoint { id, destination: destination.id, kind, zone, weight, listed });
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

    fn handle(&mut self, input: Input) {
        for decision in self.subject.handle(self.now, input) {
            encode_decision(self.now, &decision, &mut self.digest);
            self.occurred[tag(&decision)] += 1;
            self.carry_out(decision);
        }
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Send { id, endpoint, timeout, .. } => self.send(id, endpoint, timeout),
            Decision::Reject { id, .. } | Decision::Fail { id } => self.finish(id),
            Decision::Cancel { id, attempt } => self.cancel(id, attempt),
            Decision::Wake { at } => self.wake_at = self.wake_at.min(at),
            Decision::CloseIdleConnections { .. } | Decision::Subscribe | Decision::AcceptClients(_) => {}
        }
    }

    fn finish(&mut self, id: u64) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.finished = true;
        }
    }

    /// Starts an attempt. Attempts of one turn to one endpoint travel in one call, and mostly end alike.
    fn send(&mut self, id: u64, endpoint: u64, timeout: i64) {
        let place = self.endpoints[&endpoint];
        let batch = if place.kind == BATCHED { BATCH } else { 1 };
        let joins_last_call =
            self.last_call.as_ref().is_some_and(|c| c.endpoint == endpoint && c.messages < batch);
        if !joins_last_call {
            let (number, plan) = (
                self.next_call,
                Plan::draw(&mut self.generator, self.conditions[&place.destination], timeout),
            );
            self.next_call += 1;
            self.last_call = Some(LastCall { number, endpoint, messages: 0, plan });
        }
        let ends_differently = self.generator.per_mille(30);
        let call = self.last_call.as_mut().expect("just set");
        call.messages += 1;
        let (number, plan) = (call.number, call.plan);
        let message = self.messages.get_mut(&id).expect("only open messages are sent");
        let attempt = message.attempts;
        message.attempts += 1;
        self.attempts.push(Attempt {
            id,
            number: attempt,
            call: number,
            endpoint,
            sent: self.now,
            ends_at: self.now + plan.duration,
            ending: if ends_differently { Ending::Error } else { plan.ending },
            report: plan.report,
            wait: plan.wait,
            unsent: plan.unsent,
        });
    }

    fn cancel(&mut self, id: u64, number: usize) {
        let late = self.generator.between(0, 50 * MILLISECOND);
        let is_cancelled = self.generator.per_mille(900);
        for attempt in self.attempts.iter_mut().filter(|a| a.id == id && a.number == number) {
            attempt.ends_at = attempt.ends_at.min(self.now + late);
            attempt.ending = if is_cancelled { Ending::Cancelled } else { attempt.ending };
        }
    }

    fn end_attempts(&mut self) {
        let open = std::mem::take(&mut self.attempts);
        let (mut due, open): (Vec<_>, Vec<_>) = open.into_iter().partition(|a| a.ends_at <= self.now);
        self.attempts = open;
        due.sort_by_key(|a| (a.ends_at, a.call, a.number, a.id));
        due.into_iter().for_each(|attempt| self.end_attempt(attempt));
    }

    fn end_attempt(&mut self, ended: Attempt) {
        let never_executed =
            matches!(ended.ending, Ending::Rejected(_) | Ending::ConnectFailed | Ending::NotSent);
        let zone = self.endpoints[&ended.endpoint].zone;
        let message = self.messages.get_mut(&ended.id).expect("kept while an attempt is open");
        message.finished |= message.started || ended.ending == Ending::Delivered;
        if !never_executed && message.possible_execution.is_none() {
            message.possible_execution = Some((ended.sent, zone));
        }
        let finished = message.finished;
        self.handle(Input::Ended {
            id: ended.id,
            attempt: ended.number,
            ending: ended.ending,
            elapsed: self.now - ended.sent,
            finished,
            report: ended.report,
            unsent: ended.unsent,
            wait: ended.wait,
        });
    }

    fn change_conditions(&mut self) {
        for destination in self.scenario.destinations {
            if self.generator.per_mille(self.scenario.rates.condition) {
                self.conditions.insert(destination.id, self.generator.pick(self.scenario.conditions));
            }
        }
    }

    /// The endpoints of a complete list, which lacks the removed ones.
    fn complete_list(&self) -> Vec<Endpoint> {
        self.endpoints.values().filter(|endpoint| endpoint.listed != Listed::Deleted).copied().collect()
    }

    fn change_list(&mut self) {
        if self.generator.per_mille(self.scenario.rates.list_broken) {
            self.handle(Input::WatchFailed);
        }
        if !self.generator.per_mille(self.scenario.rates.list) {
            return;
        }
        let mut changed = Vec::new();
        for _ in 0..=self.generator.below(3) {
            let destination = self.generator.pick(self.scenario.destinations);
            // One more than at the start: new endpoints come and go.
            let id = destination.id * 10 + self.generator.below(destination.endpoints + 1);
            let listed =
                self.generator.pick(&[Listed::Serving, Listed::Serving, Listed::Draining, Listed::Deleted]);
            let weight = self.generator.between(2, 400) as f64 / 4.0;
            let zone = (id % 3) as usize;
            let (kind, destination) = (destination.kind, destination.id);
            let endpoint = Endpoint { id, destination, kind, zone, weight, listed };
            self.endpoints.insert(id, endpoint);
            changed.push(endpoint);
        }
        let is_complete = self.generator.per_mille(300);
        let input =
            if is_complete { Input::ListSnapshot(self.complete_list()) } else { Input::ListUpdate(changed) };
        self.handle(input);
    }

    fn any_endpoint(&mut self) -> u64 {
        let ids: Vec<u64> = self.endpoints.keys().copied().collect();
        self.generator.pick(&ids)
    }

    /// Operators ban endpoints, end bans, and drain and resume the process.
    fn run_admin_commands(&mut self) {
        if self.generator.per_mille(self.scenario.rates.ban) {
            let endpoint = self.any_endpoint();
            if self.banned.insert(endpoint) {
                self.handle(Input::Ban(endpoint));
            }
        }
        if self.generator.per_mille(self.scenario.rates.ban_end)
            && let Some(endpoint) = self.banned.pop_first()
        {
            self.handle(Input::BanEnded(endpoint));
        }
        if self.generator.per_mille(self.scenario.rates.drain) {
            self.draining = !self.draining;
            self.handle(if self.draining { Input::Drain } else { Input::Resume });
        }
    }

    /// Clients disconnect, and streamed responses begin.
    fn disconnect_and_stream(&mut self) {
        let open: Vec<u64> = self.messages.iter().filter(|(_, m)| !m.finished).map(|(id, _)| *id).collect();
        if !open.is_empty() && self.generator.per_mille(self.scenario.rates.client_disconnected) {
            let id = self.generator.pick(&open);
            self.finish(id);
            self.handle(Input::ClientDisconnected(id));
        }
        let streams: Vec<u64> = self.attempts.iter().map(|a| a.id).filter(|id| open.contains(id)).collect();
        if !streams.is_empty() && self.generator.per_mille(self.scenario.rates.started) {
            let id = self.generator.pick(&streams);
            if let Some(message) = self.messages.get_mut(&id).filter(|message| !message.finished) {
                message.started = true;
                self.handle(Input::ResponseStarted(id));
            }
        }
    }

    fn submit_messages(&mut self) {
        if !self.generator.per_mille(self.scenario.rates.submit) {
            return;
        }
        for _ in 0..=self.generator.below(self.scenario.rates.burst) {
            self.submit_one();
        }
    }

    fn submit_one(&mut self) {
        let id = self.next_message;
        self.next_message += 1;
        let class = self.generator.pick(self.scenario.classes);
        let listed = self.generator.pick(self.scenario.destinations).id;
        let destination = if self.generator.per_mille(5) { UNLISTED_DESTINATION } else { listed };
        let ordered = matches!(class, IDEMPOTENT_ORDERED | NOT_IDEMPOTENT_ORDERED);
        let key = ordered.then(|| format!("key{}", self.generator.below(6)));
        let tenant = self.scenario.tenants.then(|| self.generator.below(TENANTS) as usize);
        let time_limit = self.generator.pick(&[12 * SECOND, 12 * SECOND, 6 * SECOND, SECOND]);
        let expires_at = self.now + time_limit;
        let has_history = self.generator.per_mille(self.scenario.rates.history) && destination == listed;
        let attempts = if has_history { self.generator.below(3) as usize } else { 0 };
        let may_have_been_executed = attempts > 0 && self.generator.per_mille(500);
        let possible_execution =
            may_have_been_executed.then(|| (self.now - self.generator.between(1, 4 * SECOND), 1));
        self.messages.insert(
            id,
            Message {
                class,
                tenant,
                key,
                expires_at,
                destination,
                attempts,
                possible_execution,
                finished: false,
                started: false,
            },
        );
        if has_history && self.generator.per_mille(400) {
            self.add_inherited_call(id, destination);
        }
        self.submit_message(id, has_history);
    }

    /// Adds a call of a predecessor that is still in flight, if the destination has a serving endpoint.
    fn add_inherited_call(&mut self, id: u64, destination: u64) {
        let mut serving =
            self.endpoints.values().filter(|e| e.destination == destination && e.listed == Listed::Serving);
        let Some(endpoint) = serving.next().map(|endpoint| endpoint.id) else { return };
        self.last_call = None;
        self.next_call = (self.next_call / INHERITED_CALL_STEP + 1) * INHERITED_CALL_STEP;
        self.send(id, endpoint, 5 * SECOND);
        self.last_call = None;
        self.attempts.last_mut().expect("just sent").sent -= 200 * MILLISECOND;
    }

    fn call_in_flight(&self, id: u64) -> Option<(usize, CallInFlight)> {
        let attempt = self.attempts.iter().find(|attempt| attempt.id == id)?;
        Some((attempt.number, (attempt.call, attempt.endpoint, attempt.sent)))
    }

    /// Submits a message with its history.
    fn submit_message(&mut self, id: u64, accepted: bool) {
        let open = self.call_in_flight(id);
        let message = &self.messages[&id];
        let input = Input::Submit {
            id,
            class: message.class,
            tenant: message.tenant,
            key: message.key.clone(),
            expires_at: message.expires_at,
            destination: message.destination,
            accepted,
            attempts: open.map_or(message.attempts, |(number, _)| number),
            possible_execution: message.possible_execution,
            call_in_flight: open.map(|(_, call)| call),
        };
        self.handle(input);
    }

    /// A new process takes over: it gets the list, the learned state, the bans and all open messages.
    fn take_over(&mut self) {
        let successor = Subject::new(&self.scenario.profile, self.generator.next());
        let predecessor = std::mem::replace(&mut self.subject, successor);
        self.wake_at = i64::MAX;
        self.last_call = None;
        // With the removed endpoints: calls to them may still be in flight.
        let list = self.endpoints.values().copied().collect();
        self.handle(Input::ListSnapshot(list));
        self.subject.learn_from(&predecessor, self.now);
        for endpoint in self.banned.clone() {
            self.handle(Input::Ban(endpoint));
        }
        let ids: Vec<(u64, bool)> = self.messages.iter().map(|(id, m)| (*id, m.finished)).collect();
        for (id, finished) in ids {
            if !finished {
                self.submit_message(id, true);
            } else if let Some((attempt, call)) = self.call_in_flight(id) {
                self.handle(Input::InheritedAttempt(id, attempt, call));
            }
        }
    }
}
