//! Drains that are told while failed calls look as if the service could tell nothing.
//!
//! Left open by the incident of the rejected polls. What a sender sees is the same, whether the service is down or not; where
//! it is down, calls must go on, so that the list is used. The tests that fail are listed in `KNOWN-RED.txt`.

mod support;

use std::time::{Duration, Instant};
use support::{
    AnswerFault, DiscoveryBehavior, DiscoveryHistory, DiscoveryMode, DrainScenario, LONGEST_DELAY,
    LONGEST_SLOW_DELAY,
};
use tokio::time::sleep;

/// The first forwarder that calls discovery.
const CALLER: usize = 0;
/// A watch that has been open for this long was taken up by the service.
const WATCH_ESTABLISHED: Duration = Duration::from_secs(2);
/// How long bytes take to the service, and back.
const LATENCY_MS: u64 = 90;
/// After this time the answer to a watch is under way.
const ANSWER_UNDER_WAY: Duration = Duration::from_millis(40);
/// After this time more it has arrived, and the next call has not.
const BETWEEN_WATCHES: Duration = Duration::from_millis(95);
/// So many connections that break one after the other are an outage.
const OVERLAPPING_CALLS: usize = 3;
/// How long the service is down.
const OUTAGE: Duration = Duration::from_secs(6);
/// An outage after which a process that started in it has used the list of its configuration for a while.
const LONG_OUTAGE: Duration = Duration::from_secs(12);
/// A process that starts during an outage uses the list of its configuration after this time.
const LIST_USED_AFTER: Duration = Duration::from_secs(8);

/// Starts a forwarder that follows the list, and waits until its watch is established.
async fn start_watching() -> DrainScenario {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 6).await;
    scenario.discovery.until_followed().await;
    sleep(WATCH_ESTABLISHED).await;
    scenario
}

/// The answer that tells of the drain is written, and its connection is reset in the same moment; right after that the
/// service goes down. To the sender its watch was reset by the outage, as all watches are.
#[tokio::test]
async fn a_response_is_lost_right_before_the_service_goes_down() {
    let scenario = start_watching().await;
    scenario.discovery.set_answer_fault(CALLER, AnswerFault::Lose);
    scenario.drain();
    scenario.discovery.until_latest_list_is_written().await;
    scenario.outage(DiscoveryBehavior::Refuse, OUTAGE).await;
    scenario.finish_after(LONGEST_DELAY).await;
}

/// Found by the soak (seed 2013): an endpoint drains between the answer to a watch and its next call, which finds the service
/// down. The change counts as told all the same, and the outage was taken for a proof that there was nothing to tell.
#[tokio::test]
async fn an_endpoint_drains_between_two_watches_and_the_service_goes_down() {
    let scenario = start_watching().await;
    scenario.discovery.set_latency(LATENCY_MS);
    scenario.discovery.change(scenario.staying_record());
    sleep(ANSWER_UNDER_WAY).await;
    scenario.drain();
    sleep(BETWEEN_WATCHES).await;
    scenario.outage(DiscoveryBehavior::Reset, OUTAGE).await;
    scenario.finish_after(LONGEST_DELAY).await;
}

/// Found by the soak (seed 3017): first bytes up to 4.9 s late. The service is silent, so that several calls are open beside each
/// other, an endpoint drains, and the service restarts, still silent. Its log has three calls that broke in the same moment,
/// and right after that "the endpoint list is fresh again": they counted as three connections that break one after the other.
#[tokio::test]
async fn an_endpoint_drains_before_a_restart_breaks_several_open_calls_at_once() {
    let scenario = start_watching().await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Silent);
    scenario.discovery.until(|history| open_calls(history) >= OVERLAPPING_CALLS).await;
    scenario.drain();
    scenario.discovery.restart_at_revision(1);
    sleep(LONGEST_DELAY).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
    scenario.finish_after(LONGEST_DELAY).await;
}

fn open_calls(history: &DiscoveryHistory) -> usize {
    history.calls.iter().filter(|call| call.end.is_none()).count()
}

/// A service that was down, and rejected each call, is back and rejects each call because other callers take all of its
/// time. The sender sees one outage.
#[tokio::test]
async fn a_crowd_rejects_calls_in_the_way_of_the_outage_before_it() {
    let scenario = start_watching().await;
    scenario.outage(DiscoveryBehavior::Reject503, OUTAGE).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::OverloadedByOthers { patience: Duration::ZERO });
    scenario.drain();
    sleep(LONGEST_DELAY).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
    scenario.finish_after(LONGEST_SLOW_DELAY).await;
}

/// An endpoint drains between two processes, and the second one finds the service down. This is allowed: after a failed call a
/// list may be four times as old as the settings say, "counted anew when discovery is back" (STANDING), so that the list of
/// the configuration may be used until then.
#[tokio::test]
async fn a_process_that_starts_in_a_long_outage_uses_its_list_until_the_service_is_back() {
    let mut scenario = DrainScenario::start(DiscoveryMode::Ask, 6).await;
    scenario.discovery.until_followed().await;
    scenario.forwarder.kill();
    scenario.drain();
    scenario.discovery.set_behavior(DiscoveryBehavior::Reset);
    scenario.restart().await;
    sleep(LIST_USED_AFTER).await;
    let used_from = Instant::now();
    sleep(LONG_OUTAGE - LIST_USED_AFTER).await;
    scenario.assert_served(used_from, Instant::now());
    scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
    scenario.finish_after(LONGEST_DELAY).await;
}
