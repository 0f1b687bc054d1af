//! The server that accepts messages from clients.
//!
//! It reads and validates requests, passes them to the runtime and sends the runtime's replies. It bounds the
//! number of connections, the memory and the time that clients may take.

mod activity;
mod connection;
mod framing;
mod handler;
mod lifecycle;
mod listener;
mod peer_close;
mod rejection;
mod reply;
mod request;
mod request_memory;
mod stream;

pub(crate) use handler::RequestHandler;
pub(crate) use lifecycle::{ConnectionCounts, LifecyclePhase};
pub(crate) use listener::serve;
pub(crate) use request_memory::RequestMemory;
