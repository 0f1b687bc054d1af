//! The scenario of the drain tests: a forwarder under steady traffic to two endpoints, one of which drains.

use super::discovery_history::DiscoveryBehavior;
use super::discovery_stub::endpoint;
use super::drain_checker::{DrainViolation, ForwarderTimeline, ViolationSummary, check_drains};
use super::drain_rules::{DiscoveryMode, DrainSettings};
use super::first_byte_endpoint::{FirstByte, FirstByteEndpoint};
use super::forwarder_process::{ForwarderProcess, Predecessor};
use super::scripted_discovery::ScriptedDiscovery;
use super::steady_traffic::SteadyTraffic;
use super::{EVENT_TIMEOUT, POLL_INTERVAL};
use serde_json::{Value, json};
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The destination of all messages.
pub(crate) const DESTINATION: u64 = 7;
/// The grace period: how long requests to an endpoint may start after its drain counts as sent.
const STOP_SENDING_WITHIN: Duration = Duration::from_millis(500);
/// The maximum age of the list of a forwarder that calls the discovery service itself.
const ASK_WITHIN: Duration = Duration::from_secs(10);
/// Longer than any rule allows calls to a drained endpoint once the service can be reached.
pub(crate) const LONGEST_DELAY: Duration = Duration::from_millis(7500);
/// Longer than any rule allows calls to a drained endpoint while the service is slow or overloaded.
pub(crate) const LONGEST_SLOW_DELAY: Duration = Duration::from_secs(12);

/// How a forwarder is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwarderEnd {
    /// By SIGKILL.
    Killed,
    /// By SIGTERM.
    Terminated,
}

/// A forwarder under steady traffic, with its discovery service and endpoints.
pub(crate) struct DrainScenario {
    pub discovery: ScriptedDiscovery,
    /// The endpoint `draining`.
    pub draining: FirstByteEndpoint,
    /// The endpoint `staying`.
    pub staying: FirstByteEndpoint,
    pub forwarder: ForwarderProcess,
    pub traffic: SteadyTraffic,
    pub timeline: ForwarderTimeline,
    kind: String,
    settings: DrainSettings,
}

impl DrainScenario {
    /// Starts with this number of senders, and waits until the endpoint that will drain is called.
    pub(crate) async fn start(mode: DiscoveryMode, sender_count: u64) -> Self {
        DrainScenario::start_with(mode, sender_count, "plain", |_| {}).await
    }

    /// Starts with endpoints of this kind and with a configuration that `change` may edit.
    pub(crate) async fn start_with(
        mode: DiscoveryMode,
        sender_count: u64,
        kind: &str,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let (draining, staying) = (FirstByteEndpoint::start().await, FirstByteEndpoint::start().await);
        let scenario =
            DrainScenario::start_with_endpoints(mode, sender_count, kind, [draining, staying], change).await;
        scenario.until_called(&scenario.draining).await;
        scenario
    }

    /// Starts with a service that has this behavior from the beginning, and waits until the endpoint that
    /// will drain is called.
    pub(crate) async fn start_with_behavior(
        behavior: DiscoveryBehavior,
        mode: DiscoveryMode,
        sender_count: u64,
    ) -> Self {
        let endpoints = [FirstByteEndpoint::start().await, FirstByteEndpoint::start().await];
        let scenario =
            DrainScenario::start_scenario(behavior, mode, sender_count, "plain", endpoints, |_| {}).await;
        scenario.until_called(&scenario.draining).await;
        scenario
    }

    /// Starts with these endpoints: the one that will drain and the one that will stay.
    pub(crate) async fn start_with_endpoints(
        mode: DiscoveryMode,
        sender_count: u64,
        kind: &str,
        endpoints: [FirstByteEndpoint; 2],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let healthy = DiscoveryBehavior::Healthy;
        DrainScenario::start_scenario(healthy, mode, sender_count, kind, endpoints, change).await
    }

    async fn start_scenario(
        behavior: DiscoveryBehavior,
        mode: DiscoveryMode,
        sender_count: u64,
        kind: &str,
        [draining, staying]: [FirstByteEndpoint; 2],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let records = vec![
            endpoint("draining", draining.address, DESTINATION, kind, "in_service"),
            staying_record(&staying, kind),
        ];
        let discovery = ScriptedDiscovery::start(records.clone()).await;
        discovery.set_behavior(behavior);
        let timeline = ForwarderTimeline { starts: vec![Instant::now()], ..ForwarderTimeline::default() };
        let forwarder = ForwarderProcess::start_inheriting(discovery.address, &records, |configuration| {
            set_discovery(configuration, mode, sender_count);
            change(configuration);
        })
        .await;
        let traffic = SteadyTraffic::start(forwarder.address, DESTINATION, "steady");
        let settings = drain_settings(mode);
        DrainScenario {
            discovery,
            draining,
            staying,
            forwarder,
            traffic,
            timeline,
            kind: kind.to_owned(),
            settings,
        }
    }

    /// Waits until an endpoint has been called.
    pub(crate) async fn until_called(&self, endpoint: &FirstByteEndpoint) {
        let called = async {
            while endpoint.first_bytes().is_empty() {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(EVENT_TIMEOUT, called).await.expect("the endpoint is called");
    }

    /// The record of the endpoint that drains, in this state.
    pub(crate) fn draining_record(&self, state: &str) -> Value {
        endpoint("draining", self.draining.address, DESTINATION, &self.kind, state)
    }

    /// The record of the endpoint that stays.
    pub(crate) fn staying_record(&self) -> Value {
        staying_record(&self.staying, &self.kind)
    }

    /// Lists the endpoint as draining.
    pub(crate) fn drain(&self) {
        self.discovery.change(self.draining_record("terminating"));
    }

    /// Sets this behavior of the service, and makes the service healthy again after `duration`.
    pub(crate) async fn outage(&self, behavior: DiscoveryBehavior, duration: Duration) {
        self.discovery.set_behavior(behavior);
        sleep(duration).await;
        self.discovery.set_behavior(DiscoveryBehavior::Healthy);
    }

    /// Ends the forwarder in this way.
    pub(crate) async fn end_forwarder(&mut self, end: ForwarderEnd) {
        match end {
            ForwarderEnd::Killed => self.forwarder.kill(),
            ForwarderEnd::Terminated => {
                self.forwarder.terminate();
                self.forwarder.exit_status().await;
            }
        }
    }

    /// Starts the forwarder again after it has ended.
    pub(crate) async fn restart(&mut self) {
        self.timeline.starts.push(Instant::now());
        self.forwarder.restart().await;
    }

    /// Starts a successor and waits until it is ready.
    pub(crate) async fn upgrade(&mut self) -> Predecessor {
        let start = Instant::now();
        let predecessor = self.forwarder.upgrade().await;
        self.timeline.upgrades.push(start..Instant::now());
        predecessor
    }

    /// Moves discovery to another address, and configures the forwarder to use it.
    pub(crate) fn move_discovery(&mut self) {
        self.discovery.move_to_new_address();
        self.reload(self.discovery.address);
    }

    /// Configures the forwarder to use discovery at this address, by SIGHUP.
    pub(crate) fn reload(&mut self, address: SocketAddr) {
        self.timeline.reloads.push(Instant::now());
        self.forwarder.reload(|configuration| configuration["discovery"] = json!(address.to_string()));
    }

    /// All first bytes so far.
    pub(crate) fn first_bytes(&self) -> Vec<FirstByte> {
        [self.draining.first_bytes(), self.staying.first_bytes()].concat()
    }

    /// Asserts that a request was sent to an endpoint in each full second between these instants.
    pub(crate) fn assert_served(&self, from: Instant, until: Instant) {
        let mut second = from;
        while second + Duration::from_secs(1) <= until {
            let span = second..second + Duration::from_secs(1);
            let is_served = self.first_bytes().iter().any(|first_byte| span.contains(&first_byte.at));
            assert!(is_served, "no message was sent {} s after the start", (second - from).as_secs());
            second = span.end;
        }
    }

    /// The violations of the drain rule so far.
    pub(crate) fn violations(&self) -> Vec<DrainViolation> {
        let history = self.discovery.history();
        check_drains(self.settings, DESTINATION, &history, &self.timeline, &self.first_bytes())
    }

    /// Lets the scenario continue for `duration`, and asserts that it kept the drain rule and that the
    /// endpoint that stays was still called.
    pub(crate) async fn finish_after(self, duration: Duration) {
        let began_at = Instant::now();
        sleep(duration).await;
        assert_eq!(self.problem(began_at), None);
    }

    /// Describes what is wrong: violations of the drain rule, or that the endpoint that stays was not called
    /// since this instant.
    fn problem(&self, since: Instant) -> Option<String> {
        let violations = self.violations();
        let last = self.staying.first_bytes().last().map(|first_byte| first_byte.at);
        if !violations.is_empty() {
            Some(ViolationSummary(&violations).to_string())
        } else if last.is_none_or(|at| at <= since) {
            Some("the endpoint that stays gets no message".to_owned())
        } else {
            None
        }
    }
}

/// Runs all cases concurrently and lets each continue for `then`. Asserts that each kept the drain rule, and
/// that the endpoint that stays was still called.
pub(crate) async fn run_cases<C, F>(cases: Vec<C>, then: Duration, run_case: fn(C) -> F)
where
    C: Copy + fmt::Debug + Send + 'static,
    F: Future<Output = DrainScenario> + Send + 'static,
{
    let mut runs = JoinSet::new();
    for case in cases {
        runs.spawn(async move {
            let scenario = run_case(case).await;
            let began_at = Instant::now();
            sleep(then).await;
            scenario.problem(began_at).map(|problem| format!("{case:?}: {problem}"))
        });
    }
    let problems: Vec<String> = runs.join_all().await.into_iter().flatten().collect();
    assert!(problems.is_empty(), "{} cases:\n{}", problems.len(), problems.join("\n"));
}

/// The record of the endpoint that stays. It is in another zone than the forwarder, so the forwarder prefers
/// the endpoint that drains while that one is in service.
pub(super) fn staying_record(staying: &FirstByteEndpoint, kind: &str) -> Value {
    let mut record = endpoint("staying", staying.address, DESTINATION, kind, "in_service");
    record["az"] = json!("b");
    record
}

/// The settings of the forwarders in the drain tests.
pub(crate) fn drain_settings(mode: DiscoveryMode) -> DrainSettings {
    DrainSettings { mode, stop_sending_within: STOP_SENDING_WITHIN, ask_within: ASK_WITHIN }
}

/// Configures how the forwarder gets the list, the number of senders and the time limits of the drain rule.
pub(crate) fn set_discovery(configuration: &mut Value, mode: DiscoveryMode, sender_count: u64) {
    let settings = &mut configuration["settings"];
    settings["discovery"] = json!(match mode {
        DiscoveryMode::Ask => "ask",
        DiscoveryMode::Push => "push",
    });
    settings["zones"] = json!(["a", "b"]);
    settings["peersTotal"] = json!(sender_count);
    settings["guarantees"]["askWithin"] = json!(ASK_WITHIN.as_millis() as f64);
    settings["guarantees"]["stopSendingWithin"] = json!(STOP_SENDING_WITHIN.as_millis() as f64);
}
