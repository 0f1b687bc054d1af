//! Drains by unusual lists: records that cannot be parsed, removed endpoints, endpoints with another address,
//! destination or uid, and disabled endpoints that are listed again.

mod support;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{
    DESTINATION, DiscoveryBehavior, DiscoveryMode, DrainScenario, FirstByteEndpoint, LONGEST_DELAY,
    ResponseContent, endpoint,
};
use tokio::time::sleep;

/// Longer than the grace period after a list that the service writes at once.
const AFTER_GRACE: Duration = Duration::from_millis(1500);
/// Within this time the forwarder has applied a list.
const LIST_APPLIED: Duration = Duration::from_millis(700);
/// A command of an operator is in effect when its response arrives. This is the tolerance for delays of the
/// test.
const COMMAND_ALLOWANCE: Duration = Duration::from_millis(50);

/// Changes the list and requires that calls on the route of the draining endpoint stop.
async fn assert_calls_stop_after(
    mode: DiscoveryMode,
    sender_count: u64,
    change: impl AsyncFnOnce(&DrainScenario),
) {
    let scenario = DrainScenario::start(mode, sender_count).await;
    scenario.discovery.until_followed().await;
    change(&scenario).await;
    scenario.finish_after(AFTER_GRACE).await;
}

/// A record of the draining endpoint that cannot be parsed.
fn unparsable_drain_record(scenario: &DrainScenario) -> Value {
    let mut record = scenario.draining_record("terminating");
    record["capacity_hint"] = json!("a lot");
    record
}

#[tokio::test]
async fn the_record_of_a_drain_cannot_be_parsed() {
    assert_calls_stop_after(DiscoveryMode::Ask, 3, async |scenario| {
        scenario.discovery.change(unparsable_drain_record(scenario));
    })
    .await;
}

#[tokio::test]
async fn the_pushed_record_of_a_drain_cannot_be_parsed() {
    assert_calls_stop_after(DiscoveryMode::Push, 3, async |scenario| {
        scenario.discovery.change(unparsable_drain_record(scenario));
    })
    .await;
}

#[tokio::test]
async fn the_record_of_a_drain_in_a_larger_fleet_cannot_be_parsed() {
    assert_calls_stop_after(DiscoveryMode::Ask, 8, async |scenario| {
        scenario.discovery.change(unparsable_drain_record(scenario));
    })
    .await;
}

#[tokio::test]
async fn the_record_of_a_drain_cannot_be_parsed_and_responses_are_late() {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 3).await;
    let delay = Duration::from_secs(1);
    scenario.discovery.set_behavior(DiscoveryBehavior::Delayed { delay, content: ResponseContent::WhenDue });
    scenario.discovery.change(unparsable_drain_record(&scenario));
    scenario.finish_after(LONGEST_DELAY).await;
}

#[tokio::test]
async fn an_endpoint_is_removed() {
    assert_calls_stop_after(DiscoveryMode::Ask, 3, async |scenario| {
        scenario.discovery.remove("draining");
    })
    .await;
}

#[tokio::test]
async fn an_endpoint_is_missing_from_a_complete_list() {
    for mode in [DiscoveryMode::Ask, DiscoveryMode::Push] {
        assert_calls_stop_after(mode, 3, async |scenario| {
            scenario.discovery.replace_all(vec![scenario.staying_record()]);
        })
        .await;
    }
}

#[tokio::test]
async fn an_endpoint_changes_its_address() {
    assert_calls_stop_after(DiscoveryMode::Ask, 3, async |scenario| {
        let moved = FirstByteEndpoint::start().await;
        scenario.discovery.change(endpoint("draining", moved.address, DESTINATION, "plain", "in_service"));
        scenario.until_called(&moved).await;
        // Otherwise the forwarder would prefer it to the endpoint that stays, which must get messages.
        scenario.discovery.change(endpoint("draining", moved.address, DESTINATION, "plain", "terminating"));
        sleep(LIST_APPLIED).await;
    })
    .await;
}

#[tokio::test]
async fn an_endpoint_changes_its_destination() {
    assert_calls_stop_after(DiscoveryMode::Ask, 3, async |scenario| {
        let address = scenario.draining.address;
        scenario.discovery.change(endpoint("draining", address, DESTINATION + 1, "plain", "in_service"));
    })
    .await;
}

#[tokio::test]
async fn an_endpoint_changes_its_uid_and_drains() {
    assert_calls_stop_after(DiscoveryMode::Ask, 3, async |scenario| {
        let address = scenario.draining.address;
        let renamed = |state| endpoint("renamed", address, DESTINATION, "plain", state);
        scenario.discovery.replace_all(vec![renamed("in_service"), scenario.staying_record()]);
        sleep(LIST_APPLIED).await;
        scenario.discovery.change(renamed("terminating"));
    })
    .await;
}

#[tokio::test]
async fn an_endpoint_is_removed_and_listed_again_several_times() {
    assert_calls_stop_after(DiscoveryMode::Ask, 3, async |scenario| {
        for _ in 0..3 {
            scenario.discovery.remove("draining");
            sleep(LIST_APPLIED).await;
            scenario.discovery.change(scenario.draining_record("in_service"));
            sleep(LIST_APPLIED).await;
        }
        scenario.discovery.remove("draining");
    })
    .await;
}

#[tokio::test]
async fn a_disabled_endpoint_that_is_listed_again_is_not_called() {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 3).await;
    let reply = scenario.forwarder.admin_command("disable-server draining").await;
    assert!(reply.starts_with("ACK"), "{reply}");
    let disabled_at = Instant::now();
    let in_service = scenario.draining_record("in_service");
    for missing in [true, false] {
        sleep(LIST_APPLIED).await;
        if missing {
            scenario.discovery.replace_all(vec![scenario.staying_record()]);
        } else {
            scenario.discovery.remove("draining");
        }
        sleep(LIST_APPLIED).await;
        scenario.discovery.change(in_service.clone());
    }
    sleep(AFTER_GRACE).await;
    let late =
        scenario.draining.first_bytes().into_iter().filter(|byte| byte.at > disabled_at + COMMAND_ALLOWANCE);
    assert_eq!(late.count(), 0);
    scenario.drain();
    scenario.finish_after(AFTER_GRACE).await;
}
