//! What the simulator knows about one instance of the adapter.

use std::collections::BTreeMap;

/// How calls end, in the numbers of the protocol.
pub(super) mod outcome_code {
    pub(crate) const DELIVERED: u64 = 0;
    pub(crate) const NOT_SENT: u64 = 249;
    pub(crate) const CANCELLED: u64 = 250;
    pub(crate) const RESET: u64 = 251;
    pub(crate) const CONNECT_FAILED: u64 = 252;
    pub(crate) const TIMED_OUT: u64 = 253;
    pub(crate) const REJECTED: u64 = 254;
    pub(crate) const ERROR: u64 = 255;
}

/// A call that was sent and has not returned.
pub(super) struct Call {
    pub(super) message: String,
    pub(super) number: usize,
    pub(super) endpoint: u64,
    pub(super) sent_at: i64,
    pub(super) returns_at: i64,
    /// One of [`outcome_code`].
    pub(super) outcome: u64,
}

/// What the simulator knows about one instance.
#[derive(Default)]
pub(super) struct Instance {
    pub(super) running: bool,
    /// Number of starts so far. It is part of the ids of messages, which are never used twice.
    pub(super) incarnation: u64,
    pub(super) messages_submitted: u64,
    pub(super) calls: Vec<Call>,
    /// The number of calls sent for each open message.
    pub(super) open: BTreeMap<String, usize>,
    pub(super) wake_at: Option<i64>,
    pub(super) subscribed: bool,
}
