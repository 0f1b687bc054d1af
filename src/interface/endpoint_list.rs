//! Entries of the endpoint list.

use super::{DestinationId, EndpointId};

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service, whatever its health.
    Serving,
    /// No new call may be sent to the endpoint.
    Draining,
    /// Removed from the list.
    Deleted,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// Index of the zone of the endpoint.
    pub zone: usize,
    /// Index of the kind of the destination.
    pub kind: usize,
    /// Whether the endpoint is in service.
    pub state: EndpointState,
    /// The weight of the endpoint. [`super::EndpointWeights`] defines what it means.
    pub weight: f64,
}
