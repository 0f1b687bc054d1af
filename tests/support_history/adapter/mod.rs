//! The recorded histories of the simulator adapter: a simulator whose frames depend on the
//! replies of the adapter.

mod endpoint_list;
mod instance;
mod messages;
mod replies;
mod settings;
mod simulator;
mod streams;

pub(crate) use simulator::Simulator;
pub(crate) use streams::{Frames, Replies};
