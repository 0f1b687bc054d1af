//! The runtime's part in an upgrade. At most one process at a time owns the journal and starts calls.
//!
//! When a process starts, it takes over from its predecessor ([`predecessor`]). Before it ends, it hands over
//! to its successor ([`successor`], [`forwarding`]). The [`handoff`] state contains what the journal does
//! not.

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
