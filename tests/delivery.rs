//! Messages whose attempts end with each kind of outcome, end to end over loopback sockets.

mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::{EndpointStub, Fixture, QUIET_PERIOD, long_turns, one_call_slot, plain_endpoint};

#[tokio::test]
async fn a_message_is_delivered_once_and_known_as_delivered_after_a_restart() {
    let mut fixture = Fixture::start().await;
    assert_eq!(fixture.forwarder.submit("keyed", "m", 9000).await.status(), 202);
    let call = fixture.endpoint.next_call().await;
    assert_eq!((call.path.as_str(), call.header("req-id")), ("/hook", "m"));
    assert_eq!(call.header("idempotency-key"), "key-m");
    assert_eq!(&call.body[..], b"\0body of m");
    let remaining: u64 = call.header("req-deadline-ms").parse().expect("whole milliseconds");
    assert!((1..=9000).contains(&remaining), "{remaining}");
    // A message that is submitted again while it is open has been accepted already.
    assert_eq!(fixture.forwarder.submit("keyed", "m", 9000).await.status(), 202);
    call.respond(200);
    fixture.forwarder.until_delivered("keyed", "m").await;
    fixture.forwarder.kill();
    fixture.forwarder.restart().await;
    assert_eq!(fixture.forwarder.submit("keyed", "m", 9000).await.status(), 200);
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await);
    assert!(fixture.discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn an_unsafe_message_that_may_have_been_executed_fails() {
    let mut fixture = Fixture::start().await;
    for (id, status) in [("error", Some(500)), ("unknown-status", Some(302)), ("reset", None)] {
        assert_eq!(fixture.forwarder.submit("unsafe", id, 9000).await.status(), 202);
        let call = fixture.endpoint.next_call().await;
        assert_eq!(call.header("req-id"), id);
        match status {
            Some(status) => call.respond(status),
            None => call.disconnect(),
        }
        assert_eq!(fixture.discovery.notice().await, json!({"message": id, "outcome": "given_up"}));
    }
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn a_keyed_message_that_may_have_been_executed_is_retried() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("keyed", "m", 9000).await;
    fixture.endpoint.next_call().await.disconnect();
    let retry = fixture.endpoint.next_call().await;
    assert_eq!((retry.header("req-id"), retry.header("idempotency-key")), ("m", "key-m"));
    retry.respond(200);
    fixture.forwarder.until_delivered("keyed", "m").await;
}

#[tokio::test]
async fn an_unsafe_message_that_was_never_executed_is_retried() {
    for (status, headers) in [(503, vec![]), (503, vec![("Slots-Taken", "1")]), (504, vec![])] {
        let mut fixture = Fixture::start().await;
        fixture.forwarder.submit("unsafe", "m", 9000).await;
        fixture.endpoint.next_call().await.respond_with(status, &headers, "");
        fixture.endpoint.next_call().await.respond(200);
        fixture.forwarder.until_delivered("unsafe", "m").await;
    }
}

#[tokio::test]
async fn a_message_that_the_endpoint_reports_as_gone_gets_no_notice_and_no_retry() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("unsafe", "m", 9000).await;
    fixture.endpoint.next_call().await.respond(410);
    assert!(fixture.discovery.is_quiet(QUIET_PERIOD).await && fixture.endpoint.is_quiet(QUIET_PERIOD).await);
    assert_eq!(fixture.forwarder.submit("unsafe", "m", 9000).await.status(), 500);
}

#[tokio::test]
async fn a_message_whose_connections_were_all_refused_is_rejected_and_not_failed() {
    let mut fixture = Fixture::start().await;
    let refusing = EndpointStub::start().await.stop().await;
    fixture.discovery.push_changes(2, vec![plain_endpoint("t", refusing, 7)]);
    // Until the forwarder has received the list, it sends messages to the old address.
    for n in 0.. {
        fixture.forwarder.submit("unsafe", &format!("m{n}"), 300).await;
        tokio::select! {
            call = fixture.endpoint.next_call() => call.respond(200),
            // The message is rejected and not failed: no attempt can have been executed.
            notice = fixture.discovery.notice() => {
                assert_eq!(notice["message"], json!(format!("m{n}")));
                assert_eq!(notice["outcome"], json!("handed_back"));
                break;
            }
        }
    }
}

#[tokio::test]
async fn a_call_without_a_response_ends_at_the_deadline_with_its_message_and_connection() {
    let mut fixture = Fixture::start().await;
    let submitted_at = Instant::now();
    fixture.forwarder.submit("unsafe", "m", 500).await;
    let call = fixture.endpoint.next_call().await;
    assert_eq!(fixture.discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(submitted_at.elapsed() < Duration::from_secs(3), "{:?}", submitted_at.elapsed());
    call.closed().await;
}

#[tokio::test]
async fn a_retry_after_wait_delays_every_message_of_the_destination() {
    // With one call slot, the other message cannot be sent before the forwarder has received the wait.
    let mut fixture = Fixture::start_with("plain", one_call_slot).await;
    fixture.forwarder.submit("unsafe", "a", 9000).await;
    let call = fixture.endpoint.next_call().await;
    fixture.forwarder.submit("keyed", "b", 9000).await;
    let responded_at = Instant::now();
    call.respond_with(429, &[("Wait-Ms", "700")], "");
    fixture.endpoint.next_call().await.respond(200);
    assert!(responded_at.elapsed() >= Duration::from_millis(700), "{:?}", responded_at.elapsed());
    fixture.endpoint.next_call().await.respond(200);
}

#[tokio::test]
async fn a_retry_after_wait_in_a_response_that_delivers_a_batch_is_respected() {
    let mut fixture = Fixture::start_with("several", long_turns).await;
    fixture.begin_turn().await;
    tokio::join!(
        fixture.forwarder.submit("unsafe", "a", 9000),
        fixture.forwarder.submit("unsafe", "b", 9000)
    );
    let call = fixture.endpoint.next_call().await;
    assert_eq!(call.path, "/hook/batch");
    let responded_at = Instant::now();
    let states = json!([{"id": "a", "state": "accepted"}, {"id": "b", "state": "accepted"}]);
    call.respond_with(200, &[("Wait-Ms", "900")], &states.to_string());
    fixture.forwarder.until_delivered("unsafe", "a").await;
    fixture.forwarder.submit("keyed", "c", 9000).await;
    fixture.endpoint.next_call().await.respond(200);
    assert!(responded_at.elapsed() >= Duration::from_millis(900), "{:?}", responded_at.elapsed());
}
