//! Measures how late the test program is. It acts as discovery, endpoints and clients, so its delays can
//! cause problems that are not those of a forwarder.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// The interval of the measurements.
const INTERVAL: Duration = Duration::from_millis(5);

/// Measures by how much timers of the test fire late, until it is dropped.
pub(crate) struct DelayMonitor {
    longest_us: Arc<AtomicU64>,
    task: AbortHandle,
}

impl DelayMonitor {
    pub(crate) fn start() -> Self {
        let longest_us = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(measure(longest_us.clone()));
        DelayMonitor { longest_us, task: task.abort_handle() }
    }

    /// The longest delay so far.
    pub(crate) fn longest(&self) -> Duration {
        Duration::from_micros(self.longest_us.load(Ordering::Relaxed))
    }
}

impl Drop for DelayMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn measure(longest_us: Arc<AtomicU64>) {
    loop {
        let due_at = Instant::now() + INTERVAL;
        sleep(INTERVAL).await;
        let late_us = due_at.elapsed().as_micros() as u64;
        longest_us.fetch_max(late_us, Ordering::Relaxed);
    }
}
