//! Every decision of the forwarder. The interface (settings, events, actions) is in `src/interface`.
//!
//! Reading order: constants; `Scope` (what is known of a destination, or of a route where routes are
//! apart); state; then `Balancer`: intake, admission, choice, outcomes, timers. The list and the bans are in
//! `list.rs`, what a new version takes over in `handover.rs`.

mod backlog_report;
mod endpoint_list;
mod learned_state;

use crate::estimators::{DecayingCounter, random_unit};
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Quarters of the slots that a destination may hold while its calls succeed (the design's bound),
const STEADY_QUARTERS: usize = 3;
/// and while it is degraded; all degraded destinations together hold no more, so that the well keep the rest.
const DEGRADED_QUARTERS: usize = 2;
/// An outcome's weight falls by e in this part of `warmAfter`: health is a matter of a few seconds.
const HEALTH_SPAN: f64 = 0.4;
/// Outcomes imagined good (calls): few samples do not condemn.
const PRIOR_GOOD: f64 = 3.0;
/// Share of failures from which a destination is degraded.
const DEGRADED_SHARE: f64 = 0.2;
/// Weighed failures (calls) from which, where they are most of all outcomes, an outage is assumed.
const OUTAGE_FAILS: f64 = 2.5;
/// A destination is degraded once calls take this multiple of its usual pace;
const SLOW_TIMES: f64 = 3.0;
/// calls out for this multiple of it, and for half an aim, are overdue;
const OVERDUE_TIMES: f64 = 4.0;
/// with so many calls overdue it is held to hang.
const HUNG_CALLS: usize = 2;
/// Where slots are short, overdue calls may keep the Nth part of them.
const STUCK_PART: usize = 8;
/// There a call is overdue after the Nth part of an aim already.
const SHORT_PART: f64 = 8.0;
/// So many refusals in a row without a told wait are a shut door, not a limit.
const SHUT_REFUSALS: u32 = 4;
/// Gain of one delivery in the usual pace (tens of calls) and in the present one (a few).
const USUAL_GAIN: f64 = 0.05;
const PACE_GAIN: f64 = 0.3;
/// Multiplicative decrease of the pace at a refusal, from what was sent, and additive increase a second.
const DECREASE: f64 = 0.7;
const INCREASE: f64 = 0.08;
/// Where many share, the longest wait after refusals, in even parts of the limit.
const REST_TIMES: f64 = 4.0;
/// Sends let through unspaced, as a span of the limit (seconds).
const BURST_S: f64 = 0.3;
/// Where many share a limit on calls, messages for a call of several gather for the Nth part of their aim.
const GATHER_PART: Micros = 3;
/// Time-out of repeatable messages as a multiple of the usual pace, and two aims at least.
const TIMEOUT_TIMES: f64 = 10.0;
/// The first further attempt after one that may have run waits the Nth part of the aim; then doubled.
const RETRY_PART: i64 = 16;
/// Held messages are shed once the Nth part of `openCap` is left.
const SHED_PART: usize = 32;
/// To turn away a new one costs this part of what it costs to give back one that was taken on.
const NEW_PART: f64 = 0.7;
/// An endpoint whose call failed is avoided for the Nth part of `warmAfter`.
const AVOID_PART: i64 = 4;
/// A sender leaves no idle connection at a receiver where it keeps less than one busy, or less than its part
/// of one where fewer senders than this share.
const KEEP_SENDERS: f64 = 16.0;
/// Senders are uneven: one may count on this multiple of its even part of what all share.
const UNEVEN: f64 = 2.0;
/// A told limit within this multiple of the listed one, up or down, is believed.
const REPORT_TIMES: f64 = 10.0;
const SECOND: f64 = 1e6;

/// The settings and what follows from them alone (spans in microseconds).
#[derive(Default)]
struct Parameters {
    s: Settings,
    latency_objective: f64,
    warm: f64,
    health: f64,
    /// Part of what all senders share that one may count on.
    part: f64,
    /// The slowest pace of use (calls a second): one call an aim; where many share, two an aim in all.
    least: f64,
    tick: Micros,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum BreakerState {
    #[default]
    Closed,
    /// The destination is considered down: only probe calls, none before this time.
    Open(Micros),
    /// Recovered at this time and warming up.
    WarmingUp(Micros),
}

/// What is known of a destination, or of one route where routes are apart.
#[derive(Default)]
struct Scope {
    state: BreakerState,
    seed: u64,
    born: Micros,
    /// Time that deliveries usually take, and take now; 0 while unknown.
    usual: f64,
    pace: f64,
    good: DecayingCounter,
    bad: DecayingCounter,
    /// Of the bad ones, those that may have run.
    spent: DecayingCounter,
    last_good: Micros,
    /// When each call still out was sent.
    out: BTreeMap<u64, Micros>,
    refusals: u32,
    last_refusal: Micros,
    wait_until: Micros,
    /// When the next spaced send falls due.
    due: Micros,
    /// Calls a second: allowed to this sender now, told for all senders.
    limit: Option<f64>,
    ceiling: Option<f64>,
    /// What the list told of it; 0 where it told nothing.
    listed: f64,
    adjusted_at: Micros,
    /// The last call took all that it may.
    full: bool,
    long: DecayingCounter,
    /// Calls a second of this sender before the outage.
    base: f64,
}

impl Scope {
    fn new(now: Micros, seed: &mut u64) -> Self {
        random_unit(seed);
        Scope {
            seed: *seed,
            born: now,
            last_good: now,
            wait_until: now,
            last_refusal: now,
            due: now,
            adjusted_at: now,
            ..Scope::default()
        }
    }

    /// Calls a second of this sender, over the span of warming or since it started.
    fn own_rate(&self, now: Micros, e: &Parameters) -> f64 {
        let age = ((now - self.born) as f64).max(e.latency_objective);
        self.long.get(now, e.warm) * SECOND / (e.warm * (1.0 - (-age / e.warm).exp()))
    }

    /// What this sender may count on of a limit told for all (calls a second). Where none is told, its even
    /// part of the listed rate, which is rough; 0 where there is none either.
    fn own_part(&self, e: &Parameters) -> f64 {
        self.ceiling.unwrap_or(self.listed / UNEVEN) * e.part
    }

    /// A told limit far from the listed one was spoilt on its way: a tiny one would starve the destination,
    /// and from a huge one no refusal would bring the pace back.
    fn believes(&self, limit: f64) -> bool {
        let listed = if self.listed > 0.0 { self.listed } else { 10.0 };
        let times = if self.listed > 0.0 { REPORT_TIMES } else { REPORT_TIMES * REPORT_TIMES };
        (listed / times..=listed * times).contains(&limit)
    }

    /// Age from which a call is overdue.
    fn patience(&self, e: &Parameters) -> Micros {
        (OVERDUE_TIMES * self.usual).max(e.latency_objective / 2.0) as Micros
    }

    /// The same where slots are short and others wait: as slow as things are now.
    fn short_patience(&self, e: &Parameters) -> Micros {
        let pace = self.usual.max(self.pace);
        if pace > 0.0 {
            (OVERDUE_TIMES * pace).max(e.latency_objective / SHORT_PART) as Micros
        } else {
            self.patience(e)
        }
    }

    fn overdue(&self, now: Micros, e: &Parameters) -> usize {
        let late = self.patience(e);
        self.out.values().take_while(|sent| now - **sent > late && **sent >= self.last_good - late).count()
    }

    /// Whether the design's smaller share holds.
    fn is_degraded(&self, now: Micros, e: &Parameters) -> bool {
        let bad = self.bad.get(now, e.health);
        let share = bad / (bad + self.good.get(now, e.health) + PRIOR_GOOD);
        let slow = self.pace > SLOW_TIMES * self.usual;
        self.state != BreakerState::Closed || slow || share > DEGRADED_SHARE || self.overdue(now, e) > 0
    }

    /// Calls a second allowed now, and the span of them (seconds) that may go unspaced.
    fn rate(&self, now: Micros, e: &Parameters) -> Option<(f64, f64)> {
        let limit = self.limit.map(|l| l.max(e.least / 4.0));
        let BreakerState::WarmingUp(since) = self.state else { return limit.map(|l| (l, BURST_S)) };
        let part = ((now - since) as f64 / e.warm).min(1.0);
        let warm = e.s.initial_capacity + (1.0 - e.s.initial_capacity) * part;
        let rate = (e.s.overload_factor * warm * self.base).max(e.least / 4.0);
        Some((limit.map_or(rate, |l| l.min(rate)), 0.0))
    }

    /// The earliest time at which a call may go.
    fn ready_at(&self, now: Micros, e: &Parameters) -> Micros {
        match (self.state, self.rate(now, e)) {
            (BreakerState::Open(next_probe), _) => self.wait_until.max(next_probe),
            (_, Some((_, burst))) => self.wait_until.max(self.due - (burst * SECOND) as Micros),
            _ => self.wait_until,
        }
    }

    fn sent(&mut self, call: u64, now: Micros, full: bool, e: &Parameters) {
        self.full = full;
        if let Some((rate, _)) = self.rate(now, e) {
            self.due = self.due.max(now) + (SECOND / rate) as Micros;
        }
        self.out.insert(call, now);
        self.long.add(now, e.warm);
        if let BreakerState::Open(_) = self.state {
            self.plan_trial(now, e);
        }
    }

    /// Trials stay within what the destination could bear had it come back just now.
    fn plan_trial(&mut self, now: Micros, e: &Parameters) {
        let rate = e.s.overload_factor * e.s.initial_capacity * self.base;
        let most = e.warm / 4.0 / e.part;
        let gap = (SECOND / rate.max(e.least / 4.0)).clamp(e.latency_objective / 16.0, most);
        // Many know of one outage, or were told one end of it: the first trial falls by chance in its gap.
        let later = if matches!(self.state, BreakerState::Open(_)) { 0.5 } else { 0.0 };
        let part = if e.part < 0.5 { later + random_unit(&mut self.seed) } else { 1.0 };
        self.state = BreakerState::Open(now.max(self.wait_until) + (gap * part) as Micros);
    }

    /// What it bore while it was well is the measure for its return.
    fn keep_base(&mut self, now: Micros, e: &Parameters) {
        if self.state == BreakerState::Closed {
            self.base = self.own_rate(now, e).max(self.own_part(e) / UNEVEN).max(e.least);
        }
    }

    fn enter_outage(&mut self, now: Micros, e: &Parameters) {
        self.keep_base(now, e);
        if !matches!(self.state, BreakerState::Open(_)) {
            self.plan_trial(now, e);
        }
    }

    fn delivered(&mut self, now: Micros, took: f64, e: &Parameters) {
        self.good.add(now, e.health);
        self.last_good = now;
        self.refusals = 0;
        let gain = |old: f64, g: f64| if old == 0.0 { took } else { old + g * (took - old) };
        self.usual = gain(self.usual, USUAL_GAIN);
        self.pace = gain(self.pace, PACE_GAIN);
        // Where calls gather messages, pace is of no use until they go full or rarely.
        if let Some(l) = self.limit.filter(|l| self.full || SECOND / l > e.latency_objective / 4.0) {
            let dt = ((now - self.adjusted_at) as f64 / SECOND).clamp(0.0, e.warm / SECOND);
            let grown = l + dt * INCREASE * (l + e.least).max(self.own_part(e));
            self.limit = Some(self.ceiling.map_or(grown, |c| grown.min(c)));
            self.adjusted_at = now;
        }
        match self.state {
            BreakerState::Open(_) => {
                (self.state, self.due) = (BreakerState::WarmingUp(now), now);
                (self.bad, self.spent) = (DecayingCounter::default(), DecayingCounter::default());
            }
            BreakerState::WarmingUp(since) if (now - since) as f64 > e.warm => {
                self.state = BreakerState::Closed
            }
            _ => {}
        }
    }

    /// Share of what is sent there that may run and is not delivered: what must not run twice is lost then.
    fn possible_execution(&self, now: Micros, e: &Parameters) -> f64 {
        let spent = self.spent.get(now, e.health);
        spent / (spent + self.good.get(now, e.health) + PRIOR_GOOD)
    }

    fn failed(&mut self, now: Micros, outcome: Outcome, e: &Parameters) {
        self.bad.add(now, e.health);
        if !outcome.never_executed() {
            self.spent.add(now, e.health);
        }
        let bad = self.bad.get(now, e.health);
        let few = (self.own_rate(now, e) * e.health / SECOND / 2.0).max(OUTAGE_FAILS * e.part);
        if bad >= OUTAGE_FAILS.min(few) && bad > self.good.get(now, e.health) {
            self.enter_outage(now, e);
        }
    }

    /// Calls refused in one wave, sent before the first of them was heard of, count as one refusal.
    fn refused(&mut self, now: Micros, sent: Micros, wait: Option<Micros>, e: &Parameters) {
        let own = self.own_part(e);
        let many = own > 0.0 && e.part < 0.5;
        let floor = if many { own / REST_TIMES } else { e.least / 4.0 };
        if sent >= self.last_refusal {
            self.refusals += 1;
            // A limit is told for all senders: what counts is what this one sends, or its even part. One call
            // alone is no rate: rare callers would each go on far over their part.
            let known = 1.0 - 1.0 / self.long.get(now, e.warm).max(1.0);
            let sent = (self.own_rate(now, e) * known).max(own);
            self.limit = Some((self.limit.map_or(sent, |l| l.min(sent)) * DECREASE).max(floor));
            (self.adjusted_at, self.last_refusal) = (now, now);
        }
        // Refused calls may use up the limit: each wave doubles the wait, and none come back together.
        let spaced = SECOND / self.limit.unwrap_or(e.least).max(e.least / 4.0);
        let most =
            if many { REST_TIMES * SECOND / own } else { e.latency_objective * (1.0 / e.part).min(4.0) };
        let own = (spaced * f64::from(1u32 << self.refusals.min(4)) / 2.0).min(most);
        let part = if e.part < 0.5 { 0.5 + random_unit(&mut self.seed) } else { 1.0 };
        self.wait_until = self.wait_until.max(now + wait.unwrap_or(0).max((own * part) as Micros));
        // A short wait comes from a limit that others use up, a long one from a shut door.
        if wait.map_or(self.refusals >= SHUT_REFUSALS, |w| w as f64 > e.warm / 4.0) {
            self.enter_outage(now, e);
        }
    }
}

#[derive(Default)]
struct Destination {
    kind: DestinationKind,
    endpoints: BTreeSet<EndpointId>,
    /// Messages ready to go, by class and by whether their tenant is over its share; earliest aim first.
    lanes: BTreeMap<(usize, bool), BTreeSet<(Micros, MessageId)>>,
    scope: Scope,
}

#[derive(Default)]
struct Endpoint {
    destination: DestinationId,
    zone: usize,
    out: usize,
    pace: f64,
    /// When each idle connection was last used.
    idle: VecDeque<Micros>,
    avoid_until: Micros,
    /// The list has it as serving.
    serving: bool,
    /// When the latest call was sent that it has answered.
    answered: Micros,
    /// Waves of connections turned away in a row, when the last was heard of, and until when none is tried.
    crowded: u32,
    turned_away: Micros,
    closed_until: Micros,
    scope: Scope,
}

#[derive(Clone, Copy, PartialEq)]
enum MessageState {
    /// Ready in a queue of its destination.
    Queued,
    /// Not to be sent before this time.
    Delayed(Micros),
    /// An attempt is in flight.
    InFlight,
    /// Between two of these states, or behind another message with its ordering key.
    Blocked,
}

struct Message {
    m: Submission,
    over: bool,
    due: Micros,
    alarm: Micros,
    attempts: usize,
    /// Of those, the ones that never left this process.
    unsent: usize,
    place: MessageState,
    /// When the first attempt that may have run was sent, and its zone.
    possible_execution: Option<PossibleExecution>,
    started: bool,
}

/// An attempt that is out. Those that travel as one call share its number.
struct Attempt {
    call: u64,
    endpoint: EndpointId,
    destination: DestinationId,
    class: usize,
    sent: Micros,
    called_off: bool,
    lost: bool,
    key: Option<String>,
}

/// What a destination could be sent in this turn: value, endpoint and message, or when to look again.
struct SendOption {
    degraded: bool,
    found: Result<(f64, EndpointId, MessageId), Micros>,
}

/// Messages of one ordered key.
#[derive(Default)]
struct OrderedQueue {
    queue: VecDeque<MessageId>,
    out: usize,
    rest_until: Micros,
}

/// One sender's decisions.
#[derive(Default)]
pub struct Balancer {
    e: Arc<Parameters>,
    seed: u64,
    destinations: BTreeMap<DestinationId, Destination>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that the list no longer holds, and since when.
    gone: BTreeMap<EndpointId, Micros>,
    /// Endpoints that operators have taken out, listed or not.
    banned: BTreeSet<EndpointId>,
    /// The design's counter: calls of this sender to one destination; dropped when idle.
    in_flight: BTreeMap<DestinationId, usize>,
    messages: BTreeMap<MessageId, Message>,
    attempts: BTreeMap<(MessageId, usize), Attempt>,
    /// Attempts still out of each call; a call takes one slot.
    calls: BTreeMap<u64, usize>,
    next_call: u64,
    parked: BTreeSet<(Micros, MessageId)>,
    alarms: BTreeSet<(Micros, MessageId)>,
    turns: BTreeMap<String, OrderedQueue>,
    tenants: Vec<DecayingCounter>,
    /// By class: messages that were delivered, and all that ended.
    ends: Vec<[DecayingCounter; 2]>,
    /// Destinations with a message in a lane.
    waiting: BTreeSet<DestinationId>,
    /// Endpoints where a call ended in this turn.
    used: BTreeSet<EndpointId>,
    /// A connection failed not long before this.
    crowded_until: Micros,
    wake_at: Micros,
    subscribe_at: Option<Micros>,
    broken: u32,
}

impl Balancer {
    /// A sender that knows its settings and nothing else.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.max_retry_after = if settings.retry_after { settings.max_retry_after.max(0) } else { 0 };
        let aims = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .filter(|latency_objective| *latency_objective > 0);
        let latency_objective = aims.min().unwrap_or(SECOND as Micros).max(1000) as f64;
        let warm = (settings.warm_up_time.max(settings.overload_window) as f64).max(latency_objective);
        let part = UNEVEN / (settings.sender_count as f64).max(UNEVEN);
        let least = SECOND / latency_objective * part;
        let (poll_discovery, tick) = (settings.poll_discovery, settings.min_turn_interval.max(1000));
        Balancer {
            tenants: vec![DecayingCounter::default(); settings.tenants.len()],
            ends: vec![<[DecayingCounter; 2]>::default(); settings.classes.len()],
            e: Arc::new(Parameters {
                s: settings,
                latency_objective,
                warm,
                health: warm * HEALTH_SPAN,
                part,
                least,
                tick,
            }),
            seed: seed | 1,
            crowded_until: Micros::MIN,
            wake_at: Micros::MAX,
            subscribe_at: poll_discovery.then_some(Micros::MIN),
            ..Balancer::default()
        }
    }

    /// Takes one event; what is to be done is added to `actions`.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(m) => self.submit(now, m, actions),
            Event::AttemptEnded(ended) => self.ended(now, ended, actions),
            Event::ResponseStarted { id } => {
                self.messages.get_mut(&id).into_iter().for_each(|m| m.started = true)
            }
            Event::ClientDisconnected { id } => self.forget(now, id),
            Event::ListSnapshot(entries) => {
                self.destinations.values_mut().for_each(|d| d.endpoints.clear());
                for id in self.endpoints.keys() {
                    self.gone.entry(*id).or_insert(now);
                }
                self.list(now, entries);
            }
            Event::ListUpdate(entries) => self.list(now, entries),
            Event::BanStarted { endpoint } => self.ban(now, endpoint),
            Event::BanEnded { endpoint } => self.end_ban(now, endpoint),
            Event::Learned(learned) => self.learn(now, &learned),
            // Its message is over; the call still takes its slot.
            Event::InheritedAttempt { id, attempt, call } => drop(self.still_out(id, attempt, 0, call)),
            Event::Drain => actions.push(Action::AcceptClients(false)),
            Event::Resume => actions.push(Action::AcceptClients(true)),
            Event::WatchFailed => {
                self.broken += 1;
                let gap = (self.e.latency_objective as Micros / 8) << self.broken.min(4);
                self.subscribe_at =
                    Some(now + gap / 2 + (gap as f64 * random_unit(&mut self.seed)) as Micros);
            }
            Event::Wake => self.wake_at = if now >= self.wake_at { Micros::MAX } else { self.wake_at },
            Event::TurnEnd => self.turn_end(now, actions),
        }
    }

    // ---- Intake ----

    fn submit(&mut self, now: Micros, m: Submission, actions: &mut Vec<Action>) {
        let e = self.e.clone();
        if self.messages.contains_key(&m.id) {
            return;
        }
        let Some(c) = e.s.classes.get(m.class) else {
            return actions.push(Action::Reject { id: m.id, retry_after: 0 });
        };
        // Nothing is kept for a destination that the list has never named: anybody may name any number.
        if !m.history.accepted && !self.destinations.contains_key(&m.destination) {
            return actions.push(Action::Reject {
                id: m.id,
                retry_after: e.s.max_retry_after.min(e.latency_objective as Micros),
            });
        }
        let mut over = false;
        if let Some((tenant, seen)) = m.tenant.and_then(|t| e.s.tenants.get(t).zip(self.tenants.get_mut(t))) {
            seen.add(now, e.warm);
            over = seen.get(now, e.warm) * SECOND / e.warm > tenant.quota * e.part;
        }
        let (id, class, key) = (m.id, m.class, m.key.clone().filter(|_| c.ordered));
        // A client that comes with less patience than the aim is on time until it leaves.
        let due = m.expires_at
            - if m.expires_at - now > c.latency_objective { c.deadline - c.latency_objective } else { 0 };
        let m = Submission { key: key.clone(), ..m };
        let MessageHistory { accepted, attempts, possible_execution, in_flight: out } = m.history;
        let (place, unsent) = (MessageState::Blocked, 0);
        let held =
            Message { m, over, due, alarm: now, attempts, unsent, place, possible_execution, started: false };
        self.messages.insert(id, held);
        self.set_alarm(id);
        if out.is_some_and(|out| self.still_out(id, attempts, class, out)) {
            return;
        }
        if self.spent(&self.messages[&id]) {
            return self.reject(now, id, actions);
        }
        if let Some(key) = &key {
            self.turns.entry(key.clone()).or_default().queue.push_back(id);
            self.next_turn(now, key);
        } else {
            self.enqueue(now, id);
        }
        if !accepted && self.messages.len() + e.s.max_open_messages / SHED_PART > e.s.max_open_messages {
            self.shed(now, id, actions);
        }
    }

    /// No send after this: too late for an answer, or the destination may have forgotten the key.
    fn sendable_until(&self, m: &Message) -> Micros {
        let usual = self.destinations.get(&m.m.destination).map_or(0.0, |d| d.scope.usual);
        let end = m.m.expires_at - (usual / 2.0) as Micros - 3 * self.e.tick;
        match (self.e.s.classes[m.m.class].idempotency, m.possible_execution) {
            // The key's life counts from the first attempt that may have run.
            (Idempotency::Keyed { key_lifetime, .. }, Some(first)) => {
                end.min(first.sent_at + key_lifetime - self.e.tick)
            }
            _ => end,
        }
    }

    /// No further attempt is allowed, by count or because an unsafe one may have run.
    fn spent(&self, m: &Message) -> bool {
        let once = self.e.s.classes[m.m.class].idempotency == Idempotency::NotIdempotent;
        (once && m.possible_execution.is_some()) || m.attempts - m.unsent >= self.e.s.max_attempts
    }

    fn set_alarm(&mut self, id: MessageId) {
        let alarm = self.sendable_until(&self.messages[&id]);
        let m = self.messages.get_mut(&id).expect("alarms are set for held messages");
        self.alarms.remove(&(m.alarm, id));
        m.alarm = alarm;
        self.alarms.insert((alarm, id));
    }

    fn enqueue(&mut self, now: Micros, id: MessageId) {
        let m = self.messages.get_mut(&id).expect("only held messages are queued");
        m.place = MessageState::Queued;
        let new = || Destination { scope: Scope::new(now, &mut self.seed), ..Destination::default() };
        let d = self.destinations.entry(m.m.destination).or_insert_with(new);
        d.lanes.entry((m.m.class, m.over)).or_default().insert((m.due, id));
        self.waiting.insert(m.m.destination);
    }

    fn unqueue(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id) else { return };
        if let MessageState::Delayed(at) = m.place {
            self.parked.remove(&(at, id));
        } else if m.place == MessageState::Queued
            && let Some(d) = self.destinations.get_mut(&m.m.destination)
        {
            d.lanes.entry((m.m.class, m.over)).or_default().remove(&(m.due, id));
            d.lanes.retain(|_, lane| !lane.is_empty());
            if d.lanes.is_empty() {
                self.waiting.remove(&m.m.destination);
            }
        }
    }

    fn park(&mut self, id: MessageId, until: Micros) {
        self.messages.get_mut(&id).expect("only held messages are parked").place =
            MessageState::Delayed(until);
        self.parked.insert((until, id));
    }

    /// Lets the first message of an ordered key go once nothing before it can still run.
    fn next_turn(&mut self, now: Micros, key: &str) {
        let Some(t) = self.turns.get(key).filter(|t| t.out == 0) else { return };
        let rest = t.rest_until;
        match t.queue.front().copied() {
            None if now >= rest => drop(self.turns.remove(key)),
            Some(id) if self.messages[&id].place == MessageState::Blocked && now < rest => {
                self.park(id, rest)
            }
            Some(id) if self.messages[&id].place == MessageState::Blocked => self.enqueue(now, id),
            _ => {}
        }
    }

    /// The message is over: nothing more goes out for it.
    fn forget(&mut self, now: Micros, id: MessageId) {
        self.unqueue(id);
        let Some(m) = self.messages.remove(&id) else { return };
        self.alarms.remove(&(m.alarm, id));
        if let Some(key) = m.m.key {
            self.turns.entry(key.clone()).or_default().queue.retain(|q| *q != id);
            self.next_turn(now, &key);
        }
    }

    /// Refuses where no attempt may have run, else fails.
    fn reject(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(m) = self.messages.get(&id) else { return };
        self.ends[m.m.class][1].add(now, self.e.warm);
        let safe = self.e.s.classes[m.m.class].idempotency == Idempotency::Idempotent;
        if m.place == MessageState::InFlight || (m.possible_execution.is_some() && !safe) {
            actions.push(Action::Fail { id });
        } else {
            let wait = self.destinations.get(&m.m.destination).map_or(0, |d| d.scope.wait_until - now);
            actions.push(Action::Reject { id, retry_after: wait.clamp(0, self.e.s.max_retry_after) });
        }
        self.forget(now, id);
    }

    /// Near the cap, the message with least worth still to win makes room: the new one before one taken on.
    fn shed(&mut self, now: Micros, new: MessageId, actions: &mut Vec<Action>) {
        let lanes = self.waiting.iter().flat_map(|d| self.destinations[d].lanes.values());
        let priority_weight = lanes.filter_map(|lane| {
            let (_, first) = *lane.first()?;
            let (id, part) =
                if lane.iter().any(|(_, id)| *id == new) { (new, NEW_PART) } else { (first, 1.0) };
            Some((self.value(&self.messages[&id], now) * part / lane.len() as f64, id))
        });
        if let Some((_, id)) = priority_weight.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.reject(now, id, actions);
        }
    }

    /// What delivery at `at` would earn.
    fn value(&self, m: &Message, at: Micros) -> f64 {
        let c = &self.e.s.classes[m.m.class];
        let late = (at - m.due).max(0) as f64;
        let part = match self.e.s.weight_decay {
            // What a restart found untried goes before all else: it was taken on to be tried.
            _ if m.m.history.accepted && m.attempts == m.unsent => return f64::MAX,
            WeightDecay::HalfLife if c.latency_objective > 0 => {
                (-late / c.latency_objective as f64).exp2().max(c.late_weight_fraction)
            }
            _ => {
                1.0 - (1.0 - c.late_weight_fraction)
                    * (late / (m.m.expires_at - m.due).max(1) as f64).min(1.0)
            }
        };
        // Every class counts, the worst of them most: one that is crowded out gains by what it lost.
        let [kept, all] = self.ends[m.m.class].map(|count| count.get(at, self.e.warm) + 1.0);
        c.priority_weight.max(0.0).sqrt()
            * part
            * (all / kept).powi(2)
            * if m.over { self.e.s.over_quota_weight } else { 1.0 }
    }

    // ---- Admission ----

    fn cap(&self, quarters: usize) -> usize {
        (self.e.s.call_slots / 4 * quarters + self.e.s.call_slots % 4 * quarters / 4).max(1)
    }

    fn is_dest_degraded(&self, destination: DestinationId, now: Micros) -> bool {
        let Some(d) = self.destinations.get(&destination) else { return false };
        let mut routes =
            d.endpoints.iter().filter(|_| d.kind.separate_routes).map(|t| &self.endpoints[t].scope);
        d.scope.is_degraded(now, &self.e) || routes.any(|scope| scope.is_degraded(now, &self.e))
    }

    /// The ordinary path: what earns most goes while slots are free and its destination is under its cap.
    fn turn_end(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.timers(now, actions);
        self.waiting.clone().iter().for_each(|destination| self.watch(*destination, now));
        let sick = self.in_flight.iter().filter(|(destination, _)| self.is_dest_degraded(**destination, now));
        let mut sick_calls: usize = sick.map(|(_, calls)| calls).sum();
        let mut wake = Micros::MAX;
        let mut offers: BTreeMap<_, _> = self.waiting.iter().map(|d| (*d, self.offer(*d, now))).collect();
        while self.calls.len() < self.e.s.call_slots {
            let mut best: Option<(f64, DestinationId, EndpointId, MessageId, bool)> = None;
            wake = Micros::MAX;
            for (&destination, o) in &offers {
                let cap = self.cap(if o.degraded { DEGRADED_QUARTERS } else { STEADY_QUARTERS });
                let calls = self.in_flight.get(&destination).copied().unwrap_or(0);
                if calls >= cap || (o.degraded && sick_calls >= self.cap(DEGRADED_QUARTERS)) {
                    continue;
                }
                match o.found {
                    Ok((v, t, m)) if best.is_none_or(|b| v > b.0) => {
                        best = Some((v, destination, t, m, o.degraded))
                    }
                    Ok(_) => {}
                    Err(at) => wake = wake.min(at),
                }
            }
            let Some((_, destination, endpoint, id, degraded)) = best else { break };
            sick_calls += usize::from(degraded);
            self.send(now, destination, endpoint, id, actions);
            // A send changes nothing for the others: to look at all again costs the most where many wait.
            offers.remove(&destination);
            if self.waiting.contains(&destination) {
                offers.insert(destination, self.offer(destination, now));
            }
        }
        let cap = self.cap(DEGRADED_QUARTERS);
        let full = sick_calls >= cap || self.calls.len() >= self.e.s.call_slots;
        offers.retain(|destination, _| {
            full || self.in_flight.get(destination).is_some_and(|calls| *calls >= cap)
        });
        self.cancel_lost_calls(now, &offers, actions);
        self.reclaim_slots(now, actions);
        self.close_idle(now, actions);
        self.forget_targets(now);
        self.set_wake(now, wake, actions);
    }

    fn offer(&self, destination: DestinationId, now: Micros) -> SendOption {
        SendOption {
            degraded: self.is_dest_degraded(destination, now),
            found: self.candidate(destination, now),
        }
    }

    /// Tables of connections count idle ones, and many rare callers fill them: one that is not kept busy is
    /// closed. Guards all who share a receiver; could hurt where calls come in clumps, by a handshake each.
    fn close_idle(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let e = self.e.clone();
        let few = (e.s.sender_count as f64 / KEEP_SENDERS).min(1.0);
        for endpoint in std::mem::take(&mut self.used) {
            let Some(t) = self.endpoints.get(&endpoint) else { continue };
            let d = &self.destinations[&t.destination];
            let scope = if d.kind.separate_routes { &t.scope } else { &d.scope };
            let busy = scope.own_rate(now, &e) * scope.usual / SECOND;
            if now < self.crowded_until && busy < few && !t.idle.is_empty() {
                self.endpoints.get_mut(&endpoint).expect("just seen").idle.clear();
                actions.push(Action::CloseIdleConnections { endpoint });
            }
        }
    }

    /// A hang brings no outcomes: it shows in the age of calls still out.
    fn watch(&mut self, destination: DestinationId, now: Micros) {
        let (e, d) = (
            self.e.clone(),
            self.destinations.get_mut(&destination).expect("waiting destinations are known"),
        );
        for endpoint in d.endpoints.iter().copied().collect::<Vec<_>>() {
            let scope = self.scope(destination, endpoint);
            if scope.overdue(now, &e) >= HUNG_CALLS {
                scope.enter_outage(now, &e);
            }
        }
    }

    /// No answer comes any more to a call that is overdue, also as slow as things are now, where much later
    /// ones have been answered. It would keep its place under the cap for as long as its message may wait.
    /// What must not run twice is given up by that: only where others wait for its place. Where no later call
    /// can go out, since a destination is held by such calls alone, the oldest makes room for a trial.
    fn cancel_lost_calls(
        &mut self,
        now: Micros,
        held: &BTreeMap<DestinationId, SendOption>,
        actions: &mut Vec<Action>,
    ) {
        let e = self.e.clone();
        let none_ends = |destination: &DestinationId| {
            !self.attempts.values().any(|a| a.called_off && a.destination == *destination)
        };
        let ready = held.iter().filter(|(destination, offer)| offer.found.is_ok() && none_ends(destination));
        let mut tried: BTreeSet<DestinationId> = ready.map(|(destination, _)| *destination).collect();
        let mut tries = BTreeSet::new();
        for (&(id, attempt), a) in self.attempts.iter_mut().filter(|(_, a)| !a.called_off && e.s.cancellation)
        {
            let (d, t) = (&self.destinations[&a.destination], &self.endpoints[&a.endpoint]);
            let scope = if d.kind.separate_routes { &t.scope } else { &d.scope };
            let once = e.s.classes[a.class].idempotency == Idempotency::NotIdempotent;
            let late = scope.patience(&e).max((OVERDUE_TIMES * scope.pace) as Micros);
            let late = late + if once { e.latency_objective as Micros / 2 } else { 0 };
            a.lost = held.contains_key(&a.destination) && a.sent.saturating_add(late) < t.answered;
            let silent = now - a.sent.max(scope.last_good) > late;
            let trial =
                tries.contains(&a.call) || (silent && tried.remove(&a.destination) && tries.insert(a.call));
            if a.lost || trial {
                a.called_off = true;
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }

    /// Slots for all: with every slot taken, calls long overdue give back all but a few, those that may be
    /// repeated first. One that must not run twice is lost by that, so its call is given half an aim more.
    fn reclaim_slots(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.calls.len() < self.e.s.call_slots || self.waiting.is_empty() || !self.e.s.cancellation {
            return;
        }
        // By call: whether something in it must not run twice, when it was sent, how late it may be.
        let mut out: BTreeMap<u64, (bool, Micros, Micros)> = BTreeMap::new();
        for a in self.attempts.values().filter(|a| !a.called_off) {
            let (d, t) = (&self.destinations[&a.destination], &self.endpoints[&a.endpoint]);
            let scope = if d.kind.separate_routes { &t.scope } else { &d.scope };
            let call = out.entry(a.call).or_insert((false, a.sent, scope.short_patience(&self.e)));
            call.0 |= self.e.s.classes[a.class].idempotency == Idempotency::NotIdempotent;
        }
        let extra = |once: bool| if once { self.e.latency_objective as Micros / 2 } else { 0 };
        let late = out.into_iter().filter(|(_, (once, sent, late))| now - sent > late + extra(*once));
        let mut stuck: Vec<_> = late.map(|(call, (once, sent, _))| (once, sent, call)).collect();
        stuck.sort_unstable();
        stuck.truncate(stuck.len().saturating_sub((self.e.s.call_slots / STUCK_PART).max(1)));
        for (&(id, attempt), a) in &mut self.attempts {
            if !a.called_off && stuck.iter().any(|(.., call)| *call == a.call) {
                a.called_off = true;
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }

    // ---- Choice of message and endpoint ----

    /// The best message for a scope: what earns most, on time before late, earliest aim first.
    fn pick(
        &self,
        d: &Destination,
        scope: &Scope,
        endpoint: &Endpoint,
        now: Micros,
    ) -> Option<(f64, MessageId)> {
        let at = now + scope.usual as Micros;
        let risky = scope.possible_execution(now, &self.e) > DEGRADED_SHARE;
        let trial = matches!(scope.state, BreakerState::Open(_));
        let idempotency = |class: usize| self.e.s.classes[class].idempotency;
        let repeatable = d.lanes.keys().any(|(class, _)| idempotency(*class) != Idempotency::NotIdempotent);
        let mut best: Option<(f64, Micros, MessageId)> = None;
        for ((class, _), lane) in &d.lanes {
            let idempotency = idempotency(*class);
            // Guards what an error loses for good: it is no trial while another message can be one,
            if trial && repeatable && idempotency == Idempotency::NotIdempotent {
                continue;
            }
            let per_zone = matches!(idempotency, Idempotency::Keyed { per_zone: true, .. });
            for &(due, id) in lane.range((at, 0)..).next().into_iter().chain(lane.first()) {
                let m = &self.messages[&id];
                let elsewhere =
                    per_zone && m.possible_execution.is_some_and(|first| first.zone != endpoint.zone);
                // and where calls fail it waits for better times, as long as its aim allows.
                let early = risky && !trial && at + self.e.latency_objective as Micros / 4 < m.due;
                if early && idempotency == Idempotency::NotIdempotent {
                    continue;
                }
                let v = self.value(m, at);
                let better = best.is_none_or(|(b, b_due, _)| v > b || (v == b && due < b_due));
                if better && !elsewhere && now < self.sendable_until(m) {
                    best = Some((v, due, id));
                }
            }
        }
        best.map(|(v, _, id)| (v, id))
    }

    /// Endpoints by expected time: warm, near, idle and not just failed first.
    fn endpoints(&self, d: &Destination, now: Micros) -> Vec<(f64, EndpointId)> {
        let e = &self.e;
        let cost = |id: &EndpointId| {
            let t = &self.endpoints[id];
            let usual = if t.pace > 0.0 { t.pace } else { d.scope.usual.max(e.latency_objective / 16.0) };
            let warm = t.idle.back().is_some_and(|at| now - at < e.s.idle_timeout);
            let halves = 2.0 + 2.0 * t.out as f64 + f64::from(!warm) + f64::from(t.zone != e.s.zone) * 2.0;
            (usual / 2.0 * halves + if now < t.avoid_until { e.latency_objective } else { 0.0 }, *id)
        };
        let mut found: Vec<(f64, EndpointId)> = d.endpoints.iter().map(cost).collect();
        found.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        found
    }

    /// The best send to a destination now, or when to look again.
    fn candidate(
        &self,
        destination: DestinationId,
        now: Micros,
    ) -> Result<(f64, EndpointId, MessageId), Micros> {
        let d = &self.destinations[&destination];
        let mut again = Micros::MAX;
        // A call takes one slot and earns all that it carries: who gathers must not starve for slots.
        let waiting: usize = d.lanes.values().map(BTreeSet::len).sum();
        let travelling = waiting.min(d.kind.batch.max(1)) as f64;
        let gathered = if waiting < d.kind.batch { self.gathered_at(d) } else { Micros::MIN };
        for (_, id) in self.endpoints(d, now) {
            let t = &self.endpoints[&id];
            let scope = if d.kind.separate_routes { &t.scope } else { &d.scope };
            let idle = t.idle.back().is_some_and(|at| now - at < self.e.s.idle_timeout);
            let gathered = if matches!(scope.state, BreakerState::Open(_)) { now } else { gathered };
            let ready =
                scope.ready_at(now, &self.e).max(gathered).max(if idle { now } else { t.closed_until });
            if ready > now {
                again = again.min(ready);
            } else if let Some((value, message)) = self.pick(d, scope, t, now) {
                let slot_time = scope.usual.max(scope.pace).max(self.e.latency_objective / 32.0);
                return Ok((value * travelling / slot_time, id, message));
            } else {
                again = again.min(now + self.e.latency_objective as Micros / 16);
            }
        }
        Err(again)
    }

    /// When the messages that wait have gathered long enough: inside its aim each earns the same, and a call
    /// with few takes the place of another sender's full one.
    fn gathered_at(&self, d: &Destination) -> Micros {
        let gathered = d.lanes.iter().filter_map(|((class, _), lane)| {
            let latency_objective = self.e.s.classes[*class].latency_objective;
            Some(lane.first()?.0 - latency_objective + latency_objective / GATHER_PART)
        });
        gathered.min().filter(|_| self.e.part < 0.5 && d.scope.limit.is_some()).unwrap_or(Micros::MIN)
    }

    /// One call: the message and, where the kind allows it, others that wait for the same destination.
    fn send(
        &mut self,
        now: Micros,
        destination: DestinationId,
        endpoint: EndpointId,
        first: MessageId,
        out: &mut Vec<Action>,
    ) {
        let (e, call) = (self.e.clone(), self.next_call);
        self.next_call += 1;
        let kind = self.destinations[&destination].kind;
        let usual = self.scope(destination, endpoint).usual.max(e.latency_objective / 16.0);
        let (mut next, mut travelling) = (Some(first), 0);
        while let Some(id) = next.filter(|_| travelling < kind.batch.max(1)) {
            self.unqueue(id);
            let m = self.messages.get_mut(&id).expect("picked from a lane");
            m.place = MessageState::InFlight;
            let (class, key) = (m.m.class, m.m.key.clone());
            if let Some(t) = key.as_ref().and_then(|k| self.turns.get_mut(k)) {
                t.out += 1;
            }
            let a = Attempt {
                call,
                endpoint,
                destination,
                class,
                sent: now,
                called_off: false,
                lost: false,
                key,
            };
            self.attempts.insert((id, m.attempts), a);
            m.attempts += 1;
            travelling += 1;
            // Long for what must not run twice; from the usual pace for the rest.
            let left = (m.m.expires_at - now).max(1);
            let repeatable = e.s.classes[class].idempotency != Idempotency::NotIdempotent;
            let short = (TIMEOUT_TIMES * usual).max(2.0 * e.latency_objective) as Micros;
            let timeout = if repeatable { short.min(left) } else { left };
            out.push(Action::Send {
                id,
                endpoint,
                timeout,
                send_before: self.sendable_until(&self.messages[&id]),
            });
            let (d, t) = (&self.destinations[&destination], &self.endpoints[&endpoint]);
            let scope = if kind.separate_routes { &t.scope } else { &d.scope };
            next = self.pick(d, scope, t, now).map(|(_, id)| id);
        }
        self.calls.insert(call, travelling);
        *self.in_flight.entry(destination).or_default() += 1;
        let t = self.endpoints.get_mut(&endpoint).expect("endpoints are known");
        t.out += 1;
        t.idle.pop_back();
        self.scope(destination, endpoint).sent(call, now, travelling >= kind.batch, &e);
    }

    // ---- Outcomes ----

    fn ended(&mut self, now: Micros, end: AttemptEnded, actions: &mut Vec<Action>) {
        let Some(a) = self.attempts.remove(&(end.id, end.attempt)) else { return };
        // A wait told to one message binds every message there.
        let full = if let Outcome::Rejected { retry_after: wait } = end.outcome { wait } else { None };
        if let Some(wait) = full.or(end.retry_after) {
            let scope = self.scope(a.destination, a.endpoint);
            scope.wait_until = scope.wait_until.max(now + wait);
        }
        self.call_ended(now, &a, &end);
        if let Some(t) = a.key.as_ref().and_then(|key| self.turns.get_mut(key)) {
            t.out = t.out.saturating_sub(1);
            if [Outcome::TimedOut, Outcome::Reset, Outcome::StaleConnection, Outcome::Cancelled]
                .contains(&end.outcome)
            {
                t.rest_until = t.rest_until.max(now + self.e.s.ordering_gap);
            }
        }
        if end.finished || end.outcome == Outcome::Delivered {
            self.ends[a.class].iter_mut().for_each(|count| count.add(now, self.e.warm));
            self.forget(now, end.id);
        } else if self.messages.contains_key(&end.id) {
            self.again(now, &a, &end, actions);
        }
        a.key.iter().for_each(|key| self.next_turn(now, key));
    }

    /// A further attempt, if the class and the attempts left allow one.
    fn again(&mut self, now: Micros, a: &Attempt, end: &AttemptEnded, actions: &mut Vec<Action>) {
        let (e, id, zone) = (self.e.clone(), end.id, self.endpoints[&a.endpoint].zone);
        let m = self.messages.get_mut(&id).expect("checked by the caller");
        if !end.outcome.never_executed() && m.possible_execution.is_none() {
            m.possible_execution = Some(PossibleExecution { sent_at: a.sent, zone });
        }
        (m.place, m.unsent) = (MessageState::Blocked, m.unsent + usize::from(end.unsent));
        self.set_alarm(id);
        let m = &self.messages[&id];
        if now >= m.alarm || self.spent(m) {
            return self.reject(now, id, actions);
        }
        let step = (e.latency_objective as Micros / RETRY_PART) << (m.attempts - 1).min(4);
        // A dead connection tells nothing against another one, now.
        let held = end.unsent && end.outcome == Outcome::NotSent;
        let at_once = (end.outcome.never_executed() && !held) || end.outcome == Outcome::StaleConnection;
        if at_once { self.enqueue(now, id) } else { self.park(id, now + step) }
    }

    /// Books the end of a call: slot, count and connection; then it is judged.
    fn call_ended(&mut self, now: Micros, a: &Attempt, end: &AttemptEnded) {
        let left = self.calls.get_mut(&a.call).expect("an attempt belongs to a call");
        *left -= 1;
        if *left > 0 {
            return;
        }
        self.calls.remove(&a.call);
        let (e, scope, took) = (self.e.clone(), self.scope(a.destination, a.endpoint), end.elapsed as f64);
        scope.out.remove(&a.call);
        // What never got there has used up nothing of the limit: its place in the pace is the next call's.
        if let Some((rate, _)) = scope.rate(now, &e).filter(|_| end.unsent) {
            scope.due -= (SECOND / rate) as Micros;
        }
        self.in_flight.retain(|destination, calls| {
            *calls -= usize::from(*destination == a.destination);
            *calls > 0
        });
        let t = self.endpoints.get_mut(&a.endpoint).expect("only known endpoints are sent to");
        t.out = t.out.saturating_sub(1);
        if matches!(end.outcome, Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. }) {
            t.idle.push_back(now);
            t.idle.retain(|at| now - at < e.s.idle_timeout);
            self.used.insert(a.endpoint);
        }
        match end.outcome {
            Outcome::Delivered => {
                t.pace = if t.pace > 0.0 { t.pace + PACE_GAIN * (took - t.pace) } else { took };
                (t.avoid_until, t.answered, t.crowded) = (now, t.answered.max(a.sent), 0);
            }
            // Its endpoint has answered since: that says more than an answer that is lost.
            Outcome::Cancelled if a.lost => return,
            Outcome::Rejected { .. }
            | Outcome::NotSent
            | Outcome::InvalidResponse
            | Outcome::StaleConnection => {}
            // Turned away at once: it lives, but its table of connections is full.
            Outcome::ConnectFailed if end.elapsed < e.s.connect_timeout / 2 => {
                // Those sent before the first of them was heard of count as one.
                if a.sent >= t.turned_away {
                    (t.turned_away, t.crowded) = (now, (t.crowded + 1).min(6));
                    let wait = e.latency_objective / 16.0
                        * f64::from(1 << t.crowded)
                        * (0.5 + random_unit(&mut self.seed));
                    t.closed_until = now + wait as Micros;
                }
                // Turned away again and again it is down, which says nothing of others' tables.
                self.crowded_until = if t.crowded > 1 { now } else { now + e.warm as Micros };
                return;
            }
            _ => t.avoid_until = now + e.s.warm_up_time / AVOID_PART,
        }
        self.judge(now, a.destination, a.endpoint, end);
    }

    fn judge(&mut self, now: Micros, destination: DestinationId, endpoint: EndpointId, end: &AttemptEnded) {
        let (e, batch) = (self.e.clone(), self.destinations[&destination].kind.batch);
        let scope = self.scope(destination, endpoint);
        if let Some(limit) = end.report.and_then(|r| r.limit).filter(|limit| scope.believes(*limit)) {
            if scope.ceiling.is_none() {
                scope.limit = Some(if batch > 1 { limit / e.s.sender_count.max(1) as f64 } else { limit });
            }
            scope.ceiling = Some(limit);
        }
        match end.outcome {
            Outcome::Delivered => scope.delivered(now, end.elapsed as f64, &e),
            Outcome::Rejected { retry_after: wait } => scope.refused(now, now - end.elapsed, wait, &e),
            // Nobody's health shows in an answer spoilt on its way, or in a connection that was dead.
            Outcome::NotSent | Outcome::InvalidResponse | Outcome::StaleConnection => {}
            outcome => scope.failed(now, outcome, &e),
        }
    }

    // ---- Timers ----

    fn timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.extend(self.subscribe_at.take_if(|at| *at <= now).map(|_| Action::Subscribe));
        while let Some(&(at, id)) = self.alarms.first().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, id));
            let m = self.messages.get_mut(&id).expect("alarms go with their message");
            let latest = m.m.expires_at - 2 * self.e.tick;
            if m.place == MessageState::InFlight && latest > now {
                m.alarm = latest;
                self.alarms.insert((latest, id));
            } else if !m.started {
                self.reject(now, id, actions);
            }
        }
        while let Some(&(at, id)) = self.parked.first().filter(|(at, _)| *at <= now) {
            self.parked.remove(&(at, id));
            self.enqueue(now, id);
        }
    }

    fn set_wake(&mut self, now: Micros, at: Micros, actions: &mut Vec<Action>) {
        let firsts = [self.alarms.first(), self.parked.first()].into_iter().flatten().map(|(at, _)| *at);
        let at = firsts.chain(self.subscribe_at).fold(at, Micros::min).max(now + 1);
        if at < self.wake_at && at < Micros::MAX {
            self.wake_at = at;
            actions.push(Action::Wake { at });
        }
    }
}
