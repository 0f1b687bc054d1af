//! Asks the system whether the client of a connection has closed its side.

use nix::libc;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::os::fd::AsFd;
use tokio::net::TcpStream;

/// Whether the client has closed its sending side or the connection, or the connection is broken. The system
/// knows that even while bytes that the client sent before are unread.
pub(super) fn is_closed_by_client(stream: &TcpStream) -> bool {
    let closed = PollFlags::from_bits_retain(libc::POLLRDHUP);
    let mut streams = [PollFd::new(stream.as_fd(), closed)];
    if poll(&mut streams, PollTimeout::ZERO).is_err() {
        return false;
    }
    // `PollFlags` has no name for `POLLRDHUP`, so it cannot represent that event.
    let [stream] = streams;
    stream.revents().is_none_or(|events| events.intersects(PollFlags::POLLHUP | PollFlags::POLLERR))
}
