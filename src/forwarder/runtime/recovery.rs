//! Recovers the messages of an earlier process from the journal, and the state that a predecessor has handed
//! over.

use super::Runtime;
use super::client_requests::SubmissionDetails;
use super::clock::{Clock, MICROS_PER_MILLISECOND};
use super::final_replies::FinalReply;
use super::handover::InheritedAttempts;
use super::open_messages::OpenMessage;
use crate::forwarder::clock::{SystemClocks, Timeline};
use crate::forwarder::journal::{AcceptedMessage, RecoveredAttempt, RecoveredMessage};
use crate::forwarder::messages::attempt::{AttemptKey, AttemptRef};
use crate::forwarder::messages::notice::Notice;
use crate::forwarder::upgrade::HandoffState;
use crate::interface::{Event, MessageHistory, Micros, PossibleExecution};
use crate::settings_reader::NameList;

/// Assumed age of an attempt whose time is unknown. It exceeds the time for which any destination remembers
/// an idempotency key.
const UNKNOWN_ATTEMPT_AGE_MICROS: Micros = 1 << 55;

/// If the recorded time of an attempt is further in the future than this, the attempt was recorded by a
/// process with a different clock, and its age is unknown. Smaller differences come from reading two clocks.
const MAX_CLOCK_DEVIATION_MICROS: Micros = 100 * MICROS_PER_MILLISECOND;

/// Converts the Unix times of the journal to the clock of this process.
#[derive(Clone, Copy)]
struct RecoveredTimes {
    now: Micros,
    now_unix_ms: u64,
    /// The times in the journal may be too late by up to this, because the wall clock was set back.
    possible_step_back: Micros,
}

impl RecoveredTimes {
    /// `now` is the current time on `clock`.
    fn new(now: Micros, clock: &Clock, timeline: &Timeline<impl SystemClocks>) -> Self {
        RecoveredTimes {
            now,
            now_unix_ms: timeline.clock().unix_ms(clock.instant(now)),
            possible_step_back: Micros::try_from(timeline.possible_step_back().as_micros())
                .unwrap_or(UNKNOWN_ATTEMPT_AGE_MICROS),
        }
    }

    fn to_micros(self, unix_ms: u64) -> Micros {
        let from_now_ms = (unix_ms as i64).saturating_sub(self.now_unix_ms as i64);
        self.now.saturating_add(from_now_ms.saturating_mul(MICROS_PER_MILLISECOND))
    }

    /// The earliest time at which an attempt may have been sent. A later one would extend the time for which
    /// the destination is assumed to remember the idempotency key.
    fn sent_at(self, unix_ms: u64) -> Micros {
        let sent_at = self.to_micros(unix_ms);
        if sent_at > self.now.saturating_add(MAX_CLOCK_DEVIATION_MICROS) {
            return -UNKNOWN_ATTEMPT_AGE_MICROS;
        }
        sent_at.min(self.now).saturating_sub(self.possible_step_back)
    }
}

impl Runtime {
    /// Restores the open messages of the journal and the state of the predecessor.
    pub(super) fn recover(
        &mut self,
        now: Micros,
        recovered: Vec<RecoveredMessage>,
        handoff: Option<HandoffState>,
    ) {
        let mut inherited = InheritedAttempts::default();
        if let Some(state) = handoff {
            inherited = self.restore_handoff_state(now, recovered.len(), state);
        }
        log_recovered(&recovered);
        for message in recovered {
            self.recover_message(now, message, &mut inherited);
        }
        self.track_attempts_of_complete_messages(now, inherited);
    }

    fn recover_message(
        &mut self,
        now: Micros,
        recovered: RecoveredMessage,
        inherited: &mut InheritedAttempts,
    ) {
        let RecoveredMessage { message: content, attempts, pending_notice, in_doubt } = recovered;
        let times = RecoveredTimes::new(now, &self.clock, &self.timeline);
        let expires_at = times.to_micros(content.deadline_unix_ms);
        if let Some(outcome) = pending_notice {
            return self.notices.push(Notice { message: content.id, outcome }, expires_at);
        }
        let in_flight = inherited.take_last(&content.id, attempts.len());
        // The attempt in flight is not among the ended ones: its end reports whether it was executed.
        let ended = &attempts[..attempts.len() - usize::from(in_flight.is_some())];
        let history = MessageHistory {
            accepted: true,
            attempts: ended.len(),
            possible_execution: possible_execution(ended, in_doubt, &self.names.zones, times),
            in_flight,
        };
        let without_attempt = attempts.is_empty() && !in_doubt;
        let message = OpenMessage::recovered(content, expires_at, attempts.len(), without_attempt);
        self.resubmit(now, message, history);
    }

    /// Submits a recovered message to the decision module.
    fn resubmit(&mut self, now: Micros, message: OpenMessage, history: MessageHistory) {
        let AcceptedMessage { id: client_id, class, tenant, destination, .. } = &message.content;
        let class = self.names.classes.index_of(class);
        let tenant = tenant.as_ref().and_then(|tenant| self.names.tenants.index_of(tenant));
        let (client_id, destination, expires_at) = (client_id.clone(), *destination, message.expires_at);
        let id = self.messages.insert(message);
        let Some(class) = class else {
            // The settings no longer contain the message's class, so the effect of an attempt is unknown.
            return self.end_message(id, FinalReply::Failed);
        };
        let details = SubmissionDetails { class, client: None, tenant, destination, expires_at, history };
        self.notify_submission(now, id, details);
        if let Some(call) = history.in_flight {
            let key = AttemptKey { id, attempt: history.attempts };
            self.calls.add_inherited_attempt(key, call, client_id);
        }
    }

    /// Tracks the inherited attempts whose messages are complete: their calls still occupy call slots.
    fn track_attempts_of_complete_messages(&mut self, now: Micros, inherited: InheritedAttempts) {
        for (AttemptRef { message, attempt }, call) in inherited.into_remaining() {
            let id = self.messages.assign_number();
            self.calls.add_inherited_attempt(AttemptKey { id, attempt }, call, message);
            self.decisions.notify(now, Event::InheritedAttempt { id, attempt, call });
        }
    }
}

/// The first of the attempts that may have been executed. If records of the message may be lost (`in_doubt`),
/// that is an attempt of unknown age and zone.
fn possible_execution(
    attempts: &[RecoveredAttempt],
    in_doubt: bool,
    zones: &NameList,
    times: RecoveredTimes,
) -> Option<PossibleExecution> {
    if in_doubt {
        return Some(PossibleExecution { sent_at: -UNKNOWN_ATTEMPT_AGE_MICROS, zone: usize::MAX });
    }
    let first = attempts.iter().find(|attempt| attempt.may_have_executed)?;
    let zone = zones.index_of(&first.zone).unwrap_or(usize::MAX);
    Some(PossibleExecution { sent_at: times.sent_at(first.sent_at_unix_ms), zone })
}

fn log_recovered(recovered: &[RecoveredMessage]) {
    if recovered.is_empty() {
        return;
    }
    let without_attempt =
        |message: &&RecoveredMessage| message.pending_notice.is_none() && message.attempts.is_empty();
    let never_attempted = recovered.iter().filter(without_attempt).count();
    eprintln!(
        "journal: recovered, {} messages open, {never_attempted} of them never attempted",
        recovered.len()
    );
}

#[cfg(test)]
mod tests;
