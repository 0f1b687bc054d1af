//! Submissions of messages, and take-overs by a successor, which gets all open messages.

use super::driver::{History, Message};
use super::inputs::{InheritedCall, Input, ListedState, MILLISECOND, PossibleExecution, SECOND, Submission};
use super::settings::{IDEMPOTENT_ORDERED, NOT_IDEMPOTENT_ORDERED, TENANTS};
use super::translation::Subject;

/// Inherited calls get numbers this far apart, beyond those of the calls of the subject.
const INHERITED_CALL_STEP: u64 = 1_000_000;
const UNLISTED_DESTINATION: u64 = 999;

/// An attempt that is still in flight when its message is submitted again.
struct OpenAttempt {
    number: usize,
    call: InheritedCall,
}

impl History<'_> {
    pub(super) fn submit_messages(&mut self) {
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
        let possible_execution = may_have_been_executed.then(|| PossibleExecution {
            sent_at: self.now - self.generator.between(1, 4 * SECOND),
            zone: 1,
        });
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
                response_started: false,
            },
        );
        if has_history && self.generator.per_mille(400) {
            self.add_inherited_call(id, destination);
        }
        self.submit_message(id, has_history);
    }

    /// Adds a call of a predecessor that is still in flight, if the destination has a serving endpoint.
    fn add_inherited_call(&mut self, id: u64, destination: u64) {
        let mut serving = self
            .endpoints
            .values()
            .filter(|e| e.destination == destination && e.state == ListedState::Serving);
        let Some(endpoint) = serving.next().map(|endpoint| endpoint.id) else { return };
        self.last_call = None;
        self.next_call = (self.next_call / INHERITED_CALL_STEP + 1) * INHERITED_CALL_STEP;
        self.send(id, endpoint, 5 * SECOND);
        self.last_call = None;
        self.attempts.last_mut().expect("just sent").sent_at -= 200 * MILLISECOND;
    }

    fn call_in_flight(&self, id: u64) -> Option<OpenAttempt> {
        let attempt = self.attempts.iter().find(|attempt| attempt.id == id)?;
        let call = InheritedCall { call: attempt.call, endpoint: attempt.endpoint, sent_at: attempt.sent_at };
        Some(OpenAttempt { number: attempt.number, call })
    }

    /// Submits a message with its history.
    fn submit_message(&mut self, id: u64, accepted: bool) {
        let open = self.call_in_flight(id);
        let message = &self.messages[&id];
        let input = Input::Submit(Submission {
            id,
            class: message.class,
            tenant: message.tenant,
            key: message.key.clone(),
            expires_at: message.expires_at,
            destination: message.destination,
            accepted,
            attempts: open.as_ref().map_or(message.attempts, |attempt| attempt.number),
            possible_execution: message.possible_execution,
            in_flight: open.map(|attempt| attempt.call),
        });
        self.handle(input);
    }

    /// A new process takes over: it gets the list, the learned state, the bans and all open messages.
    pub(super) fn take_over(&mut self) {
        let successor = Subject::new(&self.scenario.profile, self.generator.next());
        let predecessor = std::mem::replace(&mut self.subject, successor);
        self.wake_at = i64::MAX;
        self.last_call = None;
        // The list includes the removed endpoints: calls to them may still be in flight.
        let list = self.endpoints.values().copied().collect();
        self.handle(Input::ListSnapshot(list));
        self.subject.learn_from(&predecessor, self.now);
        for endpoint in self.banned.clone() {
            self.handle(Input::BanStarted { endpoint });
        }
        let ids: Vec<(u64, bool)> = self.messages.iter().map(|(id, m)| (*id, m.finished)).collect();
        for (id, finished) in ids {
            if !finished {
                self.submit_message(id, true);
            } else if let Some(OpenAttempt { number, call }) = self.call_in_flight(id) {
                self.handle(Input::InheritedAttempt { id, attempt: number, call });
            }
        }
    }
}
