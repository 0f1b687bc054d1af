//! Errors of the journal.

use std::io;
use std::path::PathBuf;

/// Why the journal could not be opened or written. A failed commit leaves none of its records in the file; if
/// the file cannot be truncated at once, they are removed before the next write.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JournalError {
    /// The records do not fit within the bound of the journal.
    #[error("the journal is full")]
    Full,
    /// A file cannot be opened or created.
    #[error("cannot open {}: {source}", path.display())]
    Open {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file cannot be truncated to its complete part.
    #[error("cannot truncate {}: {source}", path.display())]
    Truncate {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The compacted copy cannot be renamed over the file.
    #[error("cannot rename {}: {source}", path.display())]
    Rename {
        /// The copy.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The last write failed, and the delay before the next one has not passed.
    #[error("waiting to retry after a failed write")]
    Paused,
}
