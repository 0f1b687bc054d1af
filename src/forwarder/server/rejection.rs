//! Rejects requests directly on the socket, without the HTTP server and without waiting.
//!
//! Tokio learns of new bytes only when it polls the operating system again. Right before a connection is
//! closed, that is too late: a request whose last byte has arrived must get a reply. So these functions read
//! from the socket directly.

use super::reply::RAW_REJECTION;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::Shutdown;
use tokio::net::TcpStream;

/// Maximum number of bytes that are read and discarded at the close of a connection.
pub(super) const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Size of the buffer for bytes that are read and discarded.
pub(super) const DISCARD_BUFFER_BYTES: usize = 4096;

/// Discards what the client has sent, writes a rejection and closes the sending side.
pub(super) fn reject(stream: &TcpStream) {
    discard_unread(stream);
    write_rejection(stream);
    // An error means that the client has disconnected.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
}

/// Discards what the client has sent since the last read and writes a rejection; does nothing if it has sent
/// nothing. The caller closes the connection.
pub(super) fn reject_unread(stream: &TcpStream) {
    if discard_unread(stream) > 0 {
        write_rejection(stream);
    }
}

/// Discards unread bytes and returns their number. Closing a socket with unread bytes would reset the
/// connection and discard the reply.
fn discard_unread(stream: &TcpStream) -> usize {
    let socket = SockRef::from(stream);
    let mut discarded_bytes = 0;
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    while discarded_bytes < MAX_DISCARDED_BYTES {
        match (&*socket).read(&mut buffer) {
            Ok(length) if length > 0 => discarded_bytes += length,
            // Nothing is left to read, or reading failed. After an error the reply may be lost.
            _ => break,
        }
    }
    discarded_bytes
}

fn write_rejection(stream: &TcpStream) {
    // The reply fits into the buffer of the socket, unless the client has stopped reading its replies.
    let _ = (&*SockRef::from(stream)).write(RAW_REJECTION);
}
