//! Opens the state folder when the process starts.

use super::clock::{KernelClocks, Timeline};
use super::journal::{Journal, JournalError, RecoveredMessage};
use super::upgrade::{Ownership, UpgradeError, acquire_ownership, socket_path};
use std::fs;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum size of the journal per MB of the disk limit. The rest is for the rounding of file sizes and for
/// the other files.
const JOURNAL_BYTES_PER_DISK_MB: f64 = 0.95e6;
/// Delay after a failed attempt to open the folder.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The opened state folder, which this process owns.
pub(crate) struct StateFolder {
    /// Whether the folder was empty, so that no process has used it before.
    pub(crate) is_new: bool,
    pub(crate) ownership: Ownership,
    /// When this process became the owner of the folder.
    pub(crate) owned_since: Instant,
    /// The Unix time that the journal uses.
    pub(crate) timeline: Timeline<KernelClocks>,
    pub(crate) journal: Journal,
    /// The messages that are open in the journal, in the order of their acceptance.
    pub(crate) open_messages: Vec<RecoveredMessage>,
}

/// Why the state folder cannot be opened.
#[derive(Debug, thiserror::Error)]
enum StateFolderError {
    /// The lock of the folder cannot be used.
    #[error("upgrade: {0}")]
    Upgrade(#[from] UpgradeError),
    /// The journal cannot be opened.
    #[error("journal: {0}")]
    Journal(#[from] JournalError),
}

impl StateFolder {
    /// Waits until this process owns the folder and has opened its journal. Failures are logged and retried.
    pub(crate) async fn open(path: &Path, disk_mb: f64) -> Self {
        let is_new = is_empty(path);
        loop {
            match StateFolder::try_open(path, disk_mb, is_new).await {
                Ok(folder) => return folder,
                // The failed attempt has released the ownership, so a predecessor continues to serve.
                Err(error) => eprintln!("{error}; retrying to open the state folder"),
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn try_open(path: &Path, disk_mb: f64, is_new: bool) -> Result<Self, StateFolderError> {
        let ownership = acquire_ownership(path).await?;
        let max_journal_bytes = (disk_mb * JOURNAL_BYTES_PER_DISK_MB) as u64;
        let owned_since = Instant::now();
        let timeline = Timeline::open(path, socket_path(path), KernelClocks);
        let now_unix_ms = timeline.clock().now_unix_ms();
        let (journal, open_messages) = Journal::open(path, max_journal_bytes, now_unix_ms)?;
        Ok(StateFolder { is_new, ownership, owned_since, timeline, journal, open_messages })
    }
}

/// Whether the folder can be read and is empty.
fn is_empty(path: &Path) -> bool {
    fs::read_dir(path).is_ok_and(|mut entries| entries.next().is_none())
}
