//! Allocates the file descriptors of the process to its connections.

use super::Config;
use super::admin;

/// Descriptors for the standard streams, the async runtime, the listener, the journal and discovery.
const RESERVED_DESCRIPTORS: usize = 20;

/// Limits on the connections of each kind, so that neither many clients nor many endpoints use up all
/// descriptors.
pub(crate) struct DescriptorBudget {
    /// Connections of clients: two thirds of the descriptors that are not reserved.
    pub(crate) client_connections: usize,
    /// Connections to endpoints that carry no call: the last third.
    pub(crate) idle_connections: usize,
}

impl DescriptorBudget {
    /// Reserves descriptors for calls, operators and the process itself, and allocates the others.
    pub(crate) fn new(config: &Config) -> Self {
        // One more for the listener for operators.
        let operators = if config.admin.is_some() { admin::MAX_CONNECTIONS + 1 } else { 0 };
        let calls = config.settings.call_slots;
        let reserved = RESERVED_DESCRIPTORS.saturating_add(operators).saturating_add(calls);
        let available = config.limits.sockets.saturating_sub(reserved);
        DescriptorBudget {
            client_connections: (available * 2 / 3).max(1),
            idle_connections: (available / 3).max(1),
        }
    }
}
