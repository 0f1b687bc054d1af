//! The calls in flight and the attempts that they carry.

use super::directory::RouteId;
use super::multiset::Multiset;
use crate::interface::{Action, DestinationId, MessageId, Micros};
use std::collections::BTreeMap;

/// An attempt in flight. The attempts in one call share the number of that call.
pub(crate) struct Attempt {
    /// Number of the call that carries the attempt.
    pub(crate) call: u64,
    /// The destination and the endpoint that the attempt was sent to.
    pub(crate) route: RouteId,
    /// Index of the class of the message.
    pub(crate) class: usize,
    /// Index of the zone in which the endpoint was listed when the attempt was sent.
    pub(crate) zone: usize,
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
    /// Whether the host was asked to cancel the attempt.
    pub(crate) cancelled: bool,
    /// Whether the attempt was cancelled because no response can be expected any more. The end of such an
    /// attempt is no evidence about the health of the route.
    pub(crate) lost: bool,
    /// The ordering key of the message.
    pub(crate) ordering_key: Option<String>,
}

impl Attempt {
    /// Creates an attempt with class 0, zone 0 and no ordering key.
    pub(crate) fn new(call: u64, route: RouteId, sent_at: Micros) -> Self {
        Attempt { call, route, class: 0, zone: 0, sent_at, cancelled: false, lost: false, ordering_key: None }
    }
}

/// All attempts in flight. Each call takes one call slot.
#[derive(Default)]
pub(crate) struct CallTable {
    /// Attempts by message and attempt number.
    attempts: BTreeMap<(MessageId, usize), Attempt>,
    /// Each call, counted once for each of its attempts in flight.
    attempts_by_call: Multiset<u64>,
    /// The destinations, each counted once for each call to it.
    destinations: Multiset<DestinationId>,
    next_call: u64,
}

impl CallTable {
    /// Number of the next call; later calls have higher numbers.
    pub(crate) fn next_call(&self) -> u64 {
        self.next_call
    }

    /// Number of call slots in use.
    pub(crate) fn slots_used(&self) -> usize {
        self.attempts_by_call.distinct()
    }

    /// Number of calls in flight to a destination.
    pub(crate) fn count(&self, destination: DestinationId) -> usize {
        self.destinations.count(destination)
    }

    /// Each destination with calls in flight, and their number.
    pub(crate) fn by_destination(&self) -> impl Iterator<Item = (DestinationId, usize)> {
        self.destinations.iter()
    }

    /// Whether a call has an attempt in flight.
    pub(crate) fn contains(&self, call: u64) -> bool {
        self.attempts_by_call.count(call) > 0
    }

    /// Whether an attempt to a destination has been cancelled and has not ended yet.
    pub(crate) fn is_cancelling(&self, destination: DestinationId) -> bool {
        self.attempts.values().any(|attempt| attempt.cancelled && attempt.route.destination == destination)
    }

    /// Returns the attempts that are not cancelled, by call.
    pub(crate) fn active_by_call(&self) -> BTreeMap<u64, Vec<&Attempt>> {
        let mut calls: BTreeMap<u64, Vec<&Attempt>> = BTreeMap::new();
        for attempt in self.attempts.values().filter(|attempt| !attempt.cancelled) {
            calls.entry(attempt.call).or_default().push(attempt);
        }
        calls
    }

    /// Cancels the attempts for which `should_cancel` returns true, and adds the actions. Attempts that are
    /// already cancelled are skipped.
    pub(crate) fn cancel_where(
        &mut self,
        actions: &mut Vec<Action>,
        mut should_cancel: impl FnMut(&mut Attempt) -> bool,
    ) {
        for (&(id, number), attempt) in self.attempts.iter_mut().filter(|(_, attempt)| !attempt.cancelled) {
            if should_cancel(attempt) {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id, attempt: number });
            }
        }
    }

    /// Adds an attempt. The first attempt of a call also adds the call.
    pub(crate) fn insert(&mut self, id: MessageId, number: usize, attempt: Attempt) {
        if !self.contains(attempt.call) {
            self.destinations.insert(attempt.route.destination);
            self.next_call = self.next_call.max(attempt.call + 1);
        }
        self.attempts_by_call.insert(attempt.call);
        self.attempts.insert((id, number), attempt);
    }

    /// Removes an attempt and returns it, or returns `None` if it was not in flight. The last attempt of a
    /// call also removes the call.
    pub(crate) fn remove(&mut self, id: MessageId, number: usize) -> Option<Attempt> {
        let attempt = self.attempts.remove(&(id, number))?;
        if self.attempts_by_call.remove(attempt.call) == 0 {
            self.destinations.remove(attempt.route.destination);
        }
        Some(attempt)
    }
}
