//! Plays a plan with real processes, and returns what was broken.

use super::client::{KeptClient, MESSAGE_DEADLINE, Submissions};
use super::plan::{Incident, Plan, ProcessStep, REPLACED_ENDPOINTS, TRAFFIC};
use super::rules::{MemberRecord, RunRecord, broken_rules};
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

/// The connections of each member's clients.
const CLIENTS: usize = 4;
/// After the last message is out of time, its notice has arrived by then.
const SETTLING: Duration = Duration::from_secs(3);

/// What the tasks of a run share.
struct SharedRun {
    discovery: Mutex<ScriptedDiscovery>,
    endpoints: Vec<FirstByteEndpoint>,
}

/// Plays a run.
pub(crate) async fn play(plan: Plan) -> Vec<String> {
    let mut endpoints = Vec::new();
    for _ in 0..=REPLACED_ENDPOINTS {
        endpoints.push(FirstByteEndpoint::start().await);
    }
    let records: Vec<Value> =
        (0..endpoints.len()).map(|index| record(&endpoints, index, "in_service")).collect();
    let mut discovery = ScriptedDiscovery::start(records.clone()).await;
    discovery.set_latency(plan.latency_ms);
    discovery.set_behavior(plan.usual);
    let addresses: Vec<SocketAddr> = (0..plan.members.len())
        .map(|member| if member == 0 { discovery.address } else { discovery.add_caller() })
        .collect();
    let shared = Arc::new(SharedRun { discovery: Mutex::new(discovery), endpoints });
    let mut starting = JoinSet::new();
    for (member, address) in addresses.into_iter().enumerate() {
        starting.spawn(Member::start(member, address, records.clone(), plan.clone()));
    }
    let members = starting.join_all().await;
    let began_at = Instant::now();
    let incidents = tokio::spawn(play_incidents(plan.clone(), shared.clone(), began_at));
    let mut playing = JoinSet::new();
    for member in members {
        let steps = plan.members[member.number].clone();
        playing.spawn(member.play(steps, shared.clone(), began_at));
    }
    let played = playing.join_all().await;
    incidents.await.expect("the incidents are played");
    sleep(MESSAGE_DEADLINE + SETTLING).await;
    // Read before the members lock the service again.
    let noticed = shared.lock_discovery().noticed_messages();
    let record = RunRecord {
        settings: drain_settings(plan.mode),
        destination: DESTINATION,
        noticed,
        first_bytes: shared.endpoints.iter().flat_map(FirstByteEndpoint::first_bytes).collect(),
        members: played.iter().map(|member| member.record(&shared)).collect(),
    };
    broken_rules(&record)
}

impl SharedRun {
    fn lock_discovery(&self) -> MutexGuard<'_, ScriptedDiscovery> {
        self.discovery.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn record(endpoints: &[FirstByteEndpoint], index: usize, state: &str) -> Value {
    endpoint(&format!("endpoint{index}"), endpoints[index].address, DESTINATION, "plain", state)
}

async fn play_incidents(plan: Plan, shared: Arc<SharedRun>, began_at: Instant) {
    for (at, incident) in &plan.incidents {
        sleep_until((began_at + *at).into()).await;
        match *incident {
            Incident::Drain(index) => {
                shared.lock_discovery().change(record(&shared.endpoints, index, "terminating"));
            }
            Incident::Remove(index) => shared.lock_discovery().remove(&format!("endpoint{index}")),
            Incident::SpoilAnswer(member, fault) => shared.lock_discovery().spoil_next_answer(member, fault),
            Incident::SilenceWatches => shared.lock_discovery().silence_open_watches(),
            Incident::Discovery(behavior, duration) => {
                shared.lock_discovery().set_behavior(behavior);
                let (shared, usual) = (shared.clone(), plan.usual);
                tokio::spawn(async move {
                    sleep(duration).await;
                    shared.lock_discovery().set_behavior(usual);
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
    /// When signals that end the process were sent.
    ended_at: Vec<Instant>,
    /// When it was ready after each start.
    ready_at: Vec<Instant>,
    submissions: Submissions,
    crowd: Vec<TcpStream>,
}

impl Member {
    async fn start(number: usize, discovery: SocketAddr, records: Vec<Value>, plan: Plan) -> Self {
        let start = Instant::now();
        let forwarder = ForwarderProcess::start(discovery, &records, |configuration| {
            set_discovery(configuration, plan.mode, plan.members.len() as u64);
            configuration["limits"]["sockets"] = json!(256);
            configuration["settings"]["guarantees"]["fallMultiple"] = json!(20.0);
        })
        .await;
        let mut crowd = Vec::new();
        for _ in 0..plan.crowd {
            crowd.extend(TcpStream::connect(forwarder.address).await.ok());
        }
        Member {
            number,
            forwarder,
            timeline: ForwarderTimeline { starts: vec![start], ..ForwarderTimeline::default() },
            ended_at: Vec::new(),
            ready_at: vec![Instant::now()],
            submissions: Submissions::default(),
            crowd,
        }
    }

    async fn play(mut self, steps: Vec<ProcessStep>, shared: Arc<SharedRun>, began_at: Instant) -> Self {
        let mut clients = JoinSet::new();
        for client in 0..CLIENTS {
            let kept = KeptClient {
                address: self.forwarder.address,
                name: format!("member{}-{client}", self.number),
                class: if client == 0 { "unsafe" } else { "keyed" },
                submissions: self.submissions.clone(),
            };
            clients.spawn(kept.run(began_at + TRAFFIC));
        }
        for step in steps {
            self.take(step, &shared).await;
        }
        clients.join_all().await;
        self
    }

    async fn take(&mut self, step: ProcessStep, shared: &SharedRun) {
        match step {
            ProcessStep::Wait(duration) => sleep(duration).await,
            ProcessStep::Terminate => {
                self.ended_at.push(Instant::now());
                self.forwarder.terminate();
            }
            ProcessStep::Kill => {
                self.ended_at.push(Instant::now());
                self.forwarder.kill();
                self.crowd.clear();
            }
            ProcessStep::Start => {
                self.timeline.starts.push(Instant::now());
                self.forwarder.restart().await;
                self.ready_at.push(Instant::now());
            }
            ProcessStep::HoldUp(duration) => {
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

    fn record(&self, shared: &SharedRun) -> MemberRecord {
        MemberRecord {
            name: format!("member{}", self.number),
            timeline: self.timeline.clone(),
            ended_at: self.ended_at.clone(),
            ready_at: self.ready_at.clone(),
            submissions: self.submissions.lock().clone(),
            discovery: shared.lock_discovery().history_of(self.number),
        }
    }
}
