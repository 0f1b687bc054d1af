//! Compaction: replaces the file with a copy that contains only the records that are still needed.

use super::encoding::{Frames, encode};
use super::error::JournalError;
use super::file_system::FileSystem;
use super::records::Record;
use super::{Journal, is_recent};

/// Delay before a compaction is retried after a failure.
const COMPACTION_RETRY_DELAY_MS: u64 = 100;

impl<F: FileSystem> Journal<F> {
    /// Compacts the file. If this fails, the records in the file are unchanged.
    pub(super) fn compact(&mut self, now_unix_ms: u64) -> Result<(), JournalError> {
        let compacted = self.try_compact(now_unix_ms);
        if let Err(error) = &compacted {
            eprintln!("journal: compaction failed; keeping the current file: {error}");
        }
        self.compaction_failed_at_unix_ms = compacted.is_err().then_some(now_unix_ms);
        compacted
    }

    /// Compacts the file, unless a compaction failed less than [`COMPACTION_RETRY_DELAY_MS`] ago. Compaction
    /// reads and writes the whole file, and would use up the processor if it were retried for each message.
    /// Returns whether the file was compacted.
    pub(super) fn compact_unless_paused(&mut self, now_unix_ms: u64) -> bool {
        let is_paused = is_recent(self.compaction_failed_at_unix_ms, COMPACTION_RETRY_DELAY_MS, now_unix_ms);
        !is_paused && self.compact(now_unix_ms).is_ok()
    }

    fn try_compact(&mut self, now_unix_ms: u64) -> Result<(), JournalError> {
        // A torn tail is removed first: the bound holds for the file and its copy, and does not account for
        // it.
        self.file.repair()?;
        self.retained.outcomes.drop_expired(now_unix_ms);
        let file = self.file.read()?;
        let content = self.retained_frames(&file);
        if self.file.length() + content.len() as u64 > self.max_bytes {
            return Err(JournalError::Full);
        }
        self.file.replace(&content)
    }

    fn retained_frames(&self, file: &[u8]) -> Vec<u8> {
        let mut content = Vec::with_capacity(self.retained.compacted_length() as usize);
        for endpoint in &self.retained.banned_endpoints {
            encode(&Record::EndpointBanned(endpoint.clone()), &mut content);
        }
        for frame in Frames::of(file) {
            if self.retained.retains(&frame.record) {
                content.extend_from_slice(&file[frame.start..frame.end]);
            }
        }
        content
    }
}
