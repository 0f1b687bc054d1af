//! Checks the format of replies to clients: the status and the headers of each.

use super::*;
use hyper::body::Body;
use hyper::header::HeaderName;

/// The status, the headers and the length of the body.
fn parts_of(reply: ClientReply) -> (u16, Vec<(String, String)>, Option<u64>) {
    let reply = encode_reply(reply);
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.to_string(), value.to_str().expect("plain text").to_owned())
    };
    (reply.status().as_u16(), reply.headers().iter().map(header).collect(), reply.body().size_hint().exact())
}

#[test]
fn each_reply_has_its_status_and_headers() {
    let retry_after = |seconds: &str| vec![("retry-after".to_owned(), seconds.to_owned())];
    let rejected = |milliseconds| ClientReply::Rejected(Some(Duration::from_millis(milliseconds)));
    assert_eq!(parts_of(ClientReply::Accepted), (202, vec![], Some(0)));
    assert_eq!(parts_of(ClientReply::Delivered), (200, vec![], Some(0)));
    assert_eq!(parts_of(ClientReply::Failed), (500, vec![], Some(0)));
    assert_eq!(parts_of(ClientReply::Rejected(None)), (503, vec![], Some(0)));
    assert_eq!(parts_of(rejected(0)), (503, retry_after("0.000"), Some(0)));
    assert_eq!(parts_of(rejected(1500)), (503, retry_after("1.500"), Some(0)));
    assert_eq!(
        parts_of(ClientReply::Rejected(Some(OVERLOAD_RETRY_AFTER))),
        (503, retry_after("1.000"), Some(0))
    );
}

#[test]
fn client_that_exceeds_the_capacity_receives_a_503_with_retry_after() {
    let expected = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(RAW_REJECTION, expected.as_bytes());
}
