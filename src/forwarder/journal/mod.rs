//! Write-ahead journal of the accepted messages and their state, kept in the state folder.
//!
//! The journal is one append-only file of checksummed frames. The records of one turn of the runtime are
//! appended by one write, before the turn replies to a client or writes to an endpoint. When the process
//! starts, the records are replayed.

mod capacity;
mod compaction;
mod encoding;
mod error;
mod file;
mod file_system;
mod open_messages;
mod outcomes;
mod records;
mod replay;
mod retained;
mod stored_record;

pub(crate) use error::JournalError;
pub(crate) use records::{
    AcceptedMessage, FinalOutcome, Record, RecoveredAttempt, RecoveredMessage, RememberedOutcome,
};

use capacity::Capacity;
use encoding::{Frames, encode, starts_with_complete_frame};
use file::JournalFile;
use file_system::{FileSystem, StandardFileSystem};
use open_messages::RESERVED_BYTES_PER_MESSAGE;
use replay::Replay;
use retained::RetainedState;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Upper bound of the record of an accepted message without its body. The record contains an id, a key and
/// two names, whose lengths are limited when a message is submitted.
const MAX_ACCEPTED_RECORD_BYTES: u64 = 640;

/// Delay before a write is retried after a failure.
pub(crate) const WRITE_RETRY_DELAY_MS: u64 = 50;

/// The open journal.
pub(crate) struct Journal<F: FileSystem = StandardFileSystem> {
    file: JournalFile<F>,
    /// Upper bound of the total length of the file and its compacted copy.
    max_bytes: u64,
    retained: RetainedState,
    /// Frames to be appended by the next successful commit.
    pending: Vec<u8>,
    /// When the last write failed, or `None` if it succeeded.
    write_failed_at_unix_ms: Option<u64>,
    /// When the last compaction failed, or `None` if it succeeded.
    compaction_failed_at_unix_ms: Option<u64>,
}

/// A journal that the runtime and the calls to endpoints share.
#[derive(Clone)]
pub(crate) struct SharedJournal(Arc<Mutex<Journal>>);

impl SharedJournal {
    pub(crate) fn new(journal: Journal) -> Self {
        SharedJournal(Arc::new(Mutex::new(journal)))
    }

    /// Locks the journal. Callers must hold the guard for one statement only, never across an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Journal> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Journal {
    /// Opens the journal in `folder` on the standard file system, see [`Journal::open_in`].
    ///
    /// # Errors
    ///
    /// The file cannot be opened or read.
    pub(crate) fn open(
        folder: &Path,
        max_bytes: u64,
        now_unix_ms: u64,
    ) -> Result<(Self, Vec<RecoveredMessage>), JournalError> {
        Journal::open_in(StandardFileSystem, folder, max_bytes, now_unix_ms)
    }
}

impl<F: FileSystem> Journal<F> {
    /// Opens the journal in `folder` and replays it, skipping damaged frames and truncating a torn tail. Also
    /// returns the open messages, in the order of their acceptance.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or read.
    fn open_in(
        file_system: F,
        folder: &Path,
        max_bytes: u64,
        now_unix_ms: u64,
    ) -> Result<(Self, Vec<RecoveredMessage>), JournalError> {
        let (file, content) = JournalFile::open(file_system, folder)?;
        let retained = RetainedState::new(now_unix_ms);
        let mut journal = Journal {
            file,
            max_bytes,
            retained,
            pending: Vec::new(),
            write_failed_at_unix_ms: None,
            compaction_failed_at_unix_ms: None,
        };
        let mut replay = Replay::default();
        journal.replay_frames(&content, &mut replay, now_unix_ms);
        let tail = &content[journal.file.length() as usize..];
        if !tail.is_empty() {
            journal.discard_tail(tail, &mut replay);
        }
        Ok((journal, replay.into_open_messages()))
    }

    /// Replays the undamaged frames, and sets the complete length of the file to the end of the last one.
    fn replay_frames(&mut self, content: &[u8], replay: &mut Replay, now_unix_ms: u64) {
        for frame in Frames::of(content) {
            let damaged_bytes = frame.start as u64 - self.file.length();
            if damaged_bytes > 0 {
                let in_doubt = replay.mark_in_doubt();
                eprintln!(
                    "journal: skipped {damaged_bytes} damaged bytes; \
                     {in_doubt} open messages may have been executed"
                );
            }
            self.file.set_complete_length(frame.end as u64);
            self.retained.apply(&frame.record, frame.size(), now_unix_ms);
            replay.apply(frame.record);
        }
    }

    /// Truncates the file after the last undamaged frame. If truncation fails, it is retried before the next
    /// write.
    fn discard_tail(&mut self, tail: &[u8], replay: &mut Replay) {
        // A process that is killed during a write leaves an incomplete frame, and has not acted on its
        // record. A frame of full length that cannot be read was damaged after the process may have acted on
        // its record.
        let in_doubt = if starts_with_complete_frame(tail) { replay.mark_in_doubt() } else { 0 };
        eprintln!(
            "journal: discarded {} bytes of a torn tail; {in_doubt} open messages may have been executed",
            tail.len()
        );
        if let Err(error) = self.file.truncate_tail() {
            eprintln!("journal: {error}; retrying before the next write");
        }
    }

    /// Adds a record that must not be lost, such as the end of an attempt. The record takes effect at once,
    /// and is written by the next successful commit.
    pub(crate) fn enqueue(&mut self, record: &Record, now_unix_ms: u64) {
        let size = encode(record, &mut self.pending);
        self.retained.apply(record, size, now_unix_ms);
    }

    /// Writes the enqueued records and `records`. After a failed write, commits fail without writing for
    /// [`WRITE_RETRY_DELAY_MS`].
    ///
    /// # Errors
    ///
    /// The journal is full or cannot be written. In that case `records` have no effect, and the enqueued
    /// records stay enqueued.
    pub(crate) fn commit(&mut self, records: &[Record], now_unix_ms: u64) -> Result<(), JournalError> {
        if is_recent(self.write_failed_at_unix_ms, WRITE_RETRY_DELAY_MS, now_unix_ms) {
            return Err(JournalError::Paused);
        }
        let enqueued_bytes = self.pending.len();
        let sizes: Vec<u64> = records.iter().map(|record| encode(record, &mut self.pending)).collect();
        if let Err(error) = self.write_pending(now_unix_ms) {
            self.pending.truncate(enqueued_bytes);
            self.record_write_failure(&error, now_unix_ms);
            return Err(error);
        }
        for (record, size) in records.iter().zip(sizes) {
            self.retained.apply(record, size, now_unix_ms);
        }
        self.compact_if_due(now_unix_ms);
        Ok(())
    }

    /// Repairs the file after an earlier failure, then writes the pending frames.
    fn write_pending(&mut self, now_unix_ms: u64) -> Result<(), JournalError> {
        self.file.repair()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        if !self.has_space_for_pending() {
            // Earlier compactions may have failed, which let the file grow to its bound.
            self.compact_unless_paused(now_unix_ms);
        }
        if !self.has_space_for_pending() {
            return Err(JournalError::Full);
        }
        self.file.append(&self.pending)?;
        self.pending.clear();
        if self.write_failed_at_unix_ms.take().is_some() {
            eprintln!("journal: writes succeed again");
        }
        Ok(())
    }

    fn has_space_for_pending(&self) -> bool {
        self.file.length() + self.pending.len() as u64 <= self.available_bytes()
    }

    /// Upper bound of the total length of the file and its compacted copy, less the length of a copy that
    /// could not be removed.
    fn available_bytes(&self) -> u64 {
        self.max_bytes.saturating_sub(self.file.leftover_copy_bytes())
    }

    /// Starts the retry delay after a failed write, and logs the first of several failures in a row.
    fn record_write_failure(&mut self, error: &JournalError, now_unix_ms: u64) {
        if matches!(error, JournalError::Full) {
            return;
        }
        if self.write_failed_at_unix_ms.replace(now_unix_ms).is_none() {
            eprintln!("journal: {error}; no message is accepted and no call is sent until a write succeeds");
        }
    }

    fn compact_if_due(&mut self, now_unix_ms: u64) {
        if self.capacity().is_compaction_due() {
            // If compaction fails, the file is still complete, and a later commit retries.
            self.compact_unless_paused(now_unix_ms);
        }
    }

    /// The outcome of a message, if it is still remembered.
    pub(crate) fn final_outcome(&self, message: &str) -> Option<RememberedOutcome> {
        self.retained.outcomes.get(message)
    }

    /// Whether an operator has disabled the endpoint with this id.
    pub(crate) fn is_banned(&self, endpoint: &str) -> bool {
        self.retained.banned_endpoints.contains(endpoint)
    }

    /// Whether all enqueued records have been written and the file has no torn tail.
    pub(crate) fn is_flushed(&self) -> bool {
        self.pending.is_empty() && !self.file.has_torn_tail()
    }

    /// Whether `messages` more messages with `body_bytes` of bodies in total can be accepted. Compacts the
    /// file if that makes them fit.
    pub(crate) fn has_capacity(&mut self, messages: usize, body_bytes: usize, now_unix_ms: u64) -> bool {
        let new_bytes = body_bytes as u64 + messages as u64 * MAX_ACCEPTED_RECORD_BYTES;
        let reserved_bytes = messages as u64 * RESERVED_BYTES_PER_MESSAGE;
        let capacity = self.capacity();
        if capacity.fits(new_bytes, reserved_bytes) {
            return true;
        }
        capacity.is_compaction_worthwhile()
            && capacity.after_compaction().fits(new_bytes, reserved_bytes)
            && self.compact_unless_paused(now_unix_ms)
            && self.capacity().fits(new_bytes, reserved_bytes)
    }

    fn capacity(&self) -> Capacity {
        Capacity {
            max_bytes: self.available_bytes(),
            file_length: self.file.length(),
            pending_bytes: self.pending.len() as u64,
            compacted_length: self.retained.compacted_length(),
            reserved_bytes: self.retained.open_messages.reserved_bytes(),
        }
    }
}

/// Whether a failure happened less than `delay_ms` ago. The difference is absolute because the clock may have
/// been set back since.
fn is_recent(failed_at_unix_ms: Option<u64>, delay_ms: u64, now_unix_ms: u64) -> bool {
    failed_at_unix_ms.is_some_and(|failed_at| now_unix_ms.abs_diff(failed_at) < delay_ms)
}

#[cfg(test)]
mod format_tests;
#[cfg(test)]
mod tests;
