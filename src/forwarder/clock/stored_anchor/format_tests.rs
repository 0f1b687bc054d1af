//! Checks the format of the file, which other versions of the program read.

use super::*;

/// The content of the file without the padding.
const LINE: &str = concat!(
    "d11f9525 ",
    r#"{"monotonic_id":"id","monotonic_us":5000000000,"unix_us":1800000000000000,"#,
    r#""owner_socket":{"inode":7,"changed_at_seconds":1800000000,"changed_at_nanoseconds":5}}"#
);

#[test]
fn the_file_has_the_form_that_other_versions_read() {
    let anchor = StoredAnchor::decode(LINE.as_bytes()).expect("it is complete");
    assert_eq!((anchor.monotonic_us, anchor.unix_us), (5_000_000_000, 1_800_000_000_000_000));
    let content = anchor.encode().expect("it fits");
    assert_eq!(str::from_utf8(&content).map(str::trim_end), Ok(LINE));
    assert_eq!((content.len(), content.last()), (FILE_BYTES, Some(&b'\n')));
    let without_socket = StoredAnchor { owner_socket: None, ..anchor };
    let content = without_socket.encode().expect("it fits");
    assert_eq!(StoredAnchor::decode(&content).expect("it is complete"), without_socket);
}
