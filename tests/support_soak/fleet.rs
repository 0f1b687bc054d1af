//! Runs a plan with real processes, and returns the rule violations.

use super::client::{MESSAGE_DEADLINE, PersistentClient, Submissions, stall_in_request};
use super::plan::{
    Incident, LISTED_ENDPOINTS, MemberPlan, Plan, ProcessStep, TERMINATION_GRACE, TRAFFIC_DURATION,
};
use super::rules::{MemberRecord, RunRecord, rule_violations};
use crate::support::{
    DESTINATION, EndpointBehavior, FirstByteEndpoint, ForwarderProcess, ForwarderTimeline, ScriptedDiscovery,
    drain_settings, endpoint, set_discovery,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// A client that stops in the middle of a request gets an error response or a close within this time.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_millis(3500);
/// Within this time after the last message has expired, its notice has arrived.
const NOTICE_ALLOWANCE: Duration = Duration::from_secs(3);

/// What the tasks of a run share.
struct SharedRun {
    discovery: Mutex<ScriptedDiscovery>,
    endpoints: Vec<FirstByteEndpoint>,
}

/// Carries out a plan, and returns the rule violations.
pub(crate) async fn run(plan: Plan) -> Vec<String> {
    let mut endpoints = Vec::new();
    for _ in 0..plan.endpoints {
        endpoints.push(FirstByteEndpoint::start().await);
    }
    let records: Vec<Value> =
        (0..LISTED_ENDPOINTS).map(|index| record(&endpoints, index, "in_service")).collect();
    let mut discovery = ScriptedDiscovery::start(records.clone()).await;
    discovery.set_latency(plan.latency_ms);
    discovery.set_behavior(plan.default_behavior);
    let addresses: Vec<SocketAddr> = (0..plan.members.len())
        .map(|member| if member == 0 { discovery.address } else { discovery.add_caller() })
        .collect();
    let shared = Arc::new(SharedRun { discovery: Mutex::new(discovery), endpoints });
    let mut starting = JoinSet::new();
    for (member, address) in addresses.into_iter().enumerate() {
        starting.spawn(Member::start(member, address, records.clone(), plan.clone()));
    }
    let members = starting.join_all().await;
    let started_at = Instant::now();
    let incidents = tokio::spawn(run_incidents(plan.clone(), shared.clone(), started_at));
    let mut runs = JoinSet::new();
    for member in members {
        runs.spawn(member.run_plan(plan.clone(), shared.clone(), started_at));
    }
    let finished = runs.join_all().await;
    incidents.await.expect("the task of the incidents has ended");
    sleep(MESSAGE_DEADLINE + NOTICE_ALLOWANCE).await;
    // A separate statement, because the members lock the service again to create their records.
    let noticed_messages = shared.lock_discovery().noticed_messages();
    let record = RunRecord {
        settings: drain_settings(plan.mode),
        destination: DESTINATION,
        noticed_messages,
        first_bytes: shared.endpoints.iter().flat_map(FirstByteEndpoint::first_bytes).collect(),
        members: finished.iter().map(|member| member.record(&shared)).collect(),
    };
    rule_violations(&record)
}

impl SharedRun {
    fn lock_discovery(&self) -> MutexGuard<'_, ScriptedDiscovery> {
        self.discovery.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn record(endpoints: &[FirstByteEndpoint], index: usize, state: &str) -> Value {
    endpoint(&format!("endpoint{index}"), endpoints[index].address, DESTINATION, "plain", state)
}

async fn run_incidents(plan: Plan, shared: Arc<SharedRun>, started_at: Instant) {
    for (at, incident) in &plan.incidents {
        sleep_until((started_at + *at).into()).await;
        match *incident {
            Incident::Drain(index) => {
                shared.lock_discovery().change(record(&shared.endpoints, index, "terminating"));
            }
            Incident::Remove(index) => shared.lock_discovery().remove(&format!("endpoint{index}")),
            Incident::Add(index) => {
                shared.lock_discovery().change(record(&shared.endpoints, index, "in_service"));
            }
            Incident::RestartDiscovery => shared.lock_discovery().restart_at_revision(1),
            Incident::FailResponse(member, fault) => shared.lock_discovery().set_fault(member, fault),
            Incident::SilenceWatches => shared.lock_discovery().silence_open_watches(),
            Incident::Discovery(behavior, duration) => {
                shared.lock_discovery().set_behavior(behavior);
                let (shared, default_behavior) = (shared.clone(), plan.default_behavior);
                tokio::spawn(async move {
                    sleep(duration).await;
                    shared.lock_discovery().set_behavior(default_behavior);
                });
            }
            Incident::Endpoint(index, behavior, duration) => {
                shared.endpoints[index].set_behavior(behavior);
                let shared = shared.clone();
                tokio::spawn(async move {
                    sleep(duration).await;
                    shared.endpoints[index].set_behavior(EndpointBehavior::Deliver);
                });
            }
        }
    }
}

/// A forwarder of the fleet with its clients.
struct Member {
    number: usize,
    forwarder: ForwarderProcess,
    timeline: ForwarderTimeline,
    /// When SIGTERM and SIGKILL were sent to the process.
    ended_at: Vec<Instant>,
    /// When the process was ready after each start.
    ready_at: Vec<Instant>,
    submissions: Submissions,
    idle_clients: Vec<TcpStream>,
    /// The tasks that kill predecessors after an upgrade.
    predecessors: JoinSet<()>,
    /// How many clients stopped in the middle of a request and got neither an error nor a close.
    ignored_clients: usize,
}

impl Member {
    async fn start(number: usize, discovery: SocketAddr, records: Vec<Value>, plan: Plan) -> Self {
        let start = Instant::now();
        let MemberPlan { clock_step, options, .. } = plan.members[number].clone();
        let change = |configuration: &mut Value| {
            set_discovery(configuration, plan.mode, plan.members.len() as u64);
            configuration["limits"]["sockets"] = json!(256);
            configuration["settings"]["guarantees"]["fallMultiple"] = json!(20.0);
        };
        let mut forwarder = ForwarderProcess::start_with(discovery, &records, change, options).await;
        if let Some(step) = clock_step {
            forwarder.kill();
            forwarder.shift_stored_timeline(step);
            forwarder.restart().await;
        }
        let mut idle_clients = Vec::new();
        for _ in 0..plan.traffic.idle_clients {
            idle_clients.extend(TcpStream::connect(forwarder.address).await.ok());
        }
        Member {
            number,
            forwarder,
            timeline: ForwarderTimeline { starts: vec![start], ..ForwarderTimeline::default() },
            ended_at: Vec::new(),
            ready_at: vec![Instant::now()],
            submissions: Submissions::default(),
            idle_clients,
            predecessors: JoinSet::new(),
            ignored_clients: 0,
        }
    }

    async fn run_plan(mut self, plan: Plan, shared: Arc<SharedRun>, started_at: Instant) -> Self {
        let mut clients = JoinSet::new();
        // If each member has one client, the class of its messages alternates between the members.
        let first = if plan.traffic.clients == 1 { self.number % 2 } else { 0 };
        for client in first..first + plan.traffic.clients {
            let persistent_client = PersistentClient {
                address: self.forwarder.address,
                name: format!("member{}-{client}", self.number),
                class: if client == 0 { "unsafe" } else { "keyed" },
                interval: plan.traffic.interval,
                submissions: self.submissions.clone(),
            };
            clients.spawn(persistent_client.run(started_at + TRAFFIC_DURATION));
        }
        let mut stalled_clients = JoinSet::new();
        for _ in 0..plan.traffic.stalled_clients {
            stalled_clients.spawn(stall_in_request(self.forwarder.address, STALLED_CLIENT_TIMEOUT));
        }
        for step in plan.members[self.number].steps.clone() {
            self.execute(step, &shared).await;
        }
        clients.join_all().await;
        while self.predecessors.join_next().await.is_some() {}
        let ended = stalled_clients.join_all().await;
        self.ignored_clients = ended.into_iter().filter(|ended| !ended).count();
        self
    }

    async fn execute(&mut self, step: ProcessStep, shared: &SharedRun) {
        match step {
            ProcessStep::Wait(duration) => sleep(duration).await,
            ProcessStep::Terminate => {
                self.ended_at.push(Instant::now());
                self.forwarder.terminate();
            }
            ProcessStep::Kill => {
                self.ended_at.push(Instant::now());
                self.forwarder.kill();
                self.idle_clients.clear();
            }
            ProcessStep::Start => {
                self.timeline.starts.push(Instant::now());
                self.forwarder.restart().await;
                self.ready_at.push(Instant::now());
            }
            ProcessStep::Upgrade => self.upgrade().await,
            ProcessStep::FailStateWrites(duration) => {
                self.forwarder.fail_journal_writes();
                sleep(duration).await;
                self.forwarder.limit_files(None);
            }
            ProcessStep::Pause(duration) => {
                self.forwarder.pause();
                sleep(duration).await;
                self.forwarder.resume();
            }
            ProcessStep::MoveDiscovery => {
                let address = shared.lock_discovery().move_caller(self.number);
                self.timeline.reloads.push(Instant::now());
                self.forwarder
                    .reload(|configuration| configuration["discovery"] = json!(address.to_string()));
            }
        }
    }

    /// Starts a successor, and ends the predecessor as the platform does.
    async fn upgrade(&mut self) {
        let start = Instant::now();
        let mut predecessor = self.forwarder.upgrade().await;
        self.timeline.upgrades.push(start..Instant::now());
        predecessor.terminate();
        self.predecessors.spawn(async move {
            sleep(TERMINATION_GRACE).await;
            predecessor.kill();
        });
    }

    fn record(&self, shared: &SharedRun) -> MemberRecord {
        MemberRecord {
            name: format!("member{}", self.number),
            timeline: self.timeline.clone(),
            ended_at: self.ended_at.clone(),
            ready_at: self.ready_at.clone(),
            submissions: self.submissions.lock().clone(),
            ignored_clients: self.ignored_clients,
            discovery: shared.lock_discovery().history_of(self.number),
        }
    }
}
