#![doc = include_str!("../README.md")]

mod decision;
mod estimators;
pub mod forwarder;
pub mod interface;
mod key_value;
mod sender_state;
mod settings_reader;
pub mod simulator;

pub use decision::Balancer;
