//! The clients and operators of this process that wait for replies of the successor to forwarded requests.

use crate::forwarder::messages::admin_command::AdminReply;
use crate::forwarder::messages::client_request::ClientReply;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// The recipient of the reply to a forwarded request.
enum Recipient {
    Client(oneshot::Sender<ClientReply>),
    Operator(oneshot::Sender<AdminReply>),
}

/// Owns the recipients of the replies that the successor has not sent yet, by request number.
#[derive(Default)]
pub(in crate::forwarder::runtime) struct PendingReplies {
    recipients: HashMap<u64, Recipient>,
    last_request: u64,
}

impl PendingReplies {
    /// Whether no reply is outstanding.
    pub(in crate::forwarder::runtime) fn is_empty(&self) -> bool {
        self.recipients.is_empty()
    }

    /// Adds a client and returns the number of its request.
    pub(super) fn add_client(&mut self, reply: oneshot::Sender<ClientReply>) -> u64 {
        self.add(Recipient::Client(reply))
    }

    /// Adds an operator and returns the number of the request.
    pub(super) fn add_operator(&mut self, reply: oneshot::Sender<AdminReply>) -> u64 {
        self.add(Recipient::Operator(reply))
    }

    fn add(&mut self, recipient: Recipient) -> u64 {
        self.last_request += 1;
        self.recipients.insert(self.last_request, recipient);
        self.last_request
    }

    /// Sends a reply to the client of a request, which may have disconnected.
    pub(super) fn reply_to_client(&mut self, request: u64, reply: ClientReply) {
        if let Some(Recipient::Client(client)) = self.recipients.remove(&request) {
            let _ = client.send(reply);
        }
    }

    /// Sends a reply to the operator of a request, who may have disconnected.
    pub(super) fn reply_to_operator(&mut self, request: u64, reply: AdminReply) {
        if let Some(Recipient::Operator(operator)) = self.recipients.remove(&request) {
            let _ = operator.send(reply);
        }
    }

    /// Drops all recipients, after the successor has ended.
    pub(super) fn clear(&mut self) {
        self.recipients.clear();
    }
}
