//! A host for the decision module that lives through a seeded, legal history: every attempt that is sent ends
//! once, alarms ring when they were asked for, and destinations go through good and bad times.

use super::calls::Plan;
use super::scenario::{Mood, Scenario};
use super::support_history::{CHECKPOINT_EVERY, Digest, Generator, Recording};
use super::translation::*;
use std::collections::{BTreeMap, BTreeSet};

const ROUND: i64 = 5 * MILLISECOND;
/// The state of the module is added to the digest once in so many turns.
const STATE_EVERY: usize = 50;
/// Numbers of calls that no call of the subject itself reaches are this far apart.
const FOREIGN_CALL_STEP: u64 = 1_000_000;
const UNLISTED_DESTINATION: u64 = 999;

struct Message {
    class: usize,
    tenant: Option<usize>,
    key: Option<String>,
    give_up_at: i64,
    destination: u64,
    attempts: usize,
    risk: Option<(i64, usize)>,
    over: bool,
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

pub struct History<'a> {
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
    moods: BTreeMap<u64, Mood>,
    next_message: u64,
    next_call: u64,
    last_call: Option<LastCall>,
    digest: Digest,
    occurred: [usize; 9],
}

impl<'a> History<'a> {
    pub fn new(scenario: &'a Scenario) -> Self {
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
            moods: scenario.destinations.iter().map(|d| (d.id, Mood::Well)).collect(),
            next_message: 0,
            next_call: 0,
            last_call: None,
            digest: Digest::new(),
            occurred: [0; 9],
        }
    }

    /// Lives through the whole history.
    pub fn run(mut self) -> Recording {
        let mut checkpoints = Vec::new();
        let list = self.whole_list();
        self.hand_in(Input::WholeList(list));
        for turn in 1..=self.scenario.turns {
            self.turn(turn);
            if turn % STATE_EVERY == 0 {
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
            self.hand_in(Input::Wake);
        }
        self.end_attempts();
        let every = self.scenario.take_over_every;
        if every > 0 && turn.is_multiple_of(every) {
            self.take_over();
        }
        self.change_moods();
        self.change_list();
        self.operate();
        self.disturb_clients();
        self.submit_messages();
        self.hand_in(Input::TurnEnd);
        self.last_call = None;
        let open: BTreeSet<u64> = self.attempts.iter().map(|attempt| attempt.id).collect();
        self.messages.retain(|id, message| !message.over || open.contains(id));
    }

    fn pass_time(&mut self) {
        let long = self.generator.per_mille(8);
        let most = if long { 5 * SECOND } else { 200 * MILLISECOND };
        let planned = self.now + self.generator.between(0, most);
        let next = planned.min(self.wake_at).max(self.now + 1);
        self.now = (next + ROUND - 1) / ROUND * ROUND;
    }

    fn hand_in(&mut self, input: Input) {
        for decision in self.subject.hand_in(self.now, input) {
            encode_decision(self.now, &decision, &mut self.digest);
            self.occurred[tag(&decision)] += 1;
            self.carry_out(decision);
        }
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Send { id, endpoint, timeout, .. } => self.send(id, endpoint, timeout),
            Decision::Refuse { id, .. } | Decision::Fail { id } => self.finish(id),
            Decision::Cancel { id, attempt } => self.cancel(id, attempt),
            Decision::Wake { at } => self.wake_at = self.wake_at.min(at),
            Decision::Close { .. } | Decision::Subscribe | Decision::Admit(_) => {}
        }
    }

    fn finish(&mut self, id: u64) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.over = true;
        }
    }

    /// Starts an attempt. Those of one turn to one endpoint mostly end alike, as parts of one call.
    fn send(&mut self, id: u64, endpoint: u64, timeout: i64) {
        let place = self.endpoints[&endpoint];
        let batch = if place.kind == BATCHED { BATCH } else { 1 };
        let joins = self.last_call.as_ref().is_some_and(|c| c.endpoint == endpoint && c.messages < batch);
        if !joins {
            let (number, plan) =
                (self.next_call, Plan::draw(&mut self.generator, self.moods[&place.destination], timeout));
            self.next_call += 1;
            self.last_call = Some(LastCall { number, endpoint, messages: 0, plan });
        }
        let apart = self.generator.per_mille(30);
        let call = self.last_call.as_mut().expect("just set");
        call.messages += 1;
        let (number, plan) = (call.number, call.plan);
        let message = self.messages.get_mut(&id).expect("only held messages are sent");
        let attempt = message.attempts;
        message.attempts += 1;
        self.attempts.push(Attempt {
            id,
            number: attempt,
            call: number,
            endpoint,
            sent: self.now,
            ends_at: self.now + plan.duration,
            ending: if apart { Ending::Error } else { plan.ending },
            report: plan.report,
            wait: plan.wait,
            unsent: plan.unsent,
        });
    }

    fn cancel(&mut self, id: u64, number: usize) {
        let late = self.generator.between(0, 50 * MILLISECOND);
        let called_off = self.generator.per_mille(900);
        for attempt in self.attempts.iter_mut().filter(|a| a.id == id && a.number == number) {
            attempt.ends_at = attempt.ends_at.min(self.now + late);
            attempt.ending = if called_off { Ending::Cancelled } else { attempt.ending };
        }
    }

    fn end_attempts(&mut self) {
        let open = std::mem::take(&mut self.attempts);
        let (mut due, open): (Vec<_>, Vec<_>) = open.into_iter().partition(|a| a.ends_at <= self.now);
        self.attempts = open;
        due.sort_by_key(|a| (a.ends_at, a.call, a.number, a.id));
        due.into_iter().for_each(|attempt| self.end(attempt));
    }

    fn end(&mut self, a: Attempt) {
        let never_ran = matches!(a.ending, Ending::Full(_) | Ending::ConnectFailed | Ending::NotSent);
        let zone = self.endpoints[&a.endpoint].zone;
        let message = self.messages.get_mut(&a.id).expect("kept while an attempt is open");
        message.over |= message.started || a.ending == Ending::Delivered;
        if !never_ran && message.risk.is_none() {
            message.risk = Some((a.sent, zone));
        }
        let finished = message.over;
        self.hand_in(Input::Ended {
            id: a.id,
            attempt: a.number,
            ending: a.ending,
            elapsed: self.now - a.sent,
            finished,
            report: a.report,
            unsent: a.unsent,
            wait: a.wait,
        });
    }

    fn change_moods(&mut self) {
        for destination in self.scenario.destinations {
            if self.generator.per_mille(self.scenario.rates.mood) {
                self.moods.insert(destination.id, self.generator.pick(self.scenario.moods));
            }
        }
    }

    /// Endpoints as a whole list names them: those that are gone are missing.
    fn whole_list(&self) -> Vec<Endpoint> {
        self.endpoints.values().filter(|endpoint| endpoint.listed != Listed::Deleted).copied().collect()
    }

    fn change_list(&mut self) {
        if self.generator.per_mille(self.scenario.rates.list_broken) {
            self.hand_in(Input::ListBroken);
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
        let whole = self.generator.per_mille(300);
        let input = if whole { Input::WholeList(self.whole_list()) } else { Input::ListChanges(changed) };
        self.hand_in(input);
    }

    fn any_endpoint(&mut self) -> u64 {
        let ids: Vec<u64> = self.endpoints.keys().copied().collect();
        self.generator.pick(&ids)
    }

    /// What operators do.
    fn operate(&mut self) {
        if self.generator.per_mille(self.scenario.rates.ban) {
            let endpoint = self.any_endpoint();
            if self.banned.insert(endpoint) {
                self.hand_in(Input::Ban(endpoint));
            }
        }
        if self.generator.per_mille(self.scenario.rates.ban_end)
            && let Some(endpoint) = self.banned.pop_first()
        {
            self.hand_in(Input::BanEnded(endpoint));
        }
        if self.generator.per_mille(self.scenario.rates.drain) {
            self.draining = !self.draining;
            self.hand_in(if self.draining { Input::Drain } else { Input::Resume });
        }
    }

    /// Clients leave, and streamed answers begin.
    fn disturb_clients(&mut self) {
        let open: Vec<u64> = self.messages.iter().filter(|(_, m)| !m.over).map(|(id, _)| *id).collect();
        if !open.is_empty() && self.generator.per_mille(self.scenario.rates.client_left) {
            let id = self.generator.pick(&open);
            self.finish(id);
            self.hand_in(Input::ClientLeft(id));
        }
        let streams: Vec<u64> = self.attempts.iter().map(|a| a.id).filter(|id| open.contains(id)).collect();
        if !streams.is_empty() && self.generator.per_mille(self.scenario.rates.started) {
            let id = self.generator.pick(&streams);
            if let Some(message) = self.messages.get_mut(&id).filter(|message| !message.over) {
                message.started = true;
                self.hand_in(Input::Started(id));
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
        let ordered = matches!(class, SAFE_ORDERED | UNSAFE_ORDERED);
        let key = ordered.then(|| format!("key{}", self.generator.below(6)));
        let tenant = self.scenario.tenants.then(|| self.generator.below(TENANTS) as usize);
        let patience = self.generator.pick(&[12 * SECOND, 12 * SECOND, 6 * SECOND, SECOND]);
        let give_up_at = self.now + patience;
        let has_past = self.generator.per_mille(self.scenario.rates.past) && destination == listed;
        let attempts = if has_past { self.generator.below(3) as usize } else { 0 };
        let risky = attempts > 0 && self.generator.per_mille(500);
        let risk = risky.then(|| (self.now - self.generator.between(1, 4 * SECOND), 1));
        self.messages.insert(
            id,
            Message {
                class,
                tenant,
                key,
                give_up_at,
                destination,
                attempts,
                risk,
                over: false,
                started: false,
            },
        );
        if has_past && self.generator.per_mille(400) {
            self.open_foreign_call(id, destination);
        }
        self.hand_in_message(id, has_past);
    }

    /// Adds an open attempt of an earlier process, where the destination has a serving endpoint.
    fn open_foreign_call(&mut self, id: u64, destination: u64) {
        let mut serving =
            self.endpoints.values().filter(|e| e.destination == destination && e.listed == Listed::Serving);
        let Some(endpoint) = serving.next().map(|endpoint| endpoint.id) else { return };
        self.last_call = None;
        self.next_call = (self.next_call / FOREIGN_CALL_STEP + 1) * FOREIGN_CALL_STEP;
        self.send(id, endpoint, 5 * SECOND);
        self.last_call = None;
        self.attempts.last_mut().expect("just sent").sent -= 200 * MILLISECOND;
    }

    fn open_call(&self, id: u64) -> Option<(usize, OpenCall)> {
        let attempt = self.attempts.iter().find(|attempt| attempt.id == id)?;
        Some((attempt.number, (attempt.call, attempt.endpoint, attempt.sent)))
    }

    /// Hands in a message with what became of it so far.
    fn hand_in_message(&mut self, id: u64, taken_on: bool) {
        let open = self.open_call(id);
        let message = &self.messages[&id];
        let input = Input::Submit {
            id,
            class: message.class,
            tenant: message.tenant,
            key: message.key.clone(),
            give_up_at: message.give_up_at,
            destination: message.destination,
            taken_on,
            attempts: open.map_or(message.attempts, |(number, _)| number),
            risk: message.risk,
            open_call: open.map(|(_, call)| call),
        };
        self.hand_in(input);
    }

    /// A new process takes over: it is given the list, what was learnt, the bans and all that is open.
    fn take_over(&mut self) {
        let fresh = Subject::new(&self.scenario.profile, self.generator.next());
        let earlier = std::mem::replace(&mut self.subject, fresh);
        self.wake_at = i64::MAX;
        self.last_call = None;
        // With those that are gone: calls may still be out there.
        let list = self.endpoints.values().copied().collect();
        self.hand_in(Input::WholeList(list));
        self.subject.learn_from(&earlier, self.now);
        for endpoint in self.banned.clone() {
            self.hand_in(Input::Ban(endpoint));
        }
        let ids: Vec<(u64, bool)> = self.messages.iter().map(|(id, m)| (*id, m.over)).collect();
        for (id, over) in ids {
            if !over {
                self.hand_in_message(id, true);
            } else if let Some((attempt, call)) = self.open_call(id) {
                self.hand_in(Input::StillOut(id, attempt, call));
            }
        }
    }
}
