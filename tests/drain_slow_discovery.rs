//! Drains while discovery is slow: its answers come late, drip, break off, or do not come at all.

mod support;

use std::time::Duration;
use support::{
    AnswerContent, DiscoveryBehavior, DiscoveryMode, DrainScenario, LONGEST_DELAY, LONGEST_SLOW_DELAY,
};
use tokio::time::sleep;

/// How long a service has been slow before an endpoint drains.
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

fn delayed(milliseconds: u64, content: AnswerContent) -> DiscoveryBehavior {
    DiscoveryBehavior::Delayed { delay: Duration::from_millis(milliseconds), content }
}

#[tokio::test]
async fn answers_come_after_0_8_seconds() {
    drain_while(DiscoveryMode::Ask, 3, delayed(800, AnswerContent::WhenDue)).await;
}

#[tokio::test]
async fn answers_come_after_1_5_seconds() {
    drain_while(DiscoveryMode::Ask, 3, delayed(1500, AnswerContent::WhenDue)).await;
}

#[tokio::test]
async fn answers_come_after_3_seconds() {
    drain_while(DiscoveryMode::Ask, 3, delayed(3000, AnswerContent::WhenDue)).await;
}

#[tokio::test]
async fn answers_with_the_latest_list_come_after_1_5_seconds() {
    drain_while(DiscoveryMode::Ask, 3, delayed(1500, AnswerContent::WhenWritten)).await;
}

#[tokio::test]
async fn pushed_lists_come_after_0_8_seconds() {
    drain_while(DiscoveryMode::Push, 3, delayed(800, AnswerContent::WhenDue)).await;
}

#[tokio::test]
async fn pushed_lists_come_after_1_5_seconds() {
    drain_while(DiscoveryMode::Push, 3, delayed(1500, AnswerContent::WhenDue)).await;
}

#[tokio::test]
async fn pushed_lists_come_after_3_seconds() {
    drain_while(DiscoveryMode::Push, 3, delayed(3000, AnswerContent::WhenDue)).await;
}

#[tokio::test]
async fn eight_senders_get_answers_after_3_seconds() {
    drain_while(DiscoveryMode::Ask, 8, delayed(3000, AnswerContent::WhenDue)).await;
}

#[tokio::test]
async fn answers_drip() {
    drain_while(DiscoveryMode::Ask, 3, DiscoveryBehavior::Drip { duration: Duration::from_secs(2) }).await;
}

#[tokio::test]
async fn answers_to_eight_senders_drip() {
    drain_while(DiscoveryMode::Ask, 8, DiscoveryBehavior::Drip { duration: Duration::from_secs(4) }).await;
}

/// The service breaks off its answers for a while.
async fn drain_while_answers_break_off(sender_count: u64) {
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
async fn answers_break_off() {
    drain_while_answers_break_off(3).await;
}

#[tokio::test]
async fn answers_to_eight_senders_break_off() {
    drain_while_answers_break_off(8).await;
}

#[tokio::test]
async fn calls_are_answered_in_turn() {
    let crowded = DiscoveryBehavior::OverloadedSerial {
        service_time: Duration::from_millis(700),
        patience: Duration::from_secs(2),
    };
    drain_while(DiscoveryMode::Ask, 3, crowded).await;
}

/// The service accepts calls and stays silent for this long; an endpoint drains in the middle of that.
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
async fn the_service_is_silent_for_longer_than_a_list_may_be_old() {
    drain_during_silence(DiscoveryMode::Ask, 3, Duration::from_secs(16)).await;
}

/// The open watches fall silent after a quiet time.
async fn drain_after_watches_fell_silent(mode: DiscoveryMode, quiet: Duration) {
    let scenario = DrainScenario::start(mode, 3).await;
    sleep(quiet).await;
    scenario.discovery.until_watched().await;
    scenario.discovery.silence_open_watches();
    scenario.drain();
    scenario.finish_after(LONGEST_DELAY).await;
}

#[tokio::test]
async fn open_watches_fall_silent_at_once() {
    drain_after_watches_fell_silent(DiscoveryMode::Ask, Duration::ZERO).await;
}

#[tokio::test]
async fn open_watches_fall_silent_after_a_quiet_time() {
    drain_after_watches_fell_silent(DiscoveryMode::Ask, Duration::from_secs(10)).await;
}

#[tokio::test]
async fn open_watches_fall_silent_where_lists_are_pushed() {
    drain_after_watches_fell_silent(DiscoveryMode::Push, Duration::from_secs(10)).await;
}
