//! The interface of the decision module: settings, events and actions.
//!
//! No decision is made here. A *host* (the forwarder or the simulator adapter) reports what happens as
//! [`Event`]s and carries out the [`Action`]s that [`crate::Balancer`] returns.
//!
//! A *sender* is one process with one decision module; several senders form a fleet. Clients submit
//! *messages* to a sender for *destinations*, and each destination has one or more *endpoints*. A message is
//! delivered by *attempts*; attempts that start together travel in one *call* to one endpoint. A *route* has
//! a rate limit, a health and outages of its own: it is normally a destination with all its endpoints, or
//! each endpoint separately (see [`DestinationKind::separate_routes`]).
//!
//! The host works in *turns*: it passes on the events that have happened, and ends the turn with
//! [`Event::TurnEnd`].
//!
//! Time is counted in whole microseconds on a clock of the host. The clock may start at any value: only
//! differences between times are used.

mod action;
mod attempt;
mod backlog;
mod call_capacity;
mod endpoint_list;
mod event;
mod learned_state;
mod message;
mod settings;

pub use action::Action;
pub use attempt::{AttemptEnded, LoadReport, Outcome};
pub use backlog::DestinationBacklog;
pub use call_capacity::{CallCapacity, MAX_BATCH_BYTES};
pub use endpoint_list::{EndpointEntry, EndpointState};
pub use event::Event;
pub use learned_state::{HealthState, LearnedState};
pub use message::{InheritedCall, MessageHistory, PossibleExecution, Submission};
pub use settings::{Class, DestinationKind, EndpointWeights, Idempotency, Settings, Tenant, WeightDecay};

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// Identifies a message. Assigned by the host and never reused during the lifetime of a [`crate::Balancer`].
pub type MessageId = u64;

/// Identifies a client, as far as the host can tell clients apart: the forwarder, by their connections.
pub type ClientId = u64;

/// Identifies an endpoint. Assigned by the host to each endpoint that it finds in the endpoint list.
pub type EndpointId = u64;

/// Identifies a destination: an external receiver with one or more endpoints.
pub type DestinationId = u64;
