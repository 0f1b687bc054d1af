//! Frames in torn, damaged and arbitrary files.

use super::super::encoding::{Frame, Frames, encode};
use super::{record, *};

proptest! {
    /// Each complete frame before a cut is read; around damage, each frame but the damaged one; and nothing
    /// else.
    #[test]
    fn a_torn_or_damaged_file_yields_every_undamaged_record(
        records in proptest::collection::vec(record(), 0..12),
        place in any::<prop::sample::Index>(),
        flip in any::<bool>(),
    ) {
        let (mut bytes, mut ends) = (Vec::new(), vec![0]);
        for record in &records {
            encode(record, &mut bytes);
            ends.push(bytes.len());
        }
        let place = place.index(bytes.len() + 1);
        let damaged = flip && place < bytes.len();
        if damaged { bytes[place] ^= 1 } else { bytes.truncate(place) }
        let complete = ends.iter().filter(|end| **end <= place).count() - 1;
        let mut expected = records[..complete].to_vec();
        if damaged {
            expected.extend_from_slice(&records[complete + 1..]);
        }
        let read: Vec<Record> = Frames::of(&bytes).map(|frame| frame.record).collect();
        prop_assert_eq!(read, expected);
    }

    #[test]
    fn arbitrary_bytes_are_never_fatal(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut previous_end = 0;
        for Frame { start, end, .. } in Frames::of(&bytes) {
            prop_assert!(previous_end <= start && start < end && end <= bytes.len());
            previous_end = end;
        }
    }
}
