//! The stream of a client connection. It checks the framing of requests, and keeps reading for a while after
//! the close, so that the client receives the last reply.

use super::activity::ConnectionActivity;
use super::framing::FramingScanner;
use super::rejection::{DISCARD_BUFFER_BYTES, MAX_DISCARDED_BYTES, reject, reject_unread};
use crate::forwarder::http::{poll_read_observed, repeat_if_interrupted};
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

/// A client's stream, which examines the head of each request before the HTTP parser does. The parser hides a
/// `Content-Length` header that is repeated or accompanied by `Transfer-Encoding`.
pub(super) struct ClientStream {
    stream: TcpStream,
    scanner: FramingScanner,
    activity: Arc<ConnectionActivity>,
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
    /// Wraps `stream` and records the arriving bytes in `activity`.
    pub(super) fn new(stream: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        ClientStream { stream, scanner: FramingScanner::default(), activity, lingering_close: None }
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
    /// Rejects a request that has begun to arrive on a connection without an open one. The connection of an
    /// open request is only dropped at the end of the process, when the runtime has replied.
    fn drop(&mut self) {
        if self.lingering_close.is_some() || self.activity.idle_time().is_none() {
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
        let ClientStream { stream, scanner, activity, .. } = &mut *self;
        let filled_before = buffer.filled().len();
        let poll = poll_read_observed(stream, context, buffer, |newly_read| {
            if scanner.scan(newly_read) {
                activity.record_ambiguous_framing();
            }
            activity.record_bytes(scanner.is_within_request());
        });
        let is_end_of_stream = matches!(poll, Poll::Ready(Ok(()))) && buffer.filled().len() == filled_before;
        if is_end_of_stream && activity.is_awaiting_reply() {
            // At the end of the stream, the HTTP server would close the connection without a reply. It reads
            // again after the reply.
            activity.record_half_close();
            return Poll::Pending;
        }
        poll
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
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
