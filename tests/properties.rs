//! The rules of the decision module, checked over random valid events. The checkers apply the rules and
//! do not depend on how the module decides.

mod common;
use common::*;
use message_forwarder::Balancer;
use message_forwarder::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

/// Calls that the sender under test may have in flight.
const CALL_SLOTS: usize = 4;

/// One step of a test case.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// Time before the step, in milliseconds.
    gap: u16,
    /// What happens.
    kind: u8,
    /// Which message or endpoint is affected.
    choice: u8,
    /// How it is affected.
    variant: u8,
}

/// What the checker knows about a message.
#[derive(Default)]
struct MessageRecord {
    class: usize,
    destination: DestinationId,
    key: Option<String>,
    expires_at: Micros,
    /// Endpoint and time of each attempt.
    sent: Vec<(EndpointId, Micros)>,
    /// Numbers of the attempts in flight.
    in_flight: BTreeSet<usize>,
    /// When the first attempt that may have been executed was sent.
    possible_execution: Option<Micros>,
    /// Messages with the same ordering key must not be sent before this time.
    paused_until: Micros,
    has_final_reply: bool,
}

/// Identifies what a Retry-After holds for: a destination, or a route where routes are separate.
type RouteKey = u64;

struct RuleChecker {
    settings: Settings,
    sender: Balancer,
    now: Micros,
    messages: BTreeMap<MessageId, MessageRecord>,
    serving: BTreeSet<EndpointId>,
    wait_until: BTreeMap<RouteKey, Micros>,
    calls_in_flight: usize,
}

/// Destination 1 has shared limits and the endpoints 10 and 11, destination 2 separate routes and 20 and 21.
fn destination_of(endpoint: EndpointId) -> DestinationId {
    endpoint / 10
}

fn route_of(endpoint: EndpointId) -> RouteKey {
    if destination_of(endpoint) == 2 { endpoint } else { destination_of(endpoint) }
}

impl RuleChecker {
    fn new() -> Self {
        let settings = Settings { call_slots: CALL_SLOTS, ..settings() };
        RuleChecker {
            sender: Balancer::new(settings.clone(), 5),
            settings,
            now: 50 * SEC,
            messages: BTreeMap::new(),
            serving: BTreeSet::from([10, 11, 20, 21]),
            wait_until: BTreeMap::new(),
            calls_in_flight: 0,
        }
    }

    /// Passes in an event, ends the turn and checks all actions.
    fn turn(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.sender.on_event(self.now, event, &mut actions);
        self.sender.on_event(self.now, Event::TurnEnd, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, .. } => self.check_send(id, endpoint)?,
                Action::Reject { id, .. } => self.check_rejection(id)?,
                Action::Fail { id } => self.record_final_reply(id)?,
                _ => {}
            }
        }
        for message in self.messages.values() {
            let in_time = self.now <= message.expires_at + 20 * MS;
            prop_assert!(message.has_final_reply || in_time, "no final reply in time");
        }
        Ok(())
    }

    fn check_rejection(&mut self, id: MessageId) -> Result<(), TestCaseError> {
        let message = &self.messages[&id];
        let idempotent = self.settings.classes[message.class].idempotency == Idempotency::Idempotent;
        let not_executed = message.possible_execution.is_none() && message.in_flight.is_empty();
        prop_assert!(idempotent || not_executed, "rejected a message that may have been executed");
        self.record_final_reply(id)
    }

    fn record_final_reply(&mut self, id: MessageId) -> Result<(), TestCaseError> {
        let message = self.messages.get_mut(&id).unwrap();
        prop_assert!(!message.has_final_reply, "second final reply");
        message.has_final_reply = true;
        Ok(())
    }

    fn check_send(&mut self, id: MessageId, endpoint: EndpointId) -> Result<(), TestCaseError> {
        self.check_order(id)?;
        self.check_executions(id)?;
        let message = &self.messages[&id];
        prop_assert!(!message.has_final_reply, "sent after its final reply");
        prop_assert_eq!(destination_of(endpoint), message.destination);
        prop_assert!(self.serving.contains(&endpoint), "sent to an endpoint that is not in service");
        prop_assert!(message.in_flight.is_empty() && message.sent.len() < self.settings.max_attempts);
        let wait_until = self.wait_until.get(&route_of(endpoint)).copied().unwrap_or(0);
        prop_assert!(self.now >= wait_until, "Retry-After not respected");
        self.calls_in_flight += 1;
        prop_assert!(self.calls_in_flight <= self.settings.call_slots, "more calls than slots");
        let now = self.now;
        let message = self.messages.get_mut(&id).unwrap();
        message.in_flight.insert(message.sent.len());
        message.sent.push((endpoint, now));
        Ok(())
    }

    fn check_order(&self, id: MessageId) -> Result<(), TestCaseError> {
        let message = &self.messages[&id];
        let may_be_executed = |earlier: &MessageRecord| {
            !earlier.has_final_reply || !earlier.in_flight.is_empty() || self.now < earlier.paused_until
        };
        let mut same_key = self.messages.range(..id).filter(|(_, earlier)| earlier.key == message.key);
        let out_of_order = message.key.is_some() && same_key.any(|(_, earlier)| may_be_executed(earlier));
        prop_assert!(!out_of_order, "sent out of order");
        Ok(())
    }

    fn check_executions(&self, id: MessageId) -> Result<(), TestCaseError> {
        let message = &self.messages[&id];
        match self.settings.classes[message.class].idempotency {
            Idempotency::NotIdempotent => {
                prop_assert!(message.possible_execution.is_none(), "it may be executed twice");
            }
            Idempotency::Keyed { key_lifetime, .. } => {
                let known = message.possible_execution.is_none_or(|first| self.now <= first + key_lifetime);
                prop_assert!(known, "the destination may have forgotten its key");
            }
            Idempotency::Idempotent => {}
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.advance(Micros::from(step.gap) * MS)?;
        match step.kind % 8 {
            0..3 => self.submit(step),
            3..7 => self.end_some_attempt(step),
            _ => self.change_endpoint(step),
        }
    }

    /// Lets time pass with a wake-up at each tick.
    fn advance(&mut self, duration: Micros) -> Result<(), TestCaseError> {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            self.turn(Event::Wake)?;
        }
        Ok(())
    }

    fn submit(&mut self, step: Step) -> Result<(), TestCaseError> {
        let id = self.messages.len() as MessageId;
        let (class, destination) = (usize::from(step.choice) % 4, u64::from(step.variant) % 2 + 1);
        let key = (class == ORDERED_CLASS).then(|| format!("k{}", step.variant % 3));
        let expires_at = self.now + CLIENT_TIMEOUT;
        let record =
            MessageRecord { class, destination, key: key.clone(), expires_at, ..MessageRecord::default() };
        self.messages.insert(id, record);
        let message = submission(id, class, destination, expires_at);
        self.turn(Event::Submit(Submission { key, ..message }))
    }

    fn end_some_attempt(&mut self, step: Step) -> Result<(), TestCaseError> {
        let attempts_of = |(id, message): (&MessageId, &MessageRecord)| {
            message.in_flight.iter().map(|attempt| (*id, *attempt)).collect::<Vec<_>>()
        };
        let in_flight: Vec<(MessageId, usize)> = self.messages.iter().flat_map(attempts_of).collect();
        if in_flight.is_empty() {
            return Ok(());
        }
        let (id, attempt) = in_flight[usize::from(step.choice) % in_flight.len()];
        self.end_attempt(id, attempt, outcome(step.variant))
    }

    fn change_endpoint(&mut self, step: Step) -> Result<(), TestCaseError> {
        let endpoint = [10, 11, 20, 21][usize::from(step.choice) % 4];
        let states = [EndpointState::Serving, EndpointState::Draining, EndpointState::Deleted];
        let state = states[usize::from(step.variant) % 3];
        match state {
            EndpointState::Serving => self.serving.insert(endpoint),
            _ => self.serving.remove(&endpoint),
        };
        let kind = usize::from(destination_of(endpoint) == 2);
        let entry = EndpointEntry { state, ..entry(endpoint, destination_of(endpoint), kind) };
        self.turn(Event::ListUpdate(vec![entry]))
    }

    fn end_attempt(&mut self, id: MessageId, attempt: usize, outcome: Outcome) -> Result<(), TestCaseError> {
        let now = self.now;
        let message = self.messages.get_mut(&id).unwrap();
        message.in_flight.remove(&attempt);
        self.calls_in_flight -= 1;
        let (endpoint, sent_at) = message.sent[attempt];
        message.has_final_reply |= outcome == Outcome::Delivered;
        if !outcome.never_executed() {
            message.possible_execution = message.possible_execution.or(Some(sent_at));
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset) {
            message.paused_until = now + self.settings.ordering_gap;
        }
        if let Outcome::Rejected { retry_after: Some(wait) } = outcome {
            let wait_until = self.wait_until.entry(route_of(endpoint)).or_insert(0);
            *wait_until = (*wait_until).max(now + wait);
        }
        let finished = message.has_final_reply;
        let ended = attempt_ended(id, attempt, outcome, now - sent_at);
        self.turn(Event::AttemptEnded(AttemptEnded { finished, ..ended }))
    }
}

fn outcome(variant: u8) -> Outcome {
    match variant % 8 {
        0 | 1 => Outcome::Delivered,
        2 => Outcome::Error,
        3 => Outcome::Rejected { retry_after: None },
        4 => Outcome::Rejected { retry_after: Some(Micros::from(variant) * 10 * MS) },
        5 => Outcome::TimedOut,
        6 => Outcome::ConnectFailed,
        _ => Outcome::Reset,
    }
}

#[test]
fn rules_hold_for_random_sequences_of_events() {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let step = (0u16..400, any::<u8>(), any::<u8>(), any::<u8>());
    let step = step.prop_map(|(gap, kind, choice, variant)| Step { gap, kind, choice, variant });
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(step, 1..150), |steps| {
            let mut checker = RuleChecker::new();
            let list = vec![entry(10, 1, 0), entry(11, 1, 0), entry(20, 2, 1), entry(21, 2, 1)];
            checker.turn(Event::ListSnapshot(list))?;
            for step in steps {
                checker.step(step)?;
            }
            // Every message has its final reply by the end.
            checker.step(Step { gap: 20_000, kind: 7, choice: 0, variant: 0 })?;
            prop_assert!(
                checker.messages.values().all(|message| message.has_final_reply),
                "a message was lost"
            );
            Ok(())
        })
        .unwrap();
}

/// Endpoints of the random lists.
const LISTED_ENDPOINTS: [EndpointId; 6] = [1, 2, 3, 4, 5, 6];
/// Destinations of the random lists.
const LISTED_DESTINATIONS: u64 = 3;

/// An endpoint list: the entry of each listed endpoint.
type EndpointList = BTreeMap<EndpointId, EndpointEntry>;

/// Drives a sender through random lists, bans and traffic, and knows which endpoints a call may go to.
struct ListChecker {
    harness: SenderHarness,
    list: EndpointList,
    banned: BTreeSet<EndpointId>,
    stale: bool,
    destinations: Vec<DestinationId>,
    /// Message and number of each attempt in flight.
    in_flight: Vec<(MessageId, usize)>,
    attempts: BTreeMap<MessageId, usize>,
}

impl ListChecker {
    fn new() -> Self {
        ListChecker {
            harness: SenderHarness::new(with_cancellation(settings()), vec![]),
            list: EndpointList::new(),
            banned: BTreeSet::new(),
            stale: false,
            destinations: Vec::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn check(&mut self, actions: &[Action]) -> Result<(), TestCaseError> {
        for (id, endpoint) in sends(actions) {
            prop_assert!(!self.stale, "sent while the list is stale");
            let entry = self.list.get(&endpoint);
            let usable = entry.filter(|entry| entry.state == EndpointState::Serving);
            let destination = usable.map(|entry| entry.destination);
            prop_assert_eq!(
                destination,
                Some(self.destinations[id as usize]),
                "message {} to {}",
                id,
                endpoint
            );
            prop_assert!(!self.banned.contains(&endpoint), "sent to a banned endpoint");
            let attempts = self.attempts.entry(id).or_default();
            self.in_flight.push((id, *attempts));
            *attempts += 1;
        }
        Ok(())
    }

    fn turn(&mut self, event: Event) -> Result<(), TestCaseError> {
        let actions = self.harness.turn(vec![event]);
        self.check(&actions)
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let end = self.harness.now + Micros::from(step.gap) * 10 * MS;
        while self.harness.now < end {
            self.harness.now = (self.harness.now + 100 * MS).min(end);
            self.turn(Event::Wake)?;
        }
        let endpoint = LISTED_ENDPOINTS[usize::from(step.choice) % LISTED_ENDPOINTS.len()];
        match step.kind % 16 {
            0..5 => self.submit(step),
            5..9 => self.end_some_attempt(step),
            9..12 => {
                let entry = Self::random_entry(endpoint, step.variant);
                self.list.insert(endpoint, entry);
                self.turn(Event::ListUpdate(vec![entry]))
            }
            12 => self.replace_list(step),
            13 => {
                self.banned.insert(endpoint);
                self.turn(Event::BanStarted { endpoint })
            }
            14 => {
                self.banned.remove(&endpoint);
                self.turn(Event::BanEnded { endpoint })
            }
            _ => {
                self.stale = step.variant.is_multiple_of(4);
                self.turn(if self.stale { Event::ListStale } else { Event::ListFresh })
            }
        }
    }

    /// An entry of random destination, kind, zone and state. Kinds of destinations change too.
    fn random_entry(endpoint: EndpointId, variant: u8) -> EndpointEntry {
        let destination = u64::from(variant) % LISTED_DESTINATIONS + 1;
        let state = match variant / 3 % 5 {
            0 => EndpointState::Draining,
            1 => EndpointState::Deleted,
            _ => EndpointState::Serving,
        };
        let kind = if (variant / 15).is_multiple_of(4) {
            usize::from(variant) % 3
        } else {
            destination as usize % 3
        };
        EndpointEntry { state, zone: usize::from(variant) % 2, ..entry(endpoint, destination, kind) }
    }

    /// A complete list with about half of the endpoints.
    fn replace_list(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.list.clear();
        for (bit, endpoint) in LISTED_ENDPOINTS.into_iter().enumerate() {
            if step.choice & (1 << bit) != 0 {
                let variant = step.variant.wrapping_mul(bit as u8 * 2 + 1).wrapping_add(bit as u8);
                self.list.insert(endpoint, Self::random_entry(endpoint, variant));
            }
        }
        self.turn(Event::ListSnapshot(self.list.values().copied().collect()))
    }

    fn submit(&mut self, step: Step) -> Result<(), TestCaseError> {
        let (id, destination) = (self.destinations.len() as MessageId, u64::from(step.variant) % 3 + 1);
        self.destinations.push(destination);
        let expires_at = self.harness.now + CLIENT_TIMEOUT;
        self.turn(Event::Submit(submission(id, usize::from(step.choice) % 3, destination, expires_at)))
    }

    fn end_some_attempt(&mut self, step: Step) -> Result<(), TestCaseError> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let (id, attempt) = self.in_flight.swap_remove(usize::from(step.choice) % self.in_flight.len());
        let ended = attempt_ended(id, attempt, outcome(step.variant), 10 * MS);
        self.turn(Event::AttemptEnded(ended))
    }
}

#[test]
fn calls_go_only_to_endpoints_that_the_present_list_has_in_service_for_their_destination() {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    // Some gaps are long enough for removed endpoints to be forgotten.
    let gap = prop_oneof![8 => 0u16..100, 1 => 1200u16..1500];
    let step = (gap, any::<u8>(), any::<u8>(), any::<u8>());
    let step = step.prop_map(|(gap, kind, choice, variant)| Step { gap, kind, choice, variant });
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(step, 1..120), |steps| {
            let mut checker = ListChecker::new();
            steps.into_iter().try_for_each(|step| checker.step(step))
        })
        .unwrap();
}
