//! The endpoints of the endpoint list, their numbers, and the endpoints that were removed from the list.

use crate::forwarder::messages::endpoint_list::{EndpointRecord, LifecycleState};
use crate::interface::{DestinationId, EndpointId, Micros};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// An endpoint that was removed from the list keeps its number for this long. If it is listed again within
/// this time, it is treated as the same endpoint.
const REMOVED_RETENTION_MICROS: Micros = 30_000_000;
/// Maximum number of remembered ids of forgotten endpoints, which operators may still disable and enable.
const MAX_FORMER_IDS: usize = 1024;

/// An endpoint that is listed, or was removed from the list and is not forgotten yet.
pub(super) struct Endpoint {
    /// The latest record of the endpoint in the list.
    pub(super) record: EndpointRecord,
    /// The zone in which the endpoint was first listed. The journal records it with each attempt.
    pub(super) zone: String,
    /// Maximum number of messages in one call.
    pub(super) max_batch: usize,
}

/// The result of [`Endpoints::update`].
pub(super) struct UpdatedEndpoint {
    pub(super) endpoint: EndpointId,
    /// Whether the endpoint had another address before.
    pub(super) address_changed: bool,
}

/// Owns the endpoints and their numbers. A number is never reused for another endpoint, so that a new
/// endpoint inherits no state of a forgotten one.
#[derive(Default)]
pub(super) struct Endpoints {
    by_number: BTreeMap<EndpointId, Endpoint>,
    numbers: HashMap<String, EndpointId>,
    next_number: EndpointId,
    /// When each endpoint that the list no longer contains was removed from it.
    removed_at: BTreeMap<EndpointId, Micros>,
    /// Ids of forgotten endpoints, the most recently forgotten first.
    former_ids: VecDeque<String>,
    /// Revision of the list; `None` before the first list.
    revision: Option<u64>,
}

impl Endpoints {
    /// The endpoint with this number; `None` if it is unknown or forgotten.
    pub(super) fn get(&self, endpoint: EndpointId) -> Option<&Endpoint> {
        self.by_number.get(&endpoint)
    }

    /// Whether the endpoint with this number is listed, or removed and not forgotten yet.
    pub(super) fn contains(&self, endpoint: EndpointId) -> bool {
        self.by_number.contains_key(&endpoint)
    }

    /// The number of the endpoint with this discovery id.
    pub(super) fn number_of(&self, uid: &str) -> Option<EndpointId> {
        self.numbers.get(uid).copied()
    }

    /// The discovery id of an endpoint.
    pub(super) fn uid(&self, endpoint: EndpointId) -> Option<String> {
        self.get(endpoint).map(|known| known.record.uid.clone())
    }

    /// The address under which an endpoint was last listed.
    pub(super) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.get(endpoint).map(|known| known.record.address)
    }

    /// The destination that an endpoint belongs to.
    pub(super) fn destination(&self, endpoint: EndpointId) -> Option<DestinationId> {
        self.get(endpoint).map(|known| known.record.destination)
    }

    /// Maximum number of messages in one call to this endpoint.
    pub(super) fn max_batch(&self, endpoint: EndpointId) -> usize {
        self.get(endpoint).map_or(1, |known| known.max_batch)
    }

    /// Whether an endpoint with this id is listed, or was listed earlier and its id is still remembered.
    pub(super) fn was_ever_listed(&self, uid: &str) -> bool {
        self.numbers.contains_key(uid) || self.former_ids.iter().any(|former| former == uid)
    }

    /// Revision of the list; `None` before the first list.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Sets the revision of the list.
    pub(super) fn set_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
    }

    /// Adds an endpoint, or updates the one with the same id.
    pub(super) fn update(&mut self, record: &EndpointRecord, max_batch: usize) -> UpdatedEndpoint {
        let endpoint = self.assign_number(&record.uid);
        let known = self.by_number.entry(endpoint).or_insert_with(|| Endpoint {
            record: record.clone(),
            zone: record.zone.clone(),
            max_batch,
        });
        let address_changed = known.record.address != record.address;
        known.record = record.clone();
        known.max_batch = max_batch;
        UpdatedEndpoint { endpoint, address_changed }
    }

    fn assign_number(&mut self, uid: &str) -> EndpointId {
        if let Some(number) = self.numbers.get(uid) {
            return *number;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(uid.to_owned(), number);
        number
    }

    /// Marks an endpoint as removed from the list. The time of an earlier removal is kept.
    pub(super) fn mark_removed(&mut self, now: Micros, endpoint: EndpointId) {
        self.removed_at.entry(endpoint).or_insert(now);
    }

    /// Marks all endpoints as removed from the list.
    pub(super) fn mark_all_removed(&mut self, now: Micros) {
        for endpoint in self.by_number.keys() {
            self.removed_at.entry(*endpoint).or_insert(now);
        }
    }

    /// Marks an endpoint as listed.
    pub(super) fn mark_listed(&mut self, endpoint: EndpointId) {
        self.removed_at.remove(&endpoint);
    }

    /// Whether an endpoint was removed from the list.
    pub(super) fn is_removed(&self, endpoint: EndpointId) -> bool {
        self.removed_at.contains_key(&endpoint)
    }

    /// The endpoints that were removed from the list and are not forgotten yet.
    pub(super) fn removed(&self) -> Vec<EndpointId> {
        self.removed_at.keys().copied().collect()
    }

    /// Forgets the endpoints whose retention after the removal has ended and to which no call is in flight,
    /// and returns them. This bounds the memory: endpoints are replaced many times a day, each by one with a
    /// new id.
    pub(super) fn forget_removed(
        &mut self,
        now: Micros,
        is_called: impl Fn(EndpointId) -> bool,
    ) -> Vec<EndpointId> {
        let expired = self.removed_at.iter().filter(|(endpoint, removed_at)| {
            now >= **removed_at + REMOVED_RETENTION_MICROS && !is_called(**endpoint)
        });
        let forgotten: Vec<EndpointId> = expired.map(|(endpoint, _)| *endpoint).collect();
        for endpoint in &forgotten {
            self.forget(*endpoint);
        }
        forgotten
    }

    fn forget(&mut self, endpoint: EndpointId) {
        self.removed_at.remove(&endpoint);
        if let Some(Endpoint { record, .. }) = self.by_number.remove(&endpoint) {
            self.numbers.remove(&record.uid);
            self.former_ids.truncate(MAX_FORMER_IDS - 1);
            self.former_ids.push_front(record.uid);
        }
    }

    /// The ids of the endpoints that are listed and in service.
    pub(super) fn uids_in_service(&self) -> impl Iterator<Item = &str> {
        let in_service = self.by_number.iter().filter(|(endpoint, known)| {
            known.record.state == LifecycleState::InService && !self.is_removed(**endpoint)
        });
        in_service.map(|(_, known)| known.record.uid.as_str())
    }

    /// The records of all endpoints; removed endpoints have the state [`LifecycleState::Terminated`].
    pub(super) fn records(&self) -> Vec<EndpointRecord> {
        let record = |(endpoint, known): (&EndpointId, &Endpoint)| {
            let mut record = known.record.clone();
            if self.is_removed(*endpoint) {
                record.state = LifecycleState::Terminated;
            }
            record
        };
        self.by_number.iter().map(record).collect()
    }
}

#[cfg(test)]
mod tests;
