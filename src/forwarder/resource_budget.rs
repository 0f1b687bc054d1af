//! Allocates the file descriptors and the memory of the process to its connections.

use super::Config;
use super::admin;

/// Descriptors for the standard streams, the async runtime, the listener, the journal and discovery.
const RESERVED_DESCRIPTORS: usize = 20;
/// Bytes in one MiB, the unit of the configured memory limit.
const BYTES_PER_MB: usize = 1 << 20;
/// Memory that a client connection occupies at most, apart from what is taken from the request memory: its
/// task, the buffers of the HTTP server, and the start of a body.
const CLIENT_CONNECTION_BYTES: usize = 28 << 10;
/// Memory of an idle connection to an endpoint: its task and the buffers of the HTTP client.
const ENDPOINT_CONNECTION_BYTES: usize = 20 << 10;
/// Client connections may use the memory limit times 3 divided by 8.
const CLIENT_MEMORY_SHARE: (usize, usize) = (3, 8);
/// Idle connections to endpoints may use the memory limit divided by this.
const ENDPOINT_MEMORY_DIVISOR: usize = 8;
/// Longest list of endpoints, in bytes, if the memory suffices.
const MAX_LIST_BYTES: usize = 8 << 20;
/// A list of endpoints may be as long as the memory limit divided by this: its buffer doubles as it grows,
/// and several calls for lists may be open.
const LIST_MEMORY_DIVISOR: usize = 16;
/// Long heads and bodies of requests may use the memory limit divided by this.
const REQUEST_MEMORY_DIVISOR: usize = 8;

/// Limits on the connections of each kind, so that neither many clients nor many endpoints use up the
/// descriptors or the memory.
///
/// The limits leave three eighths of the memory for everything else: the journal and its file, the accepted
/// messages, the endpoint list, the program itself, and a second process during an upgrade.
pub(crate) struct ResourceBudget {
    /// Connections of clients: two thirds of the descriptors that are not reserved, if the memory suffices.
    pub(crate) client_connections: usize,
    /// Connections to endpoints that carry no call: the last third, if the memory suffices.
    pub(crate) idle_connections: usize,
    /// Bytes for the long heads and the bodies of requests that have no reply yet.
    pub(crate) request_bytes: usize,
    /// The longest response to a call for the endpoint list, in bytes.
    pub(crate) list_bytes: usize,
}

impl ResourceBudget {
    /// Reserves descriptors for calls, operators and the process itself, and allocates the others.
    pub(crate) fn new(config: &Config) -> Self {
        // One more for the listener for operators.
        let operators = if config.admin.is_some() { admin::MAX_CONNECTIONS + 1 } else { 0 };
        let calls = config.settings.call_slots;
        let reserved = RESERVED_DESCRIPTORS.saturating_add(operators).saturating_add(calls);
        let available = config.limits.sockets.saturating_sub(reserved);
        let memory = config.limits.memory_mb.max(1).saturating_mul(BYTES_PER_MB);
        let (numerator, denominator) = CLIENT_MEMORY_SHARE;
        let client_memory = memory / denominator * numerator;
        let endpoint_memory = memory / ENDPOINT_MEMORY_DIVISOR;
        ResourceBudget {
            client_connections: (available * 2 / 3).min(client_memory / CLIENT_CONNECTION_BYTES).max(1),
            idle_connections: (available / 3).min(endpoint_memory / ENDPOINT_CONNECTION_BYTES).max(1),
            request_bytes: memory / REQUEST_MEMORY_DIVISOR,
            list_bytes: MAX_LIST_BYTES.min(memory / LIST_MEMORY_DIVISOR),
        }
    }
}
