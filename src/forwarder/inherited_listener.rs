//! The clients' listening socket, where the platform holds it and every process inherits it.

use std::env;
use std::fs;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// Why the inherited socket cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The variable names no descriptor.
    #[error("BALANCER_FD: {0:?} is no descriptor")]
    Name(String),
    /// The descriptor is not open, or is no socket.
    #[error("descriptor {0} is no socket")]
    NoSocket(RawFd),
    /// The socket listens for no TCP connections.
    #[error("descriptor {0} does not listen: {1}")]
    Unusable(RawFd, #[source] io::Error),
}

/// The listener that `$BALANCER_FD` names, if it names one. To be called once, before anything else is opened.
pub fn listener() -> Result<Option<TcpListener>, InheritError> {
    let Some(name) = env::var("BALANCER_FD").ok().filter(|name| !name.is_empty()) else { return Ok(None) };
    // The three below are the standard streams.
    let fd = name.parse().ok().filter(|fd: &RawFd| *fd > 2).ok_or(InheritError::Name(name))?;
    let link = fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| InheritError::NoSocket(fd))?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(InheritError::NoSocket(fd));
    }
    let listener = adopt(fd);
    listener
        .local_addr()
        .and_then(|_| listener.set_nonblocking(true))
        .map_err(|e| InheritError::Unusable(fd, e))?;
    Ok(Some(listener))
}

/// Safe crates adopt only what `LISTEN_FDS` announces, which this platform does not set.
#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> TcpListener {
    // SAFETY: the descriptor is open and a socket, as the caller has just seen, and nothing in this process owns
    // it: it was inherited, and it is adopted once, before anything else is opened.
    unsafe { TcpListener::from_raw_fd(fd) }
}
