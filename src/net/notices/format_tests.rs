//! Holds the bytes of the notices that the platform reads.

use super::*;

/// A batch with every end, as version 0.1.0 wrote it.
const EVERY_END: &[u8] = include_bytes!("../../../tests/fixtures/notices/every-end.ndjson");

fn notice(message: &str, end: NoticeEnd) -> Notice {
    Notice { message: message.to_owned(), end }
}

#[test]
fn a_batch_is_written_as_it_always_was() {
    let batch = [
        notice("m-1", NoticeEnd::GivenUp),
        notice("m-2", NoticeEnd::HandedBack { retry_in_ms: Some(1500) }),
        notice("m \"3\" \u{e9}", NoticeEnd::HandedBack { retry_in_ms: None }),
    ];
    assert_eq!(lines(&batch), EVERY_END);
    assert!(lines(&[]).is_empty());
}
