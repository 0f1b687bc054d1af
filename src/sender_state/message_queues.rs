//! Queues of messages, by destination, class and use of the tenant's quota.

use crate::interface::{DestinationId, MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The properties that all messages of one queue share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Index of the class of the messages.
    pub(crate) class: usize,
    /// Whether their tenants had used up their quotas when the messages were submitted.
    pub(crate) over_quota: bool,
}

/// The messages of one queue with their [`super::message::Message::on_time_until`], earliest first.
type Queue = BTreeSet<(Micros, MessageId)>;

/// The queues of all destinations. Empty queues are removed.
#[derive(Debug, Default)]
pub(crate) struct MessageQueues(BTreeMap<DestinationId, BTreeMap<QueueKey, Queue>>);

impl MessageQueues {
    /// Whether no message is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a message is queued for a destination.
    pub(crate) fn contains(&self, destination: DestinationId) -> bool {
        self.0.contains_key(&destination)
    }

    /// The destinations with queued messages, in ascending order.
    pub(crate) fn destinations(&self) -> impl Iterator<Item = DestinationId> {
        self.0.keys().copied()
    }

    /// Number of messages queued for a destination.
    pub(crate) fn len(&self, destination: DestinationId) -> usize {
        self.of(destination).map(|(_, queue)| queue.len()).sum()
    }

    /// At most `limit` destinations with the most queued messages, each with its number of messages.
    pub(crate) fn longest(&self, limit: usize) -> Vec<(usize, DestinationId)> {
        let mut queued: Vec<_> = self.destinations().map(|id| (self.len(id), id)).collect();
        queued.sort_unstable_by(|a, b| b.cmp(a));
        queued.truncate(limit);
        queued
    }

    /// The queues of a destination.
    pub(crate) fn of(&self, destination: DestinationId) -> impl Iterator<Item = (QueueKey, &Queue)> {
        self.0.get(&destination).into_iter().flatten().map(|(key, queue)| (*key, queue))
    }

    /// All queues, ordered by destination.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Queue> {
        self.0.values().flat_map(BTreeMap::values)
    }

    /// Adds a message.
    pub(crate) fn insert(
        &mut self,
        destination: DestinationId,
        key: QueueKey,
        on_time_until: Micros,
        id: MessageId,
    ) {
        self.0.entry(destination).or_default().entry(key).or_default().insert((on_time_until, id));
    }

    /// Removes a message.
    pub(crate) fn remove(
        &mut self,
        destination: DestinationId,
        key: QueueKey,
        on_time_until: Micros,
        id: MessageId,
    ) {
        let Some(queues) = self.0.get_mut(&destination) else { return };
        if let Some(queue) = queues.get_mut(&key) {
            queue.remove(&(on_time_until, id));
        }
        queues.retain(|_, queue| !queue.is_empty());
        if queues.is_empty() {
            self.0.remove(&destination);
        }
    }
}
