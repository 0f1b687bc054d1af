//! A hand-driven sender for the module tests.
#![allow(dead_code, missing_docs)]

use message_forwarder::Balancer;
use message_forwarder::interface::*;

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        latency_objective: 3 * SEC,
        deadline: 16 * SEC,
        priority_weight: 1.0,
        late_weight_fraction: 0.3,
        ordered: false,
    }
}

/// Classes: 0 safe, 1 keyed (life 5 s), 2 unsafe, 3 safe and ordered. Kinds: 0 plain, 1 routes apart, 2 batches.
pub fn settings() -> Settings {
    let ordered = Class { ordered: true, ..class(Idempotency::Idempotent) };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed { key_lifetime: 5 * SEC, per_zone: false }),
            class(Idempotency::NotIdempotent),
            ordered,
        ],
        kinds: vec![
            DestinationKind { separate_routes: false, batch: 1 },
            DestinationKind { separate_routes: true, batch: 1 },
            DestinationKind { separate_routes: false, batch: 20 },
        ],
        call_slots: 8,
        max_open_messages: 200,
        max_attempts: 6,
        retry_after: true,
        max_retry_after: 3 * SEC,
        sender_count: 2,
        idle_timeout: 5 * SEC,
        min_turn_interval: 5 * MS,
        overload_factor: 2.0,
        overload_window: 3 * SEC,
        initial_capacity: 0.2,
        warm_up_time: 12 * SEC,
        ordering_gap: SEC,
        ..Settings::default()
    }
}

pub fn entry(endpoint: EndpointId, destination: DestinationId, kind: usize) -> EndpointEntry {
    EndpointEntry { endpoint, destination, zone: 0, kind, state: EndpointState::Serving, weight: 1.0 }
}

pub struct Rig {
    pub sender: Balancer,
    pub now: Micros,
}

impl Rig {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        let mut rig = Rig { sender: Balancer::new(settings, 7), now: 100 * SEC };
        rig.turn(vec![Event::ListSnapshot(entries)]);
        rig
    }

    /// Hands in events at the present time, ends the turn and returns the actions but for alarms.
    pub fn turn(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events.into_iter().chain([Event::TurnEnd]) {
            self.sender.on_event(self.now, event, &mut actions);
        }
        actions.retain(|a| !matches!(a, Action::Wake { .. }));
        actions
    }

    /// Lets time pass in steps, with an alarm at each, and returns all actions with their times.
    pub fn pass(&mut self, span: Micros) -> Vec<(Micros, Action)> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            let now = self.now;
            all.extend(self.turn(vec![Event::Wake]).into_iter().map(|a| (now, a)));
        }
        all
    }

    pub fn submit(&mut self, id: MessageId, class: usize, destination: DestinationId) -> Vec<Action> {
        let expires_at = self.now + 16 * SEC;
        self.turn(vec![Event::Submit(Submission {
            id,
            class,
            tenant: None,
            key: None,
            expires_at,
            destination,
            history: MessageHistory::default(),
        })])
    }

    pub fn keyed(&mut self, id: MessageId, key: &str, destination: DestinationId) -> Vec<Action> {
        let (key, expires_at) = (Some(key.to_owned()), self.now + 16 * SEC);
        self.turn(vec![Event::Submit(Submission {
            id,
            class: 3,
            tenant: None,
            key,
            expires_at,
            destination,
            history: MessageHistory::default(),
        })])
    }

    pub fn ended(&mut self, id: MessageId, attempt: usize, outcome: Outcome, elapsed: Micros) -> Vec<Action> {
        let finished = outcome == Outcome::Delivered;
        self.turn(vec![Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            outcome,
            elapsed,
            finished,
            report: None,
            retry_after: None,
            unsent: false,
        })])
    }
}

pub fn sends(actions: &[Action]) -> Vec<(MessageId, EndpointId)> {
    let send = |a: &Action| match a {
        Action::Send { id, endpoint, .. } => Some((*id, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn timed_sends(actions: &[(Micros, Action)]) -> Vec<(Micros, MessageId, EndpointId)> {
    let send = |(at, a): &(Micros, Action)| match a {
        Action::Send { id, endpoint, .. } => Some((*at, *id, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}
