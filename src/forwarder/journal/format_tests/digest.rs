//! A digest of the state that is recovered from a journal.

use super::super::Journal;
use super::super::records::{AcceptedMessage, FinalOutcome, RecoveredMessage};
use super::remembered_outcomes;
use crate::forwarder::messages::notice::NoticeOutcome;

/// A 64-bit FNV-1a hash of the recovered values. The names of types and fields do not affect it.
pub(super) struct Digest(u64);

impl Digest {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    pub(super) fn new() -> Self {
        Digest(Self::OFFSET_BASIS)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }

    pub(super) fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn text(&mut self, text: impl AsRef<[u8]>) {
        self.number(text.as_ref().len() as u64);
        self.bytes(text.as_ref());
    }

    fn optional_text(&mut self, text: &Option<String>) {
        self.number(text.is_some().into());
        if let Some(text) = text {
            self.text(text);
        }
    }

    fn outcome(&mut self, outcome: FinalOutcome) {
        self.number(match outcome {
            FinalOutcome::Delivered => 1,
            FinalOutcome::Failed => 2,
            FinalOutcome::Rejected => 3,
        });
    }

    fn pending_notice(&mut self, notice: Option<NoticeOutcome>) {
        let (kind, retry_in_ms) = match notice {
            None => (0, 0),
            Some(NoticeOutcome::Failed) => (1, 0),
            Some(NoticeOutcome::Rejected { retry_in_ms: None }) => (2, 0),
            Some(NoticeOutcome::Rejected { retry_in_ms: Some(ms) }) => (3, ms),
        };
        self.number(kind);
        self.number(retry_in_ms);
    }

    fn message(&mut self, message: &AcceptedMessage) {
        self.text(&message.id);
        self.text(&message.class);
        self.optional_text(&message.tenant);
        self.number(message.destination);
        self.optional_text(&message.idempotency_key);
        self.number(message.deadline_unix_ms);
        self.text(&message.body);
    }

    fn open_message(&mut self, open: &RecoveredMessage) {
        self.message(&open.message);
        self.number(open.attempts.len() as u64);
        for attempt in &open.attempts {
            self.number(attempt.sent_at_unix_ms);
            self.text(&attempt.zone);
            self.number(attempt.may_have_executed.into());
        }
        self.pending_notice(open.pending_notice);
        self.number(open.in_doubt.into());
    }

    pub(super) fn journal(&mut self, journal: &Journal, messages: &[RecoveredMessage]) {
        self.number(messages.len() as u64);
        messages.iter().for_each(|open| self.open_message(open));
        let outcomes = remembered_outcomes(journal);
        self.number(outcomes.len() as u64);
        for (id, outcome, until) in outcomes {
            self.text(id);
            self.outcome(outcome);
            self.number(until);
        }
        self.number(journal.retained.banned_endpoints.len() as u64);
        journal.retained.banned_endpoints.iter().for_each(|uid| self.text(uid));
    }

    pub(super) fn value(&self) -> u64 {
        self.0
    }
}
