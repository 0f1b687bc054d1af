//! Repeats socket operations that a signal has interrupted.

use std::io;
use std::task::{Context, Poll};

/// Makes the caller poll again if a signal has interrupted the operation, which had no effect in that case.
/// Other tasks run in between.
pub(crate) fn repeat_if_interrupted<T>(
    poll: Poll<io::Result<T>>,
    context: &Context<'_>,
) -> Poll<io::Result<T>> {
    match poll {
        Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {
            context.waker().wake_by_ref();
            Poll::Pending
        }
        poll => poll,
    }
}
