//! The notices that have to be sent.

use super::Runtime;
use crate::forwarder::clock::unix_now_ms;
use crate::forwarder::journal::Record;
use crate::forwarder::messages::notice::Notice;
use tokio::sync::mpsc::Sender;

/// Notices in one request to the platform.
const MAX_NOTICES_PER_BATCH: usize = 64;

/// Owns the notices that were not sent yet.
pub(super) struct NoticeQueue {
    pending: Vec<Notice>,
    /// The notice sender holds the receiver. Its bound is one batch.
    batches: Sender<Vec<Notice>>,
}

impl NoticeQueue {
    pub(super) fn new(batches: Sender<Vec<Notice>>) -> Self {
        NoticeQueue { pending: Vec::new(), batches }
    }

    pub(super) fn push(&mut self, notice: Notice) {
        self.pending.push(notice);
    }

    /// Passes a batch to the notice sender, unless that still has one.
    fn send_batch(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        if let Ok(permit) = self.batches.try_reserve() {
            let size = self.pending.len().min(MAX_NOTICES_PER_BATCH);
            permit.send(self.pending.drain(..size).collect());
        }
    }
}

impl Runtime {
    /// Sends notices once everything stands in the journal: a client that was told to submit its message again
    /// must not find it sent by the next process.
    pub(super) fn send_notices(&mut self) {
        if self.journal.lock().is_flushed() {
            self.notices.send_batch();
        }
    }

    /// Completes messages in the journal whose notices the platform has acknowledged.
    pub(super) fn complete_notified(&mut self, notices: Vec<Notice>) {
        let now_unix_ms = unix_now_ms();
        for Notice { message, outcome } in notices {
            // Accepted again since: the end of the earlier submission must not complete this one in the journal.
            if self.messages.by_client_id(&message).is_some_and(|again| again.accepted) {
                continue;
            }
            let remembered = self.journal.lock().final_outcome(&message);
            let remember_until_unix_ms = remembered.map_or(0, |remembered| remembered.until_unix_ms);
            let completed = Record::completed(message, outcome.into(), remember_until_unix_ms);
            self.journal.lock().enqueue(&completed, now_unix_ms);
        }
    }
}
