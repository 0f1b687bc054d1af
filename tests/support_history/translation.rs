//! The only place where the recorded histories of decisions name types of the package.
//!
//! The numbers in [`encode_decision`], [`encode_backlog`] and [`encode_learned`] are part of the recording: a
//! rename in the package changes the left sides here and nothing else.

use super::support_history::Digest;
use message_forwarder::Balancer;
use message_forwarder::interface::*;

pub(crate) const MILLISECOND: i64 = 1_000;
pub(crate) const SECOND: i64 = 1_000_000;

/// Indices of the classes of [`settings`].
pub(crate) const IDEMPOTENT: usize = 0;
pub(crate) const KEYED: usize = 1;
pub(crate) const KEYED_PER_ZONE: usize = 2;
pub(crate) const NOT_IDEMPOTENT: usize = 3;
pub(crate) const IDEMPOTENT_ORDERED: usize = 4;
pub(crate) const NOT_IDEMPOTENT_ORDERED: usize = 5;
/// Indices of the kinds of [`settings`].
pub(crate) const SHARED: usize = 0;
pub(crate) const SEPARATE: usize = 1;
pub(crate) const BATCHED: usize = 2;
/// Messages of one call to a destination of the kind [`BATCHED`].
pub(crate) const BATCH: usize = 20;
/// Tenants of [`settings`].
pub(crate) const TENANTS: u64 = 3;

/// The settings in which scenarios differ.
#[derive(Clone, Copy)]
pub(crate) struct Profile {
    pub sender_count: usize,
    pub call_slots: usize,
    pub max_open_messages: usize,
    /// 0: off, 1: nominal, 2: approximate.
    pub weights: u8,
    pub poll_discovery: bool,
    pub cancel: bool,
    pub half_life_decay: bool,
}

pub(crate) fn settings(profile: &Profile) -> Settings {
    let class = |idempotency, priority_weight, ordered| Class {
        idempotency,
        latency_objective: 2 * SECOND,
        deadline: 12 * SECOND,
        priority_weight,
        late_weight_fraction: 0.3,
        ordered,
    };
    let keyed = |per_zone| Idempotency::Keyed { key_lifetime: 5 * SECOND, per_zone };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0, false),
            class(keyed(false), 3.0, false),
            class(keyed(true), 2.0, false),
            class(Idempotency::NotIdempotent, 5.0, false),
            class(Idempotency::Idempotent, 1.0, true),
            Class { latency_objective: 3 * SECOND, ..class(Idempotency::NotIdempotent, 4.0, true) },
        ],
        kinds: vec![
            DestinationKind { separate_routes: false, batch: 1 },
            DestinationKind { separate_routes: true, batch: 1 },
            DestinationKind { separate_routes: false, batch: BATCH },
        ],
        tenants: vec![Tenant { quota: 1.0 }, Tenant { quota: 5.0 }, Tenant { quota: 1e9 }],
        over_quota_weight: 0.25,
        weight_decay: if profile.half_life_decay { WeightDecay::HalfLife } else { WeightDecay::Linear },
        zone: 0,
        sender_count: profile.sender_count,
        call_slots: profile.call_slots,
        max_open_messages: profile.max_open_messages,
        max_attempts: 5,
        cancellation: profile.cancel,
        retry_after: true,
        max_retry_after: 3 * SECOND,
        poll_discovery: profile.poll_discovery,
        max_list_age: SECOND,
        endpoint_weights: match profile.weights {
            0 => EndpointWeights::Off,
            1 => EndpointWeights::Nominal,
            _ => EndpointWeights::Approximate,
        },
        idle_timeout: 4 * SECOND,
        connect_timeout: SECOND,
        min_turn_interval: 5 * MILLISECOND,
        overload_factor: 2.0,
        overload_window: 3 * SECOND,
        initial_capacity: 0.2,
        warm_up_time: 8 * SECOND,
        ordering_gap: SECOND,
    }
}

/// How an attempt ends.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Ending {
    Delivered,
    Error,
    Rejected(Option<i64>),
    TimedOut,
    ConnectFailed,
    Reset,
    InvalidResponse,
    StaleConnection,
    Cancelled,
    NotSent,
}

fn outcome(ending: Ending) -> Outcome {
    match ending {
        Ending::Delivered => Outcome::Delivered,
        Ending::Error => Outcome::Error,
        Ending::Rejected(wait) => Outcome::Rejected { retry_after: wait },
        Ending::TimedOut => Outcome::TimedOut,
        Ending::ConnectFailed => Outcome::ConnectFailed,
        Ending::Reset => Outcome::Reset,
        Ending::InvalidResponse => Outcome::InvalidResponse,
        Ending::StaleConnection => Outcome::StaleConnection,
        Ending::Cancelled => Outcome::Cancelled,
        Ending::NotSent => Outcome::NotSent,
    }
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Listed {
    Serving,
    Draining,
    Deleted,
}

/// One endpoint and its entry in the list.
#[derive(Clone, Copy)]
pub(crate) struct Endpoint {
    pub id: u64,
    pub destination: u64,
    pub kind: usize,
    pub zone: usize,
    pub weight: f64,
    pub listed: Listed,
}

fn entry(endpoint: &Endpoint) -> EndpointEntry {
    EndpointEntry {
        endpoint: endpoint.id,
        destination: endpoint.destination,
        zone: endpoint.zone,
        kind: endpoint.kind,
        state: match endpoint.listed {
            Listed::Serving => EndpointState::Serving,
            Listed::Draining => EndpointState::Draining,
            Listed::Deleted => EndpointState::Deleted,
        },
        weight: endpoint.weight,
    }
}

/// A call of a predecessor that is still in flight: its number, its endpoint and when it was sent.
pub(crate) type CallInFlight = (u64, u64, i64);

fn inherited_call((call, endpoint, sent_at): CallInFlight) -> InheritedCall {
    InheritedCall { call, endpoint, sent_at }
}

/// The inputs of the histories; see the events of the package.
pub(crate) enum Input {
    Submit {
        id: u64,
        class: usize,
        tenant: Option<usize>,
        key: Option<String>,
        expires_at: i64,
        destination: u64,
        accepted: bool,
        attempts: usize,
        possible_execution: Option<(i64, usize)>,
        call_in_flight: Option<CallInFlight>,
    },
    Ended {
        id: u64,
        attempt: usize,
        ending: Ending,
        elapsed: i64,
        finished: bool,
        /// The outer option is set if there is a report, the inner one if the report has a limit.
        report: Option<Option<f64>>,
        unsent: bool,
        wait: Option<i64>,
    },
    ResponseStarted(u64),
    ClientDisconnected(u64),
    ListSnapshot(Vec<Endpoint>),
    ListUpdate(Vec<Endpoint>),
    Ban(u64),
    BanEnded(u64),
    InheritedAttempt(u64, usize, CallInFlight),
    Drain,
    Resume,
    WatchFailed,
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
            expires_at,
            destination,
            accepted,
            attempts,
            possible_execution,
            call_in_flight,
        } => {
            let history = MessageHistory {
                accepted,
                attempts,
                possible_execution: possible_execution
                    .map(|(sent_at, zone)| PossibleExecution { sent_at, zone }),
                in_flight: call_in_flight.map(inherited_call),
            };
            Event::Submit(Submission { id, class, tenant, key, expires_at, destination, history })
        }
        Input::Ended { id, attempt, ending, elapsed, finished, report, unsent, wait } => {
            let (outcome, report) = (outcome(ending), report.map(|limit| LoadReport { limit }));
            Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                outcome,
                elapsed,
                finished,
                report,
                unsent,
                retry_after: wait,
            })
        }
        Input::ResponseStarted(id) => Event::ResponseStarted { id },
        Input::ClientDisconnected(id) => Event::ClientDisconnected { id },
        Input::ListSnapshot(endpoints) => Event::ListSnapshot(endpoints.iter().map(entry).collect()),
        Input::ListUpdate(endpoints) => Event::ListUpdate(endpoints.iter().map(entry).collect()),
        Input::Ban(endpoint) => Event::BanStarted { endpoint },
        Input::BanEnded(endpoint) => Event::BanEnded { endpoint },
        Input::InheritedAttempt(id, attempt, call) => {
            Event::InheritedAttempt { id, attempt, call: inherited_call(call) }
        }
        Input::Drain => Event::Drain,
        Input::Resume => Event::Resume,
        Input::WatchFailed => Event::WatchFailed,
        Input::Wake => Event::Wake,
        Input::TurnEnd => Event::TurnEnd,
    }
}

/// What the package decided; see its actions.
#[derive(Clone, Copy)]
pub(crate) enum Decision {
    Send { id: u64, endpoint: u64, timeout: i64, send_before: i64 },
    Reject { id: u64, wait: i64 },
    Fail { id: u64 },
    Cancel { id: u64, attempt: usize },
    CloseIdleConnections { endpoint: u64 },
    Wake { at: i64 },
    Subscribe,
    AcceptClients(bool),
}

fn decision(action: &Action) -> Decision {
    match *action {
        Action::Send { id, endpoint, timeout, send_before } => {
            Decision::Send { id, endpoint, timeout, send_before }
        }
        Action::Reject { id, retry_after: wait } => Decision::Reject { id, wait },
        Action::Fail { id } => Decision::Fail { id },
        Action::Cancel { id, attempt } => Decision::Cancel { id, attempt },
        Action::CloseIdleConnections { endpoint } => Decision::CloseIdleConnections { endpoint },
        Action::Wake { at } => Decision::Wake { at },
        Action::Subscribe => Decision::Subscribe,
        Action::AcceptClients(open) => Decision::AcceptClients(open),
    }
}

/// The decision module under test.
pub(crate) struct Subject {
    balancer: Balancer,
}

impl Subject {
    pub(crate) fn new(profile: &Profile, seed: u64) -> Self {
        Subject { balancer: Balancer::new(settings(profile), seed) }
    }

    pub(crate) fn handle(&mut self, now: i64, input: Input) -> Vec<Decision> {
        let mut actions = Vec::new();
        self.balancer.on_event(now, event(input), &mut actions);
        actions.iter().map(decision).collect()
    }

    /// Passes on all that `predecessor` has learned.
    pub(crate) fn learn_from(&mut self, predecessor: &Subject, now: i64) {
        for learned in predecessor.balancer.learned(now) {
            self.balancer.on_event(now, Event::Learned(learned), &mut Vec::new());
        }
    }

    /// Adds the module's backlog and learned state to the digest.
    pub(crate) fn encode_state(&self, now: i64, digest: &mut Digest) {
        self.balancer.backlog(now).iter().for_each(|backlog| encode_backlog(backlog, digest));
        self.balancer.learned(now).iter().for_each(|learned| encode_learned(learned, digest));
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
pub(crate) fn tag(decision: &Decision) -> usize {
    match decision {
        Decision::Send { .. } => 1,
        Decision::Reject { .. } => 2,
        Decision::Fail { .. } => 3,
        Decision::Cancel { .. } => 4,
        Decision::CloseIdleConnections { .. } => 5,
        Decision::Wake { .. } => 6,
        Decision::Subscribe => 7,
        Decision::AcceptClients(_) => 8,
    }
}

pub(crate) fn encode_decision(now: i64, decision: &Decision, digest: &mut Digest) {
    add(digest, &[now, tag(decision) as i64]);
    match *decision {
        Decision::Send { id, endpoint, timeout, send_before } => {
            add(digest, &[id as i64, endpoint as i64, timeout, send_before]);
        }
        Decision::Reject { id, wait } => add(digest, &[id as i64, wait]),
        Decision::Fail { id } => add(digest, &[id as i64]),
        Decision::Cancel { id, attempt } => add(digest, &[id as i64, attempt as i64]),
        Decision::CloseIdleConnections { endpoint } => add(digest, &[endpoint as i64]),
        Decision::Wake { at } => add(digest, &[at]),
        Decision::Subscribe => {}
        Decision::AcceptClients(open) => add(digest, &[i64::from(open)]),
    }
}

fn encode_backlog(backlog: &DestinationBacklog, digest: &mut Digest) {
    let DestinationBacklog {
        destination,
        messages,
        endpoints,
        calls,
        degraded,
        outage,
        rate,
        ready_in,
        retry_after,
    } = *backlog;
    add(digest, &[100, destination as i64, messages as i64, endpoints as i64, calls as i64]);
    add(digest, &[i64::from(degraded), i64::from(outage), ready_in, retry_after]);
    add(digest, &optional_bits(rate));
}

fn encode_learned(learned: &LearnedState, digest: &mut Digest) {
    let state = match learned.health {
        HealthState::Healthy => [0, 0],
        HealthState::Down { next_probe } => [1, next_probe],
        HealthState::WarmingUp { since } => [2, since],
    };
    add(digest, &[200, learned.destination as i64]);
    add(digest, &learned.endpoint.map_or([0, 0], |target| [1, target as i64]));
    add(digest, &[learned.retry_after, learned.next_call_in, learned.age]);
    add(digest, &state);
    add(
        digest,
        &[learned.healthy_rate, learned.calls_sent, learned.usual_latency, learned.recent_latency].map(bits),
    );
    add(digest, &learned.outcome_counts.map(bits));
    add(digest, &optional_bits(learned.rate_limit));
    add(digest, &optional_bits(learned.reported_limit));
}
