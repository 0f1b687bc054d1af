//! Makes a process that starts the owner of the state folder.

use super::channel::{PeerChannel, PeerEvent, PeerRole};
use super::error::UpgradeError;
use super::frames::{Frame, HandoffState};
use super::framing::FramedStream;
use super::listener::socket_path;
use super::lock::StateLock;
use std::path::Path;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep, timeout};

/// Time limit for the predecessor to complete its turn, write its journal and send its state.
const HANDOFF_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for the predecessor to release the lock after it has handed over.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two attempts to acquire the lock after the predecessor has handed over.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause between two attempts to take over.
const TAKE_OVER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The id of the channel to the predecessor. A process has at most one predecessor.
const PREDECESSOR_CHANNEL_ID: u64 = 0;

/// The ownership of the state folder, acquired when a process starts.
pub(crate) struct Ownership {
    /// The lock of the state folder, held by this process.
    pub(crate) lock: StateLock,
    /// The process that has handed over to this one, if there was one.
    pub(crate) predecessor: Option<Predecessor>,
}

/// A process that has handed over and waits for this process to confirm its ownership.
pub(crate) struct Predecessor {
    state: HandoffState,
    stream: FramedStream,
}

impl Predecessor {
    /// Confirms that this process now owns the state folder. Before that, nothing may be written to the
    /// journal: without the confirmation, the predecessor continues with the state that it has in memory.
    /// Later frames of the predecessor are sent to `events`.
    ///
    /// # Errors
    ///
    /// The predecessor has ended.
    pub(crate) async fn confirm_ownership<E>(
        mut self,
        events: Sender<E>,
    ) -> Result<(HandoffState, PeerChannel), UpgradeError>
    where
        E: From<PeerEvent> + Send + 'static,
    {
        self.stream.writer.send(&Frame::Owned).await?;
        let channel = PeerChannel::start(PREDECESSOR_CHANNEL_ID, PeerRole::Predecessor, self.stream, events);
        Ok((self.state, channel))
    }
}

/// Acquires the lock of the state folder, or takes over from the process that holds it. Retries until one of
/// the two succeeds.
///
/// # Errors
///
/// The lock cannot be opened, or acquiring it fails for a reason other than that another process holds it.
pub(crate) async fn acquire_ownership(folder: &Path) -> Result<Ownership, UpgradeError> {
    let lock = StateLock::open(folder)?;
    if lock.try_acquire()? {
        return Ok(Ownership { lock, predecessor: None });
    }
    let predecessor = wait_for_ownership(folder, &lock).await?;
    Ok(Ownership { lock, predecessor })
}

/// Retries until this process holds the lock. Returns the predecessor, or `None` if it ended without a
/// handoff.
async fn wait_for_ownership(folder: &Path, lock: &StateLock) -> Result<Option<Predecessor>, UpgradeError> {
    loop {
        match take_over(folder, lock).await {
            Ok(predecessor) => return Ok(Some(predecessor)),
            Err(error) => eprintln!("upgrade: take-over failed, retrying: {error}"),
        }
        sleep(TAKE_OVER_RETRY_DELAY).await;
        if lock.try_acquire()? {
            return Ok(None);
        }
    }
}

/// Requests a handover from the owner of the state folder, and waits for its state and the lock.
async fn take_over(folder: &Path, lock: &StateLock) -> Result<Predecessor, UpgradeError> {
    let mut stream = connect(folder).await?;
    stream.writer.send(&Frame::TakeOver).await?;
    let received = timeout(HANDOFF_TIMEOUT, stream.reader.receive()).await;
    let Frame::Handoff(state) = received.map_err(|_| UpgradeError::Timeout)?? else {
        return Err(UpgradeError::UnexpectedFrame);
    };
    wait_for_lock(lock).await?;
    Ok(Predecessor { state: *state, stream })
}

async fn connect(folder: &Path) -> Result<FramedStream, UpgradeError> {
    let path = socket_path(folder);
    match UnixStream::connect(&path).await {
        Ok(stream) => Ok(FramedStream::new(stream)),
        Err(source) => Err(UpgradeError::Connect { path, source }),
    }
}

async fn wait_for_lock(lock: &StateLock) -> Result<(), UpgradeError> {
    let start = Instant::now();
    while !lock.try_acquire()? {
        if start.elapsed() > LOCK_TIMEOUT {
            return Err(UpgradeError::LockTimeout);
        }
        sleep(LOCK_POLL_INTERVAL).await;
    }
    Ok(())
}
