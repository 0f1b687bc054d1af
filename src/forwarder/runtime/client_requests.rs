//! Handles the messages that clients submit.

use super::Runtime;
use super::open_messages::OpenMessage;
use crate::forwarder::endpoint_client::batched_bytes;
use crate::forwarder::journal::{AcceptedMessage, FinalOutcome};
use crate::forwarder::messages::client_request::{ClientReply, ClientRequest};
use crate::forwarder::metrics::DropReason;
use crate::interface::{ClientId, DestinationId, Micros};
use crate::interface::{Event, MessageHistory, MessageId, Submission};

/// What the decision module needs to know about a submitted message, apart from its number.
pub(super) struct SubmissionDetails {
    /// Index of the message's class.
    pub(super) class: usize,
    /// The client, if it is connected to this process.
    pub(super) client: Option<ClientId>,
    /// Index of the message's tenant.
    pub(super) tenant: Option<usize>,
    pub(super) destination: DestinationId,
    pub(super) expires_at: Micros,
    pub(super) history: MessageHistory,
}

impl Runtime {
    /// Submits a message to the decision module, unless the reply is known already or too many messages are
    /// open. The commit of the turn accepts or rejects the message.
    pub(super) fn submit(&mut self, now: Micros, request: ClientRequest) {
        if let Some(open) = self.messages.by_client_id_mut(&request.id)
            && !open.accepted
        {
            return open.add_client(request.reply);
        }
        if let Some(reply) = self.immediate_reply(&request.id) {
            if matches!(reply, ClientReply::Rejected(_)) {
                self.metrics.record_dropped(DropReason::TooManyOpenMessages);
            }
            // The client may have disconnected.
            let _ = request.reply.send(reply);
            return;
        }
        self.submit_new_message(now, request);
    }

    /// The reply to a message that is complete or accepted already, or that exceeds the limit of open
    /// messages.
    fn immediate_reply(&self, client_id: &str) -> Option<ClientReply> {
        let remembered = self.journal.lock().final_outcome(client_id);
        match remembered.map(|remembered| remembered.outcome) {
            Some(FinalOutcome::Delivered) => Some(ClientReply::Delivered),
            Some(FinalOutcome::Failed) => Some(ClientReply::Failed),
            Some(FinalOutcome::Rejected) => Some(ClientReply::Rejected(None)),
            None if self.messages.by_client_id(client_id).is_some() => Some(ClientReply::Accepted),
            None if self.messages.len() >= self.settings.max_open_messages => {
                Some(ClientReply::Rejected(None))
            }
            None => None,
        }
    }

    fn submit_new_message(&mut self, now: Micros, request: ClientRequest) {
        let ClientRequest { id, client, class, tenant, destination, idempotency_key, body, deadline, reply } =
            request;
        let expires_at = self.clock.micros(deadline.into());
        let content = AcceptedMessage {
            id,
            class: self.names.classes[class].clone(),
            tenant: tenant.map(|tenant| self.names.tenants[tenant].clone()),
            destination,
            idempotency_key,
            deadline_unix_ms: self.unix_clock.unix_ms(deadline.into()),
            body,
        };
        let number = self.messages.insert_submitted(OpenMessage::submitted(content, expires_at, reply));
        let history = MessageHistory::default();
        let details = SubmissionDetails { class, client, tenant, destination, expires_at, history };
        self.notify_submission(now, number, details);
    }

    /// Submits a message to the decision module.
    pub(super) fn notify_submission(&mut self, now: Micros, id: MessageId, details: SubmissionDetails) {
        let SubmissionDetails { class, client, tenant, destination, expires_at, history } = details;
        let batched_bytes = self.messages.get(id).map_or(0, |message| batched_bytes(&message.content));
        let submission = Submission {
            id,
            class,
            tenant,
            key: None,
            expires_at,
            destination,
            batched_bytes,
            client,
            history,
        };
        self.decisions.notify(now, Event::Submit(submission));
    }
}
