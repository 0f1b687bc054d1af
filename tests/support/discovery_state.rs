//! The state of a scripted discovery service: its list and its history.

use super::discovery_history::{
    BehaviorPeriod, CallEnd, CallOutcome, DiscoveryBehavior, DiscoveryCall, DiscoveryHistory, DiscoveryQuery,
    ListVersion, ResponseFault, Route, WatchEnding,
};
use super::discovery_stub::endpoint_list;
use super::drain_rules::MAX_WATCH_GAP;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// A record of the list, with the index of the version in which it changed last.
struct ListedRecord {
    record: Value,
    changed_in: usize,
}

/// What happens once the response to the next watch that ends without a change is written.
pub(super) struct ChangeAfterWatch {
    /// The watch that is meant.
    pub ending: WatchEnding,
    /// Begins right before that response is written.
    pub behavior: DiscoveryBehavior,
    /// Set right after that response was written.
    pub record: Value,
}

/// A response to a call, before it is written.
pub(super) struct ListResponse {
    pub body: String,
    pub outcome: CallOutcome,
}

/// The state of a service. Its list includes the records that have been removed.
pub(super) struct DiscoveryState {
    pub behavior: DiscoveryBehavior,
    pub history: DiscoveryHistory,
    records: BTreeMap<String, ListedRecord>,
    /// The revision of the oldest version that the running service knows, and the index of that version.
    oldest: (u64, usize),
    /// Callers with an older version than the one of this index receive the complete list.
    replaced_in: usize,
    /// The fault of the next response to each caller.
    faults: BTreeMap<usize, ResponseFault>,
    /// What happens after the next watch that ends without a change.
    pub after_watch: Option<ChangeAfterWatch>,
    /// The ids of the messages in the notices of forwarders.
    pub noticed_messages: BTreeSet<String>,
}

impl DiscoveryState {
    /// Creates the state of a service whose first list has revision 1.
    pub(super) fn new(records: Vec<Value>) -> Self {
        let mut state = DiscoveryState {
            behavior: DiscoveryBehavior::Healthy,
            history: DiscoveryHistory::default(),
            records: BTreeMap::new(),
            oldest: (1, 0),
            replaced_in: 0,
            faults: BTreeMap::new(),
            after_watch: None,
            noticed_messages: BTreeSet::new(),
        };
        state.set_behavior(DiscoveryBehavior::Healthy);
        state.replace_all(records);
        state
    }

    /// Sets the record of a uid, or adds it.
    pub(super) fn change(&mut self, record: Value) {
        let uid = record["uid"].as_str().expect("a record has a uid").to_owned();
        let changed_in = self.history.versions.len();
        self.records.insert(uid, ListedRecord { record, changed_in });
        self.add_version();
    }

    /// Removes a record. Watches receive it in the state `terminated`.
    pub(super) fn remove(&mut self, uid: &str) {
        let mut record = self.records[uid].record.clone();
        record["state"] = json!("terminated");
        self.change(record);
    }

    /// Replaces the list. Watches receive the complete list, in which the removed records are missing.
    pub(super) fn replace_all(&mut self, records: Vec<Value>) {
        let changed_in = self.history.versions.len();
        let with_uid = |record: Value| (record["uid"].as_str().unwrap_or_default().to_owned(), record);
        let listed = records.into_iter().map(with_uid);
        self.records = listed.map(|(uid, record)| (uid, ListedRecord { record, changed_in })).collect();
        self.replaced_in = changed_in;
        self.add_version();
    }

    fn add_version(&mut self) {
        let in_service =
            self.records.values().filter_map(|listed| Route::of_record(&listed.record)).collect();
        self.history.versions.push(ListVersion { made_at: Instant::now(), in_service });
    }

    /// Restarts the service, which has lost its state: the present list has this revision.
    pub(super) fn restart_at_revision(&mut self, revision: u64) {
        self.oldest = (revision, self.latest_version());
        self.break_open_calls();
    }

    /// Begins a behavior. Ends or silences the open calls accordingly.
    pub(super) fn set_behavior(&mut self, behavior: DiscoveryBehavior) {
        self.behavior = behavior;
        self.history.periods.push(BehaviorPeriod { behavior, began_at: Instant::now() });
        if behavior.resets_connections() || behavior == DiscoveryBehavior::ShutDown {
            self.break_open_calls();
        }
        if behavior.silences_calls() {
            self.silence_open_calls();
        }
    }

    fn break_open_calls(&mut self) {
        let end = CallEnd { at: Instant::now(), outcome: CallOutcome::Broken };
        self.open_calls().for_each(|call| call.end = Some(end));
    }

    /// Never answers the calls that are open now.
    pub(super) fn silence_open_calls(&mut self) {
        let now = Instant::now();
        self.open_calls().for_each(|call| call.silent_since = Some(now));
    }

    fn open_calls(&mut self) -> impl Iterator<Item = &mut DiscoveryCall> {
        self.history.calls.iter_mut().filter(|call| call.end.is_none())
    }

    /// Whether a call continues a watch of its caller.
    pub(super) fn continues_watch(&self, index: usize) -> bool {
        let call = &self.history.calls[index];
        let is_answered_watch = |earlier: &DiscoveryCall| {
            matches!(earlier.query, DiscoveryQuery::Watch { .. })
                && earlier.written.is_some_and(|written| call.arrived_at <= written.at + MAX_WATCH_GAP)
        };
        let mut earlier = self.history.calls[..index].iter().filter(|earlier| earlier.caller == call.caller);
        matches!(call.query, DiscoveryQuery::Watch { .. }) && earlier.any(is_answered_watch)
    }

    /// Rejects the open calls of a caller with 503.
    pub(super) fn reject_open_calls(&mut self, caller: usize) {
        let end = CallEnd { at: Instant::now(), outcome: CallOutcome::Rejected };
        self.open_calls().filter(|call| call.caller == caller).for_each(|call| call.end = Some(end));
    }

    /// Records the messages of a request with notices, which has one JSON object per line.
    pub(super) fn record_notices(&mut self, body: &str) {
        let notices = body.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        self.noticed_messages
            .extend(notices.filter_map(|notice| Some(notice["message"].as_str()?.to_owned())));
    }

    /// Records a call and returns its index.
    pub(super) fn begin_call(&mut self, caller: usize, query: DiscoveryQuery) -> usize {
        let arrived_at = Instant::now();
        let silent_since = self.behavior.silences_calls().then_some(arrived_at);
        self.history.calls.push(DiscoveryCall {
            caller,
            query,
            arrived_at,
            silent_since,
            written: None,
            end: None,
        });
        self.history.calls.len() - 1
    }

    /// Sets the fault of the next response to a caller.
    pub(super) fn set_fault(&mut self, caller: usize, fault: ResponseFault) {
        self.faults.insert(caller, fault);
    }

    /// Removes and returns the fault of the next response to a caller.
    pub(super) fn take_fault(&mut self, caller: usize) -> Option<ResponseFault> {
        self.faults.remove(&caller)
    }

    /// Removes and returns what happens after the response to this call, if it is the planned one.
    pub(super) fn take_change_after(
        &mut self,
        query: DiscoveryQuery,
        outcome: CallOutcome,
    ) -> Option<ChangeAfterWatch> {
        let DiscoveryQuery::Watch { wait, .. } = query else { return None };
        let has_no_change = matches!(outcome, CallOutcome::Answered { after_version: Some(after), version }
            if after == version);
        self.after_watch.take_if(|change| has_no_change && change.ending.includes(wait))
    }

    /// Records that the first byte of a response is written.
    pub(super) fn begin_response(&mut self, index: usize, outcome: CallOutcome) {
        self.history.calls[index].written.get_or_insert(CallEnd { at: Instant::now(), outcome });
    }

    /// Records the end of a call, unless it has ended already.
    pub(super) fn end_call(&mut self, index: usize, outcome: CallOutcome) {
        self.history.calls[index].end.get_or_insert(CallEnd { at: Instant::now(), outcome });
    }

    /// Whether the present list has another revision, which is newer or, after a restart, older.
    pub(super) fn differs_from(&self, revision: u64) -> bool {
        revision != self.revision()
    }

    /// The response that reports the present list.
    pub(super) fn response(&self, query: DiscoveryQuery) -> ListResponse {
        let version = self.latest_version();
        let after_version = match query {
            DiscoveryQuery::CompleteList => None,
            DiscoveryQuery::Watch { since_revision, .. } => self.version_of(since_revision),
        };
        let outcome = CallOutcome::Answered { after_version, version };
        let changed = |listed: &&ListedRecord| after_version.is_none_or(|after| listed.changed_in > after);
        let records: Vec<Value> = self
            .records
            .values()
            .filter(changed)
            .map(|listed| listed.record.clone())
            .filter(|record| after_version.is_some() || record["state"] != "terminated")
            .collect();
        let body = endpoint_list(self.revision(), after_version.is_none(), records).to_string();
        ListResponse { body, outcome }
    }

    /// The index of the version that a caller with this revision has; `None` if it needs the complete list.
    fn version_of(&self, revision: u64) -> Option<usize> {
        let (oldest_revision, oldest_version) = self.oldest;
        // A caller whose revision is newer, because the service has restarted, receives no changes.
        let revision = revision.min(self.revision());
        let version = oldest_version + usize::try_from(revision.checked_sub(oldest_revision)?).ok()?;
        (version >= self.replaced_in).then_some(version)
    }

    fn latest_version(&self) -> usize {
        self.history.versions.len().saturating_sub(1)
    }

    fn revision(&self) -> u64 {
        self.oldest.0 + (self.latest_version() - self.oldest.1) as u64
    }
}
