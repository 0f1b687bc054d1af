//! Drains after a new address of discovery was configured.
//!
//! Guards against calls to a drained endpoint after a change of address. Four seconds after the signal, the
//! list must include all changes until then, also those after the first list from the new address. The watch
//! that follows this list may get no response. A forwarder that then relies on the usual maximum staleness of
//! 6 s calls the endpoint for too long.

mod support;

use std::time::Duration;
use support::{DiscoveryMode, DrainScenario, LONGEST_DELAY, run_cases};
use tokio::time::sleep;

/// Longer than the first second of a process, in which the platform sends no SIGHUP.
const BEFORE_FIRST_RELOAD: Duration = Duration::from_millis(1100);
/// Within this time after the signal, the forwarder has a list from the new address and watches it.
const FOLLOWED: Duration = Duration::from_secs(1);

/// A watch at the new address that gets no response, and a drain that it misses.
#[derive(Clone, Copy, Debug)]
struct UnansweredWatchAfterReload {
    mode: DiscoveryMode,
    sender_count: u64,
    /// How long after the watch has become unresponsive the endpoint drains.
    drained_after: Duration,
}

impl UnansweredWatchAfterReload {
    async fn run(self) -> DrainScenario {
        let mut scenario = DrainScenario::start(self.mode, self.sender_count).await;
        sleep(BEFORE_FIRST_RELOAD).await;
        scenario.move_discovery();
        sleep(FOLLOWED).await;
        // The next watch starts now.
        scenario.discovery.change(scenario.staying_record());
        sleep(FOLLOWED / 2).await;
        scenario.discovery.until_watched().await;
        scenario.discovery.silence_open_watches();
        sleep(self.drained_after).await;
        scenario.drain();
        scenario
    }
}

#[tokio::test]
async fn calls_stop_to_an_endpoint_whose_drain_an_unanswered_watch_at_a_new_address_misses() {
    let mut cases = Vec::new();
    for (mode, sender_count) in [(DiscoveryMode::Ask, 3), (DiscoveryMode::Ask, 45), (DiscoveryMode::Push, 3)]
    {
        for drained_after_ms in [0, 1000, 2000] {
            let drained_after = Duration::from_millis(drained_after_ms);
            cases.push(UnansweredWatchAfterReload { mode, sender_count, drained_after });
        }
    }
    run_cases(cases, LONGEST_DELAY, UnansweredWatchAfterReload::run).await;
}
