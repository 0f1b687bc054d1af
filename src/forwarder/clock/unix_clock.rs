//! Unix time within one process.

use std::time::Duration;
use tokio::time::Instant;

/// Maps the instants of the monotonic clock to Unix time. The mapping is fixed for the lifetime of the
/// process: a step of the wall clock does not change it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnixClock {
    anchor: Instant,
    /// The Unix time of the anchor.
    unix_time: Duration,
}

impl UnixClock {
    /// Creates a clock that maps `anchor` to `unix_time`.
    pub(super) fn new(anchor: Instant, unix_time: Duration) -> Self {
        UnixClock { anchor, unix_time }
    }

    /// The Unix time of an instant; zero if the instant is before 1970.
    pub(super) fn unix_time(&self, instant: Instant) -> Duration {
        match instant.checked_duration_since(self.anchor) {
            Some(elapsed) => self.unix_time.saturating_add(elapsed),
            None => self.unix_time.saturating_sub(self.anchor - instant),
        }
    }

    /// The Unix time of an instant, in milliseconds.
    pub(crate) fn unix_ms(&self, instant: Instant) -> u64 {
        u64::try_from(self.unix_time(instant).as_millis()).unwrap_or(u64::MAX)
    }

    /// The current Unix time in milliseconds.
    pub(crate) fn now_unix_ms(&self) -> u64 {
        self.unix_ms(Instant::now())
    }
}
