//! Errors of the lock, the take-over and the channel between two processes.

use std::io;
use std::path::PathBuf;

/// Why one process cannot take over from another, or why their channel fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpgradeError {
    /// The lock cannot be opened, acquired or released.
    #[error("cannot use the lock {}: {source}", path.display())]
    Lock {
        /// The locked file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The process that holds the lock cannot be reached.
    #[error("cannot connect to {}: {source}", path.display())]
    Connect {
        /// The socket of that process.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A frame cannot be written to the channel.
    #[error("cannot send to the other process: {0}")]
    Send(#[source] io::Error),
    /// A frame cannot be read from the channel.
    #[error("cannot receive from the other process: {0}")]
    Receive(#[source] io::Error),
    /// A frame cannot be serialized to JSON.
    #[error("cannot encode a frame: {0}")]
    Encode(#[source] serde_json::Error),
    /// The other process sent a line that is not a frame of this version.
    #[error("cannot decode a frame of the other process: {0}")]
    Decode(#[source] serde_json::Error),
    /// The channel was closed, possibly within a frame.
    #[error("the other process closed the channel")]
    Closed,
    /// The other process sent a frame that is not allowed in the current state of the handover.
    #[error("the other process sent an unexpected frame")]
    UnexpectedFrame,
    /// The other process sent no frame within the time limit.
    #[error("the other process sent no frame in time")]
    Timeout,
    /// The other process has handed over but still holds the lock after the time limit.
    #[error("the other process did not release the lock in time")]
    LockTimeout,
}
