//! Tracks whether a client connection is idle, or how long it has been receiving a request.

use crate::interface::ClientId;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The time that a connection may be idle, and the time that the head of a request may take from its first
/// byte. For the first request on a connection, it starts when the connection is opened.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// The time that a complete request may take from its first byte, or for the first request from when the
/// connection is opened. A client whose request is not complete within 3 s must get a reply by then.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);

/// The activity of one connection.
///
/// The task of the connection updates it; the accept loop reads it to find idle connections. Both run on the
/// same thread, so relaxed ordering suffices. Times are milliseconds since the connection was opened.
pub(super) struct ConnectionActivity {
    client: ClientId,
    opened_at: Instant,
    /// The complete head of a request has arrived on the connection.
    received_request: AtomicBool,
    /// The time since which the connection has had no open request; [`ConnectionActivity::NOT_IDLE`] while it
    /// has one.
    idle_since_ms: AtomicU64,
    /// The body of the open request has not arrived completely. Bytes of the next request may follow it.
    body_arriving: AtomicBool,
    /// A head was read that is ambiguous about the length of its body.
    ambiguous_framing: AtomicBool,
    /// The bytes read so far end within a request.
    reading_request: AtomicBool,
    /// When the first byte of the current request arrived; 0 for the first request on the connection.
    request_started_ms: AtomicU64,
    /// This side is closing the connection, which had no open request.
    closing_idle: AtomicBool,
    /// The client has closed its sending side or the connection. Bytes that it sent before may be unread.
    closed_by_client: AtomicBool,
    /// Notified when `closed_by_client` is set.
    close_notification: Notify,
}

impl ConnectionActivity {
    const NOT_IDLE: u64 = u64::MAX;

    /// The activity of a connection that is opened now.
    pub(super) fn new(client: ClientId) -> Self {
        ConnectionActivity {
            client,
            opened_at: Instant::now(),
            received_request: AtomicBool::new(false),
            idle_since_ms: AtomicU64::new(0),
            body_arriving: AtomicBool::new(false),
            ambiguous_framing: AtomicBool::new(false),
            reading_request: AtomicBool::new(false),
            request_started_ms: AtomicU64::new(0),
            closing_idle: AtomicBool::new(false),
            closed_by_client: AtomicBool::new(false),
            close_notification: Notify::new(),
        }
    }

    /// The client, which is told apart from others by its connection.
    pub(super) fn client(&self) -> ClientId {
        self.client
    }

    /// The head of a request is complete: the request is open from now on.
    pub(super) fn begin_request(&self) {
        self.received_request.store(true, Relaxed);
        self.idle_since_ms.store(Self::NOT_IDLE, Relaxed);
        self.body_arriving.store(true, Relaxed);
    }

    /// The open request has arrived completely, with its body.
    pub(super) fn complete_request(&self) {
        self.body_arriving.store(false, Relaxed);
    }

    /// Whether a request is open that has arrived completely, so that the runtime may have accepted it.
    pub(super) fn has_complete_request(&self) -> bool {
        self.idle_time().is_none() && !self.body_arriving.load(Relaxed)
    }

    /// The reply to the open request is ready: the request is no longer open.
    pub(super) fn end_request(&self) {
        let now = self.age_ms();
        // Bytes of the next request that have already arrived had to wait for this request.
        self.request_started_ms.store(now, Relaxed);
        self.idle_since_ms.store(now, Relaxed);
    }

    /// Bytes have arrived. `within_request` is set if the last of them belongs to a request that is not
    /// complete.
    pub(super) fn record_bytes(&self, within_request: bool) {
        let was_reading = self.reading_request.swap(within_request, Relaxed);
        if within_request && !was_reading && self.has_received_request() {
            self.request_started_ms.store(self.age_ms(), Relaxed);
        }
    }

    /// A head has arrived that is ambiguous about the length of its body.
    pub(super) fn record_ambiguous_framing(&self) {
        self.ambiguous_framing.store(true, Relaxed);
    }

    /// Whether a head has arrived that is ambiguous about the length of its body.
    pub(super) fn has_ambiguous_framing(&self) -> bool {
        self.ambiguous_framing.load(Relaxed)
    }

    /// This side closes the connection, because it has been idle for as long as is permitted.
    pub(super) fn begin_idle_close(&self) {
        self.closing_idle.store(true, Relaxed);
    }

    /// Whether this side is closing the connection because it was idle.
    pub(super) fn is_closing_idle(&self) -> bool {
        self.closing_idle.load(Relaxed)
    }

    /// Whether a request is open that has arrived completely, and no next one has begun to arrive.
    pub(super) fn is_awaiting_reply(&self) -> bool {
        self.idle_time().is_none() && !self.reading_request.load(Relaxed)
    }

    /// How long the open request has been arriving; `None` if no request is open, or if it has arrived
    /// completely.
    pub(super) fn body_arrival_time(&self) -> Option<Duration> {
        let is_arriving = self.idle_time().is_none() && self.body_arriving.load(Relaxed);
        is_arriving.then(|| self.request_age())
    }

    /// The client has closed its sending side or the connection.
    pub(super) fn record_close_by_client(&self) {
        self.closed_by_client.store(true, Relaxed);
        self.close_notification.notify_one();
    }

    /// Whether the client has closed its sending side or the connection, which it may have done right after
    /// the bytes of a request.
    pub(super) fn is_closed_by_client(&self) -> bool {
        self.closed_by_client.load(Relaxed)
    }

    /// Completes once the client has closed its sending side or the connection. It may have disconnected, or
    /// may still wait for the reply.
    pub(super) async fn closed_by_client(&self) {
        while !self.is_closed_by_client() {
            self.close_notification.notified().await;
        }
    }

    /// Whether the complete head of a request has ever arrived.
    pub(super) fn has_received_request(&self) -> bool {
        self.received_request.load(Relaxed)
    }

    /// Whether a request has started to arrive that has no reply yet.
    pub(super) fn is_within_request(&self) -> bool {
        self.reading_request.load(Relaxed) || self.idle_time().is_none()
    }

    /// How long the connection has had no open request; `None` while it has one.
    pub(super) fn idle_time(&self) -> Option<Duration> {
        let idle_since_ms = Some(self.idle_since_ms.load(Relaxed)).filter(|ms| *ms != Self::NOT_IDLE)?;
        Some(self.elapsed_since(idle_since_ms))
    }

    /// The remaining part of the time that the connection may be idle or receive a head.
    pub(super) fn remaining_head_time(&self) -> Duration {
        let Some(idle_time) = self.idle_time() else {
            // The open request is bounded by its own timeout.
            return HEAD_TIMEOUT;
        };
        let elapsed = if self.reading_request.load(Relaxed) { self.request_age() } else { idle_time };
        HEAD_TIMEOUT.saturating_sub(elapsed)
    }

    /// The remaining part of the time for the complete request.
    pub(super) fn remaining_request_time(&self) -> Duration {
        REQUEST_TIMEOUT.saturating_sub(self.request_age())
    }

    fn request_age(&self) -> Duration {
        self.elapsed_since(self.request_started_ms.load(Relaxed))
    }

    fn elapsed_since(&self, time_ms: u64) -> Duration {
        Duration::from_millis(self.age_ms().saturating_sub(time_ms))
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(Self::NOT_IDLE - 1)
    }
}
