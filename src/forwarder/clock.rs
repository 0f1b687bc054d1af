//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// The present Unix time in milliseconds.
pub(crate) fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
