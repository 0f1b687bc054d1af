//! Drains while discovery is slow: its responses are late, arrive in small pieces, break off or never arrive.

mod support;

use std::time::Duration;
use support::{
    DiscoveryBehavior, DiscoveryMode, DrainScenario, LONGEST_DELAY, LONGEST_SLOW_DELAY, ResponseContent,
};
use tokio::time::sleep;

/// How long the service has been slow before an endpoint drains.
const BEFORE_DRAIN: Duration = Duration::from_secs(3);

/// An endpoint drains after the service has been slow for a while.
async fn drain_while(mode: DiscoveryMode, sender_count: u64, behavior: DiscoveryBehavior) {
    let scenario = DrainScenario::start(mode, sender_count).await;
    scenario.discovery.until_followed().await;
    scenario.discovery.set_behavior(behavior);
    sleep(BEFORE_DRAIN).await;
    scenario.drain();
    scenario.finish_after(LONGEST_SLOW_DELAY).await;
}

fn delayed(milliseconds: u64, content: ResponseContent) -> DiscoveryBehavior {
    DiscoveryBehavior::Delayed { delay: Duration::from_millis(milliseconds), content }
}

#[tokio::test]
async fn responses_arrive_after_0_8_seconds() {
    drain_while(DiscoveryMode::Ask, 3, delayed(800, ResponseContent::WhenDue)).await;
}

#[tokio::test]
async fn responses_arrive_after_1_5_seconds() {
    drain_while(DiscoveryMode::Ask, 3, delayed(1500, ResponseContent::WhenDue)).await;
}

#[tokio::test]
async fn responses_arrive_after_3_seconds() {
    drain_while(DiscoveryMode::Ask, 3, delayed(3000, ResponseContent::WhenDue)).await;
}

#[tokio::test]
async fn responses_with_the_latest_list_arrive_after_1_5_seconds() {
    drain_while(DiscoveryMode::Ask, 3, delayed(1500, ResponseContent::WhenWritten)).await;
}

#[tokio::test]
async fn pushed_lists_arrive_after_0_8_seconds() {
    drain_while(DiscoveryMode::Push, 3, delayed(800, ResponseContent::WhenDue)).await;
}

#[tokio::test]
async fn pushed_lists_arrive_after_1_5_seconds() {
    drain_while(DiscoveryMode::Push, 3, delayed(1500, ResponseContent::WhenDue)).await;
}

#[tokio::test]
async fn pushed_lists_arrive_after_3_seconds() {
    drain_while(DiscoveryMode::Push, 3, delayed(3000, ResponseContent::WhenDue)).await;
}

#[tokio::test]
async fn responses_to_eight_senders_arrive_after_3_seconds() {
    drain_while(DiscoveryMode::Ask, 8, delayed(3000, ResponseContent::WhenDue)).await;
}

#[tokio::test]
async fn responses_arrive_in_small_pieces() {
    drain_while(DiscoveryMode::Ask, 3, DiscoveryBehavior::Drip { duration: Duration::from_secs(2) }).await;
}

#[tokio::test]
async fn responses_to_eight_senders_arrive_in_small_pieces() {
    drain_while(DiscoveryMode::Ask, 8, DiscoveryBehavior::Drip { duration: Duration::from_secs(4) }).await;
}

/// An endpoint drains while the service breaks off its responses.
async fn drain_while_responses_break_off(sender_count: u64) {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, sender_count).await;
    scenario.discovery.until_followed().await;
    scenario.discovery.set_behavior(DiscoveryBehavior::BreakOff);
    sleep(BEFORE_DRAIN).await;
    scenario.drain();
    sleep(BEFORE_DRAIN).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
    scenario.finish_after(LONGEST_DELAY).await;
}

#[tokio::test]
async fn responses_break_off() {
    drain_while_responses_break_off(3).await;
}

#[tokio::test]
async fn responses_to_eight_senders_break_off() {
    drain_while_responses_break_off(8).await;
}

#[tokio::test]
async fn calls_are_served_one_at_a_time() {
    let overloaded = DiscoveryBehavior::OverloadedSerial {
        service_time: Duration::from_millis(700),
        patience: Duration::from_secs(2),
    };
    drain_while(DiscoveryMode::Ask, 3, overloaded).await;
}

/// An endpoint drains in the middle of a time in which the service accepts calls and sends nothing.
async fn drain_during_silence(mode: DiscoveryMode, sender_count: u64, silence: Duration) {
    let scenario = DrainScenario::start(mode, sender_count).await;
    scenario.discovery.until_followed().await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Silent);
    sleep(silence / 2).await;
    scenario.drain();
    sleep(silence / 2).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
    scenario.finish_after(LONGEST_DELAY).await;
}

#[tokio::test]
async fn the_service_is_silent_for_6_seconds() {
    drain_during_silence(DiscoveryMode::Ask, 3, Duration::from_secs(6)).await;
}

#[tokio::test]
async fn the_service_is_silent_for_6_seconds_where_lists_are_pushed() {
    drain_during_silence(DiscoveryMode::Push, 3, Duration::from_secs(6)).await;
}

#[tokio::test]
async fn the_service_is_silent_to_eight_senders_for_6_seconds() {
    drain_during_silence(DiscoveryMode::Ask, 8, Duration::from_secs(6)).await;
}

#[tokio::test]
async fn the_service_is_silent_for_longer_than_the_freshness_bound() {
    drain_during_silence(DiscoveryMode::Ask, 3, Duration::from_secs(16)).await;
}

/// The service stops responding to the open watches after a time without changes, and an endpoint drains.
async fn drain_after_open_watches_fall_silent(mode: DiscoveryMode, time_without_changes: Duration) {
    let scenario = DrainScenario::start(mode, 3).await;
    sleep(time_without_changes).await;
    scenario.discovery.until_watched().await;
    scenario.discovery.silence_open_watches();
    scenario.drain();
    scenario.finish_after(LONGEST_DELAY).await;
}

#[tokio::test]
async fn open_watches_fall_silent_at_once() {
    drain_after_open_watches_fall_silent(DiscoveryMode::Ask, Duration::ZERO).await;
}

#[tokio::test]
async fn open_watches_fall_silent_after_a_time_without_changes() {
    drain_after_open_watches_fall_silent(DiscoveryMode::Ask, Duration::from_secs(10)).await;
}

#[tokio::test]
async fn open_watches_fall_silent_where_lists_are_pushed() {
    drain_after_open_watches_fall_silent(DiscoveryMode::Push, Duration::from_secs(10)).await;
}
