//! Distinguishes a file from another one that is created later at the same path.

use serde::{Deserialize, Serialize};
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Identifies a file that may be replaced but is never modified.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FileIdentity {
    inode: u64,
    /// The change time of the inode. It is only compared for equality, because it comes from the wall clock.
    changed_at_seconds: i64,
    changed_at_nanoseconds: i64,
}

impl FileIdentity {
    /// The identity of the file at this path; `None` if there is none.
    pub(super) fn of(path: &Path) -> Option<Self> {
        let metadata = fs::symlink_metadata(path).ok()?;
        Some(FileIdentity {
            inode: metadata.ino(),
            changed_at_seconds: metadata.ctime(),
            changed_at_nanoseconds: metadata.ctime_nsec(),
        })
    }
}
