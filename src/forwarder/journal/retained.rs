//! The state of the journal in memory, which decides what records a compaction retains.

use super::open_messages::OpenMessages;
use super::outcomes::OutcomeCache;
use super::records::Record;
use std::collections::BTreeSet;

/// Estimated length of the record of an outcome or of a banned endpoint, in bytes.
const ESTIMATED_RECORD_BYTES: u64 = 128;

/// The state of the journal in memory: open messages, outcomes and banned endpoints.
pub(super) struct RetainedState {
    pub(super) open_messages: OpenMessages,
    pub(super) outcomes: OutcomeCache,
    pub(super) banned_endpoints: BTreeSet<String>,
}

impl RetainedState {
    /// The state of an empty journal.
    pub(super) fn new(now_unix_ms: u64) -> Self {
        RetainedState {
            open_messages: OpenMessages::default(),
            outcomes: OutcomeCache::new(now_unix_ms),
            banned_endpoints: BTreeSet::new(),
        }
    }

    /// Applies a record whose frame is `size` bytes long.
    pub(super) fn apply(&mut self, record: &Record, size: u64, now_unix_ms: u64) {
        match record {
            Record::Accepted(message) => self.open_messages.open(&message.id, size),
            Record::AttemptStarted { message, .. } | Record::AttemptEnded { message, .. } => {
                self.open_messages.add(message, size);
            }
            Record::NoticePending { message, outcome, remember_until_unix_ms } => {
                self.outcomes.insert(message, (*outcome).into(), *remember_until_unix_ms, now_unix_ms);
                self.open_messages.add(message, size);
            }
            Record::Completed { message, outcome, remember_until_unix_ms } => {
                self.open_messages.remove(message);
                self.outcomes.insert(message, *outcome, *remember_until_unix_ms, now_unix_ms);
            }
            Record::EndpointBanned(endpoint) => {
                self.banned_endpoints.insert(endpoint.clone());
            }
            Record::EndpointAllowed(endpoint) => {
                self.banned_endpoints.remove(endpoint);
            }
        }
    }

    /// Whether a compaction copies this record. Bans are not copied: compaction writes one new record for
    /// each banned endpoint, however often the endpoint was banned and allowed.
    pub(super) fn retains(&self, record: &Record) -> bool {
        match record {
            Record::Accepted(message) => self.open_messages.contains(&message.id),
            Record::AttemptStarted { message, .. }
            | Record::AttemptEnded { message, .. }
            | Record::NoticePending { message, .. } => self.open_messages.contains(message),
            Record::Completed { message, .. } => self.outcomes.get(message).is_some(),
            Record::EndpointBanned(_) | Record::EndpointAllowed(_) => false,
        }
    }

    /// Estimated length of the file after a compaction, in bytes.
    pub(super) fn compacted_length(&self) -> u64 {
        let short_records = (self.outcomes.len() + self.banned_endpoints.len()) as u64;
        self.open_messages.written_bytes() + short_records * ESTIMATED_RECORD_BYTES
    }
}
