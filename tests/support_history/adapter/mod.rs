//! The recorded histories of the simulator adapter: a simulator that answers its replies with further frames.

mod endpoint_list;
mod instance;
mod messages;
mod replies;
mod settings;
mod simulator;
mod streams;

pub(crate) use simulator::Simulator;
pub(crate) use streams::{Frames, Replies};
