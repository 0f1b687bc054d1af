//! The stream of a client connection. It checks the framing of requests, and keeps reading for a while after
//! the close, so that the client receives the last reply.

use super::activity::ConnectionActivity;
use super::framing::FramingScanner;
use super::peer_close::is_closed_by_client;
use super::rejection::{DISCARD_BUFFER_BYTES, MAX_DISCARDED_BYTES, reject, reject_unread};
use super::request_memory::{RequestMemory, ReservedMemory};
use crate::forwarder::http::repeat_if_interrupted;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// How long a connection that this side has closed is still read, unless the client closes it earlier.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that one read passes to the HTTP server. It is less than the server's first
/// buffer, because the server enlarges its buffer if a read fills it.
const MAX_READ_BYTES: usize = 4 << 10;
/// A head may have this length before memory is reserved for it: it fits into the server's first buffers.
const UNRESERVED_HEAD_BYTES: usize = 8 << 10;
/// The memory that the server's buffer takes in addition once a head is longer. The server keeps the buffer
/// until the connection ends.
const LONG_HEAD_BYTES: usize = 24 << 10;

/// A client's stream, which examines the head of each request before the HTTP parser does. The parser hides a
/// `Content-Length` header that is repeated or accompanied by `Transfer-Encoding`.
pub(super) struct ClientStream {
    stream: TcpStream,
    scanner: FramingScanner,
    activity: Arc<ConnectionActivity>,
    memory: Arc<RequestMemory>,
    /// The memory for long heads; `None` as long as no head was long.
    long_head: Option<ReservedMemory>,
    /// Set once this side has closed the connection.
    lingering_close: Option<LingeringClose>,
}

/// The end of a connection that this side has closed and the client has not.
///
/// Closing a socket with unread bytes resets the connection, and the reset may discard the last reply before
/// the client has read it. So bytes are read and discarded until the client closes its side,
/// [`LINGERING_CLOSE_TIMEOUT`] expires or [`MAX_DISCARDED_BYTES`] have been read.
struct LingeringClose {
    timeout: Pin<Box<Sleep>>,
    remaining_bytes: usize,
}

impl ClientStream {
    /// Wraps `stream` and records the arriving bytes in `activity`. Long heads are reserved in `memory`.
    pub(super) fn new(
        stream: TcpStream,
        activity: Arc<ConnectionActivity>,
        memory: Arc<RequestMemory>,
    ) -> Self {
        let scanner = FramingScanner::default();
        ClientStream { stream, scanner, activity, memory, long_head: None, lingering_close: None }
    }

    /// Records whether the client has closed its side.
    fn observe_close(&self) {
        if is_closed_by_client(&self.stream) {
            self.activity.record_close_by_client();
        }
    }

    /// Records bytes that have arrived.
    ///
    /// # Errors
    ///
    /// The head is long, and there is no memory for it. The connection is dropped then, which rejects the
    /// request.
    fn record_read(&mut self, newly_read: &[u8]) -> io::Result<()> {
        if self.scanner.scan(newly_read) {
            self.activity.record_ambiguous_framing();
        }
        let is_rejected = !self.reserve_long_head();
        // A request that is rejected counts as incomplete even if its last byte has arrived.
        self.activity.record_bytes(is_rejected || self.scanner.is_within_request());
        if is_rejected { Err(io::ErrorKind::OutOfMemory.into()) } else { Ok(()) }
    }

    /// Reserves the memory of a long head, and returns false if there is none. While a complete request
    /// awaits its reply, no head is rejected: the connection ends with the rejection. The next read decides
    /// then.
    fn reserve_long_head(&mut self) -> bool {
        let is_reserved =
            self.long_head.is_some() || self.scanner.longest_head_bytes() <= UNRESERVED_HEAD_BYTES;
        if is_reserved || self.activity.has_complete_request() {
            return true;
        }
        self.long_head = self.memory.try_reserve(LONG_HEAD_BYTES);
        self.long_head.is_some()
    }
}

impl LingeringClose {
    fn new() -> Self {
        LingeringClose {
            timeout: Box::pin(sleep(LINGERING_CLOSE_TIMEOUT)),
            remaining_bytes: MAX_DISCARDED_BYTES,
        }
    }

    /// Discards incoming bytes until the client has closed its side or a limit is reached.
    fn poll_discard(&mut self, stream: &mut TcpStream, context: &mut Context<'_>) -> Poll<()> {
        while self.timeout.as_mut().poll(context).is_pending() {
            let mut discarded = [0; DISCARD_BUFFER_BYTES];
            let mut discarded = ReadBuf::new(&mut discarded);
            let read = ready!(Pin::new(&mut *stream).poll_read(context, &mut discarded));
            let discarded_bytes = discarded.filled().len();
            self.remaining_bytes = self.remaining_bytes.saturating_sub(discarded_bytes);
            if read.is_err() || discarded_bytes == 0 || self.remaining_bytes == 0 {
                break;
            }
        }
        Poll::Ready(())
    }
}

impl Drop for ClientStream {
    /// Rejects a request that has not arrived completely. The connection of one that has is only dropped at
    /// the end of the process, when the runtime has replied.
    fn drop(&mut self) {
        if self.lingering_close.is_some() || self.activity.has_complete_request() {
            return;
        }
        if self.activity.is_within_request() && !self.activity.is_closing_idle() {
            reject(&self.stream);
        } else {
            reject_unread(&self.stream);
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut part = [0; MAX_READ_BYTES];
        let mut part = ReadBuf::new(&mut part[..buffer.remaining().min(MAX_READ_BYTES)]);
        let read = repeat_if_interrupted(Pin::new(&mut self.stream).poll_read(context, &mut part), context);
        ready!(read)?;
        self.observe_close();
        let newly_read = part.filled();
        if newly_read.is_empty() && self.activity.is_awaiting_reply() {
            // At the end of the stream, the HTTP server would close the connection without a reply. It reads
            // again after the reply.
            self.activity.record_close_by_client();
            return Poll::Pending;
        }
        if !newly_read.is_empty() {
            self.record_read(newly_read)?;
        }
        buffer.put_slice(newly_read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        // A reply is written before the next request is handled, which may have arrived already.
        self.observe_close();
        repeat_if_interrupted(Pin::new(&mut self.stream).poll_write(context, bytes), context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Closes this side. Bytes that arrive from then on are discarded and never parsed as a request.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ClientStream { stream, activity, lingering_close, .. } = &mut *self;
        if lingering_close.is_none() {
            if activity.is_closing_idle() {
                reject_unread(stream);
            }
            ready!(Pin::new(&mut *stream).poll_shutdown(context))?;
        }
        let lingering_close = lingering_close.get_or_insert_with(LingeringClose::new);
        lingering_close.poll_discard(stream, context).map(Ok)
    }
}
