//! The server for operators. A connection carries one command line and one reply line.
//!
//! This module reads and writes the lines, and the runtime executes the commands. The number of connections
//! and the time of each step are bounded, so that slow operators do not delay others.

use crate::forwarder::accept::accept_next;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::admin_command::{
    AdminCommand, AdminError, AdminReply, AdminRequest, CommandError,
};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum number of open connections, whose file descriptors are reserved. A further connection replaces the
/// oldest one.
pub(crate) const MAX_CONNECTIONS: usize = 16;
/// Maximum length of a line, without its line break.
const MAX_LINE_BYTES: usize = 256;
/// How long an operator may take to write a command.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the runtime may take to reply. It is longer than the time for which the runtime waits for a
/// successor.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// How long an operator may take to read the reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves operators until the future is dropped, which closes their connections.
///
/// The runtime holds the other end of `events`, a bounded channel; if it stays full, the operator gets
/// [`AdminError::NoReply`].
pub(crate) async fn serve(listener: TcpListener, events: Sender<RuntimeEvent>) {
    let mut connections = Connections::default();
    loop {
        let stream = accept_next(&listener, "admin").await;
        connections.add(stream, events.clone()).await;
    }
}

/// The open connections, one task for each.
#[derive(Default)]
struct Connections {
    tasks: JoinSet<()>,
    /// The handles to abort the tasks, the oldest first.
    oldest_first: VecDeque<AbortHandle>,
}

impl Connections {
    async fn add(&mut self, stream: TcpStream, events: Sender<RuntimeEvent>) {
        while self.tasks.try_join_next().is_some() {}
        self.oldest_first.retain(|task| !task.is_finished());
        if self.oldest_first.len() >= MAX_CONNECTIONS {
            self.close_oldest().await;
        }
        self.oldest_first.push_back(self.tasks.spawn(serve_connection(stream, events)));
    }

    async fn close_oldest(&mut self) {
        if let Some(oldest) = self.oldest_first.pop_front() {
            oldest.abort();
            // The task closes its connection when it is polled again.
            yield_now().await;
        }
    }
}

async fn serve_connection(mut stream: TcpStream, events: Sender<RuntimeEvent>) {
    let line = match reply_to_command(&mut stream, &events).await {
        Ok(success) => format!("ACK {success}\n"),
        Err(error) => format!("NAK {error}\n"),
    };
    // An error means that the operator has disconnected or does not read the reply.
    let _ = timeout(WRITE_TIMEOUT, async {
        stream.write_all(line.as_bytes()).await?;
        stream.shutdown().await
    })
    .await;
}

async fn reply_to_command(stream: &mut TcpStream, events: &Sender<RuntimeEvent>) -> AdminReply {
    let line = read_line(stream).await?;
    let command = AdminCommand::parse(&line)?;
    request(command, events).await
}

/// Reads one line. Bytes without a line break are rejected, because the end of an id may be missing.
///
/// # Errors
///
/// The line is too long, or not complete in time.
async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, CommandError> {
    let deadline = Instant::now() + READ_TIMEOUT;
    let mut line = Vec::new();
    loop {
        let mut buffer = [0; MAX_LINE_BYTES];
        match timeout_at(deadline, stream.read(&mut buffer)).await {
            Ok(Ok(length)) if length > 0 => line.extend_from_slice(&buffer[..length]),
            _ => return Err(CommandError::IncompleteLine),
        }
        let line_break = line.iter().position(|byte| *byte == b'\n');
        if line_break.unwrap_or(line.len()) > MAX_LINE_BYTES {
            return Err(CommandError::TooLong);
        }
        if let Some(end) = line_break {
            line.truncate(end);
            return Ok(line);
        }
    }
}

/// Passes a command to the runtime and waits for its reply.
async fn request(command: AdminCommand, events: &Sender<RuntimeEvent>) -> AdminReply {
    let (reply, reply_receiver) = oneshot::channel();
    let exchange = async {
        events.send(RuntimeEvent::AdminRequest(AdminRequest { command, reply })).await.ok()?;
        reply_receiver.await.ok()
    };
    match timeout(REPLY_TIMEOUT, exchange).await {
        Ok(Some(reply)) => reply,
        Ok(None) | Err(_) => Err(AdminError::NoReply),
    }
}
