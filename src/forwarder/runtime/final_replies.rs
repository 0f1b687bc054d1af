//! Final replies to messages that are not delivered: by a reply to the client or by a notice.

use super::Runtime;
use super::call_in_flight::AttemptCommand;
use super::clock::MICROS_PER_MILLISECOND;
use super::open_messages::OpenMessage;
use crate::forwarder::journal::Record;
use crate::forwarder::messages::attempt::AttemptKey;
use crate::forwarder::messages::client_request::ClientReply;
use crate::forwarder::messages::notice::{Notice, NoticeOutcome};
use crate::forwarder::metrics::DropReason;
use crate::interface::{MessageId, Micros};
use std::time::Duration;

/// The final reply to a message that is not delivered.
#[derive(Clone, Copy)]
pub(super) enum FinalReply {
    /// The message was not executed; submitting it again does no harm.
    Rejected {
        /// How long the client should wait before it submits the message again; `None` if no wait is
        /// suggested.
        retry_after: Option<Duration>,
    },
    /// The message failed, and it may have been executed.
    Failed,
}

impl FinalReply {
    /// A rejection, with a Retry-After if `retry_after` is positive.
    pub(super) fn rejected(retry_after: Micros) -> Self {
        let micros = u64::try_from(retry_after).ok().filter(|micros| *micros > 0);
        FinalReply::Rejected { retry_after: micros.map(Duration::from_micros) }
    }

    fn drop_reason(self) -> DropReason {
        match self {
            FinalReply::Rejected { .. } => DropReason::Rejected,
            FinalReply::Failed => DropReason::Failed,
        }
    }

    fn client_reply(self) -> ClientReply {
        match self {
            FinalReply::Rejected { retry_after } => ClientReply::Rejected(retry_after),
            FinalReply::Failed => ClientReply::Failed,
        }
    }

    fn notice_outcome(self) -> NoticeOutcome {
        match self {
            FinalReply::Rejected { retry_after } => {
                NoticeOutcome::Rejected { retry_in_ms: retry_after.map(milliseconds_rounded_up) }
            }
            FinalReply::Failed => NoticeOutcome::Failed,
        }
    }
}

/// Rounds up, so that a client never submits its message too early.
fn milliseconds_rounded_up(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(MICROS_PER_MILLISECOND as u128)).unwrap_or(u64::MAX)
}

impl Runtime {
    /// Ends a message that is not delivered: with a notice if the message was accepted, with a reply
    /// otherwise.
    pub(super) fn end_message(&mut self, id: MessageId, final_reply: FinalReply) {
        let Some(mut message) = self.messages.remove(id) else { return };
        if let Some(attempt) = message.last_attempt() {
            self.command_attempt(AttemptKey { id, attempt }, AttemptCommand::Abandon);
        }
        self.metrics.record_dropped(final_reply.drop_reason());
        if message.recovered_without_attempt && message.attempts == 0 {
            self.metrics.record_dropped(DropReason::NeverAttempted);
        }
        if message.accepted {
            self.queue_notice(message, final_reply.notice_outcome());
        } else {
            message.reply(final_reply.client_reply());
        }
    }

    fn queue_notice(&mut self, message: OpenMessage, outcome: NoticeOutcome) {
        let remember_until_unix_ms = self.remember_until_unix_ms(&message.content, outcome.into());
        let client_id = message.content.id;
        let pending = Record::notice_pending(client_id.clone(), outcome, remember_until_unix_ms);
        self.journal.lock().enqueue(&pending, self.unix_clock.now_unix_ms());
        self.notices.push(Notice { message: client_id, outcome }, message.expires_at);
    }
}
