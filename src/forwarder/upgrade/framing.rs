//! Reads and writes frames on a Unix socket, one JSON document per line.

use super::error::UpgradeError;
use super::frames::Frame;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};

/// Maximum length of a frame. Even the largest, with the endpoint list and all calls in flight, is far
/// shorter.
const MAX_FRAME_BYTES: u64 = 8 << 20;
/// Terminates each frame. Compact JSON contains no line break.
const FRAME_END: u8 = b'\n';

/// A connection to the other process.
pub(super) struct FramedStream {
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
}

impl FramedStream {
    /// Splits a connection into a reader and a writer of frames.
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
        // The connection was closed, possibly within a frame, or the frame exceeds the maximum length.
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
