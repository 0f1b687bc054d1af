//! The endpoint list, in the format in which discovery sends it.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// The endpoint list, or the changes to it.
#[derive(Debug, Default, Deserialize)]
#[serde(from = "ListDocument")]
pub(crate) struct EndpointList {
    /// The revision of the list.
    pub(crate) revision: u64,
    /// Set if the list is complete: endpoints that are not in it are removed. Otherwise it contains only the
    /// changed records.
    pub(crate) complete: bool,
    /// The records that could be parsed.
    pub(crate) endpoints: Vec<EndpointRecord>,
    /// The number of records that could not be parsed. Such records do not affect the others.
    pub(crate) invalid_records: usize,
    /// The ids of the records that could not be parsed, except those whose id is missing or invalid too.
    pub(crate) invalid_record_uids: Vec<String>,
}

/// The JSON form of the list.
#[derive(Deserialize)]
struct ListDocument {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

impl From<ListDocument> for EndpointList {
    fn from(document: ListDocument) -> Self {
        let mut list =
            EndpointList { revision: document.rev, complete: document.all, ..EndpointList::default() };
        for record in document.targets {
            match EndpointRecord::deserialize(&record) {
                Ok(record) => list.endpoints.push(record),
                Err(error) => list.add_invalid(&record, &error),
            }
        }
        list
    }
}

impl EndpointList {
    fn add_invalid(&mut self, record: &Value, error: &serde_json::Error) {
        eprintln!("discovery: cannot parse a record of the endpoint list: {error}");
        self.invalid_records += 1;
        self.invalid_record_uids.extend(record.get("uid").and_then(Value::as_str).map(str::to_owned));
    }
}

/// One record of the endpoint list. It is passed between processes of different versions during an upgrade,
/// so its serialized names must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EndpointRecord {
    /// The id that discovery gave to the endpoint.
    pub(crate) uid: String,
    /// The address that calls are sent to.
    #[serde(rename = "endpoint")]
    pub(crate) address: SocketAddr,
    /// The name of the endpoint's zone.
    #[serde(rename = "az")]
    pub(crate) zone: String,
    /// The name of the kind of the endpoint's destination.
    #[serde(rename = "model")]
    pub(crate) kind: String,
    /// The destination that the endpoint belongs to.
    #[serde(rename = "pod_group")]
    pub(crate) destination: u64,
    /// Whether the endpoint is in service.
    pub(crate) state: LifecycleState,
    /// The weight of the endpoint; see [`crate::interface::EndpointWeights`].
    #[serde(rename = "capacity_hint", default = "default_weight")]
    pub(crate) weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LifecycleState {
    /// New calls may be sent to the endpoint.
    InService,
    /// The endpoint is draining: no new call may be sent to it.
    Terminating,
    /// The endpoint was removed.
    Terminated,
    /// A state that this version does not know; treated as draining.
    #[serde(other)]
    Other,
}

#[cfg(test)]
mod format_tests;
