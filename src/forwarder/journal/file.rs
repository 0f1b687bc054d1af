//! The journal file on disk: appends, truncation and replacement by a compacted copy.

use super::error::JournalError;
use super::file_system::{AppendFile, FileSystem};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Name of the journal file in the state folder.
const FILE_NAME: &str = "journal";
/// File name extension of the copy that a compaction writes.
const COPY_EXTENSION: &str = "new";

/// The open journal file. Its complete length is tracked in memory, so that a failed write can be undone.
///
/// Writes are not synced to the disk, because the file has to survive a crash of the process but not of the
/// machine.
pub(super) struct JournalFile<F: FileSystem> {
    file_system: F,
    path: PathBuf,
    file: F::File,
    /// Length of the part that is known to be complete, in bytes.
    length: u64,
    /// Whether there may be bytes after the complete part. They could hide records appended after them, so
    /// they are truncated before the next write.
    has_torn_tail: bool,
    /// Length of a compacted copy that could not be removed yet.
    leftover_copy_bytes: Option<u64>,
}

impl<F: FileSystem> JournalFile<F> {
    /// Opens or creates the file in this folder, and reads it. The complete length is 0 until
    /// [`Self::set_complete_length`] is called.
    pub(super) fn open(file_system: F, folder: &Path) -> Result<(Self, Vec<u8>), JournalError> {
        let path = folder.join(FILE_NAME);
        let mut file = match file_system.open(&path) {
            Ok(file) => file,
            Err(source) => return Err(JournalError::Open { path, source }),
        };
        let mut content = Vec::new();
        if let Err(source) = file.read_to_end(&mut content) {
            return Err(JournalError::Read { path, source });
        }
        let mut opened = JournalFile {
            file_system,
            path,
            file,
            length: 0,
            has_torn_tail: false,
            leftover_copy_bytes: None,
        };
        // A copy remains if the process ended during a compaction, which leaves the file itself unchanged.
        opened.remove_copy();
        Ok((opened, content))
    }

    /// Length of the complete part of the file, in bytes.
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Length of a compacted copy that could not be removed yet, in bytes.
    pub(super) fn leftover_copy_bytes(&self) -> u64 {
        self.leftover_copy_bytes.unwrap_or(0)
    }

    /// Whether there may be bytes after the complete part, which the next process would read.
    pub(super) fn has_torn_tail(&self) -> bool {
        self.has_torn_tail
    }

    /// Sets the length up to which the file is known to be complete.
    pub(super) fn set_complete_length(&mut self, length: u64) {
        self.length = length;
    }

    /// Truncates the file to its complete length. If this fails, [`Self::repair`] retries it before the next
    /// write.
    pub(super) fn truncate_tail(&mut self) -> Result<(), JournalError> {
        self.has_torn_tail = true;
        let truncated = self.file.truncate(self.length);
        truncated.map_err(|source| JournalError::Truncate { path: self.path.clone(), source })?;
        self.has_torn_tail = false;
        Ok(())
    }

    /// Removes a leftover copy and a torn tail. Only a torn tail that remains is an error: a copy that
    /// remains counts against the bound of the journal and has no other effect.
    pub(super) fn repair(&mut self) -> Result<(), JournalError> {
        if self.leftover_copy_bytes.is_some() {
            self.remove_copy();
        }
        if self.has_torn_tail { self.truncate_tail() } else { Ok(()) }
    }

    /// Appends all bytes, or none if it fails. The file must have no torn tail.
    pub(super) fn append(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        if let Err(source) = self.file.write_all(bytes) {
            // Some bytes may have been written. The write error is returned even if truncation fails too.
            let _ = self.truncate_tail();
            return Err(JournalError::Write { path: self.path.clone(), source });
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Reads the complete part of the file.
    pub(super) fn read(&mut self) -> Result<Vec<u8>, JournalError> {
        let mut content = vec![0; self.length as usize];
        let read = self.file.seek(SeekFrom::Start(0)).and_then(|_| self.file.read_exact(&mut content));
        read.map_err(|source| JournalError::Read { path: self.path.clone(), source })?;
        Ok(content)
    }

    /// Replaces the content of the file atomically: the new content is written to a copy, which is then
    /// renamed over the file.
    pub(super) fn replace(&mut self, content: &[u8]) -> Result<(), JournalError> {
        match self.write_copy(content).and_then(|copy| self.rename_copy(copy)) {
            Ok(file) => {
                self.file = file;
                self.length = content.len() as u64;
                self.has_torn_tail = false;
                self.leftover_copy_bytes = None;
                Ok(())
            }
            Err(error) => {
                self.remove_copy();
                Err(error)
            }
        }
    }

    /// Writes the copy, overwriting a leftover one.
    fn write_copy(&self, content: &[u8]) -> Result<F::File, JournalError> {
        let path = self.copy_path();
        let mut copy = match self.file_system.open(&path) {
            Ok(copy) => copy,
            Err(source) => return Err(JournalError::Open { path, source }),
        };
        match copy.truncate(0).and_then(|()| copy.write_all(content)) {
            Ok(()) => Ok(copy),
            Err(source) => Err(JournalError::Write { path, source }),
        }
    }

    /// Renames the copy over the file.
    fn rename_copy(&self, copy: F::File) -> Result<F::File, JournalError> {
        let path = self.copy_path();
        match self.file_system.rename(&path, &self.path) {
            // Network file systems may report an error although the rename succeeded. The copy is then
            // missing.
            Err(source) if !self.is_copy_missing() => Err(JournalError::Rename { path, source }),
            _ => Ok(copy),
        }
    }

    fn is_copy_missing(&self) -> bool {
        let length = self.file_system.length(&self.copy_path());
        length.is_err_and(|error| error.kind() == io::ErrorKind::NotFound)
    }

    /// Removes the copy, if there is one. If this fails, [`Self::repair`] retries it.
    fn remove_copy(&mut self) {
        let copy = self.copy_path();
        self.leftover_copy_bytes = match self.file_system.remove(&copy) {
            Ok(()) => None,
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            // A copy of unknown length could fill the folder, so it uses up the whole bound.
            Err(_) => Some(self.file_system.length(&copy).unwrap_or(u64::MAX)),
        };
    }

    fn copy_path(&self) -> PathBuf {
        self.path.with_extension(COPY_EXTENSION)
    }
}
