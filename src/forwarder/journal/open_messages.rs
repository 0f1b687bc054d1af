//! The bytes of the file that belong to open messages, and those that are reserved for them.

use super::records::Record;
use std::collections::HashMap;

/// Bytes reserved for each open message, so that the records of its attempts and of its end still fit once
/// the file is full. Those records use the reserve up.
pub(super) const RESERVED_BYTES_PER_MESSAGE: u64 = 1024;

/// The bytes of one open message.
#[derive(Clone, Copy, Default)]
struct MessageBytes {
    /// Bytes of its records.
    written: u64,
    /// Bytes reserved for its records to come.
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

    /// Bytes reserved for the records to come of all open messages.
    pub(super) fn reserved_bytes(&self) -> u64 {
        self.reserved
    }

    /// Counts a record of an open message whose frame has `size` bytes. An accepted message gets its reserve;
    /// every other record uses up some of it.
    pub(super) fn add(&mut self, message: &str, record: &Record, size: u64) {
        let bytes = self.by_message.entry(message.to_owned()).or_default();
        bytes.written += size;
        self.written += size;
        let reserved = match record {
            Record::Accepted(_) => RESERVED_BYTES_PER_MESSAGE,
            _ => bytes.reserved.saturating_sub(size),
        };
        self.reserved = self.reserved - bytes.reserved + reserved;
        bytes.reserved = reserved;
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
