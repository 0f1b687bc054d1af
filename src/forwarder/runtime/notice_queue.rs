//! The notices that have to be sent to the platform.

use super::Runtime;
use crate::forwarder::journal::Record;
use crate::forwarder::messages::notice::Notice;
use crate::interface::Micros;
use tokio::sync::mpsc::Sender;

/// Upper bound of the notices in one request to the platform.
const MAX_NOTICES_PER_BATCH: usize = 64;

/// A notice that has not been sent yet.
struct PendingNotice {
    notice: Notice,
    /// When the message of the notice expires.
    expires_at: Micros,
}

/// Owns the notices that have not been sent yet.
pub(super) struct NoticeQueue {
    pending: Vec<PendingNotice>,
    /// The notice sender holds the receiver. The capacity of the channel is one batch.
    batches: Sender<Vec<Notice>>,
}

impl NoticeQueue {
    /// An empty queue whose notices are sent to `batches`.
    pub(super) fn new(batches: Sender<Vec<Notice>>) -> Self {
        NoticeQueue { pending: Vec::new(), batches }
    }

    /// Appends a notice about a message that expires at `expires_at`.
    pub(super) fn push(&mut self, notice: Notice, expires_at: Micros) {
        self.pending.push(PendingNotice { notice, expires_at });
    }

    /// Passes the first notices about messages that expire no later than `expire_until` to the notice sender,
    /// as one batch. Does nothing while the notice sender's queue is full.
    fn send_batch(&mut self, expire_until: Micros) {
        let is_sendable = |pending: &PendingNotice| pending.expires_at <= expire_until;
        if !self.pending.iter().any(is_sendable) {
            return;
        }
        if let Ok(permit) = self.batches.try_reserve() {
            let sendable = self.pending.extract_if(.., |pending| is_sendable(pending));
            permit.send(sendable.take(MAX_NOTICES_PER_BATCH).map(|pending| pending.notice).collect());
        }
    }
}

impl Runtime {
    /// Sends notices; while the journal has unwritten records, only those about expired messages. A client
    /// that is notified of a rejection may submit the message again. If this process then ended before the
    /// rejection is written, the next one would deliver the rejected message as well. An expired message is
    /// never delivered, and a second notice about it does no harm.
    pub(super) fn send_notices(&mut self, now: Micros) {
        let is_flushed = self.journal.lock().is_flushed();
        self.notices.send_batch(if is_flushed { Micros::MAX } else { now });
    }

    /// Completes messages in the journal whose notices the platform has acknowledged.
    pub(super) fn complete_notified(&mut self, notices: Vec<Notice>) {
        let now_unix_ms = self.unix_clock.now_unix_ms();
        for Notice { message, outcome } in notices {
            // The client has submitted the message again and it was accepted. The notice concerns the earlier
            // submission and must not complete the new one.
            if self.messages.by_client_id(&message).is_some_and(|resubmitted| resubmitted.accepted) {
                continue;
            }
            let remembered = self.journal.lock().final_outcome(&message);
            let remember_until_unix_ms = remembered.map_or(0, |remembered| remembered.until_unix_ms);
            let completed = Record::completed(message, outcome.into(), remember_until_unix_ms);
            self.journal.lock().enqueue(&completed, now_unix_ms);
        }
    }
}
