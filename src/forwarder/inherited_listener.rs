//! The listening socket for clients, if the platform holds it and every process of the forwarder inherits it.
//!
//! The socket then stays open during an upgrade, so that clients can always connect.

use std::env;
use std::fs;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// The environment variable that contains the number of the inherited descriptor.
const DESCRIPTOR_VARIABLE: &str = "BALANCER_FD";
/// The highest descriptor of a standard stream. A standard stream is never adopted as a listener.
const LAST_STANDARD_STREAM: RawFd = 2;

/// Why the inherited socket cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The variable does not contain a number, or contains the number of a standard stream.
    #[error("{DESCRIPTOR_VARIABLE}: {0:?} is not the number of a socket descriptor")]
    InvalidDescriptor(String),
    /// The descriptor is not open, or is not a socket.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {0} is not a socket")]
    NotASocket(RawFd),
    /// The socket cannot be used as a TCP listener.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {descriptor} is not a TCP listener: {source}")]
    NotAListener {
        /// The descriptor.
        descriptor: RawFd,
        /// The cause.
        source: io::Error,
    },
}

/// Returns the inherited listener, in non-blocking mode; `None` if `BALANCER_FD` is empty or not set.
///
/// Call this only once, and before a descriptor is opened that could have the same number.
///
/// # Errors
///
/// `BALANCER_FD` does not name a descriptor of a listening TCP socket.
pub fn listener() -> Result<Option<TcpListener>, InheritError> {
    let value = env::var(DESCRIPTOR_VARIABLE).unwrap_or_default();
    if value.is_empty() {
        return Ok(None);
    }
    let descriptor = parse_descriptor(value)?;
    if !is_socket(descriptor) {
        return Err(InheritError::NotASocket(descriptor));
    }
    let listener = adopt(descriptor);
    match prepare(&listener) {
        Ok(()) => Ok(Some(listener)),
        Err(source) => Err(InheritError::NotAListener { descriptor, source }),
    }
}

fn parse_descriptor(value: String) -> Result<RawFd, InheritError> {
    match value.parse() {
        Ok(descriptor) if descriptor > LAST_STANDARD_STREAM => Ok(descriptor),
        _ => Err(InheritError::InvalidDescriptor(value)),
    }
}

/// Whether the descriptor is open and a socket.
fn is_socket(descriptor: RawFd) -> bool {
    fs::read_link(format!("/proc/self/fd/{descriptor}"))
        .is_ok_and(|link| link.to_string_lossy().starts_with("socket:"))
}

/// Checks that the socket has an IP address, and makes it non-blocking.
fn prepare(listener: &TcpListener) -> io::Result<()> {
    listener.local_addr()?;
    listener.set_nonblocking(true)
}

/// Makes this process the owner of the descriptor. The crates that do this safely adopt only descriptors that
/// `LISTEN_FDS` announces, which the platform does not set.
#[allow(unsafe_code)]
fn adopt(descriptor: RawFd) -> TcpListener {
    // SAFETY: the caller has checked that the descriptor is open and a socket. Nothing else in this process
    // owns it: it is inherited, and adopted only once, before any other descriptor is opened.
    unsafe { TcpListener::from_raw_fd(descriptor) }
}
