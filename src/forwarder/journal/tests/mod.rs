//! Tests of the journal, and the helpers that they share.

mod capacity;
mod encoding;
mod faults;
mod faulty_file_system;
mod recovery;

use super::replay::Replay;
use super::*;
use crate::forwarder::messages::notice::NoticeOutcome;
use proptest::prelude::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{env, fs};

/// Upper bound of the journals of most tests, in bytes.
const MAX_BYTES: u64 = 3 << 20;
/// Time at which the tests start.
const NOW_UNIX_MS: u64 = 1_800_000_000_000;

/// A temporary folder, removed when dropped.
pub(super) struct Folder(pub(super) PathBuf);

impl Folder {
    pub(super) fn new() -> Self {
        static CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("journal-test-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }

    /// The path of the journal's file.
    fn file(&self) -> PathBuf {
        self.0.join("journal")
    }

    /// Opens the journal of the folder.
    fn open(&self, max_bytes: u64) -> (Journal, Vec<RecoveredMessage>) {
        Journal::open(&self.0, max_bytes, NOW_UNIX_MS).expect("the journal opens")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn accepted(id: &str, body: Vec<u8>) -> Record {
    Record::Accepted(AcceptedMessage {
        id: id.into(),
        class: "auth-notice".into(),
        tenant: None,
        destination: 7,
        idempotency_key: Some("k".into()),
        deadline_unix_ms: NOW_UNIX_MS + 1000,
        body: body.into(),
    })
}

/// Generates records of each kind that concerns messages, for three message ids.
fn record() -> impl Strategy<Value = Record> {
    let id = "[a-c]";
    let notice = NoticeOutcome::Rejected { retry_in_ms: Some(5) };
    prop_oneof![
        (id, proptest::collection::vec(any::<u8>(), 0..40)).prop_map(|(id, body)| accepted(&id, body)),
        (id, 0..3usize, any::<u32>()).prop_map(|(id, attempt, sent_at)| {
            Record::attempt_started(id, attempt, sent_at.into(), "hall-a".into())
        }),
        (id, 0..3usize, any::<bool>()).prop_map(|(id, attempt, may_have_executed)| Record::attempt_ended(
            id,
            attempt,
            may_have_executed
        )),
        id.prop_map(move |id| Record::notice_pending(id, notice, NOW_UNIX_MS + 1000)),
        id.prop_map(|id| Record::completed(id, FinalOutcome::Delivered, NOW_UNIX_MS + 1000)),
    ]
}

/// The messages that are open after these records.
fn open_messages_of(records: &[Record]) -> Vec<RecoveredMessage> {
    let mut replay = Replay::default();
    records.iter().for_each(|record| replay.apply(record.clone()));
    replay.into_open_messages()
}

fn ids(messages: &[RecoveredMessage]) -> Vec<&str> {
    messages.iter().map(|open| open.message.id.as_str()).collect()
}
