//! Where operators call: a line in, a line out, on an address of its own. The node answers; this only reads and
//! writes, and keeps callers that dawdle from being in anybody's way.

use crate::net::node::Input;
use serde::{Deserialize, Serialize};
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

/// What operators may ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Call {
    /// Whether this process is ready to serve.
    Ready,
    /// Leave this endpoint out.
    Disable(String),
    /// Put it back.
    Enable(String),
    /// Send the clients away.
    Drain,
    /// Take them again.
    Resume,
}

/// The answer: what was done, or why it was not.
pub(crate) type Reply = Result<String, String>;

/// A call, and where its answer goes.
pub(crate) struct Asked {
    pub(crate) call: Call,
    pub(crate) answer: oneshot::Sender<Reply>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Bad {
    #[error("empty line")]
    Empty,
    #[error("unknown call")]
    Unknown,
    #[error("this call takes one id")]
    NeedsId,
    #[error("this call takes nothing")]
    TakesNothing,
    #[error("line too long")]
    TooLong,
    #[error("no whole line")]
    Unfinished,
    #[error("not text")]
    NoText,
}

impl Call {
    fn parse(line: &[u8]) -> Result<Call, Bad> {
        let line = str::from_utf8(line).map_err(|_| Bad::NoText)?;
        let mut words = line.split_ascii_whitespace();
        let name = words.next().ok_or(Bad::Empty)?;
        let (id, more) = (words.next(), words.next());
        let one = |call: fn(String) -> Call| match (id, more) {
            (Some(id), None) => Ok(call(id.to_owned())),
            _ => Err(Bad::NeedsId),
        };
        let none = |call: Call| if id.is_none() { Ok(call) } else { Err(Bad::TakesNothing) };
        match name {
            "ready" => none(Call::Ready),
            "disable-server" => one(Call::Disable),
            "enable-server" => one(Call::Enable),
            "drain" => none(Call::Drain),
            "resume" => none(Call::Resume),
            _ => Err(Bad::Unknown),
        }
    }
}

/// Serves operators for ever.
pub(crate) async fn serve(listener: TcpListener, node: Sender<Input>) {
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

async fn caller(mut stream: TcpStream, node: Sender<Input>) {
    let reply = match read(&mut stream).await.and_then(|line| Call::parse(&line)) {
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
async fn read(stream: &mut TcpStream) -> Result<Vec<u8>, Bad> {
    let (mut line, by) = (Vec::new(), Instant::now() + READ);
    loop {
        let mut part = [0; LINE_MOST];
        match timeout_at(by, stream.read(&mut part)).await {
            Ok(Ok(n)) if n > 0 => line.extend_from_slice(&part[..n]),
            _ => return Err(Bad::Unfinished),
        }
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
        } else if line.len() <= LINE_MOST {
            continue;
        }
        return if line.len() <= LINE_MOST { Ok(line) } else { Err(Bad::TooLong) };
    }
}

async fn ask(call: Call, node: &Sender<Input>) -> Reply {
    let (answer, answered) = oneshot::channel();
    let asked = async {
        node.send(Input::Asked(Asked { call, answer })).await.ok()?;
        answered.await.ok()
    };
    match timeout(ANSWER, asked).await {
        Ok(Some(reply)) => reply,
        _ => Err("no answer in time".to_owned()),
    }
}

#[cfg(test)]
mod tests;
