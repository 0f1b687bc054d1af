//! The node's part in an upgrade: it hands over to a new version, passes on to it what still comes, and takes up what an
//! older one has handed over. At any time one of them has the journal and sends.

use super::{CallOut, HandedIn, Input, LAST_ANSWERS, Node, Out, Target, Way, hold};
use crate::api::{Event, Learnt, MessageId, Micros, Outcome, StillOut, TargetId};
use crate::net::admin;
use crate::net::calls::{self, CallNews, Order};
use crate::net::discovery::{Line, List, State};
use crate::net::handover::{self, Frame, Link, News, Rest, Side};
use crate::net::intake::Answer;
use crate::net::journal::Open;
use crate::wire::index;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A new version that has been told all says soon that it owns it; from then on it is looked whether it holds the lock.
const OWNED: Duration = Duration::from_millis(800);
/// Once a new version has all and nothing is left to do here, SIGTERM is awaited for so long.
pub(super) const LINGER: Duration = Duration::from_secs(10);
/// What the last frames may take.
pub(super) const FLUSH: Duration = Duration::from_millis(200);

/// A new version of this program, as seen from here.
pub(super) enum Newer {
    None,
    /// It has asked.
    Asked(Link),
    /// It has been told all that the journal does not hold, and the lock is free. Until it says that it owns all,
    /// nothing happens here: should it die before, all goes on.
    Told {
        link: Link,
        since: Instant,
        held: Vec<Input>,
    },
    /// It owns all. What still comes here is passed on.
    Owns {
        link: Link,
        since: Instant,
        /// It has died since.
        gone: bool,
    },
}

/// A client or an operator that waits for what another process says.
pub(super) enum Waiting {
    Client(oneshot::Sender<Answer>),
    Operator(oneshot::Sender<admin::Reply>),
}

impl Node {
    /// Once the turn is over and stands in the journal, a new version that has asked is told the rest.
    pub(super) fn hand_over(&mut self) {
        if !matches!(self.newer, Newer::Asked(_))
            || !self.journal.get().is_settled()
            || !self.events.is_empty()
        {
            return;
        }
        let Newer::Asked(link) = std::mem::replace(&mut self.newer, Newer::None) else { return };
        // What is not written yet is the new version's to send: it finds it untried in the journal.
        hold(&mut self.calls, |_| true);
        link.say(Frame::Rest(Box::new(self.rest(self.clock.now()))));
        if let Err(e) = self.lock.free() {
            return eprintln!("handover: the lock is kept: {e}");
        }
        self.targets.values_mut().for_each(|t| t.idle.clear());
        eprintln!(
            "handover: a new version takes over {} messages and {} calls out",
            self.messages.len(),
            self.calls.len()
        );
        self.newer = Newer::Told { link, since: Instant::now(), held: Vec::new() };
    }

    /// What the journal does not hold.
    fn rest(&self, now: Micros) -> Rest {
        let line = |(id, t): (&TargetId, &Target)| match self.gone.contains_key(id) {
            true => Line { state: State::Terminated, ..t.line.clone() },
            false => t.line.clone(),
        };
        let uid = |target: TargetId| self.targets.get(&target).map(|t| t.uid.clone());
        let mut calls: BTreeMap<u64, handover::Out> = BTreeMap::new();
        for ((_, attempt), out) in &self.out {
            let written = self.calls.get(&out.call).filter(|call| call.is_written());
            let Some(target) = written.and_then(|call| uid(call.target)) else { continue };
            let new = || handover::Out { target, age: now - out.sent, attempts: Vec::new() };
            calls.entry(out.call).or_insert_with(new).attempts.push((out.name.clone(), *attempt));
        }
        let learnt = |l: Learnt| (l.target.and_then(uid), l);
        Rest {
            rev: self.rev.unwrap_or(0),
            targets: self.targets.iter().map(line).collect(),
            calls: calls.into_values().collect(),
            clients: self.places.here.load(Relaxed),
            learnt: self.balancer.learnt(now).into_iter().map(learnt).collect(),
        }
    }

    /// Goes on from the journal, and from what an older process has told.
    pub(super) fn take_up(&mut self, now: Micros, open: Vec<Open>, rest: Option<Rest>) {
        let mut still_out = BTreeMap::new();
        if let Some(Rest { rev, targets, calls, learnt, .. }) = rest {
            eprintln!("handover: took over {} messages and {} calls out", open.len(), calls.len());
            self.list(now, &List { rev, all: true, targets, unreadable: 0 });
            for handover::Out { target, age, attempts } in calls {
                let Some(&target) = self.uids.get(&target) else { continue };
                let (call, left) = (self.next_call, attempts.len());
                self.next_call += 1;
                self.calls.insert(call, CallOut { target, left, idle_for: 0, held: true, way: Way::Older });
                self.targets.get_mut(&target).into_iter().for_each(|t| t.out += 1);
                let out = StillOut { call, target, sent: now - age };
                still_out.extend(attempts.into_iter().map(|attempt| (attempt, out)));
            }
            for (uid, learnt) in learnt {
                let target = uid.as_ref().and_then(|uid| self.uids.get(uid).copied());
                if target.is_some() == learnt.target.is_some() {
                    let learnt = Learnt { target, ..learnt };
                    self.balancer.on_event(now, Event::Learnt(learnt), &mut self.actions);
                }
            }
        }
        let untried = open.iter().filter(|o| o.owed.is_none() && o.attempts.is_empty()).count();
        if !open.is_empty() {
            eprintln!("journal: {} messages open, {untried} of them untried", open.len());
        }
        for open in open {
            self.resume(now, open, &mut still_out);
        }
        // Their messages are over; their calls take slots all the same.
        for ((name, attempt), out) in still_out {
            let id = self.next_id;
            self.next_id += 1;
            self.out.insert((id, attempt), Out { sent: out.sent, call: out.call, name });
            self.balancer.on_event(now, Event::StillOut { id, attempt, out }, &mut self.actions);
        }
    }

    /// What another process says while this one owns all.
    pub(super) fn process_news(
        &mut self,
        now: Micros,
        News { side, link, frame }: News,
    ) -> Option<MessageId> {
        match (side, frame) {
            (Side::Older, Some(Frame::Ended(ends))) => self.ended_elsewhere(now, ends),
            (Side::Older, Some(Frame::Clients(count))) => self.places.older.store(count, Relaxed),
            (Side::Older, Some(Frame::HandedIn(word, message))) => {
                return self.handed_in_elsewhere(now, word, message);
            }
            (Side::Older, Some(Frame::Asked(word, call))) => {
                let reply = self.asked(now, call);
                self.older.iter().for_each(|older| older.say(Frame::Replied(word, reply.clone())));
            }
            (Side::Older, None) => {
                let ends = self.lost_with_older();
                eprintln!("handover: the old process has gone, with {} attempts out", ends.len());
                self.ended_elsewhere(now, ends);
                self.older = None;
                self.places.older.store(0, Relaxed);
            }
            (Side::Newer, None) if matches!(&self.newer, Newer::Asked(asked) if asked.id == link) => {
                self.newer = Newer::None;
            }
            (Side::Older, Some(odd)) => eprintln!("handover: {}: {odd:?}", handover::HandoverError::Odd),
            // Of a channel that was given up.
            (Side::Newer, _) => {}
        }
        None
    }

    /// Attempts of an older process that is no more: they may have run.
    fn lost_with_older(&self) -> Vec<handover::Ended> {
        let older = |out: &Out| self.calls.get(&out.call).is_some_and(|call| matches!(call.way, Way::Older));
        let lost = |((_, attempt), out): (&(MessageId, usize), &Out)| handover::Ended {
            message: out.name.clone(),
            attempt: *attempt,
            // It tells nothing of the target.
            outcome: Outcome::Dead,
            finished: false,
            report: None,
            wait: None,
            unsent: false,
        };
        self.out.iter().filter(|(_, out)| older(out)).map(lost).collect()
    }

    fn named(&self, message: &str, attempt: usize) -> Option<MessageId> {
        let mut out = self.out.iter().filter(|((_, n), out)| *n == attempt && out.name == message);
        out.next().map(|((id, _), _)| *id)
    }

    fn ended_elsewhere(&mut self, now: Micros, ends: Vec<handover::Ended>) {
        for handover::Ended { message, attempt, outcome, finished, report, wait, unsent } in ends {
            let Some(id) = self.named(&message, attempt) else { continue };
            let call = self.out.get(&(id, attempt)).and_then(|out| self.calls.get(&out.call));
            let Some(target) = call.map(|call| call.target) else { continue };
            if wait.is_some() {
                self.hold(target);
            }
            let Some(to) = self.targets.get(&target).map(|t| t.to) else { continue };
            self.ended(now, to, calls::Ended { id, attempt, outcome, finished, report, wait, unsent });
        }
    }

    /// A message that a client hands in at the old process, which gives it the answer.
    fn handed_in_elsewhere(
        &mut self,
        now: Micros,
        word: u64,
        message: handover::HandedIn,
    ) -> Option<MessageId> {
        let older = self.older.as_ref()?.sender();
        let handover::HandedIn { id, class, tenant, dest, key, body, left } = message;
        let tenant = match tenant {
            Some(name) => index(&self.names.tenants, &name).map(Some),
            None => Some(None),
        };
        let read = index(&self.names.classes, &class).zip(tenant).zip(STANDARD.decode(body).ok());
        let Some(((class, tenant), body)) = read else {
            let _ = older.send(Frame::Answered(word, Answer::Refused(None)));
            return None;
        };
        let (answer, answered) = oneshot::channel();
        tokio::spawn(async move {
            let answer = answered.await.unwrap_or(Answer::Refused(None));
            let _ = older.send(Frame::Answered(word, answer));
        });
        let deadline = std::time::Instant::now() + Duration::from_millis(left);
        let body = body.into();
        self.hand_in(now, HandedIn { id, class, tenant, dest, key, body, deadline, answer })
    }

    /// Looks whether the new version has said that it owns all. One that has died before, or that is silent while
    /// the lock is free, owns nothing: then all goes on here.
    pub(super) fn hear_newer(&mut self) {
        let Newer::Told { link, since, held } = &mut self.newer else { return };
        let (mut owned, mut gone, mut close) = (false, since.elapsed() > OWNED, false);
        held.retain(|input| match input {
            Input::Process(News { side: Side::Newer, link: from, frame }) if !owned && *from == link.id => {
                owned = matches!(frame, Some(Frame::Owned));
                gone |= frame.is_none();
                false
            }
            Input::Close => {
                close = true;
                true
            }
            _ => true,
        });
        if close {
            self.closing = self.closing.or(Some(Instant::now()));
        }
        let free = !owned && gone && self.lock.take().unwrap_or(false);
        if !owned && !free {
            return;
        }
        if let Newer::Told { link, held, .. } = std::mem::replace(&mut self.newer, Newer::None) {
            if free {
                eprintln!("handover: the new version did not take over; going on");
                return self.own_turn(held);
            }
            self.newer = Newer::Owns { link, since: Instant::now(), gone: false };
            self.tasks.drain(..).for_each(|task| task.abort());
            self.messages.clear();
            self.ids.clear();
            self.pass_on(held);
        }
    }

    /// What comes here once the new version owns all goes there; calls that are out are made to their end.
    pub(super) fn pass_on(&mut self, batch: Vec<Input>) {
        if self.closing.is_some_and(|since| since.elapsed() >= LAST_ANSWERS) {
            let out: Vec<(MessageId, usize)> = self.out.keys().copied().collect();
            out.into_iter().for_each(|(id, attempt)| self.cancel(id, attempt));
        }
        // Told with each turn: the new version waits for their places.
        let mut frames = vec![Frame::Clients(self.places.here.load(Relaxed))];
        for input in batch {
            match input {
                // Nobody is left to pass it on to, and nothing was done with it.
                Input::HandedIn(message) if self.is_left_alone() => {
                    let _ = message.answer.send(Answer::Refused(None));
                }
                Input::HandedIn(message) => frames.push(self.pass_message(message)),
                Input::Call(news) => frames.push(self.pass_ends(news)),
                Input::Asked(admin::Asked { call: admin::Call::Ready, answer }) => {
                    let _ = answer.send(Err("a new version has taken over".to_owned()));
                }
                Input::Asked(asked) if asked.answer.is_closed() => {}
                Input::Asked(asked) if self.is_left_alone() => {
                    let _ = asked.answer.send(Err("the new version has gone".to_owned()));
                }
                Input::Asked(admin::Asked { call, answer }) => {
                    frames.push(Frame::Asked(self.wait_for(Waiting::Operator(answer)), call));
                }
                Input::Close => self.closing = self.closing.or(Some(Instant::now())),
                Input::Process(News { side: Side::Older, frame, .. }) => {
                    let ends = match frame {
                        Some(Frame::Ended(ends)) => ends,
                        Some(_) => Vec::new(),
                        None => self.lost_with_older(),
                    };
                    for end in &ends {
                        self.named(&end.message, end.attempt).map(|id| self.call_over(id, end.attempt));
                    }
                    frames.push(Frame::Ended(ends));
                }
                Input::Process(News { side: Side::Newer, frame, link }) => self.newer_news(link, frame),
                // It is the new version's to hear of these.
                Input::List(_) | Input::Noticed(_) | Input::TakeOver(_) => {}
            }
        }
        if let Newer::Owns { link, .. } = &self.newer {
            frames.into_iter().for_each(|frame| link.say(frame));
        }
    }

    /// Whether the new version that owned all has gone.
    fn is_left_alone(&self) -> bool {
        matches!(self.newer, Newer::Owns { gone: true, .. })
    }

    fn newer_news(&mut self, from: u64, frame: Option<Frame>) {
        if !matches!(&self.newer, Newer::Owns { link, .. } if link.id == from) {
            return;
        }
        match frame {
            Some(Frame::Answered(word, answer)) => {
                if let Some(Waiting::Client(client)) = self.waiting.remove(&word) {
                    let _ = client.send(answer);
                }
            }
            Some(Frame::Replied(word, reply)) => {
                if let Some(Waiting::Operator(operator)) = self.waiting.remove(&word) {
                    let _ = operator.send(reply);
                }
            }
            Some(Frame::CallOff(message, attempt)) => {
                if let Some(id) = self.named(&message, attempt) {
                    self.cancel(id, attempt);
                }
            }
            Some(Frame::GiveUp(message, attempt)) => {
                if let Some(id) = self.named(&message, attempt) {
                    self.order(id, attempt, || Order::GiveUp, Frame::GiveUp);
                }
            }
            Some(odd) => eprintln!("handover: {}: {odd:?}", handover::HandoverError::Odd),
            None => {
                eprintln!("handover: the new version has gone");
                self.waiting.clear();
                if let Newer::Owns { gone, .. } = &mut self.newer {
                    *gone = true;
                }
            }
        }
    }

    fn wait_for(&mut self, waiting: Waiting) -> u64 {
        self.next_word += 1;
        self.waiting.insert(self.next_word, waiting);
        self.next_word
    }

    fn pass_message(&mut self, message: HandedIn) -> Frame {
        let HandedIn { id, class, tenant, dest, key, body, deadline, answer } = message;
        let left = deadline.saturating_duration_since(std::time::Instant::now());
        let passed = handover::HandedIn {
            id,
            class: self.names.classes[class].clone(),
            tenant: tenant.map(|t| self.names.tenants[t].clone()),
            dest,
            key,
            body: STANDARD.encode(&body),
            left: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        Frame::HandedIn(self.wait_for(Waiting::Client(answer)), passed)
    }

    /// The ends of a call that was made here. Its connection is closed with it: nothing more goes out here.
    fn pass_ends(&mut self, news: CallNews) -> Frame {
        let late = self.closing.is_some_and(|since| since.elapsed() >= LAST_ANSWERS);
        let mut ends = Vec::new();
        for calls::Ended { id, attempt, outcome, finished, report, wait, unsent } in news.ended {
            let Some(out) = self.call_over(id, attempt) else { continue };
            // Called off for the end of this process: that says nothing of the target.
            let outcome = if late && outcome == Outcome::Cancelled { Outcome::Dead } else { outcome };
            let message = out.name;
            ends.push(handover::Ended { message, attempt, outcome, finished, report, wait, unsent });
        }
        Frame::Ended(ends)
    }
}
