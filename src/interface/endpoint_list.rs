//! Entries of the endpoint list.

use super::{DestinationId, EndpointId};

/// What the endpoint list says about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service. Nothing is implied about its health.
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
    /// See [`super::EndpointWeights`].
    pub weight: f64,
}
