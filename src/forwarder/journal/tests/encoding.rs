//! Tests of decoding truncated, damaged and arbitrary files.

use super::super::encoding::{Frame, Frames, encode};
use super::{record, *};

proptest! {
    /// A truncated file yields exactly its complete frames; a file with one damaged byte yields exactly the
    /// frames without that byte.
    #[test]
    fn a_truncated_or_damaged_file_yields_every_undamaged_record(
        records in proptest::collection::vec(record(), 0..12),
        position in any::<prop::sample::Index>(),
        flip in any::<bool>(),
    ) {
        let (mut bytes, mut ends) = (Vec::new(), vec![0]);
        for record in &records {
            encode(record, &mut bytes);
            ends.push(bytes.len());
        }
        let offset = position.index(bytes.len() + 1);
        let damaged = flip && offset < bytes.len();
        if damaged { bytes[offset] ^= 1 } else { bytes.truncate(offset) }
        let complete = ends.iter().filter(|end| **end <= offset).count() - 1;
        let mut expected = records[..complete].to_vec();
        if damaged {
            expected.extend_from_slice(&records[complete + 1..]);
        }
        let read: Vec<Record> = Frames::of(&bytes).map(|frame| frame.record).collect();
        prop_assert_eq!(read, expected);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut previous_end = 0;
        for Frame { start, end, .. } in Frames::of(&bytes) {
            prop_assert!(previous_end <= start && start < end && end <= bytes.len());
            previous_end = end;
        }
    }
}
