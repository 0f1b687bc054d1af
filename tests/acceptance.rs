//! Which client requests are accepted, and with which status the others are rejected.

mod support;

use serde_json::json;
use std::fs;
use support::{Fixture, QUIET_PERIOD, RawConnection, request, turn_interval};

#[tokio::test]
async fn a_request_repeated_before_its_reply_is_one_message() {
    let mut fixture = Fixture::start_with("plain", |configuration| turn_interval(configuration, 300.0)).await;
    fixture.begin_turn().await;
    let forwarder = &fixture.forwarder;
    // Both requests get the same reply: a message with no time left is rejected.
    let (a, b) = tokio::join!(forwarder.submit("unsafe", "late", 0), forwarder.submit("unsafe", "late", 0));
    assert_eq!((a.status().as_u16(), b.status().as_u16()), (503, 503));
    let (a, b) = tokio::join!(forwarder.submit("unsafe", "m", 9000), forwarder.submit("unsafe", "m", 9000));
    assert_eq!((a.status().as_u16(), b.status().as_u16()), (202, 202));
    fixture.endpoint.next_call().await.respond(200);
    fixture.forwarder.until_delivered("unsafe", "m").await;
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn an_invalid_request_is_rejected_with_its_status() {
    let fixture = Fixture::start().await;
    let valid_headers = [
        ("Req-Id", "m"),
        ("Req-Owner", "acme"),
        ("Req-Deadline-Ms", "9000"),
        ("Idempotency-Key", "k"),
        ("Envelope", "dest=7"),
    ];
    let long_id = "x".repeat(200);
    for (name, value) in [
        ("Req-Id", None),
        ("Req-Id", Some(long_id.as_str())),
        ("Req-Owner", None),
        ("Req-Owner", Some("unknown")),
        ("Req-Deadline-Ms", None),
        ("Req-Deadline-Ms", Some("soon")),
        ("Req-Deadline-Ms", Some("99999999999999999999")),
        ("Idempotency-Key", None),
        ("Envelope", None),
        ("Envelope", Some("dest=x")),
    ] {
        let headers: Vec<_> = valid_headers
            .iter()
            .filter_map(
                |(other, valid)| if *other == name { Some((*other, value?)) } else { Some((*other, *valid)) },
            )
            .collect();
        let reply =
            request(fixture.forwarder.address, "POST", "/keyed", &headers, b"").await.expect("a reply");
        assert_eq!(reply.status(), 400, "{name}: {value:?}");
    }
    let status = async |method: &str, path: &str, body: &[u8]| {
        request(fixture.forwarder.address, method, path, &valid_headers, body)
            .await
            .expect("a reply")
            .status()
            .as_u16()
    };
    assert_eq!(status("POST", "/unknown", b"").await, 400);
    assert_eq!(status("POST", "/", b"").await, 404);
    assert_eq!(status("POST", "/keyed/more", b"").await, 404);
    assert_eq!(status("GET", "/keyed", b"").await, 404);
    assert_eq!(status("POST", "/keyed", &vec![0; (64 << 10) + 1]).await, 413);
    assert_eq!(status("POST", "/keyed", &vec![0; 64 << 10]).await, 202);
}

#[tokio::test]
async fn a_request_of_ambiguous_length_is_rejected_with_everything_after_it() {
    let mut fixture = Fixture::start().await;
    let head = |id: &str| {
        format!(
            "POST /keyed HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
             Req-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\nEnvelope: dest=7\r\n"
        )
    };
    let smuggled = head("hidden") + "Content-Length: 0\r\n\r\n";
    for headers in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nReq-Id: other\r\n",
        "Content-Length: 5\r\nEnvelope: dest=8\r\n",
        "Content-Length: -5\r\n",
    ] {
        let mut client = RawConnection::open(fixture.forwarder.address).await;
        client.write(&format!("{}{headers}\r\n0\r\n\r\n{smuggled}", head("open"))).await;
        let reply = client.read_to_end().await.text;
        assert!(
            reply.starts_with("HTTP/1.1 4") && reply.matches("HTTP/1.1").count() == 1,
            "{headers:?}: {reply:?}"
        );
    }
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn a_message_for_an_unknown_destination_is_rejected_with_retry_after() {
    let fixture = Fixture::start().await;
    let reply = fixture.forwarder.submit_to(99, "keyed", "m", 9000).await;
    assert_eq!(reply.status(), 503);
    assert!(reply.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn a_message_is_rejected_when_the_journal_is_full() {
    let mut fixture =
        Fixture::start_with("plain", |configuration| configuration["limits"]["disk_mb"] = json!(0.02)).await;
    let mut rejected = false;
    for n in 0..50 {
        let reply = fixture.forwarder.submit("keyed", &format!("m{n}"), 20_000).await;
        rejected |= reply.status() == 503;
        assert!(reply.status() == 202 || reply.status() == 503);
    }
    assert!(rejected);
    let size = fs::metadata(fixture.forwarder.journal_file()).expect("a journal").len();
    assert!(size <= 20_000, "{size}");
    // Accepted messages are still sent.
    fixture.endpoint.next_call().await.respond(200);
}
