use super::*;

fn progress_after(parts: &[&str]) -> ResponseProgress {
    let mut parser = StatusLineParser::default();
    parts.iter().fold(ResponseProgress::NotStarted, |_, part| parser.read(part.as_bytes()))
}

#[test]
fn status_line_of_the_final_response_is_found() {
    let ok = ResponseProgress::StatusReceived(StatusCode::OK);
    assert_eq!(progress_after(&["HTTP/1.1 200 OK\r\n"]), ok);
    assert_eq!(progress_after(&["HTTP/1.", "0 200", "\n\0noise"]), ok);
    let interim = "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n";
    assert_eq!(progress_after(&[interim]), ok);
    assert_eq!(progress_after(&["HTTP/1.1 102 Processing\r\n\r\n"]), ResponseProgress::NotStarted);
    assert_eq!(progress_after(&["HTTP/1.1 102 Processing\r\n"]), ResponseProgress::Started);
}

#[test]
fn bytes_that_are_no_status_line_give_no_status() {
    for other in [
        "HTTP/1.1 200",
        "HTTP/1.1 2000 OK\r\n",
        "HTTP/1.1 20",
        "\0\u{1}noise",
        "200 OK\r\n",
        "HTTP/1.1 20x\r\n",
    ] {
        assert_eq!(progress_after(&[other]), ResponseProgress::Started, "{other:?}");
    }
}

#[test]
fn line_without_an_end_takes_bounded_memory() {
    let mut parser = StatusLineParser::default();
    let progress = parser.read(&[b'x'; 5000]);
    assert_eq!((progress, parser.line.len()), (ResponseProgress::Started, MAX_LINE_BYTES));
}
