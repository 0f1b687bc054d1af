//! The configuration of a sender, which does not change during its lifetime. Times are in microseconds.

use super::Micros;

/// Whether a message may be attempted again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeated execution does no harm.
    Idempotent,
    /// Messages carry an idempotency key. The destination does not execute a message again for
    /// `key_lifetime`, counted from the first attempt that may have been executed.
    Keyed {
        /// How long the destination remembers a key.
        key_lifetime: Micros,
        /// A key is known only to the endpoints of the zone that received it. Otherwise all endpoints of the
        /// destination know it.
        per_zone: bool,
    },
    /// The message must never be executed twice.
    NotIdempotent,
}

/// A class of messages.
#[derive(Clone, Debug)]
pub struct Class {
    /// Whether messages may be attempted again after an attempt that may have been executed.
    pub idempotency: Idempotency,
    /// A message that is delivered within this time after its submission has its full weight; 0 if the class
    /// has no objective.
    pub latency_objective: Micros,
    /// A message may be delivered until this time after its submission.
    pub deadline: Micros,
    /// Weight of a message relative to those of other classes.
    pub priority_weight: f64,
    /// Fraction of the weight that is left at the deadline, from 0 to 1.
    pub late_weight_fraction: f64,
    /// Messages with the same ordering key are sent one at a time, in the order of their submission.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, Default)]
pub struct DestinationKind {
    /// The endpoints of a destination are separate routes, each with its own limits and outages.
    pub separate_routes: bool,
    /// The largest number of messages in one call.
    pub batch: usize,
}

/// A tenant, which clients submit messages for.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages per second, of all senders together, that have their full weight. The weight of further
    /// messages is multiplied by [`Settings::over_quota_weight`].
    pub quota: f64,
}

/// How the weight of a message falls once its latency objective has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightDecay {
    /// Linearly, down to [`Class::late_weight_fraction`] at the deadline.
    Linear,
    /// By half with each further latency objective, but not below [`Class::late_weight_fraction`].
    HalfLife,
}

/// The meaning of [`super::EndpointEntry::weight`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointWeights {
    /// Weights carry no information.
    Off,
    /// Calls per second that the destination accepts from all senders together.
    Nominal,
    /// Estimated calls per second that the destination accepts from all senders together. The estimate may be
    /// wrong by up to one half in either direction.
    Approximate,
}

/// The configuration of one sender.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of messages; events refer to them by index.
    pub classes: Vec<Class>,
    /// Kinds of destinations; endpoint entries refer to them by index.
    pub kinds: Vec<DestinationKind>,
    /// Tenants; events refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Weight of a message beyond its tenant's quota, as a fraction of its usual weight.
    pub over_quota_weight: f64,
    /// How the weight of a message falls after its latency objective.
    pub weight_decay: WeightDecay,
    /// Index of the zone of this sender.
    pub zone: usize,
    /// Number of senders in the fleet, this one included.
    pub sender_count: usize,
    /// Calls that this sender may have in flight at once.
    pub call_slots: usize,
    /// Messages that may be open at once, whether queued or in flight.
    pub max_open_messages: usize,
    /// Attempts that a message may have.
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether rejections carry a Retry-After for clients.
    pub retry_after: bool,
    /// The longest Retry-After in a rejection that clients honor.
    pub max_retry_after: Micros,
    /// Whether this sender polls discovery. Otherwise updates are pushed to it.
    pub poll_discovery: bool,
    /// Maximum staleness of the endpoint list of a sender that polls discovery: the list must include every
    /// change that was older than this at the last poll.
    pub max_list_age: Micros,
    /// The grace period: how long an endpoint may still get new calls after the list must include its drain.
    pub drain_grace: Micros,
    /// The meaning of the weights in the endpoint list.
    pub endpoint_weights: EndpointWeights,
    /// Connections to endpoints are closed after they have been idle for this time.
    pub idle_timeout: Micros,
    /// Timeout of establishing a connection to an endpoint.
    pub connect_timeout: Micros,
    /// The shortest time between two turns of the host.
    pub min_turn_interval: Micros,
    /// A destination that is warming up fails again if its load exceeds its reduced capacity by this factor
    /// for as long as `overload_window`.
    pub overload_factor: f64,
    /// A destination that is warming up fails again once its load has exceeded `overload_factor` times its
    /// reduced capacity for this time without a break.
    pub overload_window: Micros,
    /// The reduced capacity of a destination right after an outage, as a fraction of its full capacity from 0
    /// to 1.
    pub initial_capacity: f64,
    /// Time from the end of an outage until the destination has its full capacity again.
    pub warm_up_time: Micros,
    /// How long the other messages of an ordering key wait after the end of an attempt that may still be
    /// executed.
    pub ordering_gap: Micros,
}

impl Default for Settings {
    /// The neutral value of every setting: no optional feature is enabled and nothing is limited.
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            kinds: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_decay: WeightDecay::Linear,
            zone: 0,
            sender_count: 1,
            call_slots: usize::MAX,
            max_open_messages: usize::MAX,
            max_attempts: usize::MAX,
            cancellation: false,
            retry_after: false,
            max_retry_after: 0,
            poll_discovery: false,
            max_list_age: 0,
            drain_grace: 0,
            endpoint_weights: EndpointWeights::Off,
            idle_timeout: 0,
            connect_timeout: 0,
            min_turn_interval: 0,
            overload_factor: 1.0,
            overload_window: 0,
            initial_capacity: 0.0,
            warm_up_time: 0,
            ordering_gap: 0,
        }
    }
}
