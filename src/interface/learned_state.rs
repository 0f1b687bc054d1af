//! What a process has learned about its destinations, for its successor.
//!
//! The two processes may be of different versions, so that the serialized names must not change.

use super::{DestinationId, EndpointId, Micros};
use serde::{Deserialize, Serialize};

/// The health of a destination, or of a route where routes are separate. Times are durations before or after
/// the take-over, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthState {
    /// The destination or route is neither down nor warming up.
    #[serde(rename = "Well")]
    Healthy,
    /// Considered down: only probe calls are sent.
    Down {
        /// Time until the next probe.
        #[serde(rename = "next_try")]
        next_probe: Micros,
    },
    /// Recovered from an outage, and warming up: its capacity is still reduced.
    #[serde(rename = "Cold")]
    WarmingUp {
        /// Time since the recovery.
        since: Micros,
    },
}

/// What a process has learned about a destination, or about a route where routes are separate. Times are
/// durations before or after the take-over, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// The destination.
    #[serde(rename = "dest")]
    pub destination: DestinationId,
    /// The route, where routes are separate.
    #[serde(rename = "target")]
    pub endpoint: Option<EndpointId>,
    /// Time until the end of the Retry-After or of the backoff.
    #[serde(rename = "wait_for")]
    pub retry_after: Micros,
    /// Time until the next paced call is due.
    #[serde(rename = "due_in")]
    pub next_call_in: Micros,
    /// Health of the destination or route.
    #[serde(rename = "state")]
    pub health: HealthState,
    /// Calls per second that the destination accepted from this sender while it was healthy.
    #[serde(rename = "base")]
    pub healthy_rate: f64,
    /// How long the sender has known the destination.
    pub age: Micros,
    /// Number of calls sent to the destination, exponentially decayed.
    #[serde(rename = "sent")]
    pub calls_sent: f64,
    /// Exponentially decayed numbers of successes, of failures, and of failures that may have been executed,
    /// in this order.
    #[serde(rename = "health")]
    pub outcome_counts: [f64; 3],
    /// Long-term average latency of deliveries, in microseconds; 0 if unknown.
    #[serde(rename = "usual")]
    pub usual_latency: f64,
    /// Short-term average latency of deliveries, in microseconds; 0 if unknown.
    #[serde(rename = "pace")]
    pub recent_latency: f64,
    /// Calls per second allowed to this sender; `None` if they are not limited.
    #[serde(rename = "limit")]
    pub rate_limit: Option<f64>,
    /// Calls per second that the destination allows all senders together, if it reported a limit.
    #[serde(rename = "ceiling")]
    pub reported_limit: Option<f64>,
}
