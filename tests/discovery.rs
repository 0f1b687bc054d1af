//! The endpoint list: watches, changes, invalid lists, and a change of the address of discovery.

mod support;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{
    EndpointStub, Fixture, ForwarderProcess, QUIET_PERIOD, RawEndpoint, endpoint, endpoint_list,
    plain_endpoint,
};
use tokio::time::sleep;

#[tokio::test]
async fn a_draining_endpoint_gets_no_new_call() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("keyed", "before", 9000).await;
    let call_in_flight = fixture.endpoint.next_call().await;
    let mut next = EndpointStub::start().await;
    fixture.discovery.push_changes(
        2,
        vec![
            endpoint("t", fixture.endpoint.address, 7, "plain", "terminating"),
            plain_endpoint("u", next.address, 7),
        ],
    );
    // The list is applied soon, but not at once: the endpoint that a message is sent to shows when.
    for n in 0.. {
        fixture.forwarder.submit("keyed", &format!("before-{n}"), 9000).await;
        let list_is_applied = tokio::select! {
            call = next.next_call() => { call.respond(200); true }
            call = fixture.endpoint.next_call() => { call.respond(200); false }
        };
        if list_is_applied {
            break;
        }
    }
    for n in 0..5 {
        fixture.forwarder.submit("keyed", &format!("after-{n}"), 9000).await;
        next.next_call().await.respond(200);
    }
    // The call in flight may finish.
    call_in_flight.respond(200);
    fixture.forwarder.until_delivered("keyed", "before").await;
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn sighup_switches_to_another_discovery_and_an_invalid_configuration_changes_nothing() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("keyed", "before", 9000).await;
    let call_in_flight = fixture.endpoint.next_call().await;
    // After an invalid file, the earlier configuration stays in effect.
    fixture.forwarder.reload(|configuration| {
        *configuration = json!({"name": configuration["name"], "kept": *configuration});
    });
    let mut second = EndpointStub::start().await;
    fixture.discovery.push_changes(2, vec![plain_endpoint("u", second.address, 8)]);
    // A notice that the old address does not acknowledge is sent to the new address, which is also watched.
    fixture.forwarder.submit("unsafe", "failed", 9000).await;
    fixture.endpoint.next_call().await.respond(500);
    let unacknowledged = fixture.discovery.next_notice_call().await;
    let mut new = EndpointStub::start().await;
    fixture.forwarder.reload(|configuration| {
        *configuration = configuration["kept"].take();
        configuration["discovery"] = json!(new.address.to_string());
    });
    let (mut list_sent, mut notice_received) = (false, false);
    while !list_sent || !notice_received {
        let call = new.next_call().await;
        if call.path == "/v1/notices" {
            assert_eq!(call.body, unacknowledged.body);
            call.respond(204);
            notice_received = true;
        } else if call.path == "/api/targets" {
            let endpoints = vec![
                endpoint("t", fixture.endpoint.address, 7, "plain", "terminating"),
                plain_endpoint("v", second.address, 7),
            ];
            let list = endpoint_list(9, true, endpoints);
            call.respond_with(200, &[], &list.to_string());
            list_sent = true;
        }
    }
    // The next watch shows that the list is applied: new messages are sent according to it.
    assert_eq!(new.next_call().await.path, "/api/targets?index=9&wait=2000");
    fixture.forwarder.submit("keyed", "after", 9000).await;
    let call = second.next_call().await;
    assert_eq!(call.header("req-id"), "after");
    call.respond(200);
    // The call in flight may finish.
    call_in_flight.respond(200);
    fixture.forwarder.until_delivered("keyed", "before").await;
}

#[tokio::test]
async fn sighup_during_a_response_leaves_no_watch_at_the_old_address() {
    let (old, mut new) = (RawEndpoint::start().await, EndpointStub::start().await);
    let forwarder = ForwarderProcess::start(old.address, &[], |_| {}).await;
    let mut watch = old.accept().await;
    // The first call confirms the list of the configuration.
    assert!(watch.read_head().await.starts_with("GET /api/targets?index=1&wait=0 "));
    forwarder.pause();
    forwarder.reload(|configuration| configuration["discovery"] = json!(new.address.to_string()));
    let list = endpoint_list(7, false, Vec::new()).to_string();
    watch.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())).await;
    forwarder.resume();
    // The complete list is requested from the new address, and the old connection is closed without another
    // request.
    assert_eq!(new.next_call().await.path, "/api/targets");
    assert_eq!(watch.read_to_end().await.text, "");
}

#[tokio::test]
async fn a_known_list_of_revision_zero_is_watched_for_changes() {
    let mut service = EndpointStub::start().await;
    let _forwarder = ForwarderProcess::start(service.address, &[], |configuration| {
        configuration["known"]["rev"] = json!(0);
    })
    .await;
    assert!(service.next_call().await.path.starts_with("/api/targets?index=0"));
}

#[tokio::test]
async fn the_complete_list_is_requested_after_an_invalid_list_but_not_after_an_error_status() {
    let mut service = EndpointStub::start().await;
    let _forwarder = ForwarderProcess::start(service.address, &[], |_| {}).await;
    // The list of the configuration still has to be confirmed after a rejection.
    for _ in 0..3 {
        let call = service.next_call().await;
        assert_eq!(call.path, "/api/targets?index=1&wait=0");
        call.respond(503);
    }
    // After a list that cannot be parsed, changes may have been lost.
    service.next_call().await.respond_with(200, &[], "{");
    assert_eq!(service.next_call().await.path, "/api/targets");
}

#[tokio::test]
async fn a_sender_of_a_large_fleet_uses_long_watches_and_calls_rarely_after_rejections() {
    let (mut service, mut stub) = (EndpointStub::start().await, EndpointStub::start().await);
    let known = [plain_endpoint("t", stub.address, 7)];
    let forwarder = ForwarderProcess::start(service.address, &known, |configuration| {
        configuration["settings"]["discovery"] = json!("ask");
        configuration["settings"]["peersTotal"] = json!(100);
        configuration["settings"]["guarantees"]["askWithin"] = json!(4000.0);
    })
    .await;
    let confirmation = service.next_call().await;
    assert_eq!(confirmation.path, "/api/targets?index=1&wait=0");
    // The service handles calls of other senders first, and responds late but in time.
    sleep(Duration::from_millis(700)).await;
    let unchanged = endpoint_list(1, false, Vec::new()).to_string();
    confirmation.respond_with(200, &[], &unchanged);
    let watch = service.next_call().await;
    assert_eq!(watch.path, "/api/targets?index=1&wait=10000");
    assert_eq!(forwarder.submit("keyed", "m", 9000).await.status(), 202);
    stub.next_call().await.respond(200);
    // After a rejection the next call is sent later. A watch is long again only once a short one was served.
    let rejected_at = Instant::now();
    watch.respond(503);
    assert!(service.is_quiet(Duration::from_millis(1500)).await);
    let short = service.next_call().await;
    assert_eq!(short.path, "/api/targets?index=1&wait=300");
    assert!(rejected_at.elapsed() < Duration::from_secs(8), "{:?}", rejected_at.elapsed());
    short.respond_with(200, &[], &unchanged);
    // The test keeps this watch open: if its connection broke, changes might have been lost with it.
    let long = service.next_call().await;
    assert!(long.path.starts_with("/api/targets?index=1&wait=1"));
    // A new address is called at once.
    let mut new = EndpointStub::start().await;
    forwarder.reload(|configuration| configuration["discovery"] = json!(new.address.to_string()));
    let reloaded_at = Instant::now();
    assert_eq!(new.next_call().await.path, "/api/targets?index=1&wait=300");
    assert!(reloaded_at.elapsed() < Duration::from_secs(1), "{:?}", reloaded_at.elapsed());
}

#[tokio::test]
async fn an_invalid_record_does_not_hide_the_others() {
    let (mut service, mut one, mut other) =
        (EndpointStub::start().await, EndpointStub::start().await, EndpointStub::start().await);
    let known = [
        json!({"uid": 5}),
        plain_endpoint("t", one.address, 7),
        endpoint("u", other.address, 7, "plain", "asleep"),
    ];
    let forwarder = ForwarderProcess::start(service.address, &known, |_| {}).await;
    // Nothing is sent before the list is confirmed.
    forwarder.submit("keyed", "early", 9000).await;
    assert!(one.is_quiet(QUIET_PERIOD).await);
    let confirmation = service.next_call().await;
    assert_eq!(confirmation.path, "/api/targets?index=1&wait=0");
    confirmation.respond_with(200, &[], &endpoint_list(1, false, Vec::new()).to_string());
    one.next_call().await.respond(200);
    // Nothing is sent to an endpoint in an unknown state.
    for id in ["a", "b"] {
        forwarder.submit("keyed", id, 9000).await;
        one.next_call().await.respond(200);
    }
    let watch = service.next_call().await;
    assert!(watch.path.starts_with("/api/targets?"));
    let changes = vec![plain_endpoint("v", other.address, 8), json!({"uid": "t", "state": []})];
    let list = endpoint_list(2, false, changes);
    watch.respond_with(200, &[], &format!("{list:#}"));
    // The skipped record may be a drain: the complete list is requested.
    let complete = service.next_call().await;
    assert_eq!(complete.path, "/api/targets");
    forwarder.submit_to(8, "keyed", "c", 9000).await;
    other.next_call().await.respond(200);
    let list = endpoint_list(2, true, vec![known[1].clone(), json!({"uid": "w"})]);
    complete.respond_with(200, &[], &list.to_string());
    // Only once: although a record of the complete list is invalid, its revision is watched for changes.
    assert!(service.next_call().await.path.starts_with("/api/targets?index=2"));
}

#[tokio::test]
async fn without_a_known_list_the_complete_list_is_requested() {
    for known in [Value::Null, json!({"rev": "x", "targets": 3})] {
        let (mut service, mut stub) = (EndpointStub::start().await, EndpointStub::start().await);
        let forwarder = ForwarderProcess::start(service.address, &[], |configuration| {
            configuration["known"] = known;
        })
        .await;
        let call = service.next_call().await;
        assert_eq!(call.path, "/api/targets");
        let list = endpoint_list(9, true, vec![plain_endpoint("t", stub.address, 7)]);
        call.respond_with(200, &[], &list.to_string());
        assert!(service.next_call().await.path.starts_with("/api/targets?index=9"));
        forwarder.submit("keyed", "m", 9000).await;
        stub.next_call().await.respond(200);
    }
}
