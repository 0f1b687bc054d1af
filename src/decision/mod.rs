//! Every decision of the forwarder: which message is sent when and where, and which is rejected.
//!
//! [`Balancer`] takes events and returns actions; both are defined in [`crate::interface`]. The state is kept
//! in [`crate::sender_state`]. The rules for messages are, in the order in which they apply, in `admission`,
//! `concurrency`, `endpoint_choice`, `selection`, `sending`, `outcome` and `timers`. What is learned about
//! destinations is in `route`, with `health`, `circuit_breaker` and `rate_limiter`.

mod admission;
mod backlog_report;
mod cancellation;
mod circuit_breaker;
mod concurrency;
mod connections;
mod endpoint_choice;
mod endpoint_list;
mod health;
mod list_freshness;
mod outcome;
mod parameters;
mod rate_limiter;
mod route;
mod selection;
mod sending;
mod timers;

use crate::interface::{Action, Event, LearnedState, Micros, Settings};
use crate::sender_state::SenderState;
use parameters::Parameters;

/// Makes the decisions of one sender.
pub struct Balancer {
    parameters: Parameters,
    state: SenderState,
}

impl Balancer {
    /// Creates a balancer without messages or endpoints. The same seed yields the same random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer { state: SenderState::new(&settings, seed), parameters: Parameters::new(settings) }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        match event {
            Event::Submit(submission) => self.submit(now, submission, actions),
            Event::AttemptEnded(end) => self.end_attempt(now, &end, actions),
            Event::ResponseStarted { id } => state.messages.set_response_started(id),
            Event::ClientDisconnected { id } => self.close_message(now, id),
            Event::ListSnapshot(entries) => {
                state.directory.remove_all(now);
                self.update_list(now, &entries);
            }
            Event::ListUpdate(entries) => self.update_list(now, &entries),
            Event::BanStarted { endpoint } => self.start_ban(now, endpoint),
            Event::BanEnded { endpoint } => self.end_ban(now, endpoint),
            Event::Learned(learned) => state.directory.import(now, &learned),
            // The message is complete, so its class no longer matters; the call still takes a call slot.
            Event::InheritedAttempt { id, attempt, call } => {
                state.inherit_attempt(id, attempt, 0, call);
            }
            Event::Drain => actions.push(Action::AcceptClients(false)),
            Event::Resume => actions.push(Action::AcceptClients(true)),
            Event::ListStale => state.list_stale = true,
            Event::ListFresh => self.resume_sending(now),
            Event::WatchFailed => self.retry_subscription(now),
            Event::Wake => state.record_wake(now),
            Event::TurnEnd => self.end_turn(now, actions),
        }
    }

    /// Returns what is known about each destination, or about each route where routes are separate.
    pub fn learned(&self, now: Micros) -> Vec<LearnedState> {
        self.state.directory.export(now, self.parameters.warm_up, self.parameters.outcome_decay)
    }
}
