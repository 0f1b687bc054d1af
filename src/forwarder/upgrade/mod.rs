//! From one version to the next under load: a lock that only one process holds, and a channel between the process
//! that has the journal and the one that takes over. What is said there is in [`Frame`]; who acts on it is the node.

use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::admin_command::{AdminCommand, AdminReply};
use crate::forwarder::messages::client_request::ClientReply;
use crate::forwarder::messages::endpoint_list::EndpointRecord;
use crate::interface::{LearnedState, LoadReport, Outcome};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{Receiver, Sender, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Longest frame: the list and all calls that are out are far below it.
const FRAME_MOST: u64 = 8 << 20;
/// So long the one that connects may take to say what it wants,
const HELLO: Duration = Duration::from_secs(2);
/// and the owner to hand over: it ends its turn and writes its journal first.
const REST: Duration = Duration::from_secs(3);
/// The owner frees the lock when it has handed over.
const LOCK: Duration = Duration::from_secs(2);
/// How often the lock is tried.
pub(crate) const STEP: Duration = Duration::from_millis(5);
/// After the other process has gone, its connections may stand a moment longer than its channel.
const LAST_CLOSES: Duration = Duration::from_millis(50);

/// What two processes say to each other.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The successor asks for all.
    TakeOver,
    /// The owner hands over what the journal does not hold, and frees the lock.
    #[serde(rename = "Rest")]
    Handoff(Box<HandoffState>),
    /// The successor has the lock and has read the journal; it has written nothing yet.
    Owned,
    /// Connections of clients that the old process still has.
    #[serde(rename = "Clients")]
    ClientConnections(usize),
    /// These attempts, still out with the old process, have ended.
    #[serde(rename = "Ended")]
    AttemptsEnded(Vec<EndedAttempt>),
    /// The successor calls an attempt off.
    #[serde(rename = "CallOff")]
    CancelAttempt(String, usize),
    /// The successor has given up the message of an attempt.
    #[serde(rename = "GiveUp")]
    AbandonMessage(String, usize),
    /// A client of the old process hands in a message.
    #[serde(rename = "HandedIn")]
    ClientRequest(u64, ForwardedRequest),
    /// Its answer.
    #[serde(rename = "Answered")]
    ClientReply(u64, ClientReply),
    /// An operator calls the old process.
    #[serde(rename = "Asked")]
    AdminCommand(u64, AdminCommand),
    /// The answer.
    #[serde(rename = "Replied")]
    AdminReply(u64, AdminReply),
}

/// What the journal does not hold.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HandoffState {
    /// The list, with those that are gone and still have a call out.
    pub(crate) rev: u64,
    #[serde(rename = "targets")]
    pub(crate) endpoints: Vec<EndpointRecord>,
    pub(crate) calls: Vec<InFlightCall>,
    /// Connections of clients that the old process still has.
    pub(crate) clients: usize,
    /// By the endpoint's id, where routes are apart.
    #[serde(rename = "learnt")]
    pub(crate) learned: Vec<(Option<String>, LearnedState)>,
}

/// A call that is out.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct InFlightCall {
    #[serde(rename = "target")]
    pub(crate) endpoint: String,
    /// Microseconds since it was sent.
    pub(crate) age: i64,
    /// Messages and attempts that travel in it.
    pub(crate) attempts: Vec<(String, usize)>,
}

/// How an attempt ended.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndedAttempt {
    pub(crate) message: String,
    pub(crate) attempt: usize,
    pub(crate) outcome: Outcome,
    pub(crate) finished: bool,
    pub(crate) report: Option<LoadReport>,
    pub(crate) wait: Option<i64>,
    #[serde(default)]
    pub(crate) unsent: bool,
}

/// A message on its way in.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    pub(crate) id: String,
    pub(crate) class: String,
    pub(crate) tenant: Option<String>,
    #[serde(rename = "dest")]
    pub(crate) destination: u64,
    pub(crate) key: Option<String>,
    /// Base64.
    pub(crate) body: String,
    /// Milliseconds that are left of its time.
    pub(crate) left: u64,
}

/// What prevents a take-over.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpgradeError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("cannot read what the other process says: {0}")]
    Form(#[from] serde_json::Error),
    #[error("the other process closed the channel")]
    Closed,
    #[error("the other process says something else than it should")]
    UnexpectedFrame,
    #[error("no word in time")]
    Silent,
    #[error("the lock is not freed")]
    Locked,
}

/// Says who owns the journal and may send. The kernel frees it with the process.
pub(crate) struct StateLock(File);

impl StateLock {
    pub(crate) fn open(folder: &Path) -> io::Result<Self> {
        File::options().write(true).create(true).truncate(false).open(folder.join("lock")).map(StateLock)
    }

    /// Whether it is this process's now.
    pub(crate) fn try_acquire(&self) -> io::Result<bool> {
        match self.0.try_lock() {
            Ok(()) => Ok(true),
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    pub(crate) fn release(&self) -> io::Result<()> {
        self.0.unlock()
    }
}

/// Which end of a channel the other process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerRole {
    /// It has handed over to this one.
    Predecessor,
    /// It takes over from this one.
    Successor,
}

/// News from another process: a frame, or that it has gone.
#[derive(Debug)]
pub(crate) struct PeerEvent {
    pub(crate) side: PeerRole,
    /// Which channel: one that was given up may still bring some.
    pub(crate) link: u64,
    pub(crate) frame: Option<Frame>,
}

/// A channel to another process. Dropped, it closes once all is written.
pub(crate) struct PeerChannel {
    pub(crate) id: u64,
    frames: UnboundedSender<Frame>,
    writer: JoinHandle<()>,
    reader: JoinHandle<()>,
}

impl PeerChannel {
    fn start(id: u64, side: PeerRole, wire: FramedStream, node: Sender<RuntimeEvent>) -> Self {
        let (frames, mut queue) = unbounded_channel::<Frame>();
        let FramedStream { mut read, mut write } = wire;
        let writer = tokio::spawn(async move {
            while let Some(frame) = queue.recv().await {
                if say(&mut write, &frame).await.is_err() {
                    return;
                }
            }
        });
        let reader = tokio::spawn(async move {
            loop {
                let frame = match hear(&mut read).await {
                    Ok(frame) => Some(frame),
                    Err(UpgradeError::Closed) => None,
                    Err(e) => {
                        eprintln!("handover: {e}");
                        None
                    }
                };
                let over = frame.is_none();
                if over {
                    sleep(LAST_CLOSES).await;
                }
                if node.send(RuntimeEvent::Peer(PeerEvent { side, link: id, frame })).await.is_err() || over {
                    return;
                }
            }
        });
        PeerChannel { id, frames, writer, reader }
    }

    pub(crate) fn send(&self, frame: Frame) {
        // Whether the other process has gone, its end of the channel tells.
        let _ = self.frames.send(frame);
    }

    pub(crate) fn sender(&self) -> UnboundedSender<Frame> {
        self.frames.clone()
    }

    /// Ends once all is written.
    pub(crate) async fn flush(mut self, limit: Duration) {
        let (none, _) = unbounded_channel();
        self.frames = none;
        let _ = timeout(limit, &mut self.writer).await;
    }
}

impl Drop for PeerChannel {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// Both halves of a socket.
struct FramedStream {
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

impl FramedStream {
    fn new(stream: UnixStream) -> Self {
        let (read, write) = stream.into_split();
        FramedStream { read: BufReader::new(read), write }
    }
}

async fn say(write: &mut OwnedWriteHalf, frame: &Frame) -> Result<(), UpgradeError> {
    let mut text = serde_json::to_vec(frame)?;
    text.push(b'\n');
    Ok(write.write_all(&text).await?)
}

async fn hear(read: &mut BufReader<OwnedReadHalf>) -> Result<Frame, UpgradeError> {
    let mut text = Vec::new();
    read.take(FRAME_MOST).read_until(b'\n', &mut text).await?;
    // Torn by the end of the other process, or of no end at all.
    if text.pop() != Some(b'\n') {
        return Err(UpgradeError::Closed);
    }
    Ok(serde_json::from_slice(&text)?)
}

fn socket(folder: &Path) -> PathBuf {
    folder.join("handover")
}

/// Waits for processes that want to take over, for as long as this one lives.
pub(crate) fn listen_for_successors(folder: &Path, node: Sender<RuntimeEvent>) -> io::Result<()> {
    let path = socket(folder);
    match fs::remove_file(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    tokio::spawn(async move {
        let mut next = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    next += 1;
                    // Nobody waits behind one that says nothing.
                    tokio::spawn(greet(next, FramedStream::new(stream), node.clone()));
                }
                Err(e) => {
                    eprintln!("handover: {e}");
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
    Ok(())
}

async fn greet(id: u64, mut wire: FramedStream, node: Sender<RuntimeEvent>) {
    match timeout(HELLO, hear(&mut wire.read)).await {
        Ok(Ok(Frame::TakeOver)) => {
            let link = PeerChannel::start(id, PeerRole::Successor, wire, node.clone());
            // The node is gone only when the process ends.
            let _ = node.send(RuntimeEvent::TakeOverRequested(link)).await;
        }
        Ok(Ok(_)) => eprintln!("handover: {}", UpgradeError::UnexpectedFrame),
        Ok(Err(e)) => eprintln!("handover: {e}"),
        Err(_) => eprintln!("handover: {}", UpgradeError::Silent),
    }
}

/// What a process begins with: the lock, and what the one before it has handed over, if it lives.
pub(crate) struct Ownership {
    pub(crate) lock: StateLock,
    pub(crate) predecessor: Option<Predecessor>,
}

/// The process that has handed over.
pub(crate) struct Predecessor {
    pub(crate) rest: HandoffState,
    wire: FramedStream,
}

impl Predecessor {
    /// Says that all is owned now. Until this is written nothing may be written to the journal: the old process
    /// goes on from what it knows if it does not hear it.
    pub(crate) async fn confirm_ownership(
        mut self,
        node: Sender<RuntimeEvent>,
    ) -> Result<(HandoffState, PeerChannel), UpgradeError> {
        say(&mut self.wire.write, &Frame::Owned).await?;
        Ok((self.rest, PeerChannel::start(0, PeerRole::Predecessor, self.wire, node)))
    }
}

/// Waits for the lock, or takes over from the process that has it. Operators hear meanwhile that this process is
/// not ready.
pub(crate) async fn acquire_ownership(
    folder: &Path,
    inputs: &mut Receiver<RuntimeEvent>,
) -> io::Result<Ownership> {
    let lock = StateLock::open(folder)?;
    loop {
        if lock.try_acquire()? {
            return Ok(Ownership { lock, predecessor: None });
        }
        let predecessor = tokio::select! {
            predecessor = take_over(folder, &lock) => predecessor,
            () = not_yet(inputs) => continue,
        };
        match predecessor {
            Ok(predecessor) => return Ok(Ownership { lock, predecessor: Some(predecessor) }),
            Err(e) => {
                eprintln!("handover: not yet: {e}");
                tokio::select! { () = sleep(4 * STEP) => {}, () = not_yet(inputs) => {} }
            }
        }
    }
}

/// Answers whoever calls before there is anything to serve. Never ends.
async fn not_yet(inputs: &mut Receiver<RuntimeEvent>) {
    while let Some(input) = inputs.recv().await {
        if let RuntimeEvent::AdminRequest(asked) = input {
            let _ = asked.reply.send(Err("not ready: another process still serves".to_owned()));
        }
    }
    std::future::pending().await
}

async fn take_over(folder: &Path, lock: &StateLock) -> Result<Predecessor, UpgradeError> {
    let mut wire = FramedStream::new(UnixStream::connect(socket(folder)).await?);
    say(&mut wire.write, &Frame::TakeOver).await?;
    let heard = timeout(REST, hear(&mut wire.read)).await.map_err(|_| UpgradeError::Silent)??;
    let Frame::Handoff(rest) = heard else { return Err(UpgradeError::UnexpectedFrame) };
    let since = Instant::now();
    while !lock.try_acquire()? {
        if since.elapsed() > LOCK {
            return Err(UpgradeError::Locked);
        }
        sleep(STEP).await;
    }
    Ok(Predecessor { rest: *rest, wire })
}

#[cfg(test)]
mod format_tests;
