//! The open messages, by number and by the id that the client gave.

use crate::forwarder::journal::AcceptedMessage;
use crate::forwarder::messages::client_request::ClientReply;
use crate::interface::{MessageId, Micros};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Clients that may wait for the reply to one message. Any number of clients may submit the same message, so the
/// bound limits the memory that they take.
const MAX_CLIENTS_PER_MESSAGE: usize = 4;

/// A message that still needs attempts or a final answer.
pub(super) struct OpenMessage {
    /// The message as it is written to the journal.
    pub(super) content: AcceptedMessage,
    /// When its client stops waiting.
    pub(super) expires_at: Micros,
    /// Attempts that were started.
    pub(super) attempts: usize,
    /// Whether it is recorded in the journal.
    pub(super) accepted: bool,
    /// An earlier process had accepted it without making an attempt.
    pub(super) recovered_without_attempt: bool,
    /// Clients that wait for the reply; none once the message is accepted. A client that submits a message again
    /// on a new connection waits twice, and both connections must get the same reply.
    clients: Vec<oneshot::Sender<ClientReply>>,
}

impl OpenMessage {
    /// A message that a client has submitted and that is not accepted yet.
    pub(super) fn submitted(
        content: AcceptedMessage,
        expires_at: Micros,
        client: oneshot::Sender<ClientReply>,
    ) -> Self {
        OpenMessage {
            content,
            expires_at,
            attempts: 0,
            accepted: false,
            recovered_without_attempt: false,
            clients: vec![client],
        }
    }

    /// A message that an earlier process had accepted.
    pub(super) fn recovered(
        content: AcceptedMessage,
        expires_at: Micros,
        attempts: usize,
        without_attempt: bool,
    ) -> Self {
        OpenMessage {
            content,
            expires_at,
            attempts,
            accepted: true,
            recovered_without_attempt: without_attempt,
            clients: Vec::new(),
        }
    }

    /// The number of the next attempt, which counts as started from now on.
    pub(super) fn assign_attempt_number(&mut self) -> usize {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// Number of the attempt that was started last.
    pub(super) fn last_attempt(&self) -> Option<usize> {
        self.attempts.checked_sub(1)
    }

    /// Adds a client that waits for the reply to this message, or rejects it if too many wait already.
    pub(super) fn add_client(&mut self, client: oneshot::Sender<ClientReply>) {
        if self.clients.len() < MAX_CLIENTS_PER_MESSAGE {
            self.clients.push(client);
        } else {
            // The client may have disconnected.
            let _ = client.send(ClientReply::Rejected(None));
        }
    }

    /// Whether every client has disconnected that waited for the reply.
    pub(super) fn is_abandoned_by_clients(&self) -> bool {
        self.clients.iter().all(oneshot::Sender::is_closed)
    }

    /// Sends the reply to every client that waits. Returns whether any of them received it.
    pub(super) fn reply(&mut self, reply: ClientReply) -> bool {
        let mut received = false;
        for client in self.clients.drain(..) {
            received |= client.send(reply).is_ok();
        }
        received
    }
}

/// Owns the open messages and their numbers.
#[derive(Default)]
pub(super) struct OpenMessages {
    by_number: HashMap<MessageId, OpenMessage>,
    /// Numbers by the ids that the clients gave.
    numbers: HashMap<String, MessageId>,
    next_number: MessageId,
    /// Submitted in this turn, in their order: the commit of the turn accepts or rejects them.
    submitted: Vec<MessageId>,
}

impl OpenMessages {
    /// The number of open messages.
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether no message is open.
    pub(super) fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Whether the message with this number is open.
    pub(super) fn contains(&self, id: MessageId) -> bool {
        self.by_number.contains_key(&id)
    }

    /// The open message with this number.
    pub(super) fn get(&self, id: MessageId) -> Option<&OpenMessage> {
        self.by_number.get(&id)
    }

    /// The open message with this number.
    pub(super) fn get_mut(&mut self, id: MessageId) -> Option<&mut OpenMessage> {
        self.by_number.get_mut(&id)
    }

    /// The message to which a client gave this id.
    pub(super) fn by_client_id(&self, client_id: &str) -> Option<&OpenMessage> {
        self.by_number.get(self.numbers.get(client_id)?)
    }

    /// The message to which a client gave this id.
    pub(super) fn by_client_id_mut(&mut self, client_id: &str) -> Option<&mut OpenMessage> {
        self.by_number.get_mut(self.numbers.get(client_id)?)
    }

    /// A number that no message had or will have.
    pub(super) fn assign_number(&mut self) -> MessageId {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Adds a message under a new number.
    pub(super) fn insert(&mut self, message: OpenMessage) -> MessageId {
        let id = self.assign_number();
        self.numbers.insert(message.content.id.clone(), id);
        self.by_number.insert(id, message);
        id
    }

    /// Adds a message that the commit of this turn has to accept or reject.
    pub(super) fn insert_submitted(&mut self, message: OpenMessage) -> MessageId {
        let id = self.insert(message);
        self.submitted.push(id);
        id
    }

    /// The messages that were submitted in this turn, in their order. Some may have been removed since.
    pub(super) fn take_submitted(&mut self) -> Vec<MessageId> {
        std::mem::take(&mut self.submitted)
    }

    /// Removes a message for which nothing is left to do.
    pub(super) fn remove(&mut self, id: MessageId) -> Option<OpenMessage> {
        let message = self.by_number.remove(&id)?;
        self.numbers.remove(&message.content.id);
        Some(message)
    }

    /// Removes all messages: a successor owns them.
    pub(super) fn clear(&mut self) {
        self.by_number.clear();
        self.numbers.clear();
    }
}

#[cfg(test)]
mod tests;
