//! A fleet of decision modules that call destinations of limited capacity, through an outage and the recovery
//! from it.
//!
//! [`destination`] counts the calls that arrive during the warm-up, [`sender`] hosts one decision module, and
//! [`fleet`] runs all senders on one clock.
#![allow(dead_code)]

pub(crate) mod destination;
pub(crate) mod fleet;
pub(crate) mod scenario;
pub(crate) mod sender;
