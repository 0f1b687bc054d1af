//! Upgrades: a successor takes over from a running process.

mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::{
    DiscoveryStub, EVENT_TIMEOUT, Fixture, ForwarderProcess, FullListener, POLL_INTERVAL, QUIET_PERIOD,
    RawConnection, plain_endpoint,
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{sleep, timeout};

/// Longer than the successor needs for a retry and a second connection attempt.
const RETRY_PERIOD: Duration = Duration::from_secs(2);

#[tokio::test]
async fn a_call_in_flight_continues_and_its_outcome_reaches_the_successor() {
    let mut fixture = Fixture::start_inheriting(|_| {}).await;
    fixture.forwarder.submit("unsafe", "in-flight", 20_000).await;
    let call_in_flight = fixture.endpoint.next_call().await;
    fixture.forwarder.submit("keyed", "failing", 20_000).await;
    let failing = fixture.endpoint.next_call().await;
    let mut predecessor = fixture.forwarder.upgrade().await;
    // Nothing is sent twice, and the successor serves.
    fixture.forwarder.submit("keyed", "new", 20_000).await;
    let new = fixture.endpoint.next_call().await;
    assert_eq!(new.header("req-id"), "new");
    new.respond(200);
    call_in_flight.respond(200);
    fixture.forwarder.until_delivered("unsafe", "in-flight").await;
    failing.respond(500);
    let retry = fixture.endpoint.next_call().await;
    assert_eq!(retry.header("req-id"), "failing");
    retry.respond(200);
    fixture.forwarder.until_delivered("keyed", "failing").await;
    predecessor.terminate();
    assert!(predecessor.exit_status().await.success());
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await && fixture.discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn calls_in_flight_when_the_predecessor_ends_may_have_been_executed() {
    for kill in [true, false] {
        let mut fixture = Fixture::start_inheriting(|_| {}).await;
        fixture.forwarder.submit("unsafe", "unsafe", 20_000).await;
        let one = fixture.endpoint.next_call().await;
        fixture.forwarder.submit("keyed", "keyed", 20_000).await;
        let other = fixture.endpoint.next_call().await;
        let mut predecessor = fixture.forwarder.upgrade().await;
        if kill {
            predecessor.kill();
        } else {
            predecessor.terminate();
        }
        // Each connection is closed before its message fails or is retried.
        one.closed().await;
        other.closed().await;
        assert_eq!(fixture.discovery.notice().await, json!({"message": "unsafe", "outcome": "given_up"}));
        let retry = fixture.endpoint.next_call().await;
        assert_eq!(retry.header("req-id"), "keyed");
        retry.respond(200);
        fixture.forwarder.until_delivered("keyed", "keyed").await;
        if !kill {
            assert!(predecessor.exit_status().await.success());
        }
        assert!(
            fixture.endpoint.is_quiet(QUIET_PERIOD).await && fixture.discovery.is_quiet(QUIET_PERIOD).await
        );
    }
}

#[tokio::test]
async fn the_successor_respects_bans_and_retry_after_waits_but_does_not_drain() {
    let mut fixture = Fixture::start_inheriting(|_| {}).await;
    assert_eq!(fixture.forwarder.admin_command("disable-server u").await, "ACK u left out\n");
    fixture.forwarder.submit("unsafe", "m", 20_000).await;
    let call = fixture.endpoint.next_call().await;
    let responded_at = Instant::now();
    call.respond_with(200, &[("Wait-Ms", "1500")], "");
    // The predecessor knows the wait once it knows that the message is delivered.
    fixture.forwarder.until_delivered("unsafe", "m").await;
    fixture.forwarder.submit("keyed", "n", 20_000).await;
    assert_eq!(fixture.forwarder.admin_command("drain").await, "ACK draining\n");
    let _predecessor = fixture.forwarder.upgrade().await;
    fixture.endpoint.next_call().await.respond(200);
    assert!(responded_at.elapsed() >= Duration::from_millis(1500), "{:?}", responded_at.elapsed());
    assert_eq!(fixture.forwarder.admin_command("enable-server u").await, "ACK u put back\n");
}

#[tokio::test]
async fn a_request_partially_read_by_the_predecessor_is_handled_by_the_successor() {
    let mut fixture = Fixture::start_inheriting(|_| {}).await;
    let mut client = RawConnection::open_with_first_request(fixture.forwarder.address).await;
    client.write("POST /keyed HTTP/1.1\r\nHost: a\r\nReq-Id: partial\r\nReq-Owner: acme\r\n").await;
    let _predecessor = fixture.forwarder.upgrade().await;
    client.write("Req-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\n").await;
    client.write("Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi").await;
    let reply = client.read_to_end().await.text;
    assert!(reply.contains("HTTP/1.1 202") && reply.contains("connection: close"), "{reply}");
    let call = fixture.endpoint.next_call().await;
    assert_eq!((call.header("req-id"), &call.body[..]), ("partial", &b"hi"[..]));
    call.respond(200);
    fixture.forwarder.until_delivered("keyed", "partial").await;
}

/// Opens connections with partial requests.
async fn open_partial_requests(fixture: &Fixture, count: usize) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for _ in 0..count {
        let mut stream = TcpStream::connect(fixture.forwarder.address).await.expect("it listens");
        // The write fails if the connection exceeds the limit and is closed.
        let _ = stream.write_all(b"POST /keyed HTTP/1.1\r\nHost: a\r\n").await;
        clients.push(stream);
    }
    clients
}

#[tokio::test]
async fn two_processes_with_many_clients_stay_within_the_descriptor_limit_of_one() {
    let descriptor_limit = 192;
    let mut fixture = Fixture::start_inheriting(|configuration| {
        configuration["limits"]["sockets"] = json!(descriptor_limit);
    })
    .await;
    let _first = open_partial_requests(&fixture, 150).await;
    let predecessor = fixture.forwarder.upgrade().await;
    let _second = open_partial_requests(&fixture, 150).await;
    // Once another client is served, the successor has accepted all earlier connections.
    let mut descriptors = 0;
    let served = async {
        while !fixture.forwarder.responds_ready().await {
            descriptors = descriptors.max(predecessor.descriptors() + fixture.forwarder.descriptors());
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(EVENT_TIMEOUT, served).await.expect("another client is served");
    descriptors = descriptors.max(predecessor.descriptors() + fixture.forwarder.descriptors());
    // The lower bound makes sure that the limit was approached.
    assert!((60..descriptor_limit).contains(&descriptors), "{descriptors}");
}

/// Requests the take-over as a successor would and returns the state that the journal does not hold. The
/// ownership is never confirmed.
async fn request_take_over(fixture: &Fixture) -> (BufReader<UnixStream>, String) {
    let mut successor = BufReader::new(
        UnixStream::connect(fixture.forwarder.state_file("handover")).await.expect("it listens"),
    );
    successor.write_all(b"\"TakeOver\"\n").await.expect("it is open");
    let mut state = String::new();
    timeout(EVENT_TIMEOUT, successor.read_line(&mut state)).await.expect("a reply").expect("it is open");
    (successor, state)
}

#[tokio::test]
async fn a_successor_that_ends_before_it_owns_the_journal_changes_nothing() {
    let mut fixture = Fixture::start_inheriting(|_| {}).await;
    fixture.forwarder.submit("keyed", "in-flight", 20_000).await;
    let call_in_flight = fixture.endpoint.next_call().await;
    // One successor disconnects, one sends nothing more, and then a real one takes over.
    let (successor, state) = request_take_over(&fixture).await;
    assert!(state.contains("\"in-flight\""), "{state}");
    drop(successor);
    assert_eq!(fixture.forwarder.submit("keyed", "next", 20_000).await.status(), 202);
    fixture.endpoint.next_call().await.respond(200);
    let (_silent, _) = request_take_over(&fixture).await;
    call_in_flight.respond(200);
    let late = fixture.forwarder.submit("keyed", "late", 20_000).await;
    assert_eq!(late.status(), 202);
    fixture.endpoint.next_call().await.respond(200);
    fixture.forwarder.until_delivered("keyed", "in-flight").await;
    let mut predecessor = fixture.forwarder.upgrade().await;
    predecessor.terminate();
    assert!(predecessor.exit_status().await.success());
    fixture.forwarder.until_delivered("keyed", "late").await;
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await && fixture.discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn invalid_frames_on_the_channel_change_nothing() {
    let mut fixture = Fixture::start_inheriting(|_| {}).await;
    for noise in ["", "\n", "noise\n", "\"Owned\"\n", "{\"Ended\":[", "\"TakeOver\""] {
        let mut successor =
            UnixStream::connect(fixture.forwarder.state_file("handover")).await.expect("it listens");
        successor.write_all(noise.as_bytes()).await.expect("it is open");
    }
    // This successor sends an invalid frame after it has received the state.
    let (mut successor, _) = request_take_over(&fixture).await;
    successor.write_all(b"{\"Owned\n").await.expect("it is open");
    fixture.forwarder.submit("keyed", "m", 20_000).await;
    fixture.endpoint.next_call().await.respond(200);
    fixture.forwarder.until_delivered("keyed", "m").await;
    assert_eq!(fixture.forwarder.admin_command("ready").await, "ACK ready\n");
}

#[tokio::test]
async fn a_message_submitted_to_the_predecessor_after_the_successor_has_died_is_rejected() {
    let Fixture { discovery: _discovery, endpoint: _endpoint, mut forwarder } =
        Fixture::start_inheriting(|_| {}).await;
    let mut clients = Vec::new();
    for id in ["a", "b"] {
        let mut client = RawConnection::open_with_first_request(forwarder.address).await;
        client
            .write(&format!("POST /keyed HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n"))
            .await;
        clients.push(client);
    }
    let predecessor = forwarder.upgrade().await;
    forwarder.kill();
    // The first may arrive before the predecessor notices the end of its successor, the second does not.
    for mut client in clients {
        client.write("Req-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\n").await;
        client.write("Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi").await;
        assert!(client.read_to_end().await.text.contains("HTTP/1.1 503"));
    }
    drop(predecessor);
}

#[tokio::test]
async fn a_call_withheld_at_a_take_over_is_sent_once() {
    let (discovery, endpoint) = (DiscoveryStub::start().await, FullListener::start().await);
    let known_endpoints = [plain_endpoint("t", endpoint.address, 7)];
    let mut forwarder =
        ForwarderProcess::start_inheriting(discovery.address, &known_endpoints, |configuration| {
            configuration["settings"]["limits"]["connectTimeout"] = json!(20_000.0);
        })
        .await;
    // The predecessor starts the call, and the connection is not established before the take-over.
    assert_eq!(forwarder.submit("unsafe", "m", 20_000).await.status(), 202);
    let mut predecessor = forwarder.upgrade().await;
    predecessor.terminate();
    assert!(predecessor.exit_status().await.success());
    endpoint.accept_queued().await;
    timeout(EVENT_TIMEOUT, endpoint.wait_for_write()).await.expect("the successor sends the message");
    let second_write = timeout(RETRY_PERIOD, endpoint.wait_for_write()).await;
    assert!(second_write.is_err(), "a second attempt was sent while the first was in flight");
}
