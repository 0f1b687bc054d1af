//! Timers: subscriptions to the endpoint list, delayed messages, and messages that are given up.

use super::Balancer;
use crate::interface::{Action, MessageId, Micros};
use crate::sender_state::MessageState;

impl Balancer {
    /// Sets the time at which a message gets its final reply if it has not been delivered.
    pub(super) fn schedule_give_up(&mut self, id: MessageId) {
        let give_up_at = self.sendable_until(&self.state.messages[id]);
        self.state.messages.set_give_up_at(id, give_up_at);
    }

    /// Handles the timers that are due.
    pub(super) fn run_timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.state.subscribe_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Subscribe);
        }
        while let Some(id) = self.state.messages.pop_expired(now) {
            let message = &self.state.messages[id];
            // An attempt in flight may still succeed, until the final reply must be sent.
            let latest = message.submission.expires_at - 2 * self.parameters.tick;
            if message.state == MessageState::InFlight && latest > now {
                self.state.messages.set_give_up_at(id, latest);
            } else if !message.response_started {
                self.reject_or_fail(now, id, actions);
            }
        }
        while let Some(id) = self.state.messages.pop_delayed(now) {
            self.state.enqueue(now, id);
        }
    }
}
