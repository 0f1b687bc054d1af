//! The channel to another process of the same forwarder.

use super::error::UpgradeError;
use super::frames::Frame;
use super::framing::{FrameReader, FrameWriter, FramedStream};
use std::time::Duration;
use tokio::sync::mpsc::{Sender, UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Delay between noticing that the other process has disconnected and reporting it. When that process ends,
/// its connections to endpoints may be closed slightly later than the channel.
const DISCONNECT_DELAY: Duration = Duration::from_millis(50);

/// The role of the other process relative to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerRole {
    /// The other process has handed over to this one.
    Predecessor,
    /// The other process takes over from this one.
    Successor,
}

/// Something that happened on a [`PeerChannel`].
#[derive(Debug)]
pub(crate) struct PeerEvent {
    /// The role of the other process.
    pub(crate) role: PeerRole,
    /// The [`PeerChannel::id`] of the channel. Events of a dropped channel may still be queued.
    pub(crate) channel_id: u64,
    /// What happened.
    pub(crate) kind: PeerEventKind,
}

/// What happened on a [`PeerChannel`].
#[derive(Debug)]
pub(crate) enum PeerEventKind {
    /// The other process sent a frame.
    FrameReceived(Frame),
    /// The other process has ended, or a frame of it could not be read. This is the last event of a channel.
    ChannelClosed,
}

/// A channel to another process. Dropping it stops the receiver. The connection is closed once the queued
/// frames are written and every [`Self::sender`] is dropped.
pub(crate) struct PeerChannel {
    /// Identifies the channel among those of one role.
    pub(crate) id: u64,
    /// The queue of the writer task. It is unbounded, because the runtime must not wait for the other
    /// process.
    frames: UnboundedSender<Frame>,
    /// Ends when every sender of the queue is dropped, or when the other process has closed the connection.
    writer: JoinHandle<()>,
    /// Aborted when the channel is dropped.
    reader: JoinHandle<()>,
}

impl PeerChannel {
    /// Starts the tasks that read and write the connection. Received frames and the disconnection of the
    /// other process are sent to `events`.
    pub(super) fn start<E>(id: u64, role: PeerRole, stream: FramedStream, events: Sender<E>) -> Self
    where
        E: From<PeerEvent> + Send + 'static,
    {
        let (frames, queue) = unbounded_channel();
        let writer = tokio::spawn(write_frames(stream.writer, queue));
        let reader = tokio::spawn(read_frames(stream.reader, id, role, events));
        PeerChannel { id, frames, writer, reader }
    }

    /// Queues a frame. If the other process has ended, which a [`PeerEvent`] reports, the frame is lost.
    pub(crate) fn send(&self, frame: Frame) {
        let _ = self.frames.send(frame);
    }

    /// Returns another sender of frames, for a task that replies later.
    pub(crate) fn sender(&self) -> UnboundedSender<Frame> {
        self.frames.clone()
    }

    /// Closes the channel, and waits for at most `limit` until the queued frames are written.
    pub(crate) async fn flush(mut self, limit: Duration) {
        let (closed, _) = unbounded_channel();
        self.frames = closed;
        let _ = timeout(limit, &mut self.writer).await;
    }
}

impl Drop for PeerChannel {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

async fn write_frames(mut writer: FrameWriter, mut queue: UnboundedReceiver<Frame>) {
    while let Some(frame) = queue.recv().await {
        if writer.send(&frame).await.is_err() {
            return;
        }
    }
}

/// Sends the frames of the other process to `events`, followed by its disconnection.
async fn read_frames<E: From<PeerEvent>>(
    mut reader: FrameReader,
    channel_id: u64,
    role: PeerRole,
    events: Sender<E>,
) {
    loop {
        let kind = next_event(&mut reader).await;
        let is_closed = matches!(kind, PeerEventKind::ChannelClosed);
        if is_closed {
            sleep(DISCONNECT_DELAY).await;
        }
        let event = PeerEvent { role, channel_id, kind };
        if events.send(event.into()).await.is_err() || is_closed {
            return;
        }
    }
}

/// Waits for the next frame. An invalid frame closes the channel.
async fn next_event(reader: &mut FrameReader) -> PeerEventKind {
    match reader.receive().await {
        Ok(frame) => PeerEventKind::FrameReceived(frame),
        Err(UpgradeError::Closed) => PeerEventKind::ChannelClosed,
        Err(error) => {
            eprintln!("upgrade: {error}; closing the channel");
            PeerEventKind::ChannelClosed
        }
    }
}
