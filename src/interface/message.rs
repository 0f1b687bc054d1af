//! Messages as they are submitted to the decision module.

use super::{DestinationId, EndpointId, MessageId, Micros};

/// A message submitted by a client, or one that a predecessor of this process had accepted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The message.
    pub id: MessageId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// Orders the message among others, where its class is ordered.
    pub key: Option<String>,
    /// The client stops waiting at this time.
    pub expires_at: Micros,
    /// The destination.
    pub destination: DestinationId,
    /// What happened to it in predecessors; the default for a new message.
    pub history: MessageHistory,
}

/// What is known about a message that a predecessor of this process had accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageHistory {
    /// It was accepted: if no attempt was made yet, one is to be made before it expires.
    pub accepted: bool,
    /// Attempts that were made. Further attempts are numbered from here.
    pub attempts: usize,
    /// The first attempt that may have been executed.
    pub possible_execution: Option<PossibleExecution>,
    /// The attempt after these, if it is still in flight.
    pub in_flight: Option<InheritedCall>,
}

/// An attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleExecution {
    /// When it was sent.
    pub sent_at: Micros,
    /// Index of the zone of its endpoint.
    pub zone: usize,
}

/// A call of a predecessor that is still in flight. Each of its attempts still gets an
/// [`super::AttemptEnded`].
#[derive(Clone, Copy, Debug)]
pub struct InheritedCall {
    /// Identifies the call; attempts that travel together share it. Later calls have higher numbers.
    pub call: u64,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent_at: Micros,
}
