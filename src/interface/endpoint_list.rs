//! Entries of the endpoint list.

use super::{DestinationId, EndpointId};

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service, whatever its health.
    Serving,
    /// No new call may be sent to it.
    Draining,
    /// Removed from the list.
    Deleted,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Index of its zone.
    pub zone: usize,
    /// Index of the kind of its destination.
    pub kind: usize,
    /// Whether it is in service.
    pub state: EndpointState,
    /// The weight, with the meaning that [`super::EndpointWeights`] gives to it.
    pub weight: f64,
}
