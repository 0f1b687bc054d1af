//! The lock of the state folder.

use super::error::UpgradeError;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// Name of the locked file in the state folder.
const FILE_NAME: &str = "lock";

/// A file lock, held by the process that owns the journal and makes the calls. The kernel releases it when
/// the process ends, even if it is killed.
pub(crate) struct StateLock {
    path: PathBuf,
    file: File,
}

impl StateLock {
    /// Opens the lock of the state folder without acquiring it.
    pub(crate) fn open(folder: &Path) -> Result<Self, UpgradeError> {
        let path = folder.join(FILE_NAME);
        match File::options().write(true).create(true).truncate(false).open(&path) {
            Ok(file) => Ok(StateLock { path, file }),
            Err(source) => Err(UpgradeError::Lock { path, source }),
        }
    }

    /// Acquires the lock if it is free. Returns whether this process now holds the lock.
    pub(crate) fn try_acquire(&self) -> Result<bool, UpgradeError> {
        match self.file.try_lock() {
            Ok(()) => Ok(true),
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(source)) => Err(self.error(source)),
        }
    }

    /// Releases the lock for another process.
    pub(crate) fn release(&self) -> Result<(), UpgradeError> {
        self.file.unlock().map_err(|source| self.error(source))
    }

    fn error(&self, source: io::Error) -> UpgradeError {
        UpgradeError::Lock { path: self.path.clone(), source }
    }
}
