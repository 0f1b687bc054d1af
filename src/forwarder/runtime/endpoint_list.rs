//! Applies the endpoint lists that discovery sends.

use super::Runtime;
use crate::forwarder::discovery::ListAge;
use crate::forwarder::messages::endpoint_list::{EndpointList, EndpointRecord, LifecycleState};
use crate::interface::{EndpointEntry, EndpointState, Event, Micros};

impl Runtime {
    /// Applies a list from discovery, or changes to the list, and stores which endpoints have left service.
    pub(super) fn receive_endpoint_list(&mut self, now: Micros, list: &EndpointList) {
        self.departed.record(list, self.endpoints.uids_in_service());
        self.apply_endpoint_list(now, list);
    }

    /// Applies a complete list, or changes to the current one.
    pub(super) fn apply_endpoint_list(&mut self, now: Micros, list: &EndpointList) {
        self.endpoints.set_revision(list.revision);
        if list.complete {
            self.endpoints.mark_all_removed(now);
        }
        let drains = self.drains_of_invalid_records(list);
        let records = list.endpoints.iter().chain(&drains);
        self.log_endpoints_leaving_service(list, records.clone());
        let entries = records.map(|record| self.apply_record(now, record)).collect();
        let event = if list.complete { Event::ListSnapshot(entries) } else { Event::ListUpdate(entries) };
        self.decisions.notify(now, event);
        for endpoint in self.endpoints.removed() {
            self.stop_using(endpoint);
        }
        self.forget_removed_endpoints(now);
    }

    /// Records that drain the endpoints in service whose changed records could not be parsed: the change may
    /// have been a drain. From a complete list, such endpoints are missing and thus removed.
    fn drains_of_invalid_records(&self, list: &EndpointList) -> Vec<EndpointRecord> {
        if list.complete {
            return Vec::new();
        }
        let known = list
            .invalid_record_uids
            .iter()
            .filter_map(|uid| self.endpoints.get(self.endpoints.number_of(uid)?));
        known
            .filter(|endpoint| endpoint.record.state == LifecycleState::InService)
            .map(|endpoint| EndpointRecord { state: LifecycleState::Terminating, ..endpoint.record.clone() })
            .collect()
    }

    /// Records whether the list is stale. While it is, no call may start: endpoints may have been drained
    /// since.
    pub(super) fn apply_list_age(&mut self, now: Micros, age: ListAge) {
        self.list_age = age;
        let event = match age {
            ListAge::Stale => {
                self.calls.withhold_all_writes();
                Event::ListStale
            }
            ListAge::Fresh => Event::ListFresh,
        };
        self.decisions.notify(now, event);
    }

    /// Logs the endpoints that leave service with this list.
    fn log_endpoints_leaving_service<'a>(
        &self,
        list: &EndpointList,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) {
        let leaves_service = |record: &&EndpointRecord| {
            let known =
                self.endpoints.number_of(&record.uid).and_then(|endpoint| self.endpoints.get(endpoint));
            known.is_some_and(|known| known.record.state == LifecycleState::InService)
                && record.state != LifecycleState::InService
        };
        for record in records.filter(leaves_service) {
            eprintln!(
                "runtime: endpoint list revision {}: endpoint {} left service, its state is {:?}",
                list.revision, record.uid, record.state
            );
        }
    }

    fn apply_record(&mut self, now: Micros, record: &EndpointRecord) -> EndpointEntry {
        let kind = self.names.kinds.index_of(&record.kind).unwrap_or(usize::MAX);
        let max_batch = self.settings.kinds.get(kind).map_or(1, |kind| kind.batch.max(1));
        let updated = self.endpoints.update(record, max_batch);
        let endpoint = updated.endpoint;
        if updated.address_changed || is_draining(record.state) {
            self.stop_using(endpoint);
        }
        if self.journal.lock().is_banned(&record.uid) {
            self.decisions.notify(now, Event::BanStarted { endpoint });
        }
        if record.state == LifecycleState::Terminated {
            self.endpoints.mark_removed(now, endpoint);
        } else {
            self.endpoints.mark_listed(endpoint);
        }
        EndpointEntry {
            endpoint,
            destination: record.destination,
            zone: self.names.zones.index_of(&record.zone).unwrap_or(usize::MAX),
            kind,
            state: endpoint_state(record.state),
            weight: record.weight,
        }
    }

    fn forget_removed_endpoints(&mut self, now: Micros) {
        let calls = &self.calls;
        let forgotten = self.endpoints.forget_removed(now, |endpoint| calls.is_called(endpoint));
        for endpoint in forgotten {
            self.idle_connections.forget(endpoint);
            // Ends the ban of this number, which is not reused. The ban of the id stays in the journal.
            self.decisions.notify(now, Event::BanEnded { endpoint });
        }
    }
}

fn is_draining(state: LifecycleState) -> bool {
    matches!(state, LifecycleState::Terminating | LifecycleState::Other)
}

fn endpoint_state(state: LifecycleState) -> EndpointState {
    match state {
        LifecycleState::InService => EndpointState::Serving,
        LifecycleState::Terminating | LifecycleState::Other => EndpointState::Draining,
        LifecycleState::Terminated => EndpointState::Deleted,
    }
}
