//! Final answers of the decision module to messages that were not delivered.

use super::Runtime;
use super::call_in_flight::AttemptCommand;
use super::open_messages::OpenMessage;
use crate::forwarder::clock::unix_now;
use crate::forwarder::journal::Record;
use crate::forwarder::messages::attempt::AttemptKey;
use crate::forwarder::messages::client_request::ClientReply;
use crate::forwarder::messages::notice::{Notice, NoticeOutcome};
use crate::forwarder::metrics::DropReason;
use crate::interface::{MessageId, Micros};
use std::time::Duration;

/// How a message ended that was not delivered.
#[derive(Clone, Copy)]
pub(super) enum FinalAnswer {
    /// It was not executed; submitting it again does no harm.
    Rejected {
        /// How long the client should wait before it does so, in microseconds.
        retry_after: Option<u64>,
    },
    /// Given up; it may have been executed.
    Failed,
}

impl FinalAnswer {
    /// A rejection; the client is told to wait unless `retry_after` is 0.
    pub(super) fn rejected(retry_after: Micros) -> Self {
        FinalAnswer::Rejected { retry_after: u64::try_from(retry_after).ok().filter(|micros| *micros > 0) }
    }

    fn drop_reason(self) -> DropReason {
        match self {
            FinalAnswer::Rejected { .. } => DropReason::Rejected,
            FinalAnswer::Failed => DropReason::Failed,
        }
    }

    fn client_reply(self) -> ClientReply {
        match self {
            FinalAnswer::Rejected { retry_after } => {
                ClientReply::Rejected(retry_after.map(Duration::from_micros))
            }
            FinalAnswer::Failed => ClientReply::Failed,
        }
    }

    fn notice_outcome(self) -> NoticeOutcome {
        match self {
            FinalAnswer::Rejected { retry_after } => {
                let retry_in_ms = retry_after.map(|micros| micros.div_ceil(1000));
                NoticeOutcome::Rejected { retry_in_ms }
            }
            FinalAnswer::Failed => NoticeOutcome::Failed,
        }
    }
}

impl Runtime {
    /// Ends a message: by a reply to its client as long as that waits, later by a notice.
    pub(super) fn give_up(&mut self, id: MessageId, answer: FinalAnswer) {
        let Some(mut message) = self.messages.remove(id) else { return };
        if let Some(attempt) = message.last_attempt() {
            self.command_attempt(AttemptKey { id, attempt }, AttemptCommand::Abandon);
        }
        self.metrics.record_dropped(answer.drop_reason());
        if message.recovered_without_attempt && message.attempts == 0 {
            self.metrics.record_dropped(DropReason::NeverAttempted);
        }
        if message.accepted {
            self.queue_notice(message, answer.notice_outcome());
        } else {
            message.reply(answer.client_reply());
        }
    }

    fn queue_notice(&mut self, message: OpenMessage, outcome: NoticeOutcome) {
        let client_id = message.content.id;
        let pending = Record::notice_pending(client_id.clone(), outcome, message.content.deadline_unix_ms);
        self.journal.lock().enqueue(&pending, unix_now());
        self.notices.push(Notice { message: client_id, outcome });
    }

    /// Sends a command to the call of an attempt, whichever process makes it.
    pub(super) fn command_attempt(&self, key: AttemptKey, command: AttemptCommand) {
        self.calls.command(key, command, self.predecessor.as_ref());
    }
}
