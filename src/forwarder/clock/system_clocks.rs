//! The clocks of the system.

use nix::time::{ClockId, clock_gettime};
use std::fs;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Contains an id that the kernel generates at each boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// The time namespace of this process. The monotonic clocks of two namespaces may differ.
const TIME_NAMESPACE_LINK: &str = "/proc/self/ns/time";
/// A reading of all clocks that takes longer than this is repeated.
const MAX_READING_SPAN: Duration = Duration::from_millis(1);
/// Maximum number of readings. If all of them take too long, the shortest one is used.
const MAX_READINGS: usize = 5;

/// The system clocks that a timeline reads.
pub(crate) trait SystemClocks {
    /// The time since an arbitrary moment, which is the same for all processes until the kernel restarts.
    /// `None` if the clock cannot be read. This clock is never set.
    fn monotonic(&self) -> Option<Duration>;

    /// The Unix time of the wall clock, which may be set at any time; zero before 1970.
    fn wall(&self) -> Duration;

    /// Identifies the monotonic clock: processes with the same id read the same clock.
    fn monotonic_id(&self) -> Option<String>;
}

/// The clocks of the kernel.
pub(crate) struct KernelClocks;

impl SystemClocks for KernelClocks {
    fn monotonic(&self) -> Option<Duration> {
        clock_gettime(ClockId::CLOCK_MONOTONIC).ok().map(Duration::from)
    }

    fn wall(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    fn monotonic_id(&self) -> Option<String> {
        let boot_id = fs::read_to_string(BOOT_ID_FILE).ok()?;
        // Kernels without time namespaces have one monotonic clock.
        let namespace = fs::read_link(TIME_NAMESPACE_LINK).unwrap_or_default();
        Some(format!("{} {}", boot_id.trim(), namespace.display()))
    }
}

/// A reading of all clocks at nearly the same moment.
#[derive(Clone, Copy)]
pub(super) struct ClockReading {
    /// Read before the other clocks.
    pub(super) instant: Instant,
    pub(super) monotonic: Option<Duration>,
    pub(super) wall: Duration,
}

impl ClockReading {
    /// Reads all clocks. Repeats this if it took too long: the clocks were then read at different moments.
    pub(super) fn take(clocks: &impl SystemClocks) -> Self {
        let mut shortest = timed_reading(clocks);
        for _ in 1..MAX_READINGS {
            if shortest.1 <= MAX_READING_SPAN {
                break;
            }
            let reading = timed_reading(clocks);
            if reading.1 < shortest.1 {
                shortest = reading;
            }
        }
        shortest.0
    }
}

/// Reads all clocks, and measures how long that took.
fn timed_reading(clocks: &impl SystemClocks) -> (ClockReading, Duration) {
    let instant = Instant::now();
    let reading = ClockReading { instant, monotonic: clocks.monotonic(), wall: clocks.wall() };
    (reading, instant.elapsed())
}
