//! The client of the endpoints: makes calls and reports the outcome of each attempt.
//!
//! A connection carries one call at a time. A call carries one or more messages, and each of them gets an
//! outcome of its own.

mod call;
mod exchange;
pub(crate) mod idle_age;
mod outcome;
mod pending_items;
mod request;
mod response;
mod write_guard;

pub(crate) use call::{CallCommand, CallItem, OutboundCall, perform};
pub(crate) use request::batched_bytes;
pub(crate) use write_guard::WriteGuard;
