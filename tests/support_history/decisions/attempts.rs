//! The attempts of a history: how they are sent, joined to calls, cancelled and ended.

use super::call_plan::CallPlan;
use super::driver::History;
use super::inputs::{AttemptEnd, Ending, Input, MILLISECOND, PossibleExecution, Report};
use super::settings::{BATCH, BATCHED};

/// An attempt in flight.
pub(crate) struct Attempt {
    pub id: u64,
    pub number: usize,
    pub call: u64,
    pub endpoint: u64,
    pub sent_at: i64,
    pub ends_at: i64,
    pub ending: Ending,
    pub report: Option<Report>,
    pub retry_after: Option<i64>,
    pub unsent: bool,
}

/// The last call of a turn, which further messages may join.
pub(crate) struct LastCall {
    pub number: u64,
    pub endpoint: u64,
    pub messages: usize,
    pub plan: CallPlan,
}

impl History<'_> {
    /// Starts an attempt. Attempts of one turn to one endpoint travel in one call, and most of them
    /// end in the same way.
    pub(super) fn send(&mut self, id: u64, endpoint: u64, timeout: i64) {
        let listed = self.endpoints[&endpoint];
        let batch = if listed.kind == BATCHED { BATCH } else { 1 };
        let joins_last_call =
            self.last_call.as_ref().is_some_and(|c| c.endpoint == endpoint && c.messages < batch);
        if !joins_last_call {
            let number = self.next_call;
            let condition = self.conditions[&listed.destination];
            let plan = CallPlan::draw(&mut self.generator, condition, timeout);
            self.next_call += 1;
            self.last_call = Some(LastCall { number, endpoint, messages: 0, plan });
        }
        let ends_differently = self.generator.per_mille(30);
        let call = self.last_call.as_mut().expect("just set");
        call.messages += 1;
        let (number, plan) = (call.number, call.plan);
        let message = self.messages.get_mut(&id).expect("only open messages are sent");
        let attempt = message.attempts;
        message.attempts += 1;
        self.attempts.push(Attempt {
            id,
            number: attempt,
            call: number,
            endpoint,
            sent_at: self.now,
            ends_at: self.now + plan.duration,
            ending: if ends_differently { Ending::Error } else { plan.ending },
            report: plan.report,
            retry_after: plan.retry_after,
            unsent: plan.unsent,
        });
    }

    pub(super) fn cancel(&mut self, id: u64, number: usize) {
        let delay = self.generator.between(0, 50 * MILLISECOND);
        let is_cancelled = self.generator.per_mille(900);
        for attempt in self.attempts.iter_mut().filter(|a| a.id == id && a.number == number) {
            attempt.ends_at = attempt.ends_at.min(self.now + delay);
            attempt.ending = if is_cancelled { Ending::Cancelled } else { attempt.ending };
        }
    }

    pub(super) fn end_attempts(&mut self) {
        let open = std::mem::take(&mut self.attempts);
        let (mut due, open): (Vec<_>, Vec<_>) = open.into_iter().partition(|a| a.ends_at <= self.now);
        self.attempts = open;
        due.sort_by_key(|a| (a.ends_at, a.call, a.number, a.id));
        due.into_iter().for_each(|attempt| self.end_attempt(attempt));
    }

    fn end_attempt(&mut self, ended: Attempt) {
        let zone = self.endpoints[&ended.endpoint].zone;
        let message = self.messages.get_mut(&ended.id).expect("kept while an attempt is open");
        message.finished |= message.response_started || ended.ending == Ending::Delivered;
        if !ended.ending.never_executed() && message.possible_execution.is_none() {
            message.possible_execution = Some(PossibleExecution { sent_at: ended.sent_at, zone });
        }
        let finished = message.finished;
        self.handle(Input::AttemptEnded(AttemptEnd {
            id: ended.id,
            attempt: ended.number,
            ending: ended.ending,
            elapsed: self.now - ended.sent_at,
            finished,
            report: ended.report,
            unsent: ended.unsent,
            retry_after: ended.retry_after,
        }));
    }
}
