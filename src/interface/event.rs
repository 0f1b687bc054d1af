//! Events: what the host reports to the decision module.

use super::{AttemptEnded, EndpointEntry, EndpointId, InheritedCall, LearnedState, MessageId, Submission};

/// Something that happened at the host.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message was submitted. The message needs exactly one final reply: [`super::Action::Reject`],
    /// [`super::Action::Fail`], or the end of an attempt that completes it.
    Submit(Submission),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A streamed response has begun. The client is receiving it, so the message is not rejected any more
    /// when it expires.
    ResponseStarted {
        /// The message.
        id: MessageId,
    },
    /// The client disconnected; the message needs no final reply.
    ClientDisconnected {
        /// The message.
        id: MessageId,
    },
    /// The complete endpoint list. Endpoints that are not in it are removed.
    ListSnapshot(Vec<EndpointEntry>),
    /// Changed entries of the endpoint list.
    ListUpdate(Vec<EndpointEntry>),
    /// Operators disabled an endpoint: no new call is sent to it until the ban ends, whatever its state in
    /// the list.
    BanStarted {
        /// The endpoint, which need not be listed.
        endpoint: EndpointId,
    },
    /// Operators enabled an endpoint again. The endpoint may have been restarted.
    BanEnded {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// What the predecessor of this process had learned about a listed destination.
    Learned(LearnedState),
    /// An attempt of a predecessor is still in flight, although its message is complete.
    InheritedAttempt {
        /// An id that no message has.
        id: MessageId,
        /// Number of the attempt.
        attempt: usize,
        /// The call that the attempt travels in.
        call: InheritedCall,
    },
    /// Operators drain this process: the readiness check fails, and accepted messages are still delivered.
    Drain,
    /// Operators end the drain.
    Resume,
    /// A subscription to the endpoint list failed; the last list remains in use.
    WatchFailed,
    /// The endpoint list in use is too old: no attempt is started until [`Event::ListFresh`]. Messages remain
    /// queued; deadlines, final replies and the ends of attempts are handled as usual.
    ListStale,
    /// The endpoint list in use is recent enough again. This event has no effect without an earlier
    /// [`Event::ListStale`].
    ListFresh,
    /// A wake-up requested with [`super::Action::Wake`] is due.
    Wake,
    /// The host has no further event for now. Attempts are only started in reaction to this event.
    TurnEnd,
}
