//! What a process has learned about its destinations, for the process that takes over from it.
//!
//! This state crosses processes of different versions: the serialized names stay as they are.

use super::{DestinationId, EndpointId, Micros};
use serde::{Deserialize, Serialize};

/// The health of a destination, or of a route where routes are separate. Times are durations before or after
/// the take-over.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthState {
    /// Nothing is known against it.
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
/// durations before or after the take-over.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// The destination.
    #[serde(rename = "dest")]
    pub destination: DestinationId,
    /// The route, where routes are separate.
    #[serde(rename = "target")]
    pub endpoint: Option<EndpointId>,
    /// Time until the end of the wait that the destination asked for.
    #[serde(rename = "wait_for")]
    pub retry_after: Micros,
    /// Time until the next paced call is due.
    #[serde(rename = "due_in")]
    pub next_call_in: Micros,
    /// Its health.
    #[serde(rename = "state")]
    pub health: HealthState,
    /// Calls per second that it accepted while it was healthy.
    #[serde(rename = "base")]
    pub healthy_rate: f64,
    /// How long it has been known.
    pub age: Micros,
    /// Decayed count of calls sent to it.
    #[serde(rename = "sent")]
    pub calls_sent: f64,
    /// Decayed counts of successes, of failures, and of failures that may have been executed.
    #[serde(rename = "health")]
    pub outcome_counts: [f64; 3],
    /// Long-term average latency of deliveries, in microseconds; 0 if unknown.
    #[serde(rename = "usual")]
    pub usual_latency: f64,
    /// Short-term average latency of deliveries, in microseconds; 0 if unknown.
    #[serde(rename = "pace")]
    pub recent_latency: f64,
    /// Calls per second allowed to this sender, if they are limited.
    #[serde(rename = "limit")]
    pub rate_limit: Option<f64>,
    /// Calls per second that the destination reported to allow for all senders.
    #[serde(rename = "ceiling")]
    pub reported_limit: Option<f64>,
}
