//! The JSON form of a [`Record`], which is part of the file format.

use super::records::{AcceptedMessage, FinalOutcome, Record};
use crate::forwarder::messages::notice::NoticeOutcome;
use serde::{Deserialize, Serialize};

/// A record as it is stored: an object with the kind of the record as its key. The fields of most kinds form
/// an array, in the order given here. Files of earlier versions must stay readable, so kinds, fields and
/// their order never change.
#[derive(Serialize, Deserialize)]
pub(super) enum StoredRecord {
    Taken(AcceptedMessage),
    /// Message, attempt, time at which it was sent (Unix ms), zone.
    Sent(String, usize, u64, String),
    /// Message, attempt, whether it may have been executed.
    Ended(String, usize, bool),
    /// Message, outcome, until when to remember it (Unix ms).
    Owed(String, NoticeOutcome, u64),
    /// Message, outcome, until when to remember it (Unix ms).
    Over(String, FinalOutcome, u64),
    Banned(String),
    Allowed(String),
}

impl From<Record> for StoredRecord {
    fn from(record: Record) -> Self {
        match record {
            Record::Accepted(message) => StoredRecord::Taken(message),
            Record::AttemptStarted { message, attempt, sent_at_unix_ms, zone } => {
                StoredRecord::Sent(message, attempt, sent_at_unix_ms, zone)
            }
            Record::AttemptEnded { message, attempt, may_have_executed } => {
                StoredRecord::Ended(message, attempt, may_have_executed)
            }
            Record::NoticePending { message, outcome, remember_until_unix_ms } => {
                StoredRecord::Owed(message, outcome, remember_until_unix_ms)
            }
            Record::Completed { message, outcome, remember_until_unix_ms } => {
                StoredRecord::Over(message, outcome, remember_until_unix_ms)
            }
            Record::EndpointBanned(endpoint) => StoredRecord::Banned(endpoint),
            Record::EndpointAllowed(endpoint) => StoredRecord::Allowed(endpoint),
        }
    }
}

impl From<StoredRecord> for Record {
    fn from(stored: StoredRecord) -> Self {
        match stored {
            StoredRecord::Taken(message) => Record::Accepted(message),
            StoredRecord::Sent(message, attempt, sent_at_unix_ms, zone) => {
                Record::AttemptStarted { message, attempt, sent_at_unix_ms, zone }
            }
            StoredRecord::Ended(message, attempt, may_have_executed) => {
                Record::AttemptEnded { message, attempt, may_have_executed }
            }
            StoredRecord::Owed(message, outcome, remember_until_unix_ms) => {
                Record::NoticePending { message, outcome, remember_until_unix_ms }
            }
            StoredRecord::Over(message, outcome, remember_until_unix_ms) => {
                Record::Completed { message, outcome, remember_until_unix_ms }
            }
            StoredRecord::Banned(endpoint) => Record::EndpointBanned(endpoint),
            StoredRecord::Allowed(endpoint) => Record::EndpointAllowed(endpoint),
        }
    }
}
