//! The one owner of the decision module, its clock and the messages. It carries out what the module decides
//! and reports what came of it; it decides nothing itself.

mod hand_over;

use crate::decision::Balancer;
use crate::forwarder::clock::unix_now;
use crate::forwarder::configuration::Config;
use crate::forwarder::endpoint_client::idle_age::IdleAgeStatistics;
use crate::forwarder::endpoint_client::{self, CallCommand, CallItem, OutboundCall, WriteGuard};
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::http::Connection;
use crate::forwarder::journal::{
    AcceptedMessage, FinalOutcome, Journal, JournalError, Record, RecoveredAttempt, RecoveredMessage,
    SharedJournal,
};
use crate::forwarder::messages::admin_command::{AdminCommand, AdminReply, AdminRequest};
use crate::forwarder::messages::call_report::{AttemptResult, CallReport};
use crate::forwarder::messages::client_request::{ClientReply, ClientRequest};
use crate::forwarder::messages::endpoint_list::{EndpointList, EndpointRecord, LifecycleState};
use crate::forwarder::messages::notice::{Notice, NoticeOutcome};
use crate::forwarder::metrics::{DropReason, IntervalMetrics};
use crate::forwarder::server::{ConnectionCounts, LifecyclePhase};
use crate::forwarder::upgrade::{self, AttemptRef, Frame, HandoffState, Ownership, PeerChannel, StateLock};
use crate::interface::{
    Action, AttemptEnded, DestinationId, EndpointEntry, EndpointId, EndpointState, Event, Idempotency,
    InheritedCall, MessageHistory, MessageId, Micros, Outcome, PossibleExecution, Settings, Submission,
};
use crate::settings_reader::{SettingNames, index};
use hand_over::{FLUSH, LINGER, Successor, Waiting};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep_until};

/// After SIGTERM new clients go on coming for so long;
const SERVE: Duration = Duration::from_millis(400);
/// no call starts that could still be out at the end, where it would have to be taken for one that ran;
const START_CALLS: Duration = Duration::from_millis(1500);
/// and the process has ended before it is killed.
const LAST_ANSWERS: Duration = Duration::from_millis(3200);
const EXIT: Duration = Duration::from_millis(3500);
/// How often the end is looked for.
const CLOSING_STEP: Duration = Duration::from_millis(20);
/// An idle connection is given up this part of `idleClose` early: a request must not cross its closing.
const IDLE_MARGIN: u32 = 8;
/// A target that the list has lost keeps its number for so long (microseconds): listed again, it is the same.
const GONE_KEPT: Micros = 30_000_000;
/// Before anything that is still worth sending (microseconds).
const LONG_AGO: Micros = 1 << 55;
/// Clients that may wait for the answer to one message.
const SAME_MOST: usize = 4;
/// Ids of endpoints that the list no longer holds and that operators may still name.
const NAMES_KEPT: usize = 1024;
/// Notices in one request.
const NOTICES_MOST: usize = 64;

/// The module's clock: monotonic, and tied to Unix time only where a moment crosses a restart.
struct Clock {
    start: Instant,
}

impl Clock {
    fn now(&self) -> Micros {
        self.micros(Instant::now())
    }

    fn micros(&self, at: Instant) -> Micros {
        i64::try_from(at.saturating_duration_since(self.start).as_micros()).unwrap_or(Micros::MAX)
    }

    fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(u64::try_from(at).unwrap_or(0))
    }
}

struct Message {
    taken: AcceptedMessage,
    expires_at: Micros,
    attempts: usize,
    /// Clients that wait for the answer; none once the message is taken on. A client that sends a request
    /// once more on a new connection may meet itself: both must hear the same.
    clients: Vec<oneshot::Sender<ClientReply>>,
    accepted: bool,
    /// It was found untried at the start.
    untried: bool,
}

impl Message {
    /// Tells whoever waits. False if nobody heard it.
    fn answer(&mut self, answer: ClientReply) -> bool {
        self.clients.drain(..).map(|client| client.send(answer)).filter(Result::is_ok).count() > 0
    }
}

struct Endpoint {
    /// What the list said last.
    line: EndpointRecord,
    uid: String,
    destination: DestinationId,
    to: SocketAddr,
    zone: String,
    batch: usize,
    /// Calls that are out.
    out: usize,
    idle: Vec<(Instant, Connection)>,
    idle_ages: IdleAgeStatistics,
}

/// An attempt that is out.
struct AttemptInFlight {
    sent: Micros,
    call: u64,
    /// Its message, which may be over.
    name: String,
}

/// A call that is out.
struct CallInFlight {
    endpoint: EndpointId,
    /// Attempts of it that have not ended.
    left: usize,
    /// How long its connection had stood idle before.
    idle_for: Micros,
    /// It has been told that nothing more is to be written.
    held: bool,
    owner: CallOwner,
}

/// Where a call is made.
enum CallOwner {
    ThisProcess(Sender<CallCommand>, Arc<WriteGuard>),
    /// By the process before this one.
    Predecessor,
}

impl CallInFlight {
    /// Whether something of it may have been written.
    fn is_written(&self) -> bool {
        match &self.owner {
            CallOwner::ThisProcess(_, guard) => guard.is_begun(),
            CallOwner::Predecessor => true,
        }
    }

    /// Says something to a call that is made here.
    fn order(&self, order: CallCommand) {
        if let CallOwner::ThisProcess(commands, guard) = &self.owner {
            if !matches!(order, CallCommand::Cancel(..)) {
                // At once: its connection may come up before it hears of this.
                guard.withhold();
            }
            // Closed: its outcome is on its way.
            let _ = commands.try_send(order);
        }
    }
}

/// What the node needs to speak to the rest of the program.
pub(crate) struct RuntimeChannels {
    /// Connections to targets that may stand idle.
    pub(crate) idle_most: usize,
    pub(crate) notices: Sender<Vec<Notice>>,
    pub(crate) inputs: Sender<RuntimeEvent>,
    pub(crate) places: Arc<ConnectionCounts>,
}

struct PlannedSend {
    id: MessageId,
    attempt: usize,
    endpoint: EndpointId,
    until: Micros,
    /// Not written after this.
    latest: Micros,
}

/// Once for each call: its orders have room for one hold.
fn hold(calls: &mut HashMap<u64, CallInFlight>, of: impl Fn(&CallInFlight) -> bool) {
    for call in calls.values_mut().filter(|call| !call.held && of(call)) {
        call.held = true;
        call.order(CallCommand::WithholdWrite);
    }
}

/// The time for which a connection may stand idle, no longer than these ages tell.
fn bounded(limit: Duration, idle_ages: &IdleAgeStatistics, now: Micros) -> Duration {
    idle_ages.max_usable_age(now).map_or(limit, |age| limit.min(Duration::from_micros(age.unsigned_abs())))
}

/// Everything the forwarder knows.
pub(crate) struct Runtime {
    settings: Settings,
    names: SettingNames,
    balancer: Balancer,
    clock: Clock,
    journal: SharedJournal,
    messages: HashMap<MessageId, Message>,
    ids: HashMap<String, MessageId>,
    next_id: MessageId,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    endpoint_ids: HashMap<String, EndpointId>,
    /// Never used twice, so that a target that comes later inherits nothing of one that is forgotten.
    next_target: EndpointId,
    /// Targets that the list no longer holds, and since when.
    gone: BTreeMap<EndpointId, Micros>,
    /// Connections without a call, over all targets.
    idle: usize,
    /// Of those to all targets: what forgets them may stand close to this forwarder.
    idle_ages: IdleAgeStatistics,
    out: HashMap<(MessageId, usize), AttemptInFlight>,
    calls: HashMap<u64, CallInFlight>,
    next_call: u64,
    idle_most: usize,
    owed: Vec<Notice>,
    notices: Sender<Vec<Notice>>,
    inputs: Sender<RuntimeEvent>,
    actions: Vec<Action>,
    /// What came of the last turn's actions themselves.
    events: Vec<Event>,
    wake: Option<Micros>,
    closing: Option<Instant>,
    /// The module wants clients to come.
    admits: bool,
    /// Ids that were listed once, for operators who name one; the oldest go first.
    once_listed: VecDeque<String>,
    /// Version of the list, where there is one.
    rev: Option<u64>,
    lock: StateLock,
    /// The process before this one, while it has calls out.
    predecessor: Option<PeerChannel>,
    places: Arc<ConnectionCounts>,
    successor: Successor,
    /// Who waits for a word of the new version.
    waiting: HashMap<u64, Waiting>,
    next_word: u64,
    /// Ends when this process owns nothing any more.
    tasks: Vec<AbortHandle>,
    metrics: IntervalMetrics,
}

impl Runtime {
    /// Replays the journal and hands every open message back to the module, with what an older process that lives
    /// has handed over.
    pub(crate) async fn start(
        config: &Config,
        to: RuntimeChannels,
        begin: Ownership,
    ) -> Result<Self, JournalError> {
        let RuntimeChannels { idle_most, notices, inputs, places } = to;
        // A little is left for the rounding of file sizes.
        let limit = (config.limits.disk_mb * 0.95e6) as u64;
        let (journal, open) = Journal::open(&config.state, limit, unix_now())?;
        let predecessor = match begin.predecessor {
            Some(predecessor) => predecessor.confirm_ownership(inputs.clone()).await,
            None => Err(upgrade::UpgradeError::Closed),
        };
        // It died when it had handed over: its calls ended with it, and the journal knows of them.
        let (rest, predecessor) = predecessor.map_or((None, None), |(rest, link)| (Some(rest), Some(link)));
        places
            .predecessor
            .store(rest.as_ref().map_or(0, |rest: &HandoffState| rest.client_connections), Relaxed);
        let mut node = Runtime {
            settings: config.settings.clone(),
            names: config.names.clone(),
            balancer: Balancer::new(config.settings.clone(), config.seed),
            clock: Clock { start: Instant::now() },
            journal: SharedJournal::new(journal),
            messages: HashMap::new(),
            ids: HashMap::new(),
            next_id: 0,
            endpoints: BTreeMap::new(),
            endpoint_ids: HashMap::new(),
            next_target: 0,
            idle: 0,
            idle_ages: IdleAgeStatistics::default(),
            gone: BTreeMap::new(),
            out: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            idle_most,
            owed: Vec::new(),
            notices,
            inputs,
            actions: Vec::new(),
            events: Vec::new(),
            wake: None,
            closing: None,
            admits: true,
            once_listed: VecDeque::new(),
            rev: None,
            lock: begin.lock,
            predecessor,
            places,
            successor: Successor::None,
            waiting: HashMap::new(),
            next_word: 0,
            tasks: Vec::new(),
            metrics: IntervalMetrics::new(),
        };
        let now = node.clock.now();
        config.known.iter().for_each(|known| node.list(now, known));
        node.take_up(now, open, rest);
        node.finish_turn(now, Vec::new());
        Ok(node)
    }

    /// Takes turns until the process is to end. Turns are at least a round apart, as in the simulator.
    pub(crate) async fn run(
        mut self,
        mut inputs: Receiver<RuntimeEvent>,
        phase: watch::Sender<LifecyclePhase>,
        intake: JoinHandle<()>,
    ) {
        let round = Duration::from_micros(self.settings.min_turn_interval.max(1000) as u64);
        let mut last = Instant::now();
        loop {
            let mut batch = Vec::new();
            tokio::select! {
                Some(input) = inputs.recv() => batch.push(input),
                () = sleep_until(self.next_turn()) => {}
            }
            sleep_until(last + round).await;
            while let Ok(input) = inputs.try_recv() {
                batch.push(input);
            }
            last = Instant::now();
            self.turn(batch);
            self.hand_over();
            let now = self.phase();
            phase.send_if_modified(|p| std::mem::replace(p, now) != now);
            if self.is_over(intake.is_finished()) {
                intake.abort();
                if let Successor::Owner { link, .. } = self.successor {
                    link.flush(FLUSH).await;
                }
                return;
            }
        }
    }

    /// Whether the process may end; `intake`: no client is left.
    fn is_over(&self, intake: bool) -> bool {
        let late = self.closing.is_some_and(|since| since.elapsed() > EXIT);
        let done = match &self.successor {
            Successor::Owner { since, .. } => {
                let nothing = intake && self.calls.is_empty() && self.waiting.is_empty();
                nothing && (self.closing.is_some() || since.elapsed() > LINGER)
            }
            _ => self.closing.is_some() && intake && self.journal.lock().is_flushed(),
        };
        late || done
    }

    /// The version of the list, where there is one.
    pub(crate) fn rev(&self) -> Option<u64> {
        self.rev
    }

    /// Ends this task once a new version owns all.
    pub(crate) fn ends_with_it(&mut self, task: AbortHandle) {
        self.tasks.push(task);
    }

    fn phase(&self) -> LifecyclePhase {
        match self.successor {
            Successor::HandedOver { .. } => return LifecyclePhase::HandingOver,
            Successor::Owner { .. } => return LifecyclePhase::Stopped,
            Successor::None | Successor::Requested(_) => {}
        }
        match self.closing.map(|since| since.elapsed()) {
            Some(age) if self.may_shut(age) => LifecyclePhase::Stopped,
            Some(_) => LifecyclePhase::Closing,
            None if self.admits => LifecyclePhase::Serving,
            None => LifecyclePhase::Draining,
        }
    }

    fn may_shut(&self, age: Duration) -> bool {
        age >= LAST_ANSWERS
            || (age >= SERVE && self.out.is_empty() && (age >= START_CALLS || self.messages.is_empty()))
    }

    fn next_turn(&self) -> Instant {
        let now = Instant::now();
        let soon = self.closing.is_some() || !matches!(self.successor, Successor::None);
        let far = now + if soon { CLOSING_STEP } else { Duration::from_secs(1) };
        if matches!(self.successor, Successor::HandedOver { .. } | Successor::Owner { .. }) {
            return far;
        }
        if !self.events.is_empty() {
            return now;
        }
        self.wake.map_or(far, |at| self.clock.instant(at).min(far))
    }

    fn turn(&mut self, batch: Vec<RuntimeEvent>) {
        match &mut self.successor {
            Successor::HandedOver { held, .. } => held.extend(batch),
            Successor::Owner { .. } => return self.pass_on(batch),
            Successor::None | Successor::Requested(_) => return self.own_turn(batch),
        }
        self.hear_newer();
    }

    fn own_turn(&mut self, batch: Vec<RuntimeEvent>) {
        let now = self.clock.now();
        for event in std::mem::take(&mut self.events) {
            self.balancer.on_event(now, event, &mut self.actions);
        }
        let mut fresh = Vec::new();
        for input in batch {
            match input {
                RuntimeEvent::ClientRequest(message) => fresh.extend(self.submit(now, message)),
                RuntimeEvent::CallEnded(news) => self.call_news(now, news),
                RuntimeEvent::EndpointList(list) => self.list(now, &list),
                RuntimeEvent::NoticesAcknowledged(batch) => self.noticed(batch),
                // Nobody waits any more: what was not answered in time is not done.
                RuntimeEvent::AdminRequest(asked) if asked.reply.is_closed() => {}
                RuntimeEvent::AdminRequest(AdminRequest { command: call, reply: answer }) => {
                    let reply = self.asked(now, call);
                    // A caller that has left needs no answer.
                    let _ = answer.send(reply);
                }
                RuntimeEvent::Terminate => self.closing = self.closing.or(Some(Instant::now())),
                // Of two that ask, one has to ask again.
                RuntimeEvent::TakeOverRequested(link) if matches!(self.successor, Successor::None) => {
                    self.successor = Successor::Requested(link)
                }
                RuntimeEvent::TakeOverRequested(_) => {}
                RuntimeEvent::Peer(news) => fresh.extend(self.process_news(now, news)),
            }
        }
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.balancer.on_event(now, Event::Wake, &mut self.actions);
        }
        self.finish_turn(now, fresh);
    }

    /// Lets the module decide, and carries that out: final answers, journal, acceptance, calls, notices.
    fn finish_turn(&mut self, now: Micros, fresh: Vec<MessageId>) {
        // Sends are decided at the end of a turn: without it, none start.
        if self.closing.is_none_or(|since| since.elapsed() < START_CALLS) {
            self.balancer.on_event(now, Event::TurnEnd, &mut self.actions);
        }
        let mut sends = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { id, endpoint, timeout, send_before: latest } => {
                    sends.extend(self.prepare(now, id, endpoint, timeout, latest));
                }
                Action::Reject { id, retry_after: wait } => {
                    self.give_up(id, FinalOutcome::Rejected, Some(wait).filter(|w| *w > 0));
                }
                Action::Fail { id } => self.give_up(id, FinalOutcome::Failed, None),
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::CloseIdleConnections { endpoint } => {
                    self.endpoints.get_mut(&endpoint).into_iter().for_each(|t| t.idle.clear());
                }
                Action::Wake { at } => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
                // The list is watched all the time.
                Action::Subscribe => {}
                Action::AcceptClients(admits) => self.admits = admits,
            }
        }
        self.commit(now, fresh, sends);
        self.pass_on_notices();
        if let Some(counts) = self.metrics.take_if_due() {
            let (held, out, idle) = (self.messages.len(), self.calls.len(), self.idle);
            eprintln!("node: {held} held, {out} calls out, {idle} connections idle; {counts}");
            for b in self.balancer.backlog(now) {
                eprintln!(
                    "node: destination {}: {} wait, {} endpoints, {} calls out, degraded {}, outage {}, rate {:.1?}, ready in {} ms, \
                     waits {} ms",
                    b.destination,
                    b.messages,
                    b.endpoints,
                    b.calls,
                    b.degraded,
                    b.outage,
                    b.rate,
                    b.ready_in / 1000,
                    b.retry_after / 1000
                );
            }
        }
        let limit = self.idle_limit(now);
        self.idle = 0;
        for endpoint in self.endpoints.values_mut() {
            let limit = bounded(limit, &endpoint.idle_ages, now);
            endpoint.idle.retain(|(since, c)| c.is_open() && since.elapsed() < limit);
            self.idle += endpoint.idle.len();
        }
    }

    fn idle_limit(&self, now: Micros) -> Duration {
        let limit = Duration::from_micros(self.settings.idle_timeout.max(0) as u64);
        bounded(limit - limit / IDLE_MARGIN, &self.idle_ages, now)
    }

    // ---- Intake ----

    /// Gives a message to the module, unless its end is known or the forwarder holds all that it may.
    fn submit(&mut self, now: Micros, message: ClientRequest) -> Option<MessageId> {
        let ClientRequest { id: name, class, tenant, destination, key, body, deadline, reply: answer } =
            message;
        if let Some(open) = self.ids.get(&name).and_then(|id| self.messages.get_mut(id))
            && !open.accepted
        {
            // Guards the memory: any number of clients may name the same message.
            if open.clients.len() < SAME_MOST {
                open.clients.push(answer);
            } else {
                let _ = answer.send(ClientReply::Rejected(None));
            }
            return None;
        }
        let end = self.journal.lock().final_outcome(&name);
        let known = match end {
            Some((FinalOutcome::Delivered, _)) => Some(ClientReply::Delivered),
            Some((FinalOutcome::Failed, _)) => Some(ClientReply::Failed),
            Some((FinalOutcome::Rejected, _)) => Some(ClientReply::Rejected(None)),
            None if self.ids.contains_key(&name) => Some(ClientReply::Accepted),
            None if self.messages.len() >= self.settings.max_open_messages => {
                Some(ClientReply::Rejected(None))
            }
            None => None,
        };
        if let Some(known) = known {
            if matches!(known, ClientReply::Rejected(_)) {
                self.metrics.record_dropped(DropReason::TooManyOpenMessages);
            }
            // A client that has left needs no answer.
            let _ = answer.send(known);
            return None;
        }
        let expires_at = self.clock.micros(deadline.into());
        let left = u64::try_from((expires_at - now) / 1000).unwrap_or(0);
        let taken = AcceptedMessage {
            id: name,
            class: self.names.classes[class].clone(),
            tenant: tenant.map(|t| self.names.tenants[t].clone()),
            destination,
            key,
            deadline_unix_ms: unix_now() + left,
            body,
        };
        let message = Message {
            taken,
            expires_at,
            attempts: 0,
            clients: vec![answer],
            accepted: false,
            untried: false,
        };
        Some(self.track_message(now, message, class, tenant, MessageHistory::default()))
    }

    fn track_message(
        &mut self,
        now: Micros,
        message: Message,
        class: usize,
        tenant: Option<usize>,
        history: MessageHistory,
    ) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        let (destination, expires_at) = (message.taken.destination, message.expires_at);
        self.ids.insert(message.taken.id.clone(), id);
        self.messages.insert(id, message);
        let submit = Submission { id, class, tenant, key: None, expires_at, destination, history };
        self.balancer.on_event(now, Event::Submit(submit), &mut self.actions);
        id
    }

    /// Takes up a message of an earlier process.
    fn resume(
        &mut self,
        now: Micros,
        open: RecoveredMessage,
        still_out: &mut BTreeMap<(String, usize), InheritedCall>,
    ) {
        let RecoveredMessage { message: taken, attempts, pending_notice: owed, in_doubt } = open;
        if let Some(end) = owed {
            return self.owed.push(Notice { message: taken.id, outcome: end });
        }
        let unix = unix_now();
        let ago = |then: u64| (then as i64 - unix as i64).saturating_mul(1000);
        let zones = &self.names.zones;
        // When a lost attempt was made nobody knows: too long ago for any key to be remembered.
        let lost = in_doubt.then_some(PossibleExecution { sent_at: -LONG_AGO, zone: usize::MAX });
        let risk_of = |of: usize| {
            let first = attempts[..of].iter().find(|a| a.may_have_executed);
            let zone = |a: &RecoveredAttempt| index(zones, &a.zone).unwrap_or(usize::MAX);
            lost.or_else(|| {
                first.map(|a| PossibleExecution {
                    sent_at: now.saturating_add(ago(a.sent_at_unix_ms)),
                    zone: zone(a),
                })
            })
        };
        let possible_execution = risk_of(attempts.len());
        let history =
            MessageHistory { accepted: true, attempts: attempts.len(), possible_execution, in_flight: None };
        let class = index(&self.names.classes, &taken.class);
        let tenant = taken.tenant.as_ref().and_then(|t| index(&self.names.tenants, t));
        let expires_at = now.saturating_add(ago(taken.deadline_unix_ms));
        let untried = history.attempts == 0 && !in_doubt;
        // The last attempt may be out yet.
        let last = history.attempts.checked_sub(1);
        let out = last.and_then(|last| still_out.remove(&(taken.id.clone(), last)));
        let attempts = history.attempts;
        let history = match out {
            // What it may have done is told when it ends.
            Some(_) => MessageHistory {
                attempts: attempts - 1,
                possible_execution: risk_of(attempts - 1),
                in_flight: out,
                ..history
            },
            None => history,
        };
        let name = taken.id.clone();
        let message = Message { taken, expires_at, attempts, clients: Vec::new(), accepted: true, untried };
        match class {
            Some(class) => {
                let id = self.track_message(now, message, class, tenant, history);
                if let Some(InheritedCall { call, sent_at: sent, .. }) = out {
                    self.out.insert((id, history.attempts), AttemptInFlight { sent, call, name });
                }
            }
            // The settings know its class no longer: nothing may be promised about its effect.
            None => {
                let id = self.next_id;
                self.next_id += 1;
                self.ids.insert(message.taken.id.clone(), id);
                self.messages.insert(id, message);
                self.give_up(id, FinalOutcome::Failed, None);
            }
        }
    }

    /// The module's final answer: to the client while it waits, else by a notice.
    fn give_up(&mut self, id: MessageId, end: FinalOutcome, wait: Option<Micros>) {
        let Some(mut message) = self.messages.remove(&id) else { return };
        if let Some(last) = message.attempts.checked_sub(1) {
            self.order(id, last, || CallCommand::Abandon, Frame::AbandonMessage);
        }
        self.metrics.record_dropped(if end == FinalOutcome::Rejected {
            DropReason::Rejected
        } else {
            DropReason::Failed
        });
        if message.untried && message.attempts == 0 {
            self.metrics.record_dropped(DropReason::NeverAttempted);
        }
        self.ids.remove(&message.taken.id);
        let wait = wait.and_then(|w| u64::try_from(w).ok());
        if !message.accepted {
            // A client that has left needs no answer.
            message.answer(match end {
                FinalOutcome::Rejected => ClientReply::Rejected(wait.map(Duration::from_micros)),
                _ => ClientReply::Failed,
            });
            return;
        }
        let notice = match end {
            FinalOutcome::Rejected => NoticeOutcome::Rejected { retry_in_ms: wait.map(|w| w.div_ceil(1000)) },
            _ => NoticeOutcome::Failed,
        };
        let name = message.taken.id;
        self.journal.lock().enqueue(
            &Record::notice_pending(name.clone(), notice, message.taken.deadline_unix_ms),
            unix_now(),
        );
        self.owed.push(Notice { message: name, outcome: notice });
    }

    // ---- Journal ----

    /// Writes the turn, then answers clients and starts calls. Without room, or if writing fails, nothing new
    /// is taken on and nothing goes out.
    fn commit(&mut self, now: Micros, fresh: Vec<MessageId>, sends: Vec<PlannedSend>) {
        let unix = unix_now();
        let (mut taken, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        for id in fresh {
            let Some(message) = self.messages.get(&id) else { continue };
            let more = bytes + message.taken.body.len();
            if message.clients.iter().all(|client| client.is_closed())
                || !self.journal.lock().has_capacity(taken.len() + 1, more, unix)
            {
                self.turn_away(id);
                continue;
            }
            bytes = more;
            records.push(Record::Accepted(message.taken.clone()));
            taken.push(id);
        }
        let written = self.journal.lock().commit(&records, unix);
        if let Err(e) = written {
            eprintln!("node: {e}");
            taken.into_iter().for_each(|id| self.turn_away(id));
            return sends.iter().for_each(|s| self.not_sent(s));
        }
        for id in taken {
            if let Some(message) = self.messages.get_mut(&id) {
                message.accepted = true;
                self.metrics.record_accepted();
                if !message.answer(ClientReply::Accepted) {
                    self.client_left(id);
                }
            }
        }
        self.start_calls(now, sends);
    }

    /// Not taken on after all: the client is refused, if it has not left, and the module forgets the message.
    fn turn_away(&mut self, id: MessageId) {
        if let Some(mut message) = self.messages.remove(&id) {
            let left = message.clients.iter().all(|client| client.is_closed());
            self.metrics.record_dropped(if left {
                DropReason::ClientDisconnected
            } else {
                DropReason::JournalFull
            });
            self.ids.remove(&message.taken.id);
            message.answer(ClientReply::Rejected(None));
            self.events.push(Event::ClientDisconnected { id });
        }
    }

    /// The client left before it heard that the message was taken on.
    fn client_left(&mut self, id: MessageId) {
        if let Some(message) = self.messages.remove(&id) {
            self.metrics.record_dropped(DropReason::ClientDisconnected);
            self.ids.remove(&message.taken.id);
            self.journal
                .lock()
                .enqueue(&Record::completed(message.taken.id, FinalOutcome::Rejected, 0), unix_now());
            self.events.push(Event::ClientDisconnected { id });
        }
    }

    fn not_sent(&mut self, send: &PlannedSend) {
        self.events.push(Event::AttemptEnded(AttemptEnded {
            id: send.id,
            attempt: send.attempt,
            outcome: Outcome::NotSent,
            elapsed: 0,
            finished: !self.messages.contains_key(&send.id),
            report: None,
            retry_after: None,
            unsent: true,
        }));
    }

    // ---- Calls ----

    fn prepare(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Micros,
        latest: Micros,
    ) -> Option<PlannedSend> {
        let message = self.messages.get_mut(&id)?;
        let attempt = message.attempts;
        message.attempts += 1;
        let until = if timeout == 0 { message.expires_at } else { now.saturating_add(timeout) };
        Some(PlannedSend { id, attempt, endpoint, until: until.min(message.expires_at), latest })
    }

    /// Sends of one turn to one endpoint travel together, up to what its kind allows.
    fn start_calls(&mut self, now: Micros, sends: Vec<PlannedSend>) {
        let mut by_target: Vec<(EndpointId, Vec<PlannedSend>)> = Vec::new();
        for send in sends {
            let most = self.endpoints.get(&send.endpoint).map_or(1, |t| t.batch);
            match by_target.iter_mut().rfind(|(t, group)| *t == send.endpoint && group.len() < most) {
                Some((_, group)) => group.push(send),
                None => by_target.push((send.endpoint, vec![send])),
            }
        }
        by_target.into_iter().for_each(|(endpoint, group)| self.start_call(now, endpoint, group));
    }

    fn start_call(&mut self, now: Micros, endpoint: EndpointId, sends: Vec<PlannedSend>) {
        let mut items = Vec::with_capacity(sends.len());
        let mut once = false;
        for send in sends {
            let known = self.endpoints.contains_key(&endpoint);
            let Some(message) = self.messages.get(&send.id).filter(|_| known) else {
                self.not_sent(&send);
                continue;
            };
            once |= index(&self.names.classes, &message.taken.class)
                .is_none_or(|class| self.settings.classes[class].idempotency == Idempotency::NotIdempotent);
            let name = message.taken.id.clone();
            self.out
                .insert((send.id, send.attempt), AttemptInFlight { sent: now, call: self.next_call, name });
            items.push(CallItem {
                id: send.id,
                attempt: send.attempt,
                message: message.taken.id.clone(),
                key: message.taken.key.clone(),
                body: message.taken.body.clone(),
                times_out_at: self.clock.instant(send.until),
                expires_at: self.clock.instant(message.expires_at),
                send_before: self.clock.instant(send.latest),
            });
        }
        let limit = self.idle_limit(now);
        let Some(t) = self.endpoints.get_mut(&endpoint).filter(|_| !items.is_empty()) else { return };
        // The youngest; where that is too old, so are all. What must not run twice goes on none that may be dead.
        let limit = bounded(limit, &t.idle_ages, now);
        let proven = if once { self.idle_ages.proven_age(now) } else { Micros::MAX };
        let limit = limit.min(Duration::from_micros(proven.unsigned_abs()));
        let idle = t.idle.pop_if(|(since, _)| since.elapsed() < limit);
        if idle.is_none() && !t.idle.is_empty() {
            // The new connection takes the place of the oldest; others may still carry what can be repeated.
            t.idle.remove(0);
        }
        let idle = idle.map(|(since, connection)| (since.elapsed(), connection));
        let idle_for = idle.as_ref().map_or(0, |(age, _)| Micros::try_from(age.as_micros()).unwrap_or(0));
        // Each attempt is called off or given up once at most; one more place is for a wait.
        let (sender, commands) = channel(2 * items.len() + 1);
        let attempts = items.iter().map(|item| (item.message.clone(), item.attempt)).collect();
        let latest = items.iter().map(|i| i.send_before).min().unwrap_or_else(Instant::now);
        let guard = Arc::new(WriteGuard::new(self.journal.clone(), attempts, latest, t.zone.clone()));
        let owner = CallOwner::ThisProcess(sender, guard.clone());
        let out = CallInFlight { endpoint, left: items.len(), idle_for, held: false, owner };
        self.calls.insert(self.next_call, out);
        self.next_call += 1;
        t.out += 1;
        let connect_timeout = Duration::from_micros(self.settings.connect_timeout.max(1000) as u64);
        let call = OutboundCall {
            endpoint,
            address: t.to,
            items,
            reused: idle.map(|(_, connection)| connection),
            connect_timeout,
            commands,
            guard,
            events: self.inputs.clone(),
        };
        tokio::spawn(endpoint_client::perform(call));
    }

    fn cancel(&mut self, id: MessageId, attempt: usize) {
        self.order(id, attempt, || CallCommand::Cancel(id, attempt), Frame::CancelAttempt);
    }

    /// Says something to the call of an attempt that is out, here or at the old process.
    fn order(
        &self,
        id: MessageId,
        attempt: usize,
        here: impl FnOnce() -> CallCommand,
        predecessor: impl FnOnce(AttemptRef) -> Frame,
    ) {
        let Some(out) = self.out.get(&(id, attempt)) else { return };
        match (self.calls.get(&out.call), &self.predecessor) {
            (Some(CallInFlight { owner: CallOwner::Predecessor, .. }), Some(process)) => {
                process.send(predecessor(AttemptRef { message: out.name.clone(), attempt }));
            }
            (Some(call), _) => call.order(here()),
            (None, _) => {}
        }
    }

    /// A wait was told at this target: calls of its destination that are not written yet are not to be.
    fn hold(&mut self, endpoint: EndpointId) {
        let destination = self.endpoints.get(&endpoint).map(|t| t.destination);
        let endpoints = &self.endpoints;
        hold(&mut self.calls, |call| endpoints.get(&call.endpoint).map(|t| t.destination) == destination);
    }

    /// Nothing new may go to this target: neither on a connection that is kept nor on one that still comes up.
    fn leave_out(&mut self, endpoint: EndpointId) {
        self.endpoints.get_mut(&endpoint).into_iter().for_each(|t| t.idle.clear());
        hold(&mut self.calls, |call| call.endpoint == endpoint);
    }

    fn call_news(&mut self, now: Micros, news: CallReport) {
        // An older process has some of what is for both.
        let idle_most = if self.predecessor.is_some() { self.idle_most / 2 } else { self.idle_most };
        if let Some(connection) = news.connection
            && let Some(endpoint) = self.endpoints.get_mut(&news.endpoint).filter(|t| t.to == news.address)
            && !self.gone.contains_key(&news.endpoint)
            && !self.journal.lock().banned_endpoints().contains(&endpoint.uid)
            && self.idle < idle_most
        {
            endpoint.idle.push((Instant::now(), connection));
            self.idle += 1;
        }
        self.metrics.record_connections(news.address, news.connection_usage);
        let call = news.results.first().and_then(|e| self.out.get(&(e.id, e.attempt)));
        if let Some(kept) = news.connection_usage.reuse
            && let Some(call) = call.and_then(|out| self.calls.get(&out.call))
        {
            self.idle_ages.record(now, call.idle_for, kept);
            self.endpoints
                .get_mut(&news.endpoint)
                .into_iter()
                .for_each(|t| t.idle_ages.record(now, call.idle_for, kept));
        }
        if news.results.iter().any(|e| e.retry_after.is_some()) {
            self.hold(news.endpoint);
        }
        for ended in news.results {
            self.ended(now, news.address, ended);
        }
    }

    /// An attempt is out no more; with the last one its call is over.
    fn call_over(&mut self, id: MessageId, attempt: usize) -> Option<AttemptInFlight> {
        let out = self.out.remove(&(id, attempt))?;
        if let Some(call) = self.calls.get_mut(&out.call) {
            call.left -= 1;
            if call.left == 0 {
                let endpoint = call.endpoint;
                self.calls.remove(&out.call);
                self.endpoints.get_mut(&endpoint).into_iter().for_each(|t| t.out -= 1);
            }
        }
        Some(out)
    }

    fn ended(&mut self, now: Micros, to: SocketAddr, ended: AttemptResult) {
        let AttemptResult { id, attempt, outcome, finished, report, retry_after: wait, unsent } = ended;
        let Some(out) = self.call_over(id, attempt) else { return };
        let took = Duration::from_micros(u64::try_from(now - out.sent).unwrap_or(0));
        self.metrics.record_attempt(to, outcome, took, !self.calls.contains_key(&out.call));
        let unix = unix_now();
        if finished && let Some(message) = self.messages.remove(&id) {
            let AcceptedMessage { id: name, deadline_unix_ms: deadline, .. } = message.taken;
            self.ids.remove(&name);
            let end =
                if outcome == Outcome::Delivered { FinalOutcome::Delivered } else { FinalOutcome::Failed };
            self.journal.lock().enqueue(&Record::completed(name, end, deadline), unix);
        } else if let Some(message) = self.messages.get(&id) {
            let record = Record::attempt_ended(message.taken.id.clone(), attempt, !outcome.never_executed());
            self.journal.lock().enqueue(&record, unix);
        }
        let finished = !self.messages.contains_key(&id);
        let ended = AttemptEnded {
            id,
            attempt,
            outcome,
            elapsed: now - out.sent,
            finished,
            report,
            retry_after: wait,
            unsent,
        };
        self.balancer.on_event(now, Event::AttemptEnded(ended), &mut self.actions);
    }

    // ---- Notices ----

    /// One batch at a time, and only what stands in the journal: a client that was told to come again must
    /// never meet the same message sent by the next process.
    fn pass_on_notices(&mut self) {
        if self.owed.is_empty() || !self.journal.lock().is_flushed() {
            return;
        }
        if let Ok(room) = self.notices.try_reserve() {
            room.send(self.owed.drain(..self.owed.len().min(NOTICES_MOST)).collect());
        }
    }

    fn noticed(&mut self, batch: Vec<Notice>) {
        let unix = unix_now();
        for Notice { message, outcome: end } in batch {
            // Taken on anew since: the end of its earlier stay must not end this one in the journal.
            let anew = self.ids.get(&message).and_then(|id| self.messages.get(id));
            if anew.is_some_and(|message| message.accepted) {
                continue;
            }
            let until = self.journal.lock().final_outcome(&message).map_or(0, |(_, until)| until);
            self.journal.lock().enqueue(&Record::completed(message, end.into(), until), unix);
        }
    }

    // ---- Operators ----

    fn asked(&mut self, now: Micros, call: AdminCommand) -> AdminReply {
        let reply = match &call {
            AdminCommand::Ready => return self.ready(),
            AdminCommand::Disable(id) => self.ban(now, id, true),
            AdminCommand::Enable(id) => self.ban(now, id, false),
            AdminCommand::Drain => self.admit(now, Event::Drain, "draining"),
            AdminCommand::Resume => self.admit(now, Event::Resume, "taking clients"),
        };
        eprintln!("admin: {call:?}: {reply:?}");
        reply
    }

    fn ready(&self) -> AdminReply {
        match self.phase() {
            LifecyclePhase::Serving => Ok("ready".to_owned()),
            LifecyclePhase::Draining => Err("draining".to_owned()),
            LifecyclePhase::Closing | LifecyclePhase::HandingOver | LifecyclePhase::Stopped => {
                Err("about to end".to_owned())
            }
        }
    }

    fn admit(&mut self, now: Micros, event: Event, done: &str) -> AdminReply {
        self.balancer.on_event(now, event, &mut self.actions);
        Ok(done.to_owned())
    }

    /// Begins or ends the ban of an endpoint. It stands in the journal before anybody hears of it. To say it
    /// twice does no harm.
    fn ban(&mut self, now: Micros, uid: &str, banned: bool) -> AdminReply {
        let endpoint = self.endpoint_ids.get(uid).copied();
        let known = endpoint.is_some() || self.once_listed.iter().any(|known| known == uid);
        if !known && !self.journal.lock().banned_endpoints().contains(uid) {
            return Err("no such endpoint was ever listed".to_owned());
        }
        let record = if banned {
            Record::EndpointBanned(uid.to_owned())
        } else {
            Record::EndpointAllowed(uid.to_owned())
        };
        if banned != self.journal.lock().banned_endpoints().contains(uid) {
            self.journal.lock().commit(&[record], unix_now()).map_err(|e| e.to_string())?;
        }
        if let Some(endpoint) = endpoint {
            let event = if banned { Event::BanStarted { endpoint } } else { Event::BanEnded { endpoint } };
            self.balancer.on_event(now, event, &mut self.actions);
            // What the endpoint had open is worth nothing after a restart.
            self.leave_out(endpoint);
        }
        Ok(format!("{uid} {}", if banned { "left out" } else { "put back" }))
    }

    // ---- The list ----

    fn list(&mut self, now: Micros, list: &EndpointList) {
        self.rev = Some(list.revision);
        if list.complete {
            for id in self.endpoints.keys() {
                self.gone.entry(*id).or_insert(now);
            }
        }
        let entries: Vec<EndpointEntry> = list.endpoints.iter().map(|line| self.line(now, line)).collect();
        let event = if list.complete { Event::ListSnapshot(entries) } else { Event::ListUpdate(entries) };
        self.balancer.on_event(now, event, &mut self.actions);
        for id in self.gone.keys().copied().collect::<Vec<_>>() {
            self.leave_out(id);
        }
        self.forget_targets(now);
    }

    fn line(&mut self, now: Micros, line: &EndpointRecord) -> EndpointEntry {
        let next = self.next_target;
        let endpoint = *self.endpoint_ids.entry(line.uid.clone()).or_insert(next);
        self.next_target += EndpointId::from(endpoint == next);
        let kind = index(&self.names.kinds, &line.kind).unwrap_or(usize::MAX);
        let batch = self.settings.kinds.get(kind).map_or(1, |k| k.batch.max(1));
        let new = || Endpoint {
            line: line.clone(),
            uid: line.uid.clone(),
            destination: line.destination,
            to: line.address,
            zone: line.zone.clone(),
            batch,
            out: 0,
            idle: Vec::new(),
            idle_ages: IdleAgeStatistics::default(),
        };
        let known = self.endpoints.entry(endpoint).or_insert_with(new);
        let moved = known.to != line.address;
        (known.destination, known.to, known.batch) = (line.destination, line.address, batch);
        known.line = line.clone();
        // A target that is to end wants no connections either.
        if moved || matches!(line.state, LifecycleState::Terminating | LifecycleState::Other) {
            self.leave_out(endpoint);
        }
        if self.journal.lock().banned_endpoints().contains(&line.uid) {
            self.balancer.on_event(now, Event::BanStarted { endpoint }, &mut self.actions);
        }
        if line.state == LifecycleState::Terminated {
            self.gone.entry(endpoint).or_insert(now);
        } else {
            self.gone.remove(&endpoint);
        }
        EndpointEntry {
            endpoint,
            destination: line.destination,
            zone: index(&self.names.zones, &line.zone).unwrap_or(usize::MAX),
            kind,
            state: match line.state {
                LifecycleState::InService => EndpointState::Serving,
                LifecycleState::Terminating | LifecycleState::Other => EndpointState::Draining,
                LifecycleState::Terminated => EndpointState::Deleted,
            },
            weight: line.weight,
        }
    }

    /// Forgets targets that are gone, once nothing is out on them and they are not listed again soon. Guards the
    /// memory: over a long day targets are replaced again and again, each under a new id.
    fn forget_targets(&mut self, now: Micros) {
        let (endpoints, endpoint_ids) = (&mut self.endpoints, &mut self.endpoint_ids);
        let mut forgotten = Vec::new();
        self.gone.retain(|id, since| {
            let kept = endpoints.get(id).is_some_and(|t| t.out > 0) || now < *since + GONE_KEPT;
            if !kept && let Some(endpoint) = endpoints.remove(id) {
                endpoint_ids.remove(&endpoint.uid);
                forgotten.push((*id, endpoint.uid));
            }
            kept
        });
        for (endpoint, uid) in forgotten {
            // Its number is never used again. The ban holds on under its id.
            self.balancer.on_event(now, Event::BanEnded { endpoint }, &mut self.actions);
            self.once_listed.truncate(NAMES_KEPT - 1);
            self.once_listed.push_front(uid);
        }
    }
}
