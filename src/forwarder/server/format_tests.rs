//! Holds what clients are told: the status and the headers of each answer.

use super::*;

/// The status, the headers and the length of the body.
fn told(answer: ClientReply) -> (u16, Vec<(String, String)>, Option<u64>) {
    let reply = reply(answer);
    let header = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        (name.to_string(), value.to_str().expect("plain text").to_owned())
    };
    (reply.status().as_u16(), reply.headers().iter().map(header).collect(), reply.body().size_hint().exact())
}

#[test]
fn each_answer_has_its_status_and_headers() {
    let retry_after = |seconds: &str| vec![("retry-after".to_owned(), seconds.to_owned())];
    let refused = |milliseconds| ClientReply::Rejected(Some(Duration::from_millis(milliseconds)));
    assert_eq!(told(ClientReply::Accepted), (202, vec![], Some(0)));
    assert_eq!(told(ClientReply::Delivered), (200, vec![], Some(0)));
    assert_eq!(told(ClientReply::Failed), (500, vec![], Some(0)));
    assert_eq!(told(ClientReply::Rejected(None)), (503, vec![], Some(0)));
    assert_eq!(told(refused(0)), (503, retry_after("0.000"), Some(0)));
    assert_eq!(told(refused(1500)), (503, retry_after("1.500"), Some(0)));
    assert_eq!(told(ClientReply::Rejected(Some(AGAIN))), (503, retry_after("1.000"), Some(0)));
}

#[test]
fn a_client_without_room_hears_the_same_bytes() {
    let expected = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(NO_ROOM, expected.as_bytes());
}
