//! The decision module, with the events and actions that are queued between it and the runtime.

use crate::decision::Balancer;
use crate::interface::{Action, DestinationBacklog, Event, LearnedState, Micros, Settings};

/// Owns the [`Balancer`], and the actions and the wake-up that it has requested.
pub(super) struct Decisions {
    balancer: Balancer,
    /// Actions that were requested since the last [`Decisions::take_actions`].
    actions: Vec<Action>,
    /// Results of executing actions, which are delivered at the start of the next turn.
    deferred: Vec<Event>,
    wake_at: Option<Micros>,
}

impl Decisions {
    /// Starts the decision module. The same events and seed always yield the same actions.
    pub(super) fn new(settings: Settings, seed: u64) -> Self {
        Decisions {
            balancer: Balancer::new(settings, seed),
            actions: Vec::new(),
            deferred: Vec::new(),
            wake_at: None,
        }
    }

    /// Delivers an event. The actions that the module returns are kept until [`Decisions::take_actions`].
    pub(super) fn notify(&mut self, now: Micros, event: Event) {
        self.balancer.on_event(now, event, &mut self.actions);
    }

    /// Defers an event to the start of the next turn.
    pub(super) fn defer(&mut self, event: Event) {
        self.deferred.push(event);
    }

    /// Whether events are deferred to the next turn.
    pub(super) fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Delivers the deferred events.
    pub(super) fn notify_deferred(&mut self, now: Micros) {
        for event in std::mem::take(&mut self.deferred) {
            self.notify(now, event);
        }
    }

    /// Delivers [`Event::Wake`] if the requested time has come.
    pub(super) fn notify_wake_if_due(&mut self, now: Micros) {
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.notify(now, Event::Wake);
        }
    }

    /// Requests a wake-up at this time. An earlier one that was requested before stays in force.
    pub(super) fn request_wake(&mut self, at: Micros) {
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// When the next [`Event::Wake`] is due.
    pub(super) fn wake_at(&self) -> Option<Micros> {
        self.wake_at
    }

    /// Takes the actions that were requested since the last call, in order.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What was learned about the destinations, for a successor.
    pub(super) fn learned(&self, now: Micros) -> Vec<LearnedState> {
        self.balancer.learned(now)
    }

    /// What delays the messages of the destinations that have the most messages.
    pub(super) fn backlog(&self, now: Micros) -> Vec<DestinationBacklog> {
        self.balancer.backlog(now)
    }
}
