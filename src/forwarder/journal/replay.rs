//! Recovers the open messages from the records in the file.

use super::records::{AcceptedMessage, Record, RecoveredAttempt, RecoveredMessage};
use std::collections::HashMap;

/// Applies records in order and collects the messages that are still open after the last one.
#[derive(Default)]
pub(super) struct Replay {
    /// Ids of the accepted messages, in the order of their acceptance.
    order: Vec<String>,
    open: HashMap<String, RecoveredMessage>,
}

impl Replay {
    /// Applies the next record.
    pub(super) fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted(message) => self.accept(message),
            Record::AttemptStarted { message, attempt, sent_at_unix_ms, zone } => {
                // Without a record of its end, the process ended during the attempt, which may have been
                // executed.
                let started = RecoveredAttempt { sent_at_unix_ms, zone, may_have_executed: true };
                self.start_attempt(&message, attempt, started);
            }
            Record::AttemptEnded { message, attempt, may_have_executed } => {
                let open = self.open.get_mut(&message);
                if let Some(ended) = open.and_then(|open| open.attempts.get_mut(attempt)) {
                    ended.may_have_executed = may_have_executed;
                }
            }
            Record::NoticePending { message, outcome, .. } => {
                if let Some(open) = self.open.get_mut(&message) {
                    open.pending_notice = Some(outcome);
                }
            }
            Record::Completed { message, .. } => {
                self.open.remove(&message);
            }
            // Bans do not concern messages.
            Record::EndpointBanned(_) | Record::EndpointAllowed(_) => {}
        }
    }

    fn accept(&mut self, message: AcceptedMessage) {
        let id = message.id.clone();
        self.order.push(id.clone());
        let open = RecoveredMessage { message, attempts: Vec::new(), pending_notice: None, in_doubt: false };
        self.open.insert(id, open);
    }

    /// Adds an attempt, unless its message is not open or has this attempt already.
    fn start_attempt(&mut self, message: &str, attempt: usize, started: RecoveredAttempt) {
        let Some(open) = self.open.get_mut(message) else { return };
        if attempt < open.attempts.len() {
            return;
        }
        // Attempts with skipped numbers were never written to an endpoint, and so were not recorded.
        let never_written = RecoveredAttempt { may_have_executed: false, ..started.clone() };
        open.attempts.resize(attempt, never_written);
        open.attempts.push(started);
    }

    /// Marks all open messages as in doubt, because records may be missing at this position. Returns their
    /// number.
    pub(super) fn mark_in_doubt(&mut self) -> usize {
        self.open.values_mut().for_each(|open| open.in_doubt = true);
        self.open.len()
    }

    /// The open messages, in the order of their acceptance.
    pub(super) fn into_open_messages(mut self) -> Vec<RecoveredMessage> {
        self.order.iter().filter_map(|id| self.open.remove(id)).collect()
    }
}
