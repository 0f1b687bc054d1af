//! Listens for processes that request to take over from this one.

use super::channel::{PeerChannel, PeerEvent, PeerRole};
use super::error::UpgradeError;
use super::frames::Frame;
use super::framing::FramedStream;
use crate::forwarder::accept::accept_next;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep, timeout};

/// Name of the socket in the state folder, the same in all versions.
const SOCKET_NAME: &str = "handover";
/// Time limit for a process that has connected to send its request to take over.
const TAKE_OVER_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two attempts to bind the socket.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The path of the socket on which the owner of the state folder accepts successors. Each owner replaces the
/// socket of the previous one.
pub(crate) fn socket_path(folder: &Path) -> PathBuf {
    folder.join(SOCKET_NAME)
}

/// Accepts processes that request to take over, until this process ends. The channel to each of them is sent
/// to `events`, followed by the events of the channel. The socket exists when this function returns, unless
/// it cannot be created: the process then serves without it while binding is retried, and a successor waits.
pub(crate) fn listen_for_successors<E>(folder: &Path, events: Sender<E>)
where
    E: From<PeerEvent> + From<PeerChannel> + Send + 'static,
{
    let path = socket_path(folder);
    let first_attempt = bind(&path);
    // The task ends with the process.
    tokio::spawn(async move {
        let listener = bind_when_possible(&path, first_attempt).await;
        accept_successors(listener, events).await;
    });
}

/// Retries until the socket is bound.
async fn bind_when_possible(path: &Path, first_attempt: io::Result<UnixListener>) -> UnixListener {
    let mut attempt = first_attempt;
    loop {
        match attempt {
            Ok(listener) => return listener,
            Err(error) => eprintln!("upgrade: cannot listen on {}: {error}; retrying", path.display()),
        }
        sleep(BIND_RETRY_DELAY).await;
        attempt = bind(path);
    }
}

/// Removes the socket of the previous owner and binds a new one.
fn bind(path: &Path) -> io::Result<UnixListener> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => UnixListener::bind(path),
    }
}

async fn accept_successors<E>(listener: UnixListener, events: Sender<E>)
where
    E: From<PeerEvent> + From<PeerChannel> + Send + 'static,
{
    let mut last_id = 0;
    loop {
        let stream = accept_next(&listener, "upgrade").await;
        last_id += 1;
        // A separate task, so that a process that sends nothing does not delay the next one.
        tokio::spawn(receive_take_over_request(last_id, FramedStream::new(stream), events.clone()));
    }
}

/// Waits for the request to take over, and sends the channel to `events`.
async fn receive_take_over_request<E>(id: u64, mut stream: FramedStream, events: Sender<E>)
where
    E: From<PeerEvent> + From<PeerChannel> + Send + 'static,
{
    let error = match timeout(TAKE_OVER_REQUEST_TIMEOUT, stream.reader.receive()).await {
        Ok(Ok(Frame::TakeOver)) => {
            let channel = PeerChannel::start(id, PeerRole::Successor, stream, events.clone());
            // Sending fails only while this process ends.
            let _ = events.send(channel.into()).await;
            return;
        }
        Ok(Ok(_)) => UpgradeError::UnexpectedFrame,
        Ok(Err(error)) => error,
        Err(_) => UpgradeError::Timeout,
    };
    eprintln!("upgrade: {error}; closing the connection");
}
