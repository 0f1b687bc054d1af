//! Checks the format of notices, which the platform parses.

use super::*;
use crate::forwarder::messages::notice::NoticeOutcome;

/// A batch with every outcome, as version 0.1.0 wrote it.
const EVERY_OUTCOME: &[u8] = include_bytes!("../../../tests/fixtures/notices/every-end.ndjson");

fn notice(message: &str, outcome: NoticeOutcome) -> Notice {
    Notice { message: message.to_owned(), outcome }
}

#[test]
fn a_batch_is_encoded_as_by_version_0_1_0() {
    let batch = [
        notice("m-1", NoticeOutcome::Failed),
        notice("m-2", NoticeOutcome::Rejected { retry_in_ms: Some(1500) }),
        notice("m \"3\" \u{e9}", NoticeOutcome::Rejected { retry_in_ms: None }),
    ];
    assert_eq!(encode(&batch), EVERY_OUTCOME);
    assert!(encode(&[]).is_empty());
}
