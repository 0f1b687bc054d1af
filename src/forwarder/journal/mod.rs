//! The journal: what the forwarder has taken on, in the folder that outlasts its process.
//!
//! One append-only file of frames (length, checksum, payload). Each turn of the node is one write, made
//! before anything of that turn is answered or sent. No sync is needed: what was written outlasts the process.

use crate::forwarder::messages::notice::NoticeOutcome;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Length and checksum.
const FRAME_HEAD: usize = 8;
/// Room kept for each open message, so that its attempts and its end still fit when the disk is full. Those that
/// are written use it up.
const RESERVE: u64 = 1024;
/// Longest record of a message taken on, but for its body: an id, a key and two names.
const TAKEN_MOST: u64 = 640;
/// A file is not compacted while it is shorter than this.
const COMPACT_FROM: u64 = 256 << 10;
/// To make room, a file is compacted where that frees this part of the bound.
const WORTH_COMPACTING: u64 = 16;
/// A file is also compacted once it and its copy would take all but this part of the bound: later the copy
/// would no longer fit beside it, and nothing more could be taken on until most of what is held has ended.
const COMPACT_MARGIN: u64 = 8;
/// Ends that are remembered at the most, so that a message handed in again finds its answer.
const ENDS_MOST: usize = 4096;

/// Ends that are past are dropped this often (ms).
const SWEEP: u64 = 1000;

/// A message as it was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AcceptedMessage {
    pub(crate) id: String,
    pub(crate) class: String,
    pub(crate) tenant: Option<String>,
    #[serde(rename = "dest")]
    pub(crate) destination: u64,
    pub(crate) key: Option<String>,
    /// Unix time, in milliseconds.
    pub(crate) deadline: u64,
    #[serde(skip)]
    pub(crate) body: Bytes,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// Taken on.
    #[serde(rename = "Taken")]
    Accepted(AcceptedMessage),
    /// An attempt goes out: message, attempt, Unix time (ms) and zone of the endpoint.
    #[serde(rename = "Sent")]
    AttemptStarted(String, usize, u64, String),
    /// It ended: message, attempt and whether it may have run.
    #[serde(rename = "Ended")]
    AttemptEnded(String, usize, bool),
    /// The module gave the message up and a notice is owed; until when (Unix ms) that is worth remembering.
    #[serde(rename = "Owed")]
    NoticePending(String, NoticeOutcome, u64),
    /// Nothing more is owed: message, its end, and until when (Unix ms) that is worth remembering.
    #[serde(rename = "Over")]
    Completed(String, FinalOutcome, u64),
    /// Operators have taken this endpoint out;
    #[serde(rename = "Banned")]
    EndpointBanned(String),
    /// and put it back.
    #[serde(rename = "Allowed")]
    EndpointAllowed(String),
}

impl Record {
    /// An attempt was sent at this Unix time (ms) to an endpoint of this zone.
    pub(crate) fn attempt_started(message: String, attempt: usize, sent_at: u64, zone: String) -> Self {
        Record::AttemptStarted(message, attempt, sent_at, zone)
    }

    /// An attempt ended; whether it may have been executed.
    pub(crate) fn attempt_ended(message: String, attempt: usize, may_have_executed: bool) -> Self {
        Record::AttemptEnded(message, attempt, may_have_executed)
    }

    /// A notice has to be sent; its outcome is worth remembering until this Unix time (ms).
    pub(crate) fn notice_pending(message: String, outcome: NoticeOutcome, remember_until: u64) -> Self {
        Record::NoticePending(message, outcome, remember_until)
    }

    /// The message is complete; its outcome is worth remembering until this Unix time (ms).
    pub(crate) fn completed(message: String, outcome: FinalOutcome, remember_until: u64) -> Self {
        Record::Completed(message, outcome, remember_until)
    }

    /// The message, or the endpoint.
    fn id(&self) -> &str {
        match self {
            Record::EndpointBanned(uid) | Record::EndpointAllowed(uid) => uid,
            Record::Accepted(AcceptedMessage { id, .. })
            | Record::AttemptStarted(id, ..)
            | Record::AttemptEnded(id, ..)
            | Record::NoticePending(id, ..)
            | Record::Completed(id, ..) => id,
        }
    }
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FinalOutcome {
    Delivered,
    Failed,
    #[serde(rename = "Refused")]
    Rejected,
}

impl From<NoticeOutcome> for FinalOutcome {
    fn from(end: NoticeOutcome) -> Self {
        match end {
            NoticeOutcome::Failed => FinalOutcome::Failed,
            NoticeOutcome::Rejected { .. } => FinalOutcome::Rejected,
        }
    }
}

/// An attempt found in the journal.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecoveredAttempt {
    pub(crate) sent: u64,
    pub(crate) zone: String,
    /// False only where it is known that it never ran.
    pub(crate) may_have_run: bool,
}

/// An open message found in the journal.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecoveredMessage {
    pub(crate) taken: AcceptedMessage,
    pub(crate) attempts: Vec<RecoveredAttempt>,
    pub(crate) owed: Option<NoticeOutcome>,
    /// A record that can't be read any more may have told of an attempt or of its end.
    pub(crate) in_doubt: bool,
}

/// Why a turn could not be written. Nothing of it stands in the file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JournalError {
    #[error("the journal is full")]
    Full,
    #[error("the journal cannot be written: {0}")]
    Io(#[from] io::Error),
}

/// What an open message takes up.
#[derive(Clone, Copy, Default)]
struct Live {
    /// Bytes of its records.
    bytes: u64,
    /// Room that is kept for those to come.
    reserved: u64,
}

/// The open journal.
pub(crate) struct Journal {
    path: PathBuf,
    file: File,
    len: u64,
    limit: u64,
    /// What each open message takes up, and all of them.
    live: HashMap<String, Live>,
    live_bytes: u64,
    reserved: u64,
    /// Ends still remembered, and until when (Unix ms).
    ends: HashMap<String, (FinalOutcome, u64)>,
    /// Endpoints that operators have taken out.
    bans: BTreeSet<String>,
    /// When ends that are past were last dropped (Unix ms).
    swept: u64,
    /// Frames that have no choice but to be written: ends of attempts and messages.
    backlog: Vec<u8>,
}

/// The journal as the node and its calls share it.
#[derive(Clone)]
pub(crate) struct SharedJournal(Arc<Mutex<Journal>>);

impl SharedJournal {
    pub(crate) fn new(journal: Journal) -> Self {
        SharedJournal(Arc::new(Mutex::new(journal)))
    }

    /// To be held for one statement, and never across a wait.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Journal> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Journal {
    /// Opens the journal of the folder, cuts off a torn tail, passes over what is damaged, and replays the rest: the
    /// open messages, in the order taken.
    pub(crate) fn open(
        folder: &Path,
        limit: u64,
        now: u64,
    ) -> Result<(Self, Vec<RecoveredMessage>), JournalError> {
        let path = folder.join("journal");
        // Left by a process that ended while it compacted; the old file still holds all.
        match fs::remove_file(folder.join("journal.new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut text = Vec::new();
        file.read_to_end(&mut text)?;
        let mut journal = Journal {
            path,
            file,
            len: 0,
            limit,
            live: HashMap::new(),
            live_bytes: 0,
            reserved: 0,
            ends: HashMap::new(),
            bans: BTreeSet::new(),
            swept: now,
            backlog: Vec::new(),
        };
        let mut replay = Replay::default();
        for Frame { record, start, end } in Frames::of(&text) {
            if start as u64 > journal.len {
                let open = replay.doubt();
                let passed = start as u64 - journal.len;
                eprintln!("journal: {passed} damaged bytes passed over; {open} open messages may have run");
            }
            journal.len = end as u64;
            journal.book(&record, (end - start) as u64, now);
            replay.apply(record);
        }
        let tail = &text[journal.len as usize..];
        if !tail.is_empty() {
            // A process that is killed leaves the front of a frame, of which nothing was acted upon. A whole one that can't
            // be read was damaged later.
            let open = if is_whole(tail) { replay.doubt() } else { 0 };
            eprintln!(
                "journal: cut off {} bytes of a torn tail; {open} open messages may have run",
                tail.len()
            );
            journal.file.set_len(journal.len)?;
        }
        Ok((journal, replay.open()))
    }

    /// Notes what must be written with the next turn, or whenever writing succeeds again.
    pub(crate) fn enqueue(&mut self, record: &Record, now: u64) {
        let start = self.backlog.len();
        put(record, &mut self.backlog);
        let size = (self.backlog.len() - start) as u64;
        self.book(record, size, now);
    }

    /// How a message ended, if it did not long ago, and until when (Unix ms) that is worth remembering.
    pub(crate) fn final_outcome(&self, id: &str) -> Option<(FinalOutcome, u64)> {
        self.ends.get(id).copied()
    }

    /// Endpoints that operators have taken out.
    pub(crate) fn banned_endpoints(&self) -> &BTreeSet<String> {
        &self.bans
    }

    /// Whether all that was noted stands in the file.
    pub(crate) fn is_flushed(&self) -> bool {
        self.backlog.is_empty()
    }

    /// Whether messages of this many bytes in all could still be taken on.
    pub(crate) fn has_capacity(&mut self, messages: usize, bytes: usize, now: u64) -> bool {
        // Records are short but for the body; names and keys are bounded where messages come in.
        let (bytes, reserve) = (bytes as u64 + messages as u64 * TAKEN_MOST, messages as u64 * RESERVE);
        if self.fits(self.len, bytes, reserve) {
            return true;
        }
        // Guards the processor: near the bound, where compacting frees next to nothing, doing it for each message
        // would take more time than there is, just when the most is held.
        self.is_worth_compacting()
            && self.fits(self.compacted_len(), bytes, reserve)
            && self.compact(now).is_ok()
            && self.fits(self.len, bytes, reserve)
    }

    /// Room for a file of this length and `more` bytes, and beside it for its compacted copy or for the records
    /// to come, whichever is longer. Not for both: a copy is made while there is room for it, and messages can
    /// end without one.
    fn fits(&self, len: u64, more: u64, reserve: u64) -> bool {
        let beside = (self.compacted_len() + more).max(self.reserved + reserve);
        len + self.backlog.len() as u64 + more + beside <= self.limit
    }

    fn is_worth_compacting(&self) -> bool {
        self.len.saturating_sub(self.compacted_len()) >= self.limit / WORTH_COMPACTING
    }

    /// Whether the file has grown long, or so long that its copy will soon not fit beside it.
    fn is_due_for_compacting(&self) -> bool {
        let both = self.len + self.compacted_len().max(self.reserved);
        self.len > COMPACT_FROM.max(3 * self.compacted_len())
            || (self.is_worth_compacting() && both > self.limit - self.limit / COMPACT_MARGIN)
    }

    fn compacted_len(&self) -> u64 {
        self.live_bytes + (self.ends.len() + self.bans.len()) as u64 * 128
    }

    /// Writes what was noted and these records, all or nothing.
    pub(crate) fn commit(&mut self, records: &[Record], now: u64) -> Result<(), JournalError> {
        let noted = self.backlog.len();
        let mut sizes = Vec::with_capacity(records.len());
        for record in records {
            let start = self.backlog.len();
            put(record, &mut self.backlog);
            sizes.push((self.backlog.len() - start) as u64);
        }
        if self.backlog.is_empty() {
            return Ok(());
        }
        match self.append() {
            Ok(()) => {
                self.backlog.clear();
                for (record, size) in records.iter().zip(sizes) {
                    self.book(record, size, now);
                }
                if self.is_due_for_compacting() {
                    // The long file still holds all: it is tried again after the next turn.
                    if let Err(e) = self.compact(now) {
                        eprintln!("journal: not compacted: {e}");
                    }
                }
                Ok(())
            }
            Err(e) => {
                self.backlog.truncate(noted);
                Err(e)
            }
        }
    }

    fn append(&mut self) -> Result<(), JournalError> {
        if self.len + self.backlog.len() as u64 > self.limit {
            return Err(JournalError::Full);
        }
        if let Err(e) = self.file.write_all(&self.backlog) {
            // A part of it may stand there, and would hide whatever is written after it.
            self.file.set_len(self.len)?;
            return Err(e.into());
        }
        self.len += self.backlog.len() as u64;
        Ok(())
    }

    /// Keeps count of what a compacted file would hold.
    fn book(&mut self, record: &Record, size: u64, now: u64) {
        match record {
            Record::Completed(id, end, until) => {
                let live = self.live.remove(id).unwrap_or_default();
                self.live_bytes -= live.bytes;
                self.reserved -= live.reserved;
                self.remember(id, *end, *until, now);
                return;
            }
            Record::EndpointBanned(uid) => {
                self.bans.insert(uid.clone());
                return;
            }
            Record::EndpointAllowed(uid) => {
                self.bans.remove(uid);
                return;
            }
            Record::NoticePending(id, end, until) => self.remember(id, (*end).into(), *until, now),
            _ => {}
        }
        let live = self.live.entry(record.id().to_owned()).or_default();
        live.bytes += size;
        self.live_bytes += size;
        let reserved = match record {
            Record::Accepted(_) => RESERVE,
            _ => live.reserved.saturating_sub(size),
        };
        self.reserved = self.reserved - live.reserved + reserved;
        live.reserved = reserved;
    }

    fn remember(&mut self, id: &str, end: FinalOutcome, until: u64, now: u64) {
        // What is past would make the memory, and the file with it, grow up to the bound.
        if now >= self.swept + SWEEP || self.ends.len() >= ENDS_MOST {
            self.ends.retain(|_, (_, until)| *until > now);
            self.swept = now;
        }
        if self.ends.len() < ENDS_MOST && until > now {
            self.ends.insert(id.to_owned(), (end, until));
        }
    }

    /// Copies what is still of use into a new file and puts that in the old one's place.
    fn compact(&mut self, now: u64) -> Result<(), JournalError> {
        self.ends.retain(|_, (_, until)| *until > now);
        let text = fs::read(&self.path)?;
        let mut kept = Vec::with_capacity(self.compacted_len() as usize);
        // Once each, however often they were begun and ended.
        self.bans.iter().for_each(|uid| put(&Record::EndpointBanned(uid.clone()), &mut kept));
        for Frame { record, start, end } in Frames::of(&text[..text.len().min(self.len as usize)]) {
            let keep = match &record {
                Record::Completed(id, ..) => self.ends.contains_key(id),
                Record::EndpointBanned(_) | Record::EndpointAllowed(_) => false,
                other => self.live.contains_key(other.id()),
            };
            if keep {
                kept.extend_from_slice(&text[start..end]);
            }
        }
        if self.len + kept.len() as u64 > self.limit {
            return Err(JournalError::Full);
        }
        let new = self.path.with_extension("new");
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        if let Err(e) = file.write_all(&kept).and_then(|()| fs::rename(&new, &self.path)) {
            fs::remove_file(&new)?;
            return Err(e.into());
        }
        (self.file, self.len) = (file, kept.len() as u64);
        Ok(())
    }
}

/// Adds one frame: the payload is the length of its head, the head as JSON, and the body as it is.
fn put(record: &Record, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; FRAME_HEAD + 4]);
    serde_json::to_writer(&mut *out, record).expect("a record has no map and writing to memory cannot fail");
    let head = (out.len() - start - FRAME_HEAD - 4) as u32;
    if let Record::Accepted(taken) = record {
        out.extend_from_slice(&taken.body);
    }
    let payload = start + FRAME_HEAD;
    out[payload..payload + 4].copy_from_slice(&head.to_le_bytes());
    let (len, sum) = ((out.len() - payload) as u32, crc32fast::hash(&out[payload..]));
    out[start..start + 4].copy_from_slice(&len.to_le_bytes());
    out[start + 4..payload].copy_from_slice(&sum.to_le_bytes());
}

/// A record and where it stands.
#[derive(Debug, PartialEq)]
struct Frame {
    record: Record,
    start: usize,
    end: usize,
}

/// The number that stands there.
fn number(text: &[u8], at: usize) -> Option<u32> {
    text.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes)
}

/// Where the frame that begins there ends by its own length, as far as there is so much text.
fn end_of_frame(text: &[u8], start: usize) -> Option<usize> {
    let end = start + FRAME_HEAD + number(text, start)? as usize;
    Some(end).filter(|end| *end <= text.len())
}

/// Whether the text is long enough for the frame that it begins with.
fn is_whole(text: &[u8]) -> bool {
    end_of_frame(text, 0).is_some()
}

/// The frame that begins there, if it stands there whole.
fn frame(text: &[u8], start: usize) -> Option<Frame> {
    let end = end_of_frame(text, start)?;
    let payload = &text[start + FRAME_HEAD..end];
    let (head, body) = payload.get(4..)?.split_at_checked(number(payload, 0)? as usize)?;
    // Guards the processor where a frame is looked for byte by byte: few places look like one.
    if !head.starts_with(b"{\"") || crc32fast::hash(payload) != number(text, start + 4)? {
        return None;
    }
    let mut record = serde_json::from_slice(head).ok()?;
    if let Record::Accepted(taken) = &mut record {
        taken.body = Bytes::copy_from_slice(body);
    }
    Some(Frame { record, start, end })
}

/// Finds the whole frames of a text. What lies between two of them was damaged.
struct Frames<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> Frames<'a> {
    fn of(text: &'a [u8]) -> Self {
        Frames { text, at: 0 }
    }
}

impl Iterator for Frames<'_> {
    type Item = Frame;

    fn next(&mut self) -> Option<Frame> {
        // Behind a damaged one by its length first: a body may hold what looks like a frame.
        let next = end_of_frame(self.text, self.at);
        let mut places = [self.at].into_iter().chain(next).chain(self.at + 1..self.text.len());
        let found = places.find_map(|start| frame(self.text, start))?;
        self.at = found.end;
        Some(found)
    }
}

/// Puts the messages together again from their records.
#[derive(Default)]
struct Replay {
    order: Vec<String>,
    open: HashMap<String, RecoveredMessage>,
}

impl Replay {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted(taken) => {
                self.order.push(taken.id.clone());
                let id = taken.id.clone();
                self.open.insert(
                    id,
                    RecoveredMessage { taken, attempts: Vec::new(), owed: None, in_doubt: false },
                );
            }
            // Without an end it may have run: the process ended while it was out.
            Record::AttemptStarted(id, attempt, sent, zone) => {
                if let Some(open) = self.open.get_mut(&id).filter(|open| open.attempts.len() <= attempt) {
                    // Those between were never written, and so not noted.
                    let unsent = RecoveredAttempt { sent, zone: zone.clone(), may_have_run: false };
                    open.attempts.resize(attempt, unsent);
                    open.attempts.push(RecoveredAttempt { sent, zone, may_have_run: true });
                }
            }
            Record::AttemptEnded(id, attempt, may_have_run) => {
                if let Some(a) = self.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt)) {
                    a.may_have_run = may_have_run;
                }
            }
            Record::NoticePending(id, end, _) => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.owed = Some(end);
                }
            }
            Record::Completed(id, ..) => drop(self.open.remove(&id)),
            // The journal keeps them.
            Record::EndpointBanned(_) | Record::EndpointAllowed(_) => {}
        }
    }

    /// Records were lost here; gives how many messages they may have told of.
    fn doubt(&mut self) -> usize {
        self.open.values_mut().for_each(|open| open.in_doubt = true);
        self.open.len()
    }

    fn open(mut self) -> Vec<RecoveredMessage> {
        self.order.iter().filter_map(|id| self.open.remove(id)).collect()
    }
}

#[cfg(test)]
mod format_tests;
#[cfg(test)]
mod tests;
