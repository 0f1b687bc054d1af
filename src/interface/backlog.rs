//! Diagnostics: what delays the messages of a destination.

use super::{DestinationId, Micros};

/// What delays the messages of a destination. Where its routes are separate, the one that is ready first is
/// described.
#[derive(Clone, Copy, Debug)]
pub struct DestinationBacklog {
    /// The destination.
    pub destination: DestinationId,
    /// Messages that are queued.
    pub messages: usize,
    /// Endpoints that calls may be sent to.
    pub endpoints: usize,
    /// Calls in flight.
    pub calls: usize,
    /// The lower cap on calls in flight applies.
    pub degraded: bool,
    /// The destination is considered down: only probe calls are sent.
    pub outage: bool,
    /// Calls per second that are allowed; `None` if nothing limits them.
    pub rate: Option<f64>,
    /// Time until the next call may be sent.
    pub ready_in: Micros,
    /// Time until the end of the wait that the destination asked for.
    pub retry_after: Micros,
}
