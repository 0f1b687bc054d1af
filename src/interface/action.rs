//! Actions: what the decision module tells the host to do.

use super::{EndpointId, MessageId, Micros};

/// Something that the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Attempts of one turn to one endpoint travel in one call, up to
    /// [`super::DestinationKind::batch`].
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt; 0 means until the client stops waiting.
        timeout: Micros,
        /// The call must not be written after this time, should its connection take that long.
        send_before: Micros,
    },
    /// Final answer: the message was not delivered, and submitting it again does no harm.
    Reject {
        /// The message.
        id: MessageId,
        /// How long the client should wait before it retries; 0 if it is not told.
        retry_after: Micros,
    },
    /// Final answer: the message is given up, and it may have been executed.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Cancel an attempt, which still gets its [`super::AttemptEnded`].
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
    /// Deliver [`super::Event::Wake`] at this time or soon after it.
    Wake {
        /// When.
        at: Micros,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Whether new clients are invited and connections are kept alive. Clients that come while this is false are
    /// served all the same.
    AcceptClients(bool),
}
