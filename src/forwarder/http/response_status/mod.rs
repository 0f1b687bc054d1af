//! Records the status line of each response before the HTTP parser reads it.
//!
//! If the head of a response is damaged after the status line, the parser returns an error without the
//! status. The status is valid nevertheless, and shows whether a message was delivered.

use super::{ReadNow, poll_read_observed, repeat_if_interrupted};
use hyper::StatusCode;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;

/// Maximum number of bytes of a line that are buffered. A status line is recognized by its first bytes.
const MAX_LINE_BYTES: usize = 256;

/// How much of a response has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// Nothing, or complete interim responses only.
    NotStarted,
    /// Some bytes, but not the status line of the final response.
    Started,
    /// The status line of the final response.
    StatusReceived(StatusCode),
}

/// Finds the status line of the final response, after interim responses (1xx) and their headers.
#[derive(Default)]
struct StatusLineParser {
    /// The start of the current line.
    line: Vec<u8>,
    /// The current line belongs to the head of an interim response.
    in_interim_head: bool,
    /// A line arrived that is not a status line where one was expected. No status is reported then.
    is_invalid: bool,
}

impl StatusLineParser {
    /// Consumes the next bytes and returns how much of the response has arrived.
    fn read(&mut self, bytes: &[u8]) -> ResponseProgress {
        for &byte in bytes {
            if byte != b'\n' {
                self.push(byte);
                continue;
            }
            if let Some(status) = self.end_line() {
                *self = StatusLineParser::default();
                return ResponseProgress::StatusReceived(status);
            }
        }
        // After a complete interim response, the final response has not started yet.
        if self.line.is_empty() && !self.in_interim_head && !self.is_invalid {
            ResponseProgress::NotStarted
        } else {
            ResponseProgress::Started
        }
    }

    /// Appends to the current line, of which only the start is buffered: a line without an end must not take
    /// unbounded memory.
    fn push(&mut self, byte: u8) {
        if self.line.len() < MAX_LINE_BYTES {
            self.line.push(byte);
        }
    }

    /// Evaluates the line that is now complete. Returns the status if it is the final status line.
    fn end_line(&mut self) -> Option<StatusCode> {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if line.is_empty() {
            self.in_interim_head = false;
            return None;
        }
        if self.in_interim_head || self.is_invalid {
            return None;
        }
        match parse_status_line(line) {
            Some(status) if status.is_informational() => self.in_interim_head = true,
            Some(status) => return Some(status),
            None => self.is_invalid = true,
        }
        None
    }
}

/// The status in a status line, or `None` if the line is not a status line.
fn parse_status_line(line: &[u8]) -> Option<StatusCode> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").or_else(|| line.strip_prefix(b"HTTP/1.0 "))?;
    let (code, reason) = rest.split_at_checked(3)?;
    StatusCode::from_bytes(code).ok().filter(|_| matches!(reason.first(), None | Some(b' ')))
}

/// The state that a stream shares with its [`super::Connection`].
#[derive(Debug, Default)]
pub(super) struct StreamState {
    write_failed: AtomicBool,
    closed_by_peer: AtomicBool,
    /// A request is about to be written: what arrives before it is not its response.
    awaits_request: AtomicBool,
}

impl StreamState {
    /// Records that a request follows. The next read also returns bytes of which the asynchronous runtime has
    /// not learned yet, so that the HTTP client finds them before it writes the request.
    pub(super) fn expect_request(&self) {
        self.awaits_request.store(true, Ordering::Relaxed);
    }

    /// Whether a write has failed.
    pub(super) fn write_has_failed(&self) -> bool {
        self.write_failed.load(Ordering::Relaxed)
    }

    /// Whether the other side has closed its sending side in an orderly way. It is false after a reset.
    pub(super) fn was_closed_by_peer(&self) -> bool {
        self.closed_by_peer.load(Ordering::Relaxed)
    }
}

/// A stream that records the status line of each response read from it, and how it has ended.
pub(super) struct StatusRecordingStream<S> {
    stream: S,
    parser: StatusLineParser,
    /// Shared with the [`super::Connection`], which resets it to `NotStarted` before each request.
    progress: watch::Sender<ResponseProgress>,
    /// Shared with the [`super::Connection`].
    state: Arc<StreamState>,
}

impl<S> StatusRecordingStream<S> {
    /// Wraps `stream` and reports to `progress` and `state`.
    pub(super) fn new(stream: S, progress: watch::Sender<ResponseProgress>, state: Arc<StreamState>) -> Self {
        StatusRecordingStream { stream, parser: StatusLineParser::default(), progress, state }
    }

    /// Records a failed write, and repeats an interrupted one.
    fn check_write(&self, poll: Poll<io::Result<usize>>, context: &Context<'_>) -> Poll<io::Result<usize>> {
        let poll = repeat_if_interrupted(poll, context);
        if matches!(poll, Poll::Ready(Err(_))) {
            self.state.write_failed.store(true, Ordering::Relaxed);
        }
        poll
    }
}

/// Updates `progress` after the `newly_read` bytes have arrived.
fn record_bytes(
    parser: &mut StatusLineParser,
    progress: &watch::Sender<ResponseProgress>,
    newly_read: &[u8],
) {
    let before = *progress.borrow();
    if matches!(before, ResponseProgress::StatusReceived(_)) {
        return;
    }
    if before == ResponseProgress::NotStarted {
        *parser = StatusLineParser::default();
    }
    let now = parser.read(newly_read);
    progress.send_if_modified(|progress| std::mem::replace(progress, now) != now);
}

impl<S: AsyncRead + ReadNow + Unpin> AsyncRead for StatusRecordingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let StatusRecordingStream { stream, parser, progress, state } = &mut *self;
        let (filled_before, room) = (buffer.filled().len(), buffer.remaining());
        let awaits_request = state.awaits_request.swap(false, Ordering::Relaxed);
        let mut poll = poll_read_observed(stream, context, buffer, |bytes| {
            if !awaits_request {
                record_bytes(parser, progress, bytes);
            }
        });
        if poll.is_pending() && awaits_request {
            poll = poll_read_now(stream, buffer);
        }
        let is_at_end = room > 0 && buffer.filled().len() == filled_before;
        if matches!(poll, Poll::Ready(Ok(()))) && is_at_end {
            state.closed_by_peer.store(true, Ordering::Relaxed);
        }
        poll
    }
}

/// Reads what has arrived on a connection that carries no request.
fn poll_read_now<S: ReadNow>(stream: &S, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    match stream.read_now(buffer.initialize_unfilled()) {
        Ok(length) => {
            buffer.advance(length);
            Poll::Ready(Ok(()))
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
        Err(error) => Poll::Ready(Err(error)),
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StatusRecordingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write(poll, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write(poll, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
