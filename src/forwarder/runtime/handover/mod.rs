//! The runtime's part in an upgrade. At any time exactly one process owns the journal and starts calls.
//!
//! A process takes over from its predecessor when it starts ([`predecessor`]) and hands over to its successor at its
//! end ([`successor`], [`forwarding`]). What the journal does not contain is passed in the [`handoff`] state.

mod forwarded_request;
mod forwarding;
mod handoff;
mod inherited_attempts;
mod pending_replies;
mod predecessor;
mod successor;

pub(super) use inherited_attempts::InheritedAttempts;
pub(super) use pending_replies::PendingReplies;
pub(super) use successor::Successor;
