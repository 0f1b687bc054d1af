//! Checks the format of requests to endpoints: method, path, headers and body.

use super::*;
use http_body_util::BodyExt;
use std::time::Duration;

const ENDPOINT: &str = "10.0.0.1:8080";

fn item(name: &str, key: Option<&str>, body: &'static [u8], timeout_ms: u64) -> CallItem {
    let timeout = Instant::now() + Duration::from_millis(timeout_ms);
    CallItem {
        id: 1,
        attempt: 0,
        message: name.to_owned(),
        idempotency_key: key.map(str::to_owned),
        body: Bytes::from_static(body),
        times_out_at: timeout,
        expires_at: timeout,
        send_before: timeout,
    }
}

/// The request for these messages as text: its method and path, its headers in order, and its body.
async fn text_of(items: &[CallItem]) -> String {
    let request =
        encode_request(items, ENDPOINT.parse().expect("an address")).expect("a request can be made");
    let (parts, body) = request.into_parts();
    let header = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        format!("{name}: {}\n", value.to_str().expect("plain text"))
    };
    let mut headers: Vec<String> = parts.headers.iter().map(header).collect();
    headers.sort();
    let body = body.collect().await.expect("it is in memory").to_bytes();
    let body = str::from_utf8(&body).expect("plain text");
    format!("{} {}\n{}\n{body}", parts.method, parts.uri, headers.concat())
}

#[tokio::test(start_paused = true)]
async fn one_message_is_sent_with_headers_and_unchanged_body() {
    let keyed = text_of(&[item("m-1", Some("key-1"), b"hello", 2500)]).await;
    let headers = "host: 10.0.0.1:8080\nidempotency-key: key-1\nreq-deadline-ms: 2500\nreq-id: m-1\n";
    assert_eq!(keyed, format!("POST /hook\n{headers}\nhello"));
    let bare = text_of(&[item("m-2", None, b"", 0)]).await;
    assert_eq!(bare, "POST /hook\nhost: 10.0.0.1:8080\nreq-deadline-ms: 0\nreq-id: m-2\n\n");
}

#[tokio::test(start_paused = true)]
async fn several_messages_are_sent_as_a_json_batch() {
    let items = [item("m-1", Some("key-1"), b"hello", 2500), item("m-2", None, b"\x00\xff", 3000)];
    let headers = "content-type: application/json\nhost: 10.0.0.1:8080\nreq-deadline-ms: 3000\n";
    let body = r#"[{"id":"m-1","key":"key-1","body":"aGVsbG8="},{"id":"m-2","body":"AP8="}]"#;
    assert_eq!(text_of(&items).await, format!("POST /hook/batch\n{headers}\n{body}"));
}

#[test]
fn no_message_gives_no_request() {
    assert!(encode_request(&[], ENDPOINT.parse().expect("an address")).is_none());
}
