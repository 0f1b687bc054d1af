//! Seeded runs of a small fleet under many faults at once, and the rules that each run has to keep.
//!
//! [`plan`] chooses what happens, [`fleet`] plays it, [`client`] submits messages on connections that are kept, and
//! [`rules`] tells what was broken.

pub(crate) mod client;
pub(crate) mod delay_monitor;
pub(crate) mod fleet;
pub(crate) mod plan;
pub(crate) mod random;
pub(crate) mod rules;
mod wider_faults;
