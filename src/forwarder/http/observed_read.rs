//! Reads from a stream and passes the bytes to an observer as well.

use super::repeat_if_interrupted;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};

/// Polls `stream` for a read into `buffer` and passes the newly read bytes, if there are any, to `observe`.
/// An interrupted read is repeated.
pub(crate) fn poll_read_observed<S: AsyncRead + Unpin>(
    stream: &mut S,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
    observe: impl FnOnce(&[u8]),
) -> Poll<io::Result<()>> {
    let filled_before = buffer.filled().len();
    let poll = Pin::new(stream).poll_read(context, buffer);
    let newly_read = &buffer.filled()[filled_before..];
    if !newly_read.is_empty() {
        observe(newly_read);
    }
    repeat_if_interrupted(poll, context)
}
