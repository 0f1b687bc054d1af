//! A new version of the real program takes over from the one that serves.

mod support;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, RawCall, SOON, Stub, endpoint, request};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{sleep, timeout};

const QUIET: Duration = Duration::from_millis(150);

struct World {
    discovery: Discovery,
    endpoint: Stub,
    forwarder: Forwarder,
}

async fn world() -> World {
    world_with(|_| {}).await
}

async fn world_with(change: impl FnOnce(&mut Value)) -> World {
    let (discovery, stub) = (Discovery::start().await, Stub::start().await);
    let known = [
        endpoint("t", stub.addr, 7, "plain", "in_service"),
        endpoint("u", stub.addr, 8, "plain", "in_service"),
    ];
    let forwarder = Forwarder::start_inheriting(&discovery, &known, change).await;
    World { discovery, endpoint: stub, forwarder }
}

#[tokio::test]
async fn a_call_that_is_out_goes_on_and_its_end_reaches_the_new_version() {
    let mut w = world().await;
    w.forwarder.hand_in("unsafe", "out", 20_000).await;
    let out = w.endpoint.next().await;
    w.forwarder.hand_in("keyed", "failing", 20_000).await;
    let failing = w.endpoint.next().await;
    let mut old = w.forwarder.upgrade().await;
    // Nothing is sent twice, and the new version serves.
    w.forwarder.hand_in("keyed", "new", 20_000).await;
    let new = w.endpoint.next().await;
    assert_eq!(new.header("req-id"), "new");
    new.answer(200);
    out.answer(200);
    w.forwarder.until_delivered("unsafe", "out").await;
    failing.answer(500);
    let again = w.endpoint.next().await;
    assert_eq!(again.header("req-id"), "failing");
    again.answer(200);
    w.forwarder.until_delivered("keyed", "failing").await;
    old.terminate();
    assert!(old.exited().await.success());
    assert!(w.endpoint.is_quiet(QUIET).await && w.discovery.is_quiet(QUIET).await);
}

#[tokio::test]
async fn calls_that_are_still_out_when_the_old_version_ends_may_have_run() {
    for kill in [true, false] {
        let mut w = world().await;
        w.forwarder.hand_in("unsafe", "unsafe", 20_000).await;
        let one = w.endpoint.next().await;
        w.forwarder.hand_in("keyed", "keyed", 20_000).await;
        let other = w.endpoint.next().await;
        let mut old = w.forwarder.upgrade().await;
        if kill {
            old.kill();
        } else {
            old.terminate();
        }
        // Each connection is closed before its message ends or goes again.
        one.closed().await;
        other.closed().await;
        assert_eq!(w.discovery.notice().await, json!({"message": "unsafe", "outcome": "given_up"}));
        let again = w.endpoint.next().await;
        assert_eq!(again.header("req-id"), "keyed");
        again.answer(200);
        w.forwarder.until_delivered("keyed", "keyed").await;
        if !kill {
            assert!(old.exited().await.success());
        }
        assert!(w.endpoint.is_quiet(QUIET).await && w.discovery.is_quiet(QUIET).await);
    }
}

#[tokio::test]
async fn bans_and_waits_bind_the_new_version_and_a_drain_ends_with_the_old() {
    let mut w = world().await;
    assert_eq!(w.forwarder.call("disable-server u").await, "ACK u left out\n");
    w.forwarder.hand_in("unsafe", "m", 20_000).await;
    let call = w.endpoint.next().await;
    let told = Instant::now();
    call.answer_with(200, &[("Wait-Ms", "1500")], "");
    // The old version has heard of the wait once it knows the message delivered.
    w.forwarder.until_delivered("unsafe", "m").await;
    w.forwarder.hand_in("keyed", "n", 20_000).await;
    assert_eq!(w.forwarder.call("drain").await, "ACK draining\n");
    let _old = w.forwarder.upgrade().await;
    w.endpoint.next().await.answer(200);
    assert!(told.elapsed() >= Duration::from_millis(1500), "{:?}", told.elapsed());
    assert_eq!(w.forwarder.call("enable-server u").await, "ACK u put back\n");
}

#[tokio::test]
async fn a_request_half_read_by_the_old_version_is_answered_by_the_new() {
    let mut w = world().await;
    let mut client = RawCall(TcpStream::connect(w.forwarder.addr).await.expect("it listens"));
    client.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
    let mut first = [0; 12];
    timeout(SOON, client.0.read_exact(&mut first)).await.expect("an answer").expect("it is open");
    client.write("POST /keyed HTTP/1.1\r\nHost: a\r\nReq-Id: half\r\nReq-Owner: acme\r\n").await;
    let _old = w.forwarder.upgrade().await;
    client.write("Req-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\n").await;
    client.write("Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi").await;
    let answer = client.rest().await;
    assert!(answer.contains("HTTP/1.1 202") && answer.contains("connection: close"), "{answer}");
    let call = w.endpoint.next().await;
    assert_eq!((call.header("req-id"), &call.body[..]), ("half", &b"hi"[..]));
    call.answer(200);
    w.forwarder.until_delivered("keyed", "half").await;
}

/// Connections that stop half way through a request.
async fn crowd(w: &World, count: usize) -> Vec<TcpStream> {
    let mut crowd = Vec::new();
    for _ in 0..count {
        let mut stream = TcpStream::connect(w.forwarder.addr).await.expect("it listens");
        // One for which there is no room is closed.
        let _ = stream.write_all(b"POST /keyed HTTP/1.1\r\nHost: a\r\n").await;
        crowd.push(stream);
    }
    crowd
}

#[tokio::test]
async fn two_processes_beset_by_crowds_keep_to_the_descriptors_of_one() {
    let limit = 192;
    let mut w = world_with(|c| c["limits"]["sockets"] = json!(limit)).await;
    let _first = crowd(&w, 150).await;
    let old = w.forwarder.upgrade().await;
    let _second = crowd(&w, 150).await;
    // Once somebody is served beside the crowd, the new version has accepted all that came before.
    let mut most = 0;
    let served = async {
        while request(w.forwarder.addr, "GET", "/-/ready", &[], b"").await.is_none_or(|r| r.status() != 200) {
            most = most.max(old.descriptors() + w.forwarder.descriptors());
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, served).await.expect("the crowd shuts nobody out");
    most = most.max(old.descriptors() + w.forwarder.descriptors());
    assert!((60..limit).contains(&most), "{most}");
}

/// A process that asks to take over and hears what the journal does not hold, but never says that it owns it.
async fn asks(w: &World) -> (BufReader<UnixStream>, String) {
    let mut heir =
        BufReader::new(UnixStream::connect(w.forwarder.state("handover")).await.expect("it listens"));
    heir.write_all(b"\"TakeOver\"\n").await.expect("it is open");
    let mut rest = String::new();
    timeout(SOON, heir.read_line(&mut rest)).await.expect("an answer").expect("it is open");
    (heir, rest)
}

#[tokio::test]
async fn a_new_version_that_dies_before_it_owns_all_changes_nothing() {
    let mut w = world().await;
    w.forwarder.hand_in("keyed", "out", 20_000).await;
    let out = w.endpoint.next().await;
    // One that dies, one that falls silent, and then a real one.
    let (heir, rest) = asks(&w).await;
    assert!(rest.contains("\"out\""), "{rest}");
    drop(heir);
    assert_eq!(w.forwarder.hand_in("keyed", "next", 20_000).await.status(), 202);
    w.endpoint.next().await.answer(200);
    let (_silent, _) = asks(&w).await;
    out.answer(200);
    let late = w.forwarder.hand_in("keyed", "late", 20_000).await;
    assert_eq!(late.status(), 202);
    w.endpoint.next().await.answer(200);
    w.forwarder.until_delivered("keyed", "out").await;
    let mut old = w.forwarder.upgrade().await;
    old.terminate();
    assert!(old.exited().await.success());
    w.forwarder.until_delivered("keyed", "late").await;
    assert!(w.endpoint.is_quiet(QUIET).await && w.discovery.is_quiet(QUIET).await);
}

#[tokio::test]
async fn noise_on_the_channel_harms_nobody() {
    let mut w = world().await;
    for noise in ["", "\n", "noise\n", "\"Owned\"\n", "{\"Ended\":[", "\"TakeOver\""] {
        let mut heir = UnixStream::connect(w.forwarder.state("handover")).await.expect("it listens");
        heir.write_all(noise.as_bytes()).await.expect("it is open");
    }
    // One that goes on with noise when it has been told all.
    let (mut heir, _) = asks(&w).await;
    heir.write_all(b"{\"Owned\n").await.expect("it is open");
    w.forwarder.hand_in("keyed", "m", 20_000).await;
    w.endpoint.next().await.answer(200);
    w.forwarder.until_delivered("keyed", "m").await;
    assert_eq!(w.forwarder.call("ready").await, "ACK ready\n");
}
