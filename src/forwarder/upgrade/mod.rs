//! The lock and the channel with which a new process, often of another version, replaces a running one under
//! load.
//!
//! The process that holds the lock owns the journal and makes the calls. A successor connects to the owner,
//! which sends the state that the journal does not contain and releases the lock. Afterwards the two
//! processes exchange [`Frame`]s until the predecessor has completed its calls and its clients have
//! disconnected. The runtime handles the frames.

mod channel;
mod error;
mod frames;
mod framing;
mod listener;
mod lock;
mod take_over;

pub(crate) use channel::{PeerChannel, PeerEvent, PeerEventKind, PeerRole};
pub(crate) use error::UpgradeError;
pub(crate) use frames::{EndedAttempt, ForwardedRequest, Frame, HandoffState, InFlightCall, LearnedEntry};
pub(crate) use listener::{listen_for_successors, socket_path};
pub(crate) use lock::StateLock;
pub(crate) use take_over::{Ownership, acquire_ownership};

#[cfg(test)]
mod format_tests;
