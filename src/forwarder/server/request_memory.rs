//! Bounds the memory of long heads and of bodies, over all client connections together.

use super::lifecycle::ConnectionCounts;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of bytes for each permit of the semaphore.
const BYTES_PER_PERMIT: usize = 1024;
/// While the predecessor still has clients, this process may use its memory for requests divided by this: the
/// two processes share the memory limit of one.
const UPGRADE_DIVISOR: usize = 4;

/// The memory for the long heads and the bodies of requests that have no reply yet. Bytes are charged as they
/// arrive, so that a client that only announces a body takes no memory from the others.
pub(crate) struct RequestMemory {
    permits: Arc<Semaphore>,
    total_permits: usize,
    connection_counts: Arc<ConnectionCounts>,
}

/// Memory that a request occupies. It is free again when this is dropped.
pub(crate) struct ReservedMemory(OwnedSemaphorePermit);

impl RequestMemory {
    /// Memory of this many bytes.
    pub(crate) fn new(bytes: usize, connection_counts: Arc<ConnectionCounts>) -> Self {
        let total_permits = bytes / BYTES_PER_PERMIT;
        RequestMemory { permits: Arc::new(Semaphore::new(total_permits)), total_permits, connection_counts }
    }

    /// Reserves memory, rounded up to whole KiB. Returns `None` if too little is free.
    pub(super) fn try_reserve(&self, bytes: usize) -> Option<ReservedMemory> {
        let permits = bytes.div_ceil(BYTES_PER_PERMIT);
        let used_permits = self.total_permits.saturating_sub(self.permits.available_permits());
        if used_permits + permits > self.usable_permits() {
            return None;
        }
        let permits = u32::try_from(permits).ok()?;
        Arc::clone(&self.permits).try_acquire_many_owned(permits).ok().map(ReservedMemory)
    }

    fn usable_permits(&self) -> usize {
        let shares_limit = self.connection_counts.predecessor.load(Relaxed) > 0;
        if shares_limit { self.total_permits / UPGRADE_DIVISOR } else { self.total_permits }
    }
}

impl ReservedMemory {
    /// Adds memory that was reserved for the same request.
    pub(super) fn merge(&mut self, other: ReservedMemory) {
        self.0.merge(other.0);
    }
}

#[cfg(test)]
mod tests;
