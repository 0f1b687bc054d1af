//! The decision module, together with the events and actions that are on their way between it and the runtime.

use crate::decision::Balancer;
use crate::interface::{Action, DestinationBacklog, Event, LearnedState, Micros, Settings};

/// Owns the [`Balancer`], the actions that it requested and the wake-up time that it requested.
pub(super) struct Decisions {
    balancer: Balancer,
    /// Requested since the actions were last taken.
    actions: Vec<Action>,
    /// Results of the actions themselves: they are delivered at the start of the next turn.
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

    /// Delivers an event. The actions that it causes are kept until [`Decisions::take_actions`].
    pub(super) fn notify(&mut self, now: Micros, event: Event) {
        self.balancer.on_event(now, event, &mut self.actions);
    }

    /// Keeps an event for the start of the next turn.
    pub(super) fn defer(&mut self, event: Event) {
        self.deferred.push(event);
    }

    /// Whether events wait for the next turn.
    pub(super) fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Delivers the events that were kept for this turn.
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

    /// Requests a wake-up at this time, or earlier if one was requested before.
    pub(super) fn request_wake(&mut self, at: Micros) {
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// When the next [`Event::Wake`] is due.
    pub(super) fn wake_at(&self) -> Option<Micros> {
        self.wake_at
    }

    /// The actions that were requested since the last call, in their order.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What was learned about the destinations, for a successor.
    pub(super) fn learned(&self, now: Micros) -> Vec<LearnedState> {
        self.balancer.learned(now)
    }

    /// What delays the messages of the destinations with the most of them.
    pub(super) fn backlog(&self, now: Micros) -> Vec<DestinationBacklog> {
        self.balancer.backlog(now)
    }
}
