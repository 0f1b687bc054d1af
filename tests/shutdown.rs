//! Graceful shutdown after SIGTERM, and the start after it.

mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::{
    EVENT_TIMEOUT, EndpointStub, Fixture, QUIET_PERIOD, RawConnection, plain_endpoint, submission_text,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, sleep_until, timeout};

#[tokio::test]
async fn after_sigterm_calls_may_finish_and_the_other_messages_stay_in_the_journal() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("unsafe", "in-flight", 20_000).await;
    let call_in_flight = fixture.endpoint.next_call().await;
    let terminated_at = Instant::now();
    fixture.forwarder.terminate();
    // New clients are still served, and their connections are closed after the reply.
    let draining = async {
        loop {
            let ready = fixture.forwarder.readiness_response().await.expect("a response");
            if ready.headers().get("connection").is_some_and(|value| value == "close") {
                return;
            }
        }
    };
    timeout(EVENT_TIMEOUT, draining).await.expect("it has received the signal");
    assert_eq!(fixture.forwarder.submit("keyed", "late", 20_000).await.status(), 202);
    let late = fixture.endpoint.next_call().await;
    call_in_flight.respond(200);
    late.respond_with(503, &[("Wait-Ms", "3000")], "");
    assert!(fixture.forwarder.exit_status().await.success());
    assert!(terminated_at.elapsed() < Duration::from_millis(3700), "{:?}", terminated_at.elapsed());
    fixture.forwarder.restart().await;
    let retry = fixture.endpoint.next_call().await;
    assert_eq!(retry.header("req-id"), "late");
    retry.respond(200);
    fixture.forwarder.until_delivered("keyed", "late").await;
    assert_eq!(fixture.forwarder.submit("unsafe", "in-flight", 20_000).await.status(), 200);
    assert!(fixture.discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn a_request_on_a_connection_that_sigterm_has_closed_is_not_accepted() {
    let Fixture { mut discovery, endpoint: mut stub, mut forwarder } = Fixture::start().await;
    let mut clients = Vec::new();
    for n in 0..4 {
        let mut client = RawConnection::open(forwarder.address).await;
        client.write(&submission_text(&format!("before{n}"))).await;
        assert!(client.read_head().await.starts_with("HTTP/1.1 202"));
        stub.next_call().await.respond(200);
        clients.push(client);
    }
    forwarder.pause();
    forwarder.terminate();
    // This request arrives together with the signal, on an idle connection.
    clients[0].write(&submission_text("with")).await;
    forwarder.resume();
    let reply = clients[0].read_to_end().await;
    assert!(reply.text.starts_with("HTTP/1.1 202") && reply.error.is_none(), "{reply:?}");
    let call = stub.next_call().await;
    assert_eq!(call.header("req-id"), "with");
    call.respond(200);
    for (n, client) in clients.iter_mut().enumerate().skip(1) {
        assert_eq!(client.stream.read(&mut [0; 1]).await.expect("closed without a reset"), 0);
        // The write fails if the connection was reset by now.
        let _ = client.stream.write_all(submission_text(&format!("after{n}")).as_bytes()).await;
        assert_eq!(client.read_to_end().await.text, "");
    }
    assert!(forwarder.exit_status().await.success());
    forwarder.restart().await;
    assert!(stub.is_quiet(QUIET_PERIOD).await && discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn a_request_that_becomes_complete_as_the_process_ends_gets_a_reply() {
    let Fixture { discovery: _discovery, endpoint: mut stub, mut forwarder } = Fixture::start().await;
    // The call keeps the process from ending early.
    forwarder.submit("unsafe", "in-flight", 20_000).await;
    let call = stub.next_call().await;
    forwarder.terminate();
    let terminated_at = Instant::now();
    sleep_until((terminated_at + Duration::from_millis(2900)).into()).await;
    let text = submission_text("late");
    let (begin, last_byte) = text.split_at(text.len() - 1);
    let mut client = RawConnection::open(forwarder.address).await;
    client.write(begin).await;
    sleep_until((terminated_at + Duration::from_millis(3350)).into()).await;
    forwarder.pause();
    client.write(last_byte).await;
    // When the process continues, the time of its shutdown is over and the request has arrived.
    sleep_until((terminated_at + Duration::from_millis(3600)).into()).await;
    forwarder.resume();
    let reply = client.read_to_end().await;
    assert!(reply.text.starts_with("HTTP/1.1 503") && reply.error.is_none(), "{reply:?}");
    assert!(forwarder.exit_status().await.success());
    drop(call);
}

#[tokio::test]
async fn a_process_starts_once_its_addresses_are_free() {
    let Fixture { discovery: _discovery, endpoint: _endpoint, mut forwarder } = Fixture::start().await;
    forwarder.terminate();
    assert!(forwarder.exit_status().await.success());
    // As if another process were still listening.
    let occupied = [forwarder.address, forwarder.admin_address]
        .map(|address| std::net::TcpListener::bind(address).expect("nobody listens"));
    let freed = async {
        for listener in occupied {
            sleep(Duration::from_millis(500)).await;
            drop(listener);
        }
    };
    tokio::join!(forwarder.restart(), freed);
    assert_eq!(forwarder.submit("keyed", "m", 9000).await.status(), 202);
    assert_eq!(forwarder.admin_command("ready").await, "ACK ready\n");
}

#[tokio::test]
async fn a_log_that_cannot_be_written_does_not_end_the_process() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.terminate();
    assert!(fixture.forwarder.exit_status().await.success());
    fixture.forwarder.restart_with_broken_log().await;
    // The forwarder logs operators' commands and invalid lists of discovery.
    fixture.discovery.push_changes(2, vec![json!("no record")]);
    assert!(fixture.forwarder.admin_command("drain").await.starts_with("ACK"));
    assert!(fixture.forwarder.admin_command("resume").await.starts_with("ACK"));
    let mut other = EndpointStub::start().await;
    fixture.discovery.push_changes(3, vec![plain_endpoint("u", other.address, 8)]);
    fixture.deliver("keyed", "m").await;
    // The second list is applied nevertheless.
    assert_eq!(fixture.forwarder.submit_to(8, "keyed", "n", 9000).await.status(), 202);
    other.next_call().await.respond(200);
}
