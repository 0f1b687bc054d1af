//! What operators do with the real program: calls, bans and drains.

mod support;

use serde_json::json;
use std::time::Duration;
use support::{Discovery, Forwarder, RawCall, SOON, Stub, endpoint, request};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const QUIET: Duration = Duration::from_millis(150);

struct World {
    discovery: Discovery,
    one: Stub,
    other: Stub,
    forwarder: Forwarder,
}

/// Destination 7 with two targets, `one` and `other`.
async fn world() -> World {
    let (discovery, one, other) = (Discovery::start().await, Stub::start().await, Stub::start().await);
    let known = [
        endpoint("one", one.addr, 7, "plain", "in_service"),
        endpoint("other", other.addr, 7, "plain", "in_service"),
    ];
    let forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    World { discovery, one, other, forwarder }
}

fn message(id: &str) -> String {
    format!("POST /keyed HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n")
        + "Idempotency-Key: k\r\nEnvelope: dest=7\r\nContent-Length: 2\r\n\r\n"
}

#[tokio::test]
async fn each_call_has_its_answer_beside_callers_that_dawdle() {
    let w = world().await;
    let mut dawdlers = Vec::new();
    for n in 0..40 {
        let mut dawdler = RawCall(TcpStream::connect(w.forwarder.admin).await.expect("it listens"));
        if n % 2 == 0 {
            dawdler.write("rea").await;
        }
        dawdlers.push(dawdler);
    }
    for (line, answer) in [
        ("ready", "ACK ready\n"),
        ("", "NAK empty line\n"),
        ("reboot", "NAK unknown call\n"),
        ("drain all of it", "NAK this call takes nothing\n"),
        ("disable-server", "NAK this call takes one id\n"),
        ("disable-server nobody", "NAK no such endpoint was ever listed\n"),
        ("enable-server nobody", "NAK no such endpoint was ever listed\n"),
        ("enable-server one", "ACK one put back\n"),
        (&"x".repeat(5000), "NAK line too long\n"),
    ] {
        let answered = timeout(Duration::from_secs(1), w.forwarder.call(line)).await;
        assert_eq!(answered.expect("in time"), answer, "{line:.40}");
    }
    // The oldest gave way; nobody was left without a place.
    let mut end = Vec::new();
    let _ = timeout(SOON, dawdlers[0].0.read_to_end(&mut end)).await.expect("it is closed");
}

#[tokio::test]
async fn a_banned_endpoint_gets_nothing_until_the_ban_ends_whatever_the_list_says() {
    let mut w = world().await;
    assert_eq!(w.forwarder.call("disable-server one").await, "ACK one left out\n");
    assert_eq!(w.forwarder.call("disable-server one").await, "ACK one left out\n");
    let lines = |w: &World| {
        vec![
            endpoint("one", w.one.addr, 7, "plain", "in_service"),
            endpoint("other", w.other.addr, 7, "plain", "in_service"),
        ]
    };
    w.discovery.push(2, lines(&w));
    for n in 0..4 {
        let id = format!("a{n}");
        assert_eq!(w.forwarder.hand_in("keyed", &id, 9000).await.status(), 202);
        w.other.next().await.answer(200);
        w.forwarder.until_delivered("keyed", &id).await;
    }
    // Neither a restart nor the whole list ends it.
    w.forwarder.kill();
    w.forwarder.restart().await;
    w.discovery.push_whole(3, lines(&w));
    for n in 0..4 {
        let id = format!("b{n}");
        assert_eq!(w.forwarder.hand_in("keyed", &id, 9000).await.status(), 202);
        w.other.next().await.answer(200);
        w.forwarder.until_delivered("keyed", &id).await;
    }
    assert!(w.one.is_quiet(QUIET).await);
    // One call ends it, however often it was begun: with the other out, everything goes there.
    assert_eq!(w.forwarder.call("enable-server one").await, "ACK one put back\n");
    assert_eq!(w.forwarder.call("disable-server other").await, "ACK other left out\n");
    assert_eq!(w.forwarder.hand_in("keyed", "c", 9000).await.status(), 202);
    w.one.next().await.answer(200);
    w.forwarder.until_delivered("keyed", "c").await;
}

#[tokio::test]
async fn a_drain_sends_clients_away_and_a_resume_takes_them_again() {
    let mut w = world().await;
    let mut kept = RawCall(TcpStream::connect(w.forwarder.addr).await.expect("it listens"));
    kept.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
    let mut half = RawCall(TcpStream::connect(w.forwarder.addr).await.expect("it listens"));
    half.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
    // Half of a request on a kept connection when the drain begins.
    let mut first = [0; 12];
    timeout(SOON, half.0.read_exact(&mut first)).await.expect("an answer").expect("it is open");
    let text = message("half");
    half.write(&text[..30]).await;
    assert_eq!(w.forwarder.call("drain").await, "ACK draining\n");
    assert_eq!(w.forwarder.call("ready").await, "NAK draining\n");
    let no = async {
        while request(w.forwarder.addr, "GET", "/-/ready", &[], b"").await.expect("it serves").status() == 200
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, no).await.expect("the front is told no");
    // Who comes all the same is served, by the last answer on the connection.
    let late = w.forwarder.hand_in("keyed", "late", 9000).await;
    assert_eq!((late.status().as_u16(), late.headers()["connection"].as_bytes()), (202, &b"close"[..]));
    // The idle connection is closed; the half request is awaited and answered.
    assert!(kept.rest().await.starts_with("HTTP/1.1 200"));
    half.write(&text[30..]).await;
    half.write("hi").await;
    let answer = half.rest().await;
    assert!(answer.contains("HTTP/1.1 202") && answer.contains("connection: close"), "{answer}");
    // What was taken on is delivered.
    for _ in 0..2 {
        tokio::select! { call = w.one.next() => call.answer(200), call = w.other.next() => call.answer(200) }
    }
    assert_eq!(w.forwarder.call("resume").await, "ACK taking clients\n");
    assert_eq!(w.forwarder.call("ready").await, "ACK ready\n");
    let yes = request(w.forwarder.addr, "GET", "/-/ready", &[], b"").await.expect("it serves");
    assert!(yes.status() == 200 && !yes.headers().contains_key("connection"));
    w.forwarder.until_delivered("keyed", "late").await;
}

#[tokio::test]
async fn without_an_address_for_operators_nobody_listens_there() {
    let (discovery, stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, |c| c["admin"] = json!(null)).await;
    assert!(TcpStream::connect(forwarder.admin).await.is_err());
}
