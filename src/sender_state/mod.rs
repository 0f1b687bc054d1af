//! The state of a sender: its messages, calls, destinations and endpoints.
//!
//! This module holds records and keeps them consistent with each other. All decisions are made by
//! [`crate::Balancer`] in the decision module, which adds methods with its rules to the types of [`route`].

mod calls;
mod class_results;
mod client_counts;
mod directory;
mod directory_changes;
mod idle_connections;
mod learned_state;
mod message;
mod message_queues;
mod message_table;
mod multiset;
mod ordering_keys;
mod route;
mod schedule;
mod state;

pub(crate) use calls::Attempt;
pub(crate) use directory::{Destination, Endpoint, RouteId};
pub(crate) use message::{Message, MessageState};
pub(crate) use route::{BreakerState, Latency, Route};
pub(crate) use state::SenderState;
