//! Drains right after the response to a watch, of which a crowded discovery service does not accept the next
//! call in time.
//!
//! A change between the response to a watch and the call that continues it counts as sent. The tests guard
//! against a list that passes for fresh while that call waits in the queue of the service, unseen by the
//! process that made it.

mod support;

use std::fmt;
use std::time::Duration;
use support::{
    DiscoveryBehavior, DiscoveryMode, DrainScenario, LONGEST_SLOW_DELAY, ResponseContent, WatchEnding,
    run_cases,
};
use tokio::time::{sleep, timeout};

/// How long the service is crowded.
const CROWD: Duration = Duration::from_secs(3);
/// Longer than the longest watch.
const LONGEST_WATCH: Duration = Duration::from_secs(65);
/// How long before its end the crowd begins that is there before a watch ends.
const EARLIER_CROWD: Duration = Duration::from_millis(1500);

/// In a quiet fleet of up to six senders, each has a second watch that is established after this time.
const STANDBY_ESTABLISHED: Duration = Duration::from_secs(12);

/// How a crowded service treats the calls that it does not accept in time.
#[derive(Clone, Copy, Debug)]
enum Crowd {
    /// It rejects them after this time.
    Rejects(Duration),
    /// It responds to them after this time.
    RespondsLate(Duration),
}

impl Crowd {
    fn behavior(self) -> DiscoveryBehavior {
        match self {
            Crowd::Rejects(patience) => DiscoveryBehavior::OverloadedByOthers { patience },
            Crowd::RespondsLate(delay) => {
                DiscoveryBehavior::Delayed { delay, content: ResponseContent::WhenWritten }
            }
        }
    }
}

/// An endpoint drains right after the response to a watch without a change. From that response on the service
/// is crowded.
#[derive(Clone, Copy)]
struct DrainAfterWatch {
    sender_count: u64,
    ending: WatchEnding,
    crowd: Crowd,
    /// Whether another change precedes the watch.
    follows_change: bool,
    /// How long nothing changes before.
    quiet_time: Duration,
}

impl fmt::Debug for DrainAfterWatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DrainAfterWatch { sender_count, ending, crowd, follows_change, .. } = self;
        write!(formatter, "{sender_count} senders, {ending:?}, {crowd:?}, after a change: {follows_change}")
    }
}

impl DrainAfterWatch {
    async fn run(self) -> DrainScenario {
        let scenario = DrainScenario::start(DiscoveryMode::Ask, self.sender_count).await;
        scenario.discovery.until_followed().await;
        scenario.discovery.until_watched().await;
        sleep(self.quiet_time).await;
        let drained = scenario.draining_record("terminating");
        scenario.discovery.change_after_watch(self.ending, self.crowd.behavior(), drained);
        if self.follows_change {
            scenario.discovery.change(scenario.staying_record());
        }
        until_drained(&scenario).await;
        sleep(CROWD).await;
        scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
        scenario
    }
}

/// Waits until the endpoint is listed as draining.
async fn until_drained(scenario: &DrainScenario) {
    let drained = async {
        while scenario.discovery.history().versions.last().is_some_and(|last| last.in_service.len() > 1) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LONGEST_WATCH, drained).await.expect("a watch ends");
}

/// The crowds of the cases: calls wait for longer than the grace period.
fn crowds() -> [Crowd; 4] {
    let seconds = Duration::from_secs;
    [
        Crowd::Rejects(seconds(1)),
        Crowd::Rejects(seconds(2)),
        Crowd::Rejects(seconds(3)),
        Crowd::RespondsLate(seconds(2)),
    ]
}

#[tokio::test]
async fn calls_stop_after_a_drain_behind_a_watch_without_a_change_whose_next_call_is_queued() {
    let cases = [3, 20, 45, 300].into_iter().flat_map(|sender_count| {
        crowds().map(|crowd| DrainAfterWatch {
            sender_count,
            ending: WatchEnding::Long,
            crowd,
            follows_change: false,
            quiet_time: Duration::ZERO,
        })
    });
    run_cases(cases.collect(), LONGEST_SLOW_DELAY, DrainAfterWatch::run).await;
}

/// The same after the short watch that checks, after a change, whether the service accepts calls in time: the
/// crowd begins with its response, and queues the long watch that follows.
#[tokio::test]
async fn calls_stop_after_a_drain_behind_a_verification_watch_whose_next_call_is_queued() {
    let cases = [3, 45, 300].into_iter().flat_map(|sender_count| {
        crowds().map(|crowd| DrainAfterWatch {
            sender_count,
            ending: WatchEnding::Short,
            crowd,
            follows_change: true,
            quiet_time: Duration::ZERO,
        })
    });
    run_cases(cases.collect(), LONGEST_SLOW_DELAY, DrainAfterWatch::run).await;
}

/// The same where nothing has changed for a while: another watch was established before, whose response arrives
/// in time.
#[tokio::test]
async fn calls_stop_after_a_drain_behind_a_verification_watch_beside_an_established_watch() {
    let cases = [3, 6].into_iter().flat_map(|sender_count| {
        [1, 2, 3].map(|patience| DrainAfterWatch {
            sender_count,
            ending: WatchEnding::Short,
            crowd: Crowd::Rejects(Duration::from_secs(patience)),
            follows_change: false,
            quiet_time: STANDBY_ESTABLISHED,
        })
    });
    run_cases(cases.collect(), LONGEST_SLOW_DELAY, DrainAfterWatch::run).await;
}

/// The crowd begins before the watch ends, and lasts until after the drain.
#[derive(Clone, Copy, Debug)]
struct EarlierCrowd {
    sender_count: u64,
    patience: Duration,
}

impl EarlierCrowd {
    async fn run(self) -> DrainScenario {
        let scenario = DrainScenario::start(DiscoveryMode::Ask, self.sender_count).await;
        scenario.discovery.until_followed().await;
        scenario.discovery.until_watched().await;
        let crowded = DiscoveryBehavior::OverloadedByOthers { patience: self.patience };
        let drained = scenario.draining_record("terminating");
        scenario.discovery.change_after_watch(WatchEnding::Long, crowded, drained);
        let wait = scenario.discovery.history().calls.last().and_then(|call| call.query.wait());
        sleep(wait.expect("a watch is open").saturating_sub(EARLIER_CROWD)).await;
        scenario.discovery.set_behavior(crowded);
        until_drained(&scenario).await;
        sleep(CROWD).await;
        scenario.discovery.set_behavior(DiscoveryBehavior::Healthy);
        scenario
    }
}

#[tokio::test]
async fn calls_stop_after_a_drain_behind_a_watch_that_ends_while_the_service_is_crowded() {
    let mut cases = Vec::new();
    for sender_count in [3, 20, 45] {
        for patience in [Duration::from_secs(1), Duration::from_secs(2)] {
            cases.push(EarlierCrowd { sender_count, patience });
        }
    }
    run_cases(cases, LONGEST_SLOW_DELAY, EarlierCrowd::run).await;
}
