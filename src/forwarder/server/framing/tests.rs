use super::*;

/// Whether the scanner finds an ambiguous head, however the bytes are split.
fn is_ambiguous(text: &str) -> bool {
    let at_once = FramingScanner::default().scan(text.as_bytes());
    let mut scanner = FramingScanner::default();
    let bytewise = text.as_bytes().chunks(1).filter(|byte| scanner.scan(byte)).count();
    assert_eq!(at_once, bytewise > 0, "{text:?}");
    at_once
}

#[test]
fn head_with_one_length_or_a_transfer_encoding_is_unambiguous() {
    assert!(!is_ambiguous("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"));
    assert!(!is_ambiguous(
        "\r\n\r\nPOST /a HTTP/1.1\nContent-Length:3\n\nContent-Length: 1\nContent-Length: 1\n"
    ));
    assert!(!is_ambiguous("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    // A body that looks like a head is skipped.
    let body = "Content-Length: 1\r\nContent-Length: 1\r\n\r\n";
    assert!(!is_ambiguous(&format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())));
}

#[test]
fn head_with_two_lengths_or_a_length_and_a_transfer_encoding_is_ambiguous() {
    for (one, other) in [
        ("Content-Length: 3", "Content-Length: 3"),
        ("content-length: 3", "CONTENT-LENGTH: 4"),
        ("Transfer-Encoding: chunked", "Content-Length: 3"),
        ("Content-Length: 3", "transfer-encoding: identity"),
    ] {
        assert!(is_ambiguous(&format!("POST /a HTTP/1.1\r\n{one}\r\nA: b\r\n{other}\r\n\r\n")));
        // Also in a later request on the same connection.
        let first = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
        assert!(is_ambiguous(&format!("{first}POST /a HTTP/1.1\r\n{one}\r\n{other}\r\n\r\n")));
    }
}
