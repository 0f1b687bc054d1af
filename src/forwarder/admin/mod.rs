//! Where operators call: a line in, a line out, on an address of its own. The node answers; this only reads and
//! writes, and keeps callers that dawdle from being in anybody's way.

use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::admin_command::{AdminCommand, AdminReply, AdminRequest, CommandError};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Callers at a time; their descriptors are set aside. One more takes the place of the one that has been there
/// longest.
pub(crate) const CALLERS: usize = 16;
/// Longest line: a call and an id.
const LINE_MOST: usize = 256;
/// So long a line may take, and so long its answer, of which the node is sure sooner.
const READ: Duration = Duration::from_secs(5);
const ANSWER: Duration = Duration::from_millis(900);
/// What a caller that does not read may hold up.
const WRITE: Duration = Duration::from_secs(1);

/// Serves operators for ever.
pub(crate) async fn serve(listener: TcpListener, node: Sender<RuntimeEvent>) {
    let mut tasks = JoinSet::new();
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while tasks.try_join_next().is_some() {}
                open.retain(|task| !task.is_finished());
                if open.len() >= CALLERS
                    && let Some(oldest) = open.pop_front()
                {
                    oldest.abort();
                    // It closes its connection in its own turn.
                    yield_now().await;
                }
                open.push_back(tasks.spawn(caller(stream, node.clone())));
            }
            Err(e) => {
                eprintln!("admin: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn caller(mut stream: TcpStream, node: Sender<RuntimeEvent>) {
    let reply = match read(&mut stream).await.and_then(|line| AdminCommand::parse(&line)) {
        Ok(call) => ask(call, &node).await,
        Err(bad) => Err(bad.to_string()),
    };
    let text = match reply {
        Ok(done) => format!("ACK {done}\n"),
        Err(why) => format!("NAK {why}\n"),
    };
    let _ = timeout(WRITE, async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    })
    .await;
}

/// One line. What ends without one is no call: the rest of an id may be missing.
async fn read(stream: &mut TcpStream) -> Result<Vec<u8>, CommandError> {
    let (mut line, by) = (Vec::new(), Instant::now() + READ);
    loop {
        let mut part = [0; LINE_MOST];
        match timeout_at(by, stream.read(&mut part)).await {
            Ok(Ok(n)) if n > 0 => line.extend_from_slice(&part[..n]),
            _ => return Err(CommandError::Unfinished),
        }
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
        } else if line.len() <= LINE_MOST {
            continue;
        }
        return if line.len() <= LINE_MOST { Ok(line) } else { Err(CommandError::TooLong) };
    }
}

async fn ask(call: AdminCommand, node: &Sender<RuntimeEvent>) -> AdminReply {
    let (answer, answered) = oneshot::channel();
    let asked = async {
        node.send(RuntimeEvent::AdminRequest(AdminRequest { command: call, reply: answer })).await.ok()?;
        answered.await.ok()
    };
    match timeout(ANSWER, asked).await {
        Ok(Some(reply)) => reply,
        _ => Err("no answer in time".to_owned()),
    }
}

#[cfg(test)]
mod tests;
