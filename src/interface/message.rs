//! Messages as they are submitted to the decision module.

use super::{ClientId, DestinationId, EndpointId, MessageId, Micros};

/// A message submitted by a client, or one that a predecessor of this process had accepted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id of the message.
    pub id: MessageId,
    /// Index of the class of the message.
    pub class: usize,
    /// Index of the tenant of the message.
    pub tenant: Option<usize>,
    /// Ordering key: messages of an ordered class that share a key are sent one at a time, see
    /// [`super::Class::ordered`].
    pub key: Option<String>,
    /// The message expires at this time, and its client stops waiting.
    pub expires_at: Micros,
    /// The destination.
    pub destination: DestinationId,
    /// The length of the message in the body of a call with several messages, in bytes; zero if it takes no
    /// room there.
    pub batched_bytes: usize,
    /// The client that submitted the message; `None` if it is not known.
    pub client: Option<ClientId>,
    /// What happened to the message in earlier processes; the default for a new message.
    pub history: MessageHistory,
}

/// What happened to a message before this process took it over from a predecessor.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageHistory {
    /// The message was accepted: it is not shed, and if it was never attempted, it is attempted before other
    /// messages.
    pub accepted: bool,
    /// The number of attempts that were made, which is also the number of the next attempt.
    pub attempts: usize,
    /// The first attempt that may have been executed.
    pub possible_execution: Option<PossibleExecution>,
    /// The call of one more attempt, the one after `attempts`, if it is still in flight in the predecessor.
    pub in_flight: Option<InheritedCall>,
}

/// An attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleExecution {
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// Index of the zone of the endpoint that was called.
    pub zone: usize,
}

/// A call of a predecessor that is still in flight. Each of its attempts still gets an
/// [`super::AttemptEnded`].
#[derive(Clone, Copy, Debug)]
pub struct InheritedCall {
    /// Number of the call, which all attempts in the call share. Later calls have higher numbers.
    pub call: u64,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// When the call was sent.
    pub sent_at: Micros,
}
