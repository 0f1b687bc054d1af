//! Encoding and decoding of the frames of the journal file.
//!
//! A frame is the length of its payload, the CRC-32 of its payload, and the payload. The payload is the
//! length of a record's JSON, the JSON, and the body of the message, if the record has one. Numbers are
//! 32-bit little-endian.

use super::records::Record;
use super::stored_record::StoredRecord;
use bytes::Bytes;

/// Length of an encoded number.
const NUMBER_BYTES: usize = 4;
/// Length of the header of a frame: payload length and checksum.
const HEADER_BYTES: usize = 2 * NUMBER_BYTES;
/// First bytes of the JSON of each record.
const JSON_START: &[u8] = b"{\"";

/// Appends the frame of a record, and returns the length of the frame in bytes.
pub(super) fn encode(record: &Record, buffer: &mut Vec<u8>) -> u64 {
    let start = buffer.len();
    let payload_start = start + HEADER_BYTES;
    let json_start = payload_start + NUMBER_BYTES;
    buffer.resize(json_start, 0);
    serde_json::to_writer(&mut *buffer, &StoredRecord::from(record.clone()))
        .expect("a record contains no map and writing to memory cannot fail");
    let json_length = buffer.len() - json_start;
    if let Record::Accepted(message) = record {
        buffer.extend_from_slice(&message.body);
    }
    write_number(buffer, payload_start, json_length as u32);
    let payload_length = buffer.len() - payload_start;
    let checksum = crc32fast::hash(&buffer[payload_start..]);
    write_number(buffer, start, payload_length as u32);
    write_number(buffer, start + NUMBER_BYTES, checksum);
    (buffer.len() - start) as u64
}

fn write_number(buffer: &mut [u8], at: usize, number: u32) {
    buffer[at..at + NUMBER_BYTES].copy_from_slice(&number.to_le_bytes());
}

fn read_number(bytes: &[u8], at: usize) -> Option<u32> {
    let number = bytes.get(at..at + NUMBER_BYTES)?;
    number.try_into().ok().map(u32::from_le_bytes)
}

/// A record and the position of its frame in the file.
#[derive(Debug, PartialEq)]
pub(super) struct Frame {
    pub(super) record: Record,
    /// Offset of the first byte of the frame.
    pub(super) start: usize,
    /// Offset after the last byte of the frame.
    pub(super) end: usize,
}

impl Frame {
    /// The length of the frame in bytes.
    pub(super) fn size(&self) -> u64 {
        (self.end - self.start) as u64
    }
}

/// The offset after the frame at `start`, if the bytes reach that far. The payload is not checked.
fn frame_end(bytes: &[u8], start: usize) -> Option<usize> {
    let end = start + HEADER_BYTES + read_number(bytes, start)? as usize;
    Some(end).filter(|end| *end <= bytes.len())
}

/// Whether the bytes contain the full length of the frame at their start. The payload is not checked.
pub(super) fn starts_with_complete_frame(bytes: &[u8]) -> bool {
    frame_end(bytes, 0).is_some()
}

/// The frame at `start`, if it is complete and undamaged.
fn decode(bytes: &[u8], start: usize) -> Option<Frame> {
    let end = frame_end(bytes, start)?;
    let payload = &bytes[start + HEADER_BYTES..end];
    let json_length = read_number(payload, 0)? as usize;
    let (json, body) = payload.get(NUMBER_BYTES..)?.split_at_checked(json_length)?;
    // The start of the JSON is compared first: after damage every offset is tried, and computing the checksum
    // of a long payload at each of them would take too long.
    if !json.starts_with(JSON_START) || crc32fast::hash(payload) != read_number(bytes, start + NUMBER_BYTES)?
    {
        return None;
    }
    let stored: StoredRecord = serde_json::from_slice(json).ok()?;
    let mut record = Record::from(stored);
    if let Record::Accepted(message) = &mut record {
        message.body = Bytes::copy_from_slice(body);
    }
    Some(Frame { record, start, end })
}

/// Iterates over the undamaged frames of a file. Bytes between two of these frames are damaged.
pub(super) struct Frames<'a> {
    bytes: &'a [u8],
    /// Where the next frame should start.
    position: usize,
}

impl<'a> Frames<'a> {
    /// The frames of a file with this content.
    pub(super) fn of(bytes: &'a [u8]) -> Self {
        Frames { bytes, position: 0 }
    }
}

impl Iterator for Frames<'_> {
    type Item = Frame;

    fn next(&mut self) -> Option<Frame> {
        // If the frame here is damaged, the offset given by its length is tried before every other one,
        // because its body may contain bytes that look like a frame.
        let after_damaged = frame_end(self.bytes, self.position);
        let every_offset = self.position + 1..self.bytes.len();
        let mut candidates = [self.position].into_iter().chain(after_damaged).chain(every_offset);
        let frame = candidates.find_map(|start| decode(self.bytes, start))?;
        self.position = frame.end;
        Some(frame)
    }
}
