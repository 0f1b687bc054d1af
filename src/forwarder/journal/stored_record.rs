//! The JSON form of a [`Record`], which is part of the file format.

use super::records::{AcceptedMessage, FinalOutcome, Record};
use crate::forwarder::messages::notice::NoticeOutcome;
use serde::{Deserialize, Serialize};

/// A record as it is stored: a JSON object with the kind of the record as its key. For most kinds the value
/// is an array of the fields, in the order given here. Files of earlier versions must stay readable, so the
/// stored names of the kinds, the fields and their order never change.
#[derive(Serialize, Deserialize)]
pub(super) enum StoredRecord {
    #[serde(rename = "Taken")]
    Accepted(AcceptedMessage),
    /// Message, attempt, time at which the attempt was sent (Unix ms), zone.
    #[serde(rename = "Sent")]
    AttemptStarted(String, usize, u64, String),
    /// Message, attempt, whether the attempt may have been executed.
    #[serde(rename = "Ended")]
    AttemptEnded(String, usize, bool),
    /// Message, outcome, time until which to remember the outcome (Unix ms).
    #[serde(rename = "Owed")]
    NoticePending(String, NoticeOutcome, u64),
    /// Message, outcome, time until which to remember the outcome (Unix ms).
    #[serde(rename = "Over")]
    Completed(String, FinalOutcome, u64),
    #[serde(rename = "Banned")]
    EndpointBanned(String),
    #[serde(rename = "Allowed")]
    EndpointAllowed(String),
}

impl From<Record> for StoredRecord {
    fn from(record: Record) -> Self {
        match record {
            Record::Accepted(message) => StoredRecord::Accepted(message),
            Record::AttemptStarted { message, attempt, sent_at_unix_ms, zone } => {
                StoredRecord::AttemptStarted(message, attempt, sent_at_unix_ms, zone)
            }
            Record::AttemptEnded { message, attempt, may_have_executed } => {
                StoredRecord::AttemptEnded(message, attempt, may_have_executed)
            }
            Record::NoticePending { message, outcome, remember_until_unix_ms } => {
                StoredRecord::NoticePending(message, outcome, remember_until_unix_ms)
            }
            Record::Completed { message, outcome, remember_until_unix_ms } => {
                StoredRecord::Completed(message, outcome, remember_until_unix_ms)
            }
            Record::EndpointBanned(endpoint) => StoredRecord::EndpointBanned(endpoint),
            Record::EndpointAllowed(endpoint) => StoredRecord::EndpointAllowed(endpoint),
        }
    }
}

impl From<StoredRecord> for Record {
    fn from(stored: StoredRecord) -> Self {
        match stored {
            StoredRecord::Accepted(message) => Record::Accepted(message),
            StoredRecord::AttemptStarted(message, attempt, sent_at_unix_ms, zone) => {
                Record::AttemptStarted { message, attempt, sent_at_unix_ms, zone }
            }
            StoredRecord::AttemptEnded(message, attempt, may_have_executed) => {
                Record::AttemptEnded { message, attempt, may_have_executed }
            }
            StoredRecord::NoticePending(message, outcome, remember_until_unix_ms) => {
                Record::NoticePending { message, outcome, remember_until_unix_ms }
            }
            StoredRecord::Completed(message, outcome, remember_until_unix_ms) => {
                Record::Completed { message, outcome, remember_until_unix_ms }
            }
            StoredRecord::EndpointBanned(endpoint) => Record::EndpointBanned(endpoint),
            StoredRecord::EndpointAllowed(endpoint) => Record::EndpointAllowed(endpoint),
        }
    }
}
