//! Seeded runs of a fleet under many faults at once, and the rules that each run has to keep.
//!
//! [`plan`] chooses the events of a run, [`fleet`] carries them out, [`client`] submits messages on
//! persistent connections, and [`rules`] lists the violations.

mod additional_faults;
pub(crate) mod client;
pub(crate) mod delay_monitor;
pub(crate) mod fleet;
pub(crate) mod plan;
pub(crate) mod random;
pub(crate) mod rules;
