//! Holds the bytes of the notices that the platform reads.

use super::*;
use crate::forwarder::messages::notice::NoticeOutcome;

/// A batch with every end, as version 0.1.0 wrote it.
const EVERY_END: &[u8] = include_bytes!("../../../tests/fixtures/notices/every-end.ndjson");

fn notice(message: &str, outcome: NoticeOutcome) -> Notice {
    Notice { message: message.to_owned(), outcome }
}

#[test]
fn a_batch_is_written_as_it_always_was() {
    let batch = [
        notice("m-1", NoticeOutcome::Failed),
        notice("m-2", NoticeOutcome::Rejected { retry_in_ms: Some(1500) }),
        notice("m \"3\" \u{e9}", NoticeOutcome::Rejected { retry_in_ms: None }),
    ];
    assert_eq!(lines(&batch), EVERY_END);
    assert!(lines(&[]).is_empty());
}
