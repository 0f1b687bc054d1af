//! Notices of messages that were accepted and not delivered.

mod support;

use serde_json::json;
use support::{EVENT_TIMEOUT, Fixture, QUIET_PERIOD};
use tokio::time::timeout;

#[tokio::test]
async fn a_message_submitted_again_survives_the_late_acknowledgement_of_its_earlier_notice() {
    let mut fixture = Fixture::start().await;
    assert_eq!(fixture.forwarder.submit("keyed", "m", 500).await.status(), 202);
    fixture.endpoint.next_call().await.respond_with(429, &[("Wait-Ms", "20000")], "");
    let notice = fixture.discovery.next_notice_call().await;
    assert!(String::from_utf8_lossy(&notice.body).contains("handed_back"));
    // The client submits it again before the notice is acknowledged.
    let accepted_again = async {
        for n in 0.. {
            // Earlier outcomes are forgotten as others are stored.
            fixture.forwarder.submit("keyed", &format!("x{n}"), 300).await;
            if fixture.forwarder.submit("keyed", "m", 40_000).await.status() == 202 {
                return;
            }
        }
    };
    timeout(EVENT_TIMEOUT, accepted_again)
        .await
        .expect("it is accepted once its earlier outcome is forgotten");
    notice.respond(200);
    // Once a later notice is acknowledged, the journal holds the acknowledgement of the first one.
    fixture.forwarder.submit("keyed", "last", 300).await;
    while !fixture.discovery.notices().await.iter().any(|notice| notice["message"] == "last") {}
    fixture.forwarder.kill();
    fixture.forwarder.restart().await;
    loop {
        let call = fixture.endpoint.next_call().await;
        if call.header("req-id") == "m" {
            return;
        }
        call.respond(200);
    }
}

#[tokio::test]
async fn a_notice_is_retried_until_it_is_acknowledged_also_after_a_restart() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("unsafe", "m", 9000).await;
    fixture.endpoint.next_call().await.respond(500);
    let first = fixture.discovery.next_notice_call().await;
    let first_body = first.body.clone();
    first.respond(500);
    let second = fixture.discovery.next_notice_call().await;
    assert_eq!(second.body, first_body);
    second.disconnect();
    // A process that ends before the acknowledgement leaves the notice to its successor.
    let unacknowledged = fixture.discovery.next_notice_call().await;
    fixture.forwarder.kill();
    unacknowledged.closed().await;
    fixture.forwarder.restart().await;
    assert_eq!(fixture.discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(fixture.discovery.is_quiet(QUIET_PERIOD).await && fixture.endpoint.is_quiet(QUIET_PERIOD).await);
}
