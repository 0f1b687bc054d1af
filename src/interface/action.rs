//! Actions: what the decision module requests from the host.

use super::{EndpointId, MessageId, Micros};

/// An instruction to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Attempts of one turn to one endpoint travel in one call, up to
    /// [`super::DestinationKind::batch`] of them.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt; 0 means that it times out at [`super::Submission::expires_at`].
        timeout: Micros,
        /// The call must not be written after this time, even if its connection takes long to establish.
        send_before: Micros,
    },
    /// Final reply: the message was not delivered, and submitting it again does no harm.
    Reject {
        /// The message.
        id: MessageId,
        /// How long the client should wait before it submits the message again; 0 if no wait is suggested.
        retry_after: Micros,
    },
    /// Final reply: the message failed, and it may have been executed.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Cancel an attempt. The end of the attempt is still reported by a [`super::AttemptEnded`].
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Pass [`super::Event::Wake`] to the decision module at the given time, or soon after it.
    Wake {
        /// The time of the wake-up.
        at: Micros,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Whether the readiness check succeeds and connections of clients are kept alive. If false, clients that
    /// connect are still served.
    AcceptClients(bool),
}
