//! Frames on a Unix socket: one JSON document a line.

use super::error::UpgradeError;
use super::frames::Frame;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};

/// Upper bound of a frame. The largest contains the endpoint list and all calls in flight, and is far
/// shorter.
const MAX_FRAME_BYTES: u64 = 8 << 20;
/// Ends each frame. JSON without layout contains none.
const FRAME_END: u8 = b'\n';

/// A connection to the other process.
pub(super) struct FramedStream {
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
}

impl FramedStream {
    /// Frames on this connection, in both directions.
    pub(super) fn new(stream: UnixStream) -> Self {
        let (read_half, write_half) = stream.into_split();
        FramedStream { reader: FrameReader(BufReader::new(read_half)), writer: FrameWriter(write_half) }
    }
}

/// The receiving half of a connection.
pub(super) struct FrameReader(BufReader<OwnedReadHalf>);

impl FrameReader {
    /// Receives the next frame.
    pub(super) async fn receive(&mut self) -> Result<Frame, UpgradeError> {
        let mut line = Vec::new();
        let mut limited = (&mut self.0).take(MAX_FRAME_BYTES);
        limited.read_until(FRAME_END, &mut line).await.map_err(UpgradeError::Receive)?;
        // The frame was cut off because the other process ended, or it is longer than any frame.
        if line.pop() != Some(FRAME_END) {
            return Err(UpgradeError::Closed);
        }
        serde_json::from_slice(&line).map_err(UpgradeError::Decode)
    }
}

/// The sending half of a connection.
pub(super) struct FrameWriter(OwnedWriteHalf);

impl FrameWriter {
    /// Writes a frame to the socket.
    pub(super) async fn send(&mut self, frame: &Frame) -> Result<(), UpgradeError> {
        let mut line = serde_json::to_vec(frame).map_err(UpgradeError::Encode)?;
        line.push(FRAME_END);
        self.0.write_all(&line).await.map_err(UpgradeError::Send)
    }
}
