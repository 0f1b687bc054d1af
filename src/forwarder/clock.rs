//! Wall-clock time, for moments that have a meaning in another process too.
//!
//! Durations within the process are measured with a monotonic clock instead.

use std::time::{SystemTime, UNIX_EPOCH};

/// The present Unix time in milliseconds; 0 if the clock is set to a time before 1970.
pub(crate) fn unix_now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
