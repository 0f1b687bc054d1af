//! Creates and restores the state that a process hands over to its successor in addition to the journal.

use super::InheritedAttempts;
use crate::forwarder::discovery::ListAge;
use crate::forwarder::messages::endpoint_list::EndpointList;
use crate::forwarder::runtime::Runtime;
use crate::forwarder::runtime::calls::CallId;
use crate::forwarder::upgrade::{HandoffState, InFlightCall, LearnedEntry};
use crate::interface::{Event, InheritedCall, LearnedState, Micros};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::Relaxed;

impl Runtime {
    /// The state that the journal does not contain.
    pub(super) fn handoff_state(&self, now: Micros) -> HandoffState {
        HandoffState {
            revision: self.endpoints.revision().unwrap_or(0),
            endpoints: self.endpoints.records(),
            calls: self.calls_to_hand_over(now),
            client_connections: self.connection_counts.own.load(Relaxed),
            learned: self.learned_to_hand_over(now),
            list_is_fresh: self.list_age == ListAge::Fresh,
        }
    }

    fn calls_to_hand_over(&self, now: Micros) -> Vec<InFlightCall> {
        let mut calls: BTreeMap<CallId, InFlightCall> = BTreeMap::new();
        for written in self.calls.written_attempts() {
            let Some(endpoint) = self.endpoints.uid(written.endpoint) else { continue };
            let age = now - written.sent_at;
            let call = calls.entry(written.call).or_insert_with(|| InFlightCall {
                endpoint,
                age,
                attempts: Vec::new(),
            });
            call.attempts.push(written.attempt);
        }
        calls.into_values().collect()
    }

    /// What the decision module has learned. Endpoints are identified by their discovery ids, because their
    /// numbers differ in the successor.
    fn learned_to_hand_over(&self, now: Micros) -> Vec<LearnedEntry> {
        let learned = self.decisions.learned(now).into_iter();
        let entry = |state: LearnedState| LearnedEntry {
            endpoint: state.endpoint.and_then(|id| self.endpoints.uid(id)),
            state,
        };
        learned.map(entry).collect()
    }

    /// Restores the state of the predecessor, and returns the attempts that it has in flight.
    /// `open_messages`, the number of messages in the journal, is only logged.
    pub(in crate::forwarder::runtime) fn restore_handoff_state(
        &mut self,
        now: Micros,
        open_messages: usize,
        state: HandoffState,
    ) -> InheritedAttempts {
        let HandoffState { revision, endpoints, calls, learned, .. } = state;
        eprintln!(
            "upgrade: took over {open_messages} messages and {} calls in flight from the predecessor",
            calls.len()
        );
        let list = EndpointList { revision, complete: true, endpoints, ..EndpointList::default() };
        self.apply_endpoint_list(now, &list);
        let inherited = self.restore_calls(now, calls);
        for LearnedEntry { endpoint: uid, state } in learned {
            self.restore_learned(now, uid.as_deref(), state);
        }
        inherited
    }

    fn restore_calls(&mut self, now: Micros, calls: Vec<InFlightCall>) -> InheritedAttempts {
        let mut inherited = InheritedAttempts::default();
        for InFlightCall { endpoint: uid, age, attempts } in calls {
            let Some(endpoint) = self.endpoints.number_of(&uid) else { continue };
            let call = self.calls.add_inherited_call(endpoint, attempts.len());
            let call = InheritedCall { call, endpoint, sent_at: now - age };
            for attempt in attempts {
                inherited.insert(attempt, call);
            }
        }
        inherited
    }

    /// Restores a learned state of the predecessor, unless it concerns an endpoint that is no longer known.
    fn restore_learned(&mut self, now: Micros, uid: Option<&str>, state: LearnedState) {
        let endpoint = uid.and_then(|uid| self.endpoints.number_of(uid));
        if endpoint.is_some() == state.endpoint.is_some() {
            self.decisions.notify(now, Event::Learned(LearnedState { endpoint, ..state }));
        }
    }
}
