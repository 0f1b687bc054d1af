//! Drains that discovery reports in a response which does not arrive completely.
//!
//! A change counts as sent when the service writes the response, even if the response is lost.

mod support;

use std::time::Duration;
use support::{DiscoveryBehavior, DiscoveryMode, DrainScenario, LONGEST_DELAY, ResponseFault, run_cases};
use tokio::time::sleep;

/// The number of the first forwarder that calls discovery.
const CALLER: usize = 0;
/// Within this time a forwarder has confirmed the list that it started with.
const SETTLED: Duration = Duration::from_secs(1);
/// After failed calls for this time, the backoff is long.
const BACKOFF_GROWN: Duration = Duration::from_secs(5);

/// An incomplete response that contains a drain.
#[derive(Clone, Copy, Debug)]
struct IncompleteResponse {
    mode: DiscoveryMode,
    sender_count: u64,
    fault: ResponseFault,
    /// Whether it is the first response after rejected calls.
    after_rejections: bool,
}

impl IncompleteResponse {
    async fn run(self) -> DrainScenario {
        let scenario = DrainScenario::start(self.mode, self.sender_count).await;
        scenario.discovery.until_followed().await;
        sleep(SETTLED).await;
        if self.after_rejections {
            scenario.outage(DiscoveryBehavior::Reject503, BACKOFF_GROWN).await;
        }
        scenario.discovery.set_fault(CALLER, self.fault);
        scenario.drain();
        scenario
    }
}

#[tokio::test]
async fn calls_stop_to_an_endpoint_whose_drain_is_sent_in_an_incomplete_response() {
    let mut cases = Vec::new();
    for fault in [ResponseFault::Stall, ResponseFault::BreakOff, ResponseFault::Lose] {
        for mode in [DiscoveryMode::Ask, DiscoveryMode::Push] {
            let case = IncompleteResponse { mode, sender_count: 6, fault, after_rejections: false };
            cases.extend([case, IncompleteResponse { after_rejections: true, ..case }]);
        }
    }
    let larger = IncompleteResponse {
        mode: DiscoveryMode::Ask,
        sender_count: 41,
        fault: ResponseFault::Stall,
        after_rejections: true,
    };
    cases.extend([larger, IncompleteResponse { fault: ResponseFault::BreakOff, ..larger }]);
    run_cases(cases, LONGEST_DELAY, IncompleteResponse::run).await;
}

#[tokio::test]
async fn a_response_is_lost_completely_and_the_service_stops_responding() {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 6).await;
    scenario.discovery.until_followed().await;
    sleep(SETTLED).await;
    scenario.discovery.set_fault(CALLER, ResponseFault::Lose);
    scenario.drain();
    scenario.discovery.until_latest_list_is_written().await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Silent);
    sleep(SETTLED * 3).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
    scenario.finish_after(LONGEST_DELAY).await;
}

/// Guards against calls to drained endpoints after an outage in which connections were reset. The first
/// response after the outage is lost with its connection. A sender that takes this for one more reset of the
/// outage uses its list until its next call.
#[tokio::test]
async fn the_first_response_after_an_outage_that_reset_connections_is_lost() {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 14).await;
    scenario.discovery.until_followed().await;
    sleep(SETTLED).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Reset);
    scenario.drain();
    sleep(BACKOFF_GROWN).await;
    scenario.discovery.set_fault(CALLER, ResponseFault::Lose);
    scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
    scenario.finish_after(LONGEST_DELAY).await;
}

#[tokio::test]
async fn every_response_stalls_for_a_while() {
    let scenario = DrainScenario::start(DiscoveryMode::Ask, 6).await;
    scenario.discovery.until_followed().await;
    sleep(SETTLED).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Stall);
    scenario.drain();
    sleep(SETTLED * 4).await;
    scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
    scenario.finish_after(LONGEST_DELAY).await;
}
