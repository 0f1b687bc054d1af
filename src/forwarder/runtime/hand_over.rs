//! The node's part in an upgrade: it hands over to a new version, passes on to it what still comes, and takes up what an
//! older one has handed over. At any time one of them has the journal and sends.

use super::{AttemptInFlight, CallInFlight, CallOwner, Endpoint, LAST_ANSWERS, Runtime, hold};
use crate::forwarder::endpoint_client::CallCommand;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::journal::RecoveredMessage;
use crate::forwarder::messages::admin_command::{AdminCommand, AdminReply, AdminRequest};
use crate::forwarder::messages::call_report::{AttemptResult, CallReport};
use crate::forwarder::messages::client_request::{ClientReply, ClientRequest};
use crate::forwarder::messages::endpoint_list::{EndpointList, EndpointRecord, LifecycleState};
use crate::forwarder::upgrade::{
    self, AttemptRef, Frame, HandoffState, LearnedEntry, PeerChannel, PeerEvent, PeerRole,
};
use crate::interface::{EndpointId, Event, InheritedCall, LearnedState, MessageId, Micros, Outcome};
use crate::settings_reader::index;
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
pub(super) enum Successor {
    None,
    /// It has asked.
    Requested(PeerChannel),
    /// It has been told all that the journal does not hold, and the lock is free. Until it says that it owns all,
    /// nothing happens here: should it die before, all goes on.
    HandedOver {
        link: PeerChannel,
        since: Instant,
        held: Vec<RuntimeEvent>,
    },
    /// It owns all. What still comes here is passed on.
    Owner {
        link: PeerChannel,
        since: Instant,
        /// It has died since.
        gone: bool,
    },
}

/// A client or an operator that waits for what another process says.
pub(super) enum Waiting {
    Client(oneshot::Sender<ClientReply>),
    Operator(oneshot::Sender<AdminReply>),
}

impl Runtime {
    /// Once the turn is over and stands in the journal, a new version that has asked is told the rest.
    pub(super) fn hand_over(&mut self) {
        if !matches!(self.successor, Successor::Requested(_))
            || !self.journal.lock().is_flushed()
            || !self.events.is_empty()
        {
            return;
        }
        let Successor::Requested(link) = std::mem::replace(&mut self.successor, Successor::None) else {
            return;
        };
        // What is not written yet is the new version's to send: it finds it untried in the journal.
        hold(&mut self.calls, |_| true);
        link.send(Frame::Handoff(Box::new(self.rest(self.clock.now()))));
        if let Err(e) = self.lock.release() {
            return eprintln!("handover: the lock is kept: {e}");
        }
        self.endpoints.values_mut().for_each(|t| t.idle.clear());
        eprintln!(
            "handover: a new version takes over {} messages and {} calls out",
            self.messages.len(),
            self.calls.len()
        );
        self.successor = Successor::HandedOver { link, since: Instant::now(), held: Vec::new() };
    }

    /// What the journal does not hold.
    fn rest(&self, now: Micros) -> HandoffState {
        let line = |(id, t): (&EndpointId, &Endpoint)| match self.gone.contains_key(id) {
            true => EndpointRecord { state: LifecycleState::Terminated, ..t.line.clone() },
            false => t.line.clone(),
        };
        let uid = |endpoint: EndpointId| self.endpoints.get(&endpoint).map(|t| t.uid.clone());
        let mut calls: BTreeMap<u64, upgrade::InFlightCall> = BTreeMap::new();
        for ((_, attempt), out) in &self.out {
            let written = self.calls.get(&out.call).filter(|call| call.is_written());
            let Some(endpoint) = written.and_then(|call| uid(call.endpoint)) else { continue };
            let new = || upgrade::InFlightCall { endpoint, age_us: now - out.sent, attempts: Vec::new() };
            calls
                .entry(out.call)
                .or_insert_with(new)
                .attempts
                .push(AttemptRef { message: out.name.clone(), attempt: *attempt });
        }
        let learned = |l: LearnedState| LearnedEntry { endpoint: l.endpoint.and_then(uid), state: l };
        HandoffState {
            revision: self.rev.unwrap_or(0),
            endpoints: self.endpoints.iter().map(line).collect(),
            calls: calls.into_values().collect(),
            client_connections: self.places.own.load(Relaxed),
            learned: self.balancer.learned(now).into_iter().map(learned).collect(),
        }
    }

    /// Goes on from the journal, and from what an older process has told.
    pub(super) fn take_up(&mut self, now: Micros, open: Vec<RecoveredMessage>, rest: Option<HandoffState>) {
        let mut still_out = BTreeMap::new();
        if let Some(HandoffState { revision: rev, endpoints, calls, learned, .. }) = rest {
            eprintln!("handover: took over {} messages and {} calls out", open.len(), calls.len());
            self.list(now, &EndpointList { revision: rev, complete: true, endpoints, unreadable: 0 });
            for upgrade::InFlightCall { endpoint, age_us: age, attempts } in calls {
                let Some(&endpoint) = self.endpoint_ids.get(&endpoint) else { continue };
                let (call, left) = (self.next_call, attempts.len());
                self.next_call += 1;
                self.calls.insert(
                    call,
                    CallInFlight { endpoint, left, idle_for: 0, held: true, owner: CallOwner::Predecessor },
                );
                self.endpoints.get_mut(&endpoint).into_iter().for_each(|t| t.out += 1);
                let out = InheritedCall { call, endpoint, sent_at: now - age };
                still_out.extend(attempts.into_iter().map(|attempt| (attempt.into(), out)));
            }
            for LearnedEntry { endpoint: uid, state: learned } in learned {
                let endpoint = uid.as_ref().and_then(|uid| self.endpoint_ids.get(uid).copied());
                if endpoint.is_some() == learned.endpoint.is_some() {
                    let learned = LearnedState { endpoint, ..learned };
                    self.balancer.on_event(now, Event::Learned(learned), &mut self.actions);
                }
            }
        }
        let untried = open.iter().filter(|o| o.pending_notice.is_none() && o.attempts.is_empty()).count();
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
            self.out.insert((id, attempt), AttemptInFlight { sent: out.sent_at, call: out.call, name });
            self.balancer.on_event(
                now,
                Event::InheritedAttempt { id, attempt, call: out },
                &mut self.actions,
            );
        }
    }

    /// What another process says while this one owns all.
    pub(super) fn process_news(
        &mut self,
        now: Micros,
        PeerEvent { role: side, channel_id: link, frame }: PeerEvent,
    ) -> Option<MessageId> {
        match (side, frame) {
            (PeerRole::Predecessor, Some(Frame::AttemptsEnded(ends))) => self.ended_elsewhere(now, ends),
            (PeerRole::Predecessor, Some(Frame::ClientConnections(count))) => {
                self.places.predecessor.store(count, Relaxed)
            }
            (PeerRole::Predecessor, Some(Frame::ClientRequest(word, message))) => {
                return self.handed_in_elsewhere(now, word, message);
            }
            (PeerRole::Predecessor, Some(Frame::AdminCommand(word, call))) => {
                let reply = self.asked(now, call);
                self.predecessor
                    .iter()
                    .for_each(|predecessor| predecessor.send(Frame::AdminReply(word, reply.clone())));
            }
            (PeerRole::Predecessor, None) => {
                let ends = self.lost_with_older();
                eprintln!("handover: the old process has gone, with {} attempts out", ends.len());
                self.ended_elsewhere(now, ends);
                self.predecessor = None;
                self.places.predecessor.store(0, Relaxed);
            }
            (PeerRole::Successor, None) if matches!(&self.successor, Successor::Requested(asked) if asked.id == link) =>
            {
                self.successor = Successor::None;
            }
            (PeerRole::Predecessor, Some(odd)) => {
                eprintln!("handover: {}: {odd:?}", upgrade::UpgradeError::UnexpectedFrame)
            }
            // Of a channel that was given up.
            (PeerRole::Successor, _) => {}
        }
        None
    }

    /// Attempts of an older process that is no more: they may have run.
    fn lost_with_older(&self) -> Vec<upgrade::EndedAttempt> {
        let predecessor = |out: &AttemptInFlight| {
            self.calls.get(&out.call).is_some_and(|call| matches!(call.owner, CallOwner::Predecessor))
        };
        let lost = |((_, attempt), out): (&(MessageId, usize), &AttemptInFlight)| upgrade::EndedAttempt {
            message: out.name.clone(),
            attempt: *attempt,
            // It tells nothing of the target.
            outcome: Outcome::StaleConnection,
            finished: false,
            report: None,
            retry_after_us: None,
            unsent: false,
        };
        self.out.iter().filter(|(_, out)| predecessor(out)).map(lost).collect()
    }

    fn named(&self, message: &str, attempt: usize) -> Option<MessageId> {
        let mut out = self.out.iter().filter(|((_, n), out)| *n == attempt && out.name == message);
        out.next().map(|((id, _), _)| *id)
    }

    fn ended_elsewhere(&mut self, now: Micros, ends: Vec<upgrade::EndedAttempt>) {
        for upgrade::EndedAttempt {
            message,
            attempt,
            outcome,
            finished,
            report,
            retry_after_us: wait,
            unsent,
        } in ends
        {
            let Some(id) = self.named(&message, attempt) else { continue };
            let call = self.out.get(&(id, attempt)).and_then(|out| self.calls.get(&out.call));
            let Some(endpoint) = call.map(|call| call.endpoint) else { continue };
            if wait.is_some() {
                self.hold(endpoint);
            }
            let Some(to) = self.endpoints.get(&endpoint).map(|t| t.to) else { continue };
            self.ended(
                now,
                to,
                AttemptResult { id, attempt, outcome, finished, report, retry_after: wait, unsent },
            );
        }
    }

    /// A message that a client hands in at the old process, which gives it the answer.
    fn handed_in_elsewhere(
        &mut self,
        now: Micros,
        word: u64,
        message: upgrade::ForwardedRequest,
    ) -> Option<MessageId> {
        let predecessor = self.predecessor.as_ref()?.sender();
        let upgrade::ForwardedRequest { id, class, tenant, destination, key, body, remaining_ms: left } =
            message;
        let tenant = match tenant {
            Some(name) => index(&self.names.tenants, &name).map(Some),
            None => Some(None),
        };
        let read = index(&self.names.classes, &class).zip(tenant).zip(STANDARD.decode(body).ok());
        let Some(((class, tenant), body)) = read else {
            let _ = predecessor.send(Frame::ClientReply(word, ClientReply::Rejected(None)));
            return None;
        };
        let (answer, answered) = oneshot::channel();
        tokio::spawn(async move {
            let answer = answered.await.unwrap_or(ClientReply::Rejected(None));
            let _ = predecessor.send(Frame::ClientReply(word, answer));
        });
        let deadline = std::time::Instant::now() + Duration::from_millis(left);
        let body = body.into();
        self.submit(now, ClientRequest { id, class, tenant, destination, key, body, deadline, reply: answer })
    }

    /// Looks whether the new version has said that it owns all. One that has died before, or that is silent while
    /// the lock is free, owns nothing: then all goes on here.
    pub(super) fn hear_newer(&mut self) {
        let Successor::HandedOver { link, since, held } = &mut self.successor else { return };
        let (mut owned, mut gone, mut close) = (false, since.elapsed() > OWNED, false);
        held.retain(|input| match input {
            RuntimeEvent::Peer(PeerEvent { role: PeerRole::Successor, channel_id: from, frame })
                if !owned && *from == link.id =>
            {
                owned = matches!(frame, Some(Frame::Owned));
                gone |= frame.is_none();
                false
            }
            RuntimeEvent::Terminate => {
                close = true;
                true
            }
            _ => true,
        });
        if close {
            self.closing = self.closing.or(Some(Instant::now()));
        }
        let free = !owned && gone && self.lock.try_acquire().unwrap_or(false);
        if !owned && !free {
            return;
        }
        if let Successor::HandedOver { link, held, .. } =
            std::mem::replace(&mut self.successor, Successor::None)
        {
            if free {
                eprintln!("handover: the new version did not take over; going on");
                return self.own_turn(held);
            }
            self.successor = Successor::Owner { link, since: Instant::now(), gone: false };
            self.tasks.drain(..).for_each(|task| task.abort());
            self.messages.clear();
            self.ids.clear();
            self.pass_on(held);
        }
    }

    /// What comes here once the new version owns all goes there; calls that are out are made to their end.
    pub(super) fn pass_on(&mut self, batch: Vec<RuntimeEvent>) {
        if self.closing.is_some_and(|since| since.elapsed() >= LAST_ANSWERS) {
            let out: Vec<(MessageId, usize)> = self.out.keys().copied().collect();
            out.into_iter().for_each(|(id, attempt)| self.cancel(id, attempt));
        }
        // Told with each turn: the new version waits for their places.
        let mut frames = vec![Frame::ClientConnections(self.places.own.load(Relaxed))];
        for input in batch {
            match input {
                // Nobody is left to pass it on to, and nothing was done with it.
                RuntimeEvent::ClientRequest(message) if self.is_left_alone() => {
                    let _ = message.reply.send(ClientReply::Rejected(None));
                }
                RuntimeEvent::ClientRequest(message) => frames.push(self.pass_message(message)),
                RuntimeEvent::CallEnded(news) => frames.push(self.pass_ends(news)),
                RuntimeEvent::AdminRequest(AdminRequest { command: AdminCommand::Ready, reply: answer }) => {
                    let _ = answer.send(Err("a new version has taken over".to_owned()));
                }
                RuntimeEvent::AdminRequest(asked) if asked.reply.is_closed() => {}
                RuntimeEvent::AdminRequest(asked) if self.is_left_alone() => {
                    let _ = asked.reply.send(Err("the new version has gone".to_owned()));
                }
                RuntimeEvent::AdminRequest(AdminRequest { command: call, reply: answer }) => {
                    frames.push(Frame::AdminCommand(self.wait_for(Waiting::Operator(answer)), call));
                }
                RuntimeEvent::Terminate => self.closing = self.closing.or(Some(Instant::now())),
                RuntimeEvent::Peer(PeerEvent { role: PeerRole::Predecessor, frame, .. }) => {
                    let ends = match frame {
                        Some(Frame::AttemptsEnded(ends)) => ends,
                        Some(_) => Vec::new(),
                        None => self.lost_with_older(),
                    };
                    for end in &ends {
                        self.named(&end.message, end.attempt).map(|id| self.call_over(id, end.attempt));
                    }
                    frames.push(Frame::AttemptsEnded(ends));
                }
                RuntimeEvent::Peer(PeerEvent { role: PeerRole::Successor, frame, channel_id: link }) => {
                    self.newer_news(link, frame)
                }
                // It is the new version's to hear of these.
                RuntimeEvent::EndpointList(_)
                | RuntimeEvent::NoticesAcknowledged(_)
                | RuntimeEvent::TakeOverRequested(_) => {}
            }
        }
        if let Successor::Owner { link, .. } = &self.successor {
            frames.into_iter().for_each(|frame| link.send(frame));
        }
    }

    /// Whether the new version that owned all has gone.
    fn is_left_alone(&self) -> bool {
        matches!(self.successor, Successor::Owner { gone: true, .. })
    }

    fn newer_news(&mut self, from: u64, frame: Option<Frame>) {
        if !matches!(&self.successor, Successor::Owner { link, .. } if link.id == from) {
            return;
        }
        match frame {
            Some(Frame::ClientReply(word, answer)) => {
                if let Some(Waiting::Client(client)) = self.waiting.remove(&word) {
                    let _ = client.send(answer);
                }
            }
            Some(Frame::AdminReply(word, reply)) => {
                if let Some(Waiting::Operator(operator)) = self.waiting.remove(&word) {
                    let _ = operator.send(reply);
                }
            }
            Some(Frame::CancelAttempt(AttemptRef { message, attempt })) => {
                if let Some(id) = self.named(&message, attempt) {
                    self.cancel(id, attempt);
                }
            }
            Some(Frame::AbandonMessage(AttemptRef { message, attempt })) => {
                if let Some(id) = self.named(&message, attempt) {
                    self.order(id, attempt, || CallCommand::Abandon, Frame::AbandonMessage);
                }
            }
            Some(odd) => eprintln!("handover: {}: {odd:?}", upgrade::UpgradeError::UnexpectedFrame),
            None => {
                eprintln!("handover: the new version has gone");
                self.waiting.clear();
                if let Successor::Owner { gone, .. } = &mut self.successor {
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

    fn pass_message(&mut self, message: ClientRequest) -> Frame {
        let ClientRequest { id, class, tenant, destination, key, body, deadline, reply: answer } = message;
        let left = deadline.saturating_duration_since(std::time::Instant::now());
        let passed = upgrade::ForwardedRequest {
            id,
            class: self.names.classes[class].clone(),
            tenant: tenant.map(|t| self.names.tenants[t].clone()),
            destination,
            key,
            body: STANDARD.encode(&body),
            remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        Frame::ClientRequest(self.wait_for(Waiting::Client(answer)), passed)
    }

    /// The ends of a call that was made here. Its connection is closed with it: nothing more goes out here.
    fn pass_ends(&mut self, news: CallReport) -> Frame {
        let late = self.closing.is_some_and(|since| since.elapsed() >= LAST_ANSWERS);
        let mut ends = Vec::new();
        for AttemptResult { id, attempt, outcome, finished, report, retry_after: wait, unsent } in
            news.results
        {
            let Some(out) = self.call_over(id, attempt) else { continue };
            // Called off for the end of this process: that says nothing of the target.
            let outcome =
                if late && outcome == Outcome::Cancelled { Outcome::StaleConnection } else { outcome };
            let message = out.name;
            ends.push(upgrade::EndedAttempt {
                message,
                attempt,
                outcome,
                finished,
                report,
                retry_after_us: wait,
                unsent,
            });
        }
        Frame::AttemptsEnded(ends)
    }
}
