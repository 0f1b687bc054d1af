//! Counts the open messages of each client.

use crate::interface::ClientId;
use std::collections::BTreeMap;

/// The number of open messages of each client that has any.
#[derive(Default)]
pub(crate) struct ClientCounts(BTreeMap<ClientId, usize>);

impl ClientCounts {
    /// Number of open messages of this client.
    pub(crate) fn messages_of(&self, client: ClientId) -> usize {
        self.0.get(&client).copied().unwrap_or(0)
    }

    /// The largest share that all clients can have if they share `capacity` messages fairly: no client gets
    /// more than it has now, and what some leave unused is shared by the others (max-min fairness). It is at
    /// least 1. Returns `None` if the capacity suffices for all.
    pub(crate) fn fair_share(&self, capacity: usize) -> Option<usize> {
        let mut counts: Vec<usize> = self.0.values().copied().collect();
        counts.sort_unstable();
        let mut remaining_clients = counts.len();
        let mut remaining_capacity = capacity;
        for count in counts {
            let equal_share = remaining_capacity / remaining_clients;
            if count > equal_share {
                return Some(equal_share.max(1));
            }
            remaining_capacity -= count;
            remaining_clients -= 1;
        }
        None
    }

    /// Counts a message that is opened.
    pub(super) fn add(&mut self, client: Option<ClientId>) {
        if let Some(client) = client {
            *self.0.entry(client).or_default() += 1;
        }
    }

    /// Counts a message that is no longer open.
    pub(super) fn remove(&mut self, client: Option<ClientId>) {
        let Some(client) = client else { return };
        if let Some(messages) = self.0.get_mut(&client) {
            *messages -= 1;
            if *messages == 0 {
                self.0.remove(&client);
            }
        }
    }
}
