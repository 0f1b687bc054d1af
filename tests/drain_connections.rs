//! Drains between the decision to call an endpoint and the first byte of the call.

mod support;

use serde_json::json;
use std::time::Duration;
use support::{DiscoveryMode, DrainScenario, EndpointBehavior, FirstByteEndpoint, long_turns};
use tokio::time::sleep;

/// How long a process may be paused.
const PAUSE: Duration = Duration::from_millis(150);
/// Longer than the grace period and than a call to the endpoint.
const AFTER_GRACE: Duration = Duration::from_millis(2500);
/// Within this time a list has been applied and traffic has settled.
const SETTLED: Duration = Duration::from_millis(800);
/// Within this time a forwarder has started to connect.
const CONNECTING: Duration = Duration::from_millis(300);

#[tokio::test]
async fn the_process_is_paused_while_an_endpoint_drains() {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 3).await;
    scenario.discovery.until_followed().await;
    for _ in 0..5 {
        scenario.discovery.change(scenario.draining_record("in_service"));
        sleep(SETTLED).await;
        scenario.forwarder.pause();
        scenario.drain();
        sleep(PAUSE).await;
        scenario.forwarder.resume();
        sleep(SETTLED).await;
    }
    scenario.finish_after(AFTER_GRACE).await;
}

#[tokio::test]
async fn the_process_is_paused_at_the_end_of_the_grace_period() {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 3).await;
    scenario.discovery.until_followed().await;
    scenario.drain();
    sleep(Duration::from_millis(450)).await;
    scenario.forwarder.pause();
    sleep(PAUSE).await;
    scenario.forwarder.resume();
    scenario.finish_after(AFTER_GRACE).await;
}

/// Starts with an endpoint whose connections are not established, and waits until the forwarder has started
/// to connect.
async fn start_connecting() -> DrainScenario {
    let endpoints = [FirstByteEndpoint::start_full().await, FirstByteEndpoint::start().await];
    let scenario =
        DrainScenario::start_with_endpoints(DiscoveryMode::Ask, 3, "plain", endpoints, |configuration| {
            configuration["settings"]["limits"]["connectTimeout"] = json!(4000.0);
        })
        .await;
    scenario.discovery.until_followed().await;
    sleep(CONNECTING).await;
    scenario
}

#[tokio::test]
async fn a_connection_is_established_after_the_drain() {
    let mut scenario = start_connecting().await;
    scenario.drain();
    scenario.draining.open().await;
    scenario.finish_after(Duration::from_secs(5)).await;
}

#[tokio::test]
async fn a_connection_that_is_established_late_is_used_without_a_drain() {
    let mut scenario = start_connecting().await;
    scenario.draining.open().await;
    scenario.until_called(&scenario.draining).await;
}

#[tokio::test]
async fn connections_are_closed_while_an_endpoint_drains() {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 3).await;
    scenario.discovery.until_followed().await;
    scenario.drain();
    for _ in 0..20 {
        scenario.draining.close_connections();
        sleep(Duration::from_millis(50)).await;
    }
    scenario.finish_after(AFTER_GRACE).await;
}

#[tokio::test]
async fn messages_are_sent_in_batches() {
    let scenario = DrainScenario::start_with(DiscoveryMode::Ask, 3, "several", long_turns).await;
    scenario.discovery.until_followed().await;
    sleep(SETTLED).await;
    assert!(scenario.draining.first_bytes().iter().any(|first_byte| first_byte.request_ids.len() > 1));
    scenario.drain();
    scenario.finish_after(AFTER_GRACE).await;
}

/// The endpoint that drains fails calls by `behavior`.
async fn drain_of_failing_endpoint(behavior: EndpointBehavior) {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 3).await;
    scenario.discovery.until_followed().await;
    scenario.draining.set_behavior(behavior);
    sleep(CONNECTING).await;
    scenario.drain();
    scenario.finish_after(AFTER_GRACE).await;
}

#[tokio::test]
async fn the_endpoint_rejects_calls() {
    drain_of_failing_endpoint(EndpointBehavior::Reject).await;
}

#[tokio::test]
async fn the_endpoint_resets_connections() {
    drain_of_failing_endpoint(EndpointBehavior::Reset).await;
}

#[tokio::test]
async fn the_endpoint_hangs() {
    drain_of_failing_endpoint(EndpointBehavior::Hang).await;
}
