//! Diagnostics: what delays the messages of a destination.

use super::{DestinationId, Micros};

/// What delays the messages of a destination. If its routes are separate, `outage` and the fields after it
/// are those of the route that is ready first.
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
    /// The destination is unhealthy or slow, so that it may occupy fewer call slots.
    pub degraded: bool,
    /// The destination is considered down, so that only probe calls are sent.
    pub outage: bool,
    /// Calls per second that are allowed; `None` if the rate is not limited.
    pub rate: Option<f64>,
    /// Time until the next call may be sent; 0 if it may be sent now.
    pub ready_in: Micros,
    /// Time until the end of the Retry-After or of the backoff; 0 if there is none.
    pub retry_after: Micros,
}
