//! Commands of operators, among them bans and drains.

mod support;

use serde_json::json;
use std::time::Duration;
use support::{
    DiscoveryStub, EVENT_TIMEOUT, EndpointStub, Fixture, ForwarderProcess, POLL_INTERVAL, QUIET_PERIOD,
    RawConnection, plain_endpoint, submission_text,
};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A forwarder that knows two endpoints, `one` and `other`, of destination 7.
struct TwoEndpoints {
    discovery: DiscoveryStub,
    one: EndpointStub,
    other: EndpointStub,
    forwarder: ForwarderProcess,
}

impl TwoEndpoints {
    async fn start() -> Self {
        let (discovery, one, other) =
            (DiscoveryStub::start().await, EndpointStub::start().await, EndpointStub::start().await);
        let known = [plain_endpoint("one", one.address, 7), plain_endpoint("other", other.address, 7)];
        let forwarder = ForwarderProcess::start(discovery.address, &known, |_| {}).await;
        TwoEndpoints { discovery, one, other, forwarder }
    }

    /// Submits four messages one after another, and expects each call at `other`.
    async fn deliver_to_other(&mut self, id_prefix: &str) {
        for n in 0..4 {
            let id = format!("{id_prefix}-{n}");
            assert_eq!(self.forwarder.submit("keyed", &id, 9000).await.status(), 202);
            self.other.next_call().await.respond(200);
            self.forwarder.until_delivered("keyed", &id).await;
        }
    }
}

#[tokio::test]
async fn each_command_gets_its_reply_while_other_operators_are_slow() {
    let fixture = TwoEndpoints::start().await;
    let mut slow_operators = Vec::new();
    for n in 0..40 {
        let mut operator = RawConnection::open(fixture.forwarder.admin_address).await;
        if n % 2 == 0 {
            operator.write("rea").await;
        }
        slow_operators.push(operator);
    }
    for (line, reply) in [
        ("ready", "ACK ready\n"),
        ("", "NAK empty line\n"),
        ("reboot", "NAK unknown call\n"),
        ("drain all of it", "NAK this call takes nothing\n"),
        ("disable-server", "NAK this call takes one id\n"),
        ("disable-server unknown", "NAK no such endpoint was ever listed\n"),
        ("enable-server unknown", "NAK no such endpoint was ever listed\n"),
        ("enable-server one", "ACK one put back\n"),
        (&"x".repeat(5000), "NAK line too long\n"),
    ] {
        let reply_read = timeout(Duration::from_secs(1), fixture.forwarder.admin_command(line)).await;
        assert_eq!(reply_read.expect("in time"), reply, "{line:.40}");
    }
    // The oldest connection was closed to make room for a later one.
    slow_operators[0].read_to_end().await;
}

#[tokio::test]
async fn a_banned_endpoint_gets_no_call_across_lists_and_restarts_until_the_ban_ends() {
    let mut fixture = TwoEndpoints::start().await;
    assert_eq!(fixture.forwarder.admin_command("disable-server one").await, "ACK one left out\n");
    assert_eq!(fixture.forwarder.admin_command("disable-server one").await, "ACK one left out\n");
    let records = |fixture: &TwoEndpoints| {
        vec![plain_endpoint("one", fixture.one.address, 7), plain_endpoint("other", fixture.other.address, 7)]
    };
    fixture.discovery.push_changes(2, records(&fixture));
    fixture.deliver_to_other("before").await;
    // Neither a restart nor a complete list ends the ban.
    fixture.forwarder.kill();
    fixture.forwarder.restart().await;
    fixture.discovery.push_complete_list(3, records(&fixture));
    fixture.deliver_to_other("after").await;
    assert!(fixture.one.is_quiet(QUIET_PERIOD).await);
    // One command ends the ban that two commands began: with `other` banned, the call is sent to `one`.
    assert_eq!(fixture.forwarder.admin_command("enable-server one").await, "ACK one put back\n");
    assert_eq!(fixture.forwarder.admin_command("disable-server other").await, "ACK other left out\n");
    assert_eq!(fixture.forwarder.submit("keyed", "c", 9000).await.status(), 202);
    fixture.one.next_call().await.respond(200);
    fixture.forwarder.until_delivered("keyed", "c").await;
}

#[tokio::test]
async fn a_drain_fails_the_readiness_check_and_loses_no_request_until_a_resume_ends_it() {
    let mut fixture = TwoEndpoints::start().await;
    let mut idle = RawConnection::open(fixture.forwarder.address).await;
    idle.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
    // A partial request on a kept connection when the drain begins.
    let mut partial = RawConnection::open_with_first_request(fixture.forwarder.address).await;
    let text = submission_text("partial");
    let (head, body) = text.split_at(text.len() - 2);
    partial.write(&head[..30]).await;
    assert_eq!(fixture.forwarder.admin_command("drain").await, "ACK draining\n");
    assert_eq!(fixture.forwarder.admin_command("ready").await, "NAK draining\n");
    let not_ready = async {
        while fixture.forwarder.readiness_response().await.expect("a response").status() == 200 {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(EVENT_TIMEOUT, not_ready).await.expect("the readiness check fails");
    // A client that still connects is served, and its connection is closed after the reply.
    let late = fixture.forwarder.submit("keyed", "late", 9000).await;
    assert_eq!((late.status().as_u16(), late.headers()["connection"].as_bytes()), (202, &b"close"[..]));
    // The idle connection is closed. The forwarder waits for the rest of the partial request and replies.
    assert!(idle.read_to_end().await.text.starts_with("HTTP/1.1 200"));
    partial.write(&head[30..]).await;
    partial.write(body).await;
    let reply = partial.read_to_end().await.text;
    assert!(reply.contains("HTTP/1.1 202") && reply.contains("connection: close"), "{reply}");
    // The accepted messages are delivered.
    for _ in 0..2 {
        let call = tokio::select! {
            call = fixture.one.next_call() => call,
            call = fixture.other.next_call() => call,
        };
        call.respond(200);
    }
    assert_eq!(fixture.forwarder.admin_command("resume").await, "ACK taking clients\n");
    assert_eq!(fixture.forwarder.admin_command("ready").await, "ACK ready\n");
    let ready = fixture.forwarder.readiness_response().await.expect("a response");
    assert!(ready.status() == 200 && !ready.headers().contains_key("connection"));
    fixture.forwarder.until_delivered("keyed", "late").await;
}

#[tokio::test]
async fn without_an_admin_address_no_operator_is_served() {
    let Fixture { discovery: _discovery, endpoint: _endpoint, forwarder } =
        Fixture::start_with("plain", |configuration| configuration["admin"] = json!(null)).await;
    assert!(TcpStream::connect(forwarder.admin_address).await.is_err());
}
