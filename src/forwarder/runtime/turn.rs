//! The steps of a turn. Turns are taken only while this process owns the messages.

use super::Runtime;
use super::call_in_flight::AttemptCommand;
use super::final_replies::FinalReply;
use super::handover::Successor;
use super::outbound_calls::PlannedAttempt;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::journal::{FinalOutcome, JournalError, Record};
use crate::forwarder::messages::attempt::AttemptKey;
use crate::forwarder::messages::client_request::ClientReply;
use crate::forwarder::metrics::DropReason;
use crate::interface::{Action, Event, MessageId, Micros};

/// The messages that the commit of a turn is to accept.
#[derive(Default)]
struct SelectedMessages {
    ids: Vec<MessageId>,
    records: Vec<Record>,
    body_bytes: usize,
}

impl Runtime {
    /// Handles the events of a turn, then lets the decision module decide and executes its actions.
    pub(super) fn take_turn(&mut self, events: Vec<RuntimeEvent>) {
        let now = self.clock.now();
        self.decisions.notify_deferred(now);
        for event in events {
            self.handle_event(now, event);
        }
        self.decisions.notify_wake_if_due(now);
        self.finish_turn(now);
    }

    fn handle_event(&mut self, now: Micros, event: RuntimeEvent) {
        match event {
            RuntimeEvent::ClientRequest(request) => self.submit(now, request),
            RuntimeEvent::CallEnded(report) => self.handle_call_report(now, report),
            RuntimeEvent::EndpointList(list) => self.receive_endpoint_list(now, &list),
            RuntimeEvent::ListAge(age) => self.apply_list_age(now, age),
            RuntimeEvent::NoticesAcknowledged(notices) => self.complete_notified(notices),
            RuntimeEvent::AdminRequest(request) => self.handle_admin_request(now, request),
            RuntimeEvent::Terminate => {
                self.log_termination();
                self.lifecycle.terminate();
            }
            RuntimeEvent::TakeOverRequested(channel) => {
                // While one successor takes over, the request of another one is dropped, and it has to retry.
                if matches!(self.successor, Successor::None) {
                    self.successor = Successor::Requested(channel);
                }
            }
            RuntimeEvent::Peer(event) => self.handle_peer_event(now, event),
        }
    }

    /// Ends the turn for the decision module and executes its actions: first the final replies, then the
    /// commit to the journal, then the replies to accepted messages, then the calls, then the notices.
    pub(super) fn finish_turn(&mut self, now: Micros) {
        self.decide(now);
        let attempts = self.execute_actions(now);
        self.commit(now, attempts);
        self.timeline.save_if_due();
        self.departed.save_if_changed();
        self.send_notices(now);
        self.log_if_due(now);
        self.idle_connections.close_expired(now);
    }

    /// Delivers [`Event::TurnEnd`], in reaction to which the decision module starts attempts. Near the end of
    /// a shutdown no call may start, and the event is not delivered.
    fn decide(&mut self, now: Micros) {
        if self.lifecycle.may_start_calls() {
            self.decisions.notify(now, Event::TurnEnd);
        }
    }

    /// Executes the actions except for new attempts, which are returned and start after the commit.
    fn execute_actions(&mut self, now: Micros) -> Vec<PlannedAttempt> {
        let mut attempts = Vec::new();
        for action in self.decisions.take_actions() {
            match action {
                Action::Send { id, endpoint, timeout, send_before } => {
                    attempts.extend(self.plan_attempt(now, id, endpoint, timeout, send_before));
                }
                Action::Reject { id, retry_after } => self.end_message(id, FinalReply::rejected(retry_after)),
                Action::Fail { id } => self.end_message(id, FinalReply::Failed),
                Action::Cancel { id, attempt } => {
                    self.command_attempt(AttemptKey { id, attempt }, AttemptCommand::Cancel);
                }
                Action::CloseIdleConnections { endpoint } => self.idle_connections.close(endpoint),
                Action::Wake { at } => self.decisions.request_wake(at),
                // Discovery always follows the endpoint list.
                Action::Subscribe => {}
                Action::AcceptClients(accepts) => self.lifecycle.set_accepts_clients(accepts),
            }
        }
        attempts
    }

    /// Writes the records of the turn to the journal, then replies to clients and starts calls. If the
    /// journal cannot be written, no message is accepted and no call is started.
    fn commit(&mut self, now: Micros, attempts: Vec<PlannedAttempt>) {
        let now_unix_ms = self.unix_clock.now_unix_ms();
        let SelectedMessages { ids, records, .. } = self.select_for_acceptance(now_unix_ms);
        let written = self.journal.lock().commit(&records, now_unix_ms);
        if let Err(error) = written {
            // The journal itself logs failed writes, and when it can be written again.
            if matches!(error, JournalError::Full) {
                eprintln!("runtime: {error}; in this turn, no message is accepted and no call is started");
            }
            ids.into_iter().for_each(|id| self.reject_submission(id));
            attempts.iter().for_each(|attempt| self.report_not_sent(attempt));
            return;
        }
        ids.into_iter().for_each(|id| self.accept(id));
        self.start_calls(now, attempts);
    }

    /// Selects the submitted messages that fit into the journal and have a waiting client, and rejects the
    /// others.
    fn select_for_acceptance(&mut self, now_unix_ms: u64) -> SelectedMessages {
        let mut selected = SelectedMessages::default();
        for id in self.messages.take_submitted() {
            let Some(message) = self.messages.get(id) else { continue };
            let messages = selected.ids.len() + 1;
            let body_bytes = selected.body_bytes + message.content.body.len();
            let is_acceptable = !message.is_abandoned_by_clients()
                && self.journal.lock().has_capacity(messages, body_bytes, now_unix_ms);
            if !is_acceptable {
                self.reject_submission(id);
                continue;
            }
            selected.records.push(Record::Accepted(message.content.clone()));
            selected.ids.push(id);
            selected.body_bytes = body_bytes;
        }
        selected
    }

    /// Accepts a message that has been written to the journal, and replies to its clients.
    fn accept(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.accepted = true;
        self.metrics.record_accepted();
        if !message.reply(ClientReply::Accepted) {
            self.withdraw_accepted(id);
        }
    }

    /// Rejects a message that cannot be accepted. The decision module drops it at the start of the next turn.
    fn reject_submission(&mut self, id: MessageId) {
        let Some(mut message) = self.messages.remove(id) else { return };
        self.metrics.record_dropped(if message.is_abandoned_by_clients() {
            DropReason::ClientDisconnected
        } else {
            DropReason::JournalFull
        });
        message.reply(ClientReply::Rejected(None));
        self.decisions.defer(Event::ClientDisconnected { id });
    }

    /// Completes an accepted message without an attempt, because all its clients disconnected before the
    /// reply.
    fn withdraw_accepted(&mut self, id: MessageId) {
        let Some(message) = self.messages.remove(id) else { return };
        self.metrics.record_dropped(DropReason::ClientDisconnected);
        let completed = Record::completed(message.content.id, FinalOutcome::Rejected, 0);
        self.journal.lock().enqueue(&completed, self.unix_clock.now_unix_ms());
        self.decisions.defer(Event::ClientDisconnected { id });
    }
}
