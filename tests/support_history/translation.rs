//! The only place where the recorded histories of decisions name types of the package.
//!
//! The numbers in [`encode_decision`], [`encode_backlog`] and [`encode_learnt`] are part of the recording: a
//! rename in the package changes the left sides here and nothing else.

use super::support_history::Digest;
use plankwalk::Balancer;
use plankwalk::api::*;

pub const MILLISECOND: i64 = 1_000;
pub const SECOND: i64 = 1_000_000;

/// Indices of the classes of [`settings`].
pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const KEYED_PER_ZONE: usize = 2;
pub const UNSAFE: usize = 3;
pub const SAFE_ORDERED: usize = 4;
pub const UNSAFE_ORDERED: usize = 5;
/// Indices of the kinds of [`settings`].
pub const SHARED: usize = 0;
pub const SEPARATE: usize = 1;
pub const BATCHED: usize = 2;
/// Messages of one call to a destination of the kind [`BATCHED`].
pub const BATCH: usize = 20;
/// Tenants of [`settings`].
pub const TENANTS: u64 = 3;

/// The settings in which scenarios differ.
#[derive(Clone, Copy)]
pub struct Profile {
    pub senders: usize,
    pub slots: usize,
    pub open_cap: usize,
    /// 0: none, 1: nominal, 2: rough.
    pub weights: u8,
    pub ask: bool,
    pub cancel: bool,
    pub halves: bool,
}

pub fn settings(profile: &Profile) -> Settings {
    let class = |effect, worth, ordered| Class {
        effect,
        aim: 2 * SECOND,
        deadline: 12 * SECOND,
        worth,
        late_share: 0.3,
        ordered,
    };
    let keyed = |per_zone| Effect::Keyed { life: 5 * SECOND, per_zone };
    Settings {
        classes: vec![
            class(Effect::Safe, 1.0, false),
            class(keyed(false), 3.0, false),
            class(keyed(true), 2.0, false),
            class(Effect::Unsafe, 5.0, false),
            class(Effect::Safe, 1.0, true),
            Class { aim: 3 * SECOND, ..class(Effect::Unsafe, 4.0, true) },
        ],
        kinds: vec![
            Kind { routes_apart: false, batch: 1 },
            Kind { routes_apart: true, batch: 1 },
            Kind { routes_apart: false, batch: BATCH },
        ],
        tenants: vec![Tenant { quota: 1.0 }, Tenant { quota: 5.0 }, Tenant { quota: 1e9 }],
        over_share_worth: 0.25,
        decay: if profile.halves { Decay::Halves } else { Decay::Line },
        zone: 0,
        senders: profile.senders,
        slots: profile.slots,
        open_cap: profile.open_cap,
        max_attempts: 5,
        cancel: profile.cancel,
        retry_after: true,
        max_retry_after: 3 * SECOND,
        ask: profile.ask,
        ask_within: SECOND,
        weights: match profile.weights {
            0 => Weights::Off,
            1 => Weights::Nominal,
            _ => Weights::Rough,
        },
        idle_close: 4 * SECOND,
        connect_timeout: SECOND,
        round: 5 * MILLISECOND,
        fall_multiple: 2.0,
        overload_for: 3 * SECOND,
        start_capacity: 0.2,
        warm_after: 8 * SECOND,
        turn_gap: SECOND,
    }
}

/// How an attempt ends.
#[derive(Clone, Copy, PartialEq)]
pub enum Ending {
    Delivered,
    Error,
    Full(Option<i64>),
    TimedOut,
    ConnectFailed,
    Reset,
    Spoilt,
    Dead,
    Cancelled,
    NotSent,
}

fn outcome(ending: Ending) -> Outcome {
    match ending {
        Ending::Delivered => Outcome::Delivered,
        Ending::Error => Outcome::Error,
        Ending::Full(wait) => Outcome::Full { wait },
        Ending::TimedOut => Outcome::TimedOut,
        Ending::ConnectFailed => Outcome::ConnectFailed,
        Ending::Reset => Outcome::Reset,
        Ending::Spoilt => Outcome::Spoilt,
        Ending::Dead => Outcome::Dead,
        Ending::Cancelled => Outcome::Cancelled,
        Ending::NotSent => Outcome::NotSent,
    }
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, PartialEq)]
pub enum Listed {
    Serving,
    Draining,
    Deleted,
}

/// One endpoint and what the list says of it.
#[derive(Clone, Copy)]
pub struct Endpoint {
    pub id: u64,
    pub destination: u64,
    pub kind: usize,
    pub zone: usize,
    pub weight: f64,
    pub listed: Listed,
}

fn entry(endpoint: &Endpoint) -> Entry {
    Entry {
        target: endpoint.id,
        dest: endpoint.destination,
        zone: endpoint.zone,
        kind: endpoint.kind,
        listing: match endpoint.listed {
            Listed::Serving => Listing::Serving,
            Listed::Draining => Listing::Draining,
            Listed::Deleted => Listing::Deleted,
        },
        weight: endpoint.weight,
    }
}

/// A call of an earlier process: its number, its endpoint and when it was sent.
pub type OpenCall = (u64, u64, i64);

fn still_out((call, target, sent): OpenCall) -> StillOut {
    StillOut { call, target, sent }
}

/// What the histories hand in; see the events of the package.
pub enum Input {
    Submit {
        id: u64,
        class: usize,
        tenant: Option<usize>,
        key: Option<String>,
        give_up_at: i64,
        destination: u64,
        taken_on: bool,
        attempts: usize,
        risk: Option<(i64, usize)>,
        open_call: Option<OpenCall>,
    },
    Ended {
        id: u64,
        attempt: usize,
        ending: Ending,
        elapsed: i64,
        finished: bool,
        /// The outer option: a report was made; the inner one: it tells a limit.
        report: Option<Option<f64>>,
        unsent: bool,
        wait: Option<i64>,
    },
    Started(u64),
    ClientLeft(u64),
    WholeList(Vec<Endpoint>),
    ListChanges(Vec<Endpoint>),
    Ban(u64),
    BanEnded(u64),
    StillOut(u64, usize, OpenCall),
    Drain,
    Resume,
    ListBroken,
    Wake,
    TurnEnd,
}

fn event(input: Input) -> Event {
    match input {
        Input::Submit {
            id,
            class,
            tenant,
            key,
            give_up_at,
            destination,
            taken_on,
            attempts,
            risk,
            open_call,
        } => {
            let past = Past { taken_on, attempts, risk, out: open_call.map(still_out) };
            Event::Submit(Submit { id, class, tenant, key, give_up_at, dest: destination, past })
        }
        Input::Ended { id, attempt, ending, elapsed, finished, report, unsent, wait } => {
            let (outcome, report) = (outcome(ending), report.map(|limit| Report { limit }));
            Event::Ended(Ended { id, attempt, outcome, elapsed, finished, report, unsent, wait })
        }
        Input::Started(id) => Event::Started { id },
        Input::ClientLeft(id) => Event::ClientLeft { id },
        Input::WholeList(endpoints) => Event::ListWhole(endpoints.iter().map(entry).collect()),
        Input::ListChanges(endpoints) => Event::ListChanges(endpoints.iter().map(entry).collect()),
        Input::Ban(target) => Event::Ban { target },
        Input::BanEnded(target) => Event::BanEnded { target },
        Input::StillOut(id, attempt, call) => Event::StillOut { id, attempt, out: still_out(call) },
        Input::Drain => Event::Drain,
        Input::Resume => Event::Resume,
        Input::ListBroken => Event::ListBroken,
        Input::Wake => Event::Wake,
        Input::TurnEnd => Event::TurnEnd,
    }
}

/// What the package decided; see its actions.
#[derive(Clone, Copy)]
pub enum Decision {
    Send { id: u64, endpoint: u64, timeout: i64, latest: i64 },
    Refuse { id: u64, wait: i64 },
    Fail { id: u64 },
    Cancel { id: u64, attempt: usize },
    Close { endpoint: u64 },
    Wake { at: i64 },
    Subscribe,
    Admit(bool),
}

fn decision(action: &Action) -> Decision {
    match *action {
        Action::Send { id, target, timeout, latest } => {
            Decision::Send { id, endpoint: target, timeout, latest }
        }
        Action::Refuse { id, wait } => Decision::Refuse { id, wait },
        Action::Fail { id } => Decision::Fail { id },
        Action::Cancel { id, attempt } => Decision::Cancel { id, attempt },
        Action::Close { target } => Decision::Close { endpoint: target },
        Action::Wake { at } => Decision::Wake { at },
        Action::Subscribe => Decision::Subscribe,
        Action::Admit(open) => Decision::Admit(open),
    }
}

/// The decision module under test.
pub struct Subject {
    balancer: Balancer,
}

impl Subject {
    pub fn new(profile: &Profile, seed: u64) -> Self {
        Subject { balancer: Balancer::new(settings(profile), seed) }
    }

    pub fn hand_in(&mut self, now: i64, input: Input) -> Vec<Decision> {
        let mut actions = Vec::new();
        self.balancer.on_event(now, event(input), &mut actions);
        actions.iter().map(decision).collect()
    }

    /// Gives all that `earlier` has learnt to this one.
    pub fn learn_from(&mut self, earlier: &Subject, now: i64) {
        for learnt in earlier.balancer.learnt(now) {
            self.balancer.on_event(now, Event::Learnt(learnt), &mut Vec::new());
        }
    }

    /// Adds what the module tells of itself to the digest.
    pub fn encode_state(&self, now: i64, digest: &mut Digest) {
        self.balancer.backlog(now).iter().for_each(|backlog| encode_backlog(backlog, digest));
        self.balancer.learnt(now).iter().for_each(|learnt| encode_learnt(learnt, digest));
    }
}

fn add(digest: &mut Digest, fields: &[i64]) {
    fields.iter().for_each(|field| digest.add_bytes(&field.to_le_bytes()));
}

fn bits(number: f64) -> i64 {
    number.to_bits() as i64
}

fn optional_bits(number: Option<f64>) -> [i64; 2] {
    number.map_or([0, 0], |number| [1, bits(number)])
}

/// The number of a kind of decision, from 1 to 8.
pub fn tag(decision: &Decision) -> usize {
    match decision {
        Decision::Send { .. } => 1,
        Decision::Refuse { .. } => 2,
        Decision::Fail { .. } => 3,
        Decision::Cancel { .. } => 4,
        Decision::Close { .. } => 5,
        Decision::Wake { .. } => 6,
        Decision::Subscribe => 7,
        Decision::Admit(_) => 8,
    }
}

pub fn encode_decision(now: i64, decision: &Decision, digest: &mut Digest) {
    add(digest, &[now, tag(decision) as i64]);
    match *decision {
        Decision::Send { id, endpoint, timeout, latest } => {
            add(digest, &[id as i64, endpoint as i64, timeout, latest]);
        }
        Decision::Refuse { id, wait } => add(digest, &[id as i64, wait]),
        Decision::Fail { id } => add(digest, &[id as i64]),
        Decision::Cancel { id, attempt } => add(digest, &[id as i64, attempt as i64]),
        Decision::Close { endpoint } => add(digest, &[endpoint as i64]),
        Decision::Wake { at } => add(digest, &[at]),
        Decision::Subscribe => {}
        Decision::Admit(open) => add(digest, &[i64::from(open)]),
    }
}

fn encode_backlog(backlog: &Backlog, digest: &mut Digest) {
    let Backlog { dest, messages, endpoints, calls, degraded, outage, rate, ready_in, waits_for } = *backlog;
    add(digest, &[100, dest as i64, messages as i64, endpoints as i64, calls as i64]);
    add(digest, &[i64::from(degraded), i64::from(outage), ready_in, waits_for]);
    add(digest, &optional_bits(rate));
}

fn encode_learnt(learnt: &Learnt, digest: &mut Digest) {
    let state = match learnt.state {
        Condition::Well => [0, 0],
        Condition::Down { next_try } => [1, next_try],
        Condition::Cold { since } => [2, since],
    };
    add(digest, &[200, learnt.dest as i64]);
    add(digest, &learnt.target.map_or([0, 0], |target| [1, target as i64]));
    add(digest, &[learnt.wait_for, learnt.due_in, learnt.age]);
    add(digest, &state);
    add(digest, &[learnt.base, learnt.sent, learnt.usual, learnt.pace].map(bits));
    add(digest, &learnt.health.map(bits));
    add(digest, &optional_bits(learnt.limit));
    add(digest, &optional_bits(learnt.ceiling));
}
