//! Unix time that is unaffected by steps of the wall clock, for times that are stored for another process.
//!
//! Deadlines, idempotency windows and remembered outcomes are periods of real time, which the wall clock
//! measures wrongly when it is set. Each process therefore takes the time from the wall clock at most once,
//! and derives later times from the monotonic clock ([`UnixClock`]). The next process with the same state
//! folder continues this [`Timeline`] from a small file ([`stored_anchor`]), unless it cannot verify that the
//! file, the journal and the monotonic clock belong together.

mod file_identity;
mod stored_anchor;
mod system_clocks;
mod timeline;
mod unix_clock;

pub(crate) use system_clocks::{KernelClocks, SystemClocks};
pub(crate) use timeline::Timeline;
pub(crate) use unix_clock::UnixClock;

#[cfg(test)]
pub(crate) mod tests;
