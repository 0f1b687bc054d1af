//! Accepts connections and retries after errors.
//!
//! `accept` fails if the next connection broke while it was queued, and as long as the process or the system
//! has no free descriptor or memory. Such errors must neither end a server nor make it retry in a busy loop.

use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Whenever this many attempts in a row have failed, the next one is delayed. Fewer errors may concern single
/// connections, which must not delay the connections queued behind them.
const MAX_IMMEDIATE_ATTEMPTS: u32 = 16;
/// The delay after [`MAX_IMMEDIATE_ATTEMPTS`] failed attempts. Descriptors or memory may become free
/// meanwhile.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// A socket that accepts connections.
pub(crate) trait Accept: Send + Sync {
    /// An accepted connection.
    type Connection: Send;

    /// Accepts the next connection. No connection is lost if the future is dropped.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Connection>> + Send;
}

impl Accept for TcpListener {
    type Connection = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }
}

impl Accept for UnixListener {
    type Connection = UnixStream;

    async fn accept(&self) -> io::Result<UnixStream> {
        UnixListener::accept(self).await.map(|(stream, _)| stream)
    }
}

/// Accepts the next connection of the named server, and retries until that succeeds. Of errors in a row, only
/// the first is logged.
pub(crate) async fn accept_next<L: Accept>(listener: &L, server_name: &str) -> L::Connection {
    let mut failed_attempts = 0;
    loop {
        match listener.accept().await {
            Ok(connection) => return connection,
            Err(error) => {
                if failed_attempts == 0 {
                    eprintln!("{server_name}: cannot accept a connection, retrying: {error}");
                }
                failed_attempts += 1;
                delay_after(failed_attempts).await;
            }
        }
    }
}

async fn delay_after(failed_attempts: u32) {
    if failed_attempts.is_multiple_of(MAX_IMMEDIATE_ATTEMPTS) {
        sleep(RETRY_DELAY).await;
    } else {
        yield_now().await;
    }
}

#[cfg(test)]
mod tests;
