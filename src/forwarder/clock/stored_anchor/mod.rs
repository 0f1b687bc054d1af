//! The file that ties Unix time to the monotonic clock.
//!
//! The file has one line: a CRC-32 in hexadecimal and a JSON object, padded with spaces to a fixed length. A
//! single write replaces the previous content, so that a process that is killed leaves either the old line or
//! the new one.

use super::file_identity::FileIdentity;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Length of the file in bytes: one block, the unit of the disk limit.
const FILE_BYTES: usize = 512;
/// Separates the checksum from the JSON object.
const SEPARATOR: char = ' ';

/// A moment on the monotonic clock and its Unix time. The serialized names are part of the file format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredAnchor {
    /// Identifies the monotonic clock.
    pub(super) monotonic_id: String,
    /// The moment on the monotonic clock, in microseconds.
    pub(super) monotonic_us: u64,
    /// The Unix time of the moment, in microseconds.
    pub(super) unix_us: u64,
    /// The socket of the process that owned the journal at that moment. `None` if it could not create one.
    pub(super) owner_socket: Option<FileIdentity>,
}

/// Why a stored anchor cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoredAnchorError {
    /// The file cannot be read or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The content does not match its checksum.
    #[error("the file is damaged")]
    Damaged,
    /// The content is not JSON of the expected form.
    #[error("unexpected content: {0}")]
    Json(#[from] serde_json::Error),
    /// The content does not fit into the file.
    #[error("the content is too long")]
    TooLong,
}

impl StoredAnchor {
    /// Reads the file; `None` if there is none.
    pub(super) fn read(path: &Path) -> Result<Option<Self>, StoredAnchorError> {
        match fs::read(path) {
            Ok(content) => StoredAnchor::decode(&content).map(Some),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Writes the file.
    pub(super) fn write(&self, path: &Path) -> Result<(), StoredAnchorError> {
        let content = self.encode()?;
        let file = File::options().write(true).create(true).truncate(false).open(path)?;
        file.write_all_at(&content, 0)?;
        Ok(())
    }

    fn encode(&self) -> Result<Vec<u8>, StoredAnchorError> {
        let json = serde_json::to_string(self)?;
        let mut line = format!("{:08x}{SEPARATOR}{json}", crc32fast::hash(json.as_bytes())).into_bytes();
        if line.len() >= FILE_BYTES {
            return Err(StoredAnchorError::TooLong);
        }
        line.resize(FILE_BYTES - 1, b' ');
        line.push(b'\n');
        Ok(line)
    }

    fn decode(content: &[u8]) -> Result<Self, StoredAnchorError> {
        let line = str::from_utf8(content).map_err(|_| StoredAnchorError::Damaged)?;
        let (checksum, json) = line.trim_end().split_once(SEPARATOR).ok_or(StoredAnchorError::Damaged)?;
        if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(json.as_bytes())) {
            return Err(StoredAnchorError::Damaged);
        }
        Ok(serde_json::from_str(json)?)
    }
}

#[cfg(test)]
mod format_tests;
