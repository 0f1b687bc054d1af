//! Opens the byte streams of connections.

use socket2::SockRef;
use std::io::{self, Read};
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens byte streams to addresses.
pub(crate) trait Connect: Send + Sync {
    /// An open stream.
    type Stream: AsyncRead + AsyncWrite + ReadNow + Send + Unpin + 'static;

    /// Opens a stream to `address`. The caller sets a timeout.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// A stream that can be read without waiting.
pub(crate) trait ReadNow {
    /// Reads what has arrived, also if the asynchronous runtime has not learned of it yet.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if nothing has arrived, or the error of the connection.
    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize>;
}

impl ReadNow for TcpStream {
    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(self)).read(buffer)
    }
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TcpConnector;

impl Connect for TcpConnector {
    type Stream = TcpStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        // Without TCP_NODELAY the system may delay small writes, which is no reason to fail.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// Whether a connection could not be opened for a reason within this process or its system, whatever the
/// state of the other side.
pub(crate) fn is_local_failure(error: &io::Error) -> bool {
    let local_errors = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EADDRNOTAVAIL,
        libc::EAGAIN,
        libc::EINTR,
    ];
    error.raw_os_error().is_some_and(|code| local_errors.contains(&code))
}
