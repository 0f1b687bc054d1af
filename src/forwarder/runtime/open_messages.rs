//! The open messages, by number and by client id.

use crate::forwarder::journal::AcceptedMessage;
use crate::forwarder::messages::client_request::ClientReply;
use crate::interface::{MessageId, Micros};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Maximum number of clients that wait for the reply to one message. It limits their memory: any number of
/// clients may submit the same message.
const MAX_CLIENTS_PER_MESSAGE: usize = 4;

/// A message that still needs attempts or a final reply.
pub(super) struct OpenMessage {
    /// The message in the form that is written to the journal.
    pub(super) content: AcceptedMessage,
    /// When the message expires: its client stops waiting.
    pub(super) expires_at: Micros,
    /// The number of attempts that were started.
    pub(super) attempts: usize,
    /// Whether the message was accepted and is recorded in the journal.
    pub(super) accepted: bool,
    /// Whether an earlier process accepted the message and made no attempt.
    pub(super) recovered_without_attempt: bool,
    /// Clients that wait for the reply; empty once the message is accepted. A client that submits the message
    /// again on a new connection is listed twice, and both connections must get the same reply.
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

    /// Returns the number of the next attempt and counts it as started.
    pub(super) fn assign_attempt_number(&mut self) -> usize {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// The number of the attempt that was started last.
    pub(super) fn last_attempt(&self) -> Option<usize> {
        self.attempts.checked_sub(1)
    }

    /// Adds a client that waits for the reply, or rejects the client if the maximum number is already
    /// waiting.
    pub(super) fn add_client(&mut self, client: oneshot::Sender<ClientReply>) {
        if self.clients.len() < MAX_CLIENTS_PER_MESSAGE {
            self.clients.push(client);
        } else {
            // The client may have disconnected.
            let _ = client.send(ClientReply::Rejected(None));
        }
    }

    /// Whether all clients that waited for the reply have disconnected.
    pub(super) fn is_abandoned_by_clients(&self) -> bool {
        self.clients.iter().all(oneshot::Sender::is_closed)
    }

    /// Sends the reply to all waiting clients. Returns whether any of them received it.
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
    /// Message numbers by client id.
    numbers: HashMap<String, MessageId>,
    next_number: MessageId,
    /// Messages submitted in this turn, in order of arrival. The commit of the turn accepts or rejects them.
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

    /// The open message with this client id.
    pub(super) fn by_client_id(&self, client_id: &str) -> Option<&OpenMessage> {
        self.by_number.get(self.numbers.get(client_id)?)
    }

    /// The open message with this client id.
    pub(super) fn by_client_id_mut(&mut self, client_id: &str) -> Option<&mut OpenMessage> {
        self.by_number.get_mut(self.numbers.get(client_id)?)
    }

    /// Returns a new message number, which is never assigned again.
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

    /// Takes the messages that were submitted in this turn, in order of arrival. Some may have been removed
    /// since.
    pub(super) fn take_submitted(&mut self) -> Vec<MessageId> {
        std::mem::take(&mut self.submitted)
    }

    /// Removes a message that is complete.
    pub(super) fn remove(&mut self, id: MessageId) -> Option<OpenMessage> {
        let message = self.by_number.remove(&id)?;
        self.numbers.remove(&message.content.id);
        Some(message)
    }

    /// Removes all messages. Called once a successor owns them.
    pub(super) fn clear(&mut self) {
        self.by_number.clear();
        self.numbers.clear();
    }
}

#[cfg(test)]
mod tests;
