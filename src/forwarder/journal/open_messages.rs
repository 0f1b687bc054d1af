//! Counts the bytes that the records of open messages occupy in the file, and the bytes reserved for them.

use std::collections::HashMap;

/// Bytes reserved for each open message, so that the records of its attempts and of its end still fit when
/// the file is full. Each of these records uses up some of the reserve.
pub(super) const RESERVED_BYTES_PER_MESSAGE: u64 = 1024;

/// The bytes of one open message.
#[derive(Clone, Copy, Default)]
struct MessageBytes {
    /// Bytes of the records written so far.
    written: u64,
    /// Bytes reserved for records still to be written.
    reserved: u64,
}

/// The bytes of each open message, and their sums.
#[derive(Default)]
pub(super) struct OpenMessages {
    by_message: HashMap<String, MessageBytes>,
    written: u64,
    reserved: u64,
}

impl OpenMessages {
    /// Whether this message is open.
    pub(super) fn contains(&self, message: &str) -> bool {
        self.by_message.contains_key(message)
    }

    /// Bytes of the records of all open messages.
    pub(super) fn written_bytes(&self) -> u64 {
        self.written
    }

    /// Bytes reserved for future records of all open messages.
    pub(super) fn reserved_bytes(&self) -> u64 {
        self.reserved
    }

    /// Adds an accepted message, whose record has a frame of `size` bytes, and reserves bytes for its later
    /// records.
    pub(super) fn open(&mut self, message: &str, size: u64) {
        let bytes = self.by_message.entry(message.to_owned()).or_default();
        bytes.written += size;
        self.written += size;
        self.reserved += RESERVED_BYTES_PER_MESSAGE - bytes.reserved;
        bytes.reserved = RESERVED_BYTES_PER_MESSAGE;
    }

    /// Counts a later record of a message, which uses up some of its reserve. A record of a message that is
    /// not open is not counted, because no later record would free its bytes.
    pub(super) fn add(&mut self, message: &str, size: u64) {
        let Some(bytes) = self.by_message.get_mut(message) else { return };
        bytes.written += size;
        self.written += size;
        let used = bytes.reserved.min(size);
        self.reserved -= used;
        bytes.reserved -= used;
    }

    /// Frees the bytes of a message that is complete.
    pub(super) fn remove(&mut self, message: &str) {
        let bytes = self.by_message.remove(message).unwrap_or_default();
        self.written -= bytes.written;
        self.reserved -= bytes.reserved;
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_message.len()
    }
}
