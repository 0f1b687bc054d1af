//! The clock of the decision module.

use crate::interface::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MILLISECOND: Micros = 1000;

/// A monotonic clock in microseconds since the start of the process. Times that have to survive a restart are
/// taken from a [`UnixClock`](crate::forwarder::clock::UnixClock) instead.
pub(super) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts at zero.
    pub(super) fn start() -> Self {
        Clock { started_at: Instant::now() }
    }

    /// The current time.
    pub(super) fn now(&self) -> Micros {
        self.micros(Instant::now())
    }

    /// An instant on this clock; zero if it was before the start.
    pub(super) fn micros(&self, instant: Instant) -> Micros {
        let elapsed = instant.saturating_duration_since(self.started_at);
        i64::try_from(elapsed.as_micros()).unwrap_or(Micros::MAX)
    }

    /// The instant of a time on this clock.
    pub(super) fn instant(&self, time: Micros) -> Instant {
        self.started_at + Duration::from_micros(u64::try_from(time).unwrap_or(0))
    }
}
