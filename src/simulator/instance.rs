//! One simulated sender: its decision module, and the messages that it has open.

use super::reply::write_action;
use super::request::{AttemptEndedRequest, SubmitRequest};
use crate::decision::Balancer;
use crate::interface::{Action, AttemptEnded, Event, MessageId, Micros};
use crate::key_value::{FieldError, Fields};
use crate::settings_reader::{SettingNames, read_settings};
use std::collections::{BTreeMap, HashMap};

/// A message that a later request or action may refer to.
struct OpenMessage {
    /// The id that the simulator gave the message.
    wire_id: String,
    attempts_in_flight: usize,
    attempts_sent: usize,
    /// Whether the message needs no final reply any more.
    finished: bool,
}

/// One sender of the simulated fleet.
pub(super) struct Instance {
    balancer: Balancer,
    names: SettingNames,
    /// Ids of the open messages, by their ids in the simulator.
    message_ids: HashMap<String, MessageId>,
    /// Open messages by their ids. If the simulator used one of its ids twice, `message_ids` contains only
    /// the later message.
    open_messages: BTreeMap<MessageId, OpenMessage>,
    next_message_id: MessageId,
    /// Actions that have not been written to a reply yet.
    actions: Vec<Action>,
}

impl Instance {
    /// Starts an instance with the settings and the seed in `fields`.
    pub(super) fn boot(fields: &Fields) -> Result<Self, FieldError> {
        let seed = fields.integer("nonce64")?;
        let (settings, names) = read_settings(fields)?;
        Ok(Instance {
            balancer: Balancer::new(settings, seed),
            names,
            message_ids: HashMap::new(),
            open_messages: BTreeMap::new(),
            next_message_id: 0,
            actions: Vec::new(),
        })
    }

    /// Returns the names that requests use instead of indices.
    pub(super) fn names(&self) -> &SettingNames {
        &self.names
    }

    /// Passes an event to the decision module.
    pub(super) fn handle(&mut self, now: Micros, event: Event) {
        self.balancer.on_event(now, event, &mut self.actions);
    }

    /// Lets the decision module decide the calls of this turn.
    pub(super) fn end_turn(&mut self, now: Micros) {
        self.handle(now, Event::TurnEnd);
    }

    /// Passes a new message to the decision module.
    pub(super) fn submit(&mut self, now: Micros, request: &SubmitRequest) {
        let id = self.next_message_id;
        self.next_message_id += 1;
        let wire_id = request.wire_id.to_owned();
        self.message_ids.insert(wire_id.clone(), id);
        let message = OpenMessage { wire_id, attempts_in_flight: 0, attempts_sent: 0, finished: false };
        self.open_messages.insert(id, message);
        self.handle(now, Event::Submit(request.submission(id)));
    }

    /// Passes the start of a streamed response to the decision module. Unknown messages are ignored.
    pub(super) fn response_started(&mut self, now: Micros, wire_id: &str) {
        if let Some(id) = self.message_ids.get(wire_id).copied() {
            self.handle(now, Event::ResponseStarted { id });
        }
    }

    /// Passes the end of an attempt to the decision module. Unknown messages are ignored.
    ///
    /// Returns an error that names the line of `fields` if the attempt was never sent.
    pub(super) fn attempt_ended(
        &mut self,
        now: Micros,
        request: &AttemptEndedRequest,
        fields: &Fields,
    ) -> Result<(), FieldError> {
        let Some((id, message)) = self.open_message(request.wire_id) else { return Ok(()) };
        let attempt = request.attempt;
        if attempt >= message.attempts_sent {
            return Err(fields.invalid("go", format!("attempt {attempt} was never sent")));
        }
        message.attempts_in_flight = message.attempts_in_flight.saturating_sub(1);
        message.finished |= request.finished;
        let event = Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            outcome: request.outcome,
            elapsed: request.elapsed,
            finished: request.finished,
            report: request.report,
            unsent: false,
            retry_after: None,
        });
        self.handle(now, event);
        self.remove_unless_action_pending(id);
        Ok(())
    }

    /// Passes the disconnection of a client to the decision module. Unknown messages are ignored.
    pub(super) fn client_disconnected(&mut self, now: Micros, wire_id: &str) {
        let Some((id, message)) = self.open_message(wire_id) else { return };
        message.finished = true;
        self.handle(now, Event::ClientDisconnected { id });
        self.remove_unless_action_pending(id);
    }

    /// Writes the actions of this turn, one a line.
    pub(super) fn write_actions(&mut self, instance: u64, reply: &mut String) {
        for action in std::mem::take(&mut self.actions) {
            let message = message_of(&action).and_then(|id| self.open_messages.get_mut(&id));
            if let (Action::Send { .. }, Some(message)) = (&action, message) {
                message.attempts_in_flight += 1;
                message.attempts_sent += 1;
            }
            write_action(instance, &action, self.wire_id(&action), reply);
            if let Action::Reject { id, .. } | Action::Fail { id } = action {
                self.finish(id);
            }
        }
    }

    fn open_message(&mut self, wire_id: &str) -> Option<(MessageId, &mut OpenMessage)> {
        let id = *self.message_ids.get(wire_id)?;
        let message = self.open_messages.get_mut(&id).expect("a message with a known wire id is open");
        Some((id, message))
    }

    /// Returns the simulator's id of the message that an action is about; empty if it is about no message.
    fn wire_id(&self, action: &Action) -> &str {
        let message = message_of(action).and_then(|id| self.open_messages.get(&id));
        message.map_or("", |message| &message.wire_id)
    }

    fn finish(&mut self, id: MessageId) {
        if let Some(message) = self.open_messages.get_mut(&id) {
            message.finished = true;
        }
        self.remove_if_complete(id);
    }

    /// Removes a complete message, unless an action of this turn is about it. The reply needs the wire id of
    /// such a message, and `write_actions` removes the message later.
    fn remove_unless_action_pending(&mut self, id: MessageId) {
        let has_pending_action = self.actions.iter().any(|action| match action {
            Action::Send { id: other, .. }
            | Action::Reject { id: other, .. }
            | Action::Fail { id: other } => *other == id,
            _ => false,
        });
        if !has_pending_action {
            self.remove_if_complete(id);
        }
    }

    /// Removes a message that is finished and has no attempt in flight.
    fn remove_if_complete(&mut self, id: MessageId) {
        if let Some(message) = self.open_messages.get(&id)
            && message.finished
            && message.attempts_in_flight == 0
        {
            self.message_ids.remove(&message.wire_id);
            self.open_messages.remove(&id);
        }
    }
}

/// Returns the message that an action is about.
fn message_of(action: &Action) -> Option<MessageId> {
    match action {
        Action::Send { id, .. }
        | Action::Reject { id, .. }
        | Action::Fail { id }
        | Action::Cancel { id, .. } => Some(*id),
        Action::CloseIdleConnections { .. }
        | Action::Wake { .. }
        | Action::Subscribe
        | Action::AcceptClients(_) => None,
    }
}
