//! Tests that the serialized frames of an upgrade match a fixture. Two versions of the program exchange them,
//! so that a changed name or form would break an upgrade between these versions.

use super::*;
use crate::forwarder::messages::admin_command::AdminCommand;
use crate::forwarder::messages::attempt::AttemptRef;
use crate::forwarder::messages::client_request::ClientReply;
use crate::forwarder::messages::endpoint_list::{EndpointRecord, LifecycleState};
use crate::interface::{HealthState, LearnedState, LoadReport, Outcome};
use std::time::Duration;

/// The frames as version 0.1.0 wrote them, one per line, in the order of [`every_frame`].
const FRAMES: &str = include_str!("../../../tests/fixtures/handover/frames.jsonl");

fn endpoint(uid: &str, address: &str, state: LifecycleState) -> EndpointRecord {
    EndpointRecord {
        uid: uid.to_owned(),
        address: address.parse().expect("an address"),
        zone: "hall-a".to_owned(),
        kind: "small".to_owned(),
        destination: 7,
        state,
        weight: 1.5,
    }
}

fn endpoints() -> Vec<EndpointRecord> {
    vec![
        endpoint("endpoint-1", "10.0.0.1:8080", LifecycleState::InService),
        endpoint("endpoint-2", "10.0.0.2:8080", LifecycleState::Terminating),
        endpoint("endpoint-3", "10.0.0.3:8080", LifecycleState::Terminated),
        endpoint("endpoint-4", "[fd00::4]:8080", LifecycleState::Other),
    ]
}

fn learned(endpoint: Option<u64>, health: HealthState, limits: Option<(f64, f64)>) -> LearnedState {
    LearnedState {
        destination: 7,
        endpoint,
        retry_after: 1_500_000,
        next_call_in: -20,
        health,
        healthy_rate: 12.5,
        age: 60_000_000,
        calls_sent: 0.1,
        outcome_counts: [3.0, 0.25, 1e-9],
        usual_latency: 40_000.0,
        recent_latency: 41_000.5,
        rate_limit: limits.map(|(limit, _)| limit),
        reported_limit: limits.map(|(_, ceiling)| ceiling),
    }
}

fn attempt(message: &str, attempt: usize) -> AttemptRef {
    AttemptRef { message: message.to_owned(), attempt }
}

fn learned_entry(uid: Option<&str>, state: LearnedState) -> LearnedEntry {
    LearnedEntry { endpoint: uid.map(str::to_owned), state }
}

fn handoff() -> Frame {
    let warming_up = HealthState::WarmingUp { since: 2_000_000 };
    Frame::Handoff(Box::new(HandoffState {
        revision: 42,
        endpoints: endpoints(),
        calls: vec![
            InFlightCall {
                endpoint: "endpoint-1".to_owned(),
                age: 1234,
                attempts: vec![attempt("m-1", 0), attempt("m-2", 3)],
            },
            InFlightCall { endpoint: "endpoint-2".to_owned(), age: 0, attempts: vec![] },
        ],
        client_connections: 5,
        learned: vec![
            learned_entry(None, learned(None, HealthState::Healthy, None)),
            learned_entry(Some("endpoint-1"), learned(Some(3), warming_up, Some((10.0, 80.5)))),
            learned_entry(None, learned(None, HealthState::Down { next_probe: 500_000 }, Some((0.25, 1.0)))),
        ],
        list_is_fresh: false,
    }))
}

fn empty_handoff() -> Frame {
    Frame::Handoff(Box::new(HandoffState {
        revision: 0,
        endpoints: vec![],
        calls: vec![],
        client_connections: 0,
        learned: vec![],
        list_is_fresh: false,
    }))
}

fn ended(outcome: Outcome) -> EndedAttempt {
    EndedAttempt {
        message: "m-1".to_owned(),
        attempt: 2,
        outcome,
        finished: false,
        report: None,
        retry_after: None,
        unsent: false,
    }
}

fn every_outcome() -> Frame {
    Frame::AttemptsEnded(vec![
        EndedAttempt { finished: true, ..ended(Outcome::Delivered) },
        EndedAttempt { report: Some(LoadReport { limit: None }), ..ended(Outcome::Error) },
        EndedAttempt {
            report: Some(LoadReport { limit: Some(12.5) }),
            ..ended(Outcome::Rejected { retry_after: None })
        },
        EndedAttempt {
            retry_after: Some(1_500_000),
            ..ended(Outcome::Rejected { retry_after: Some(1_500_000) })
        },
        ended(Outcome::TimedOut),
        EndedAttempt { unsent: true, ..ended(Outcome::ConnectFailed) },
        ended(Outcome::Reset),
        ended(Outcome::InvalidResponse),
        ended(Outcome::StaleConnection),
        ended(Outcome::Cancelled),
        EndedAttempt { finished: true, unsent: true, ..ended(Outcome::NotSent) },
    ])
}

fn forwarded_request(tenant: Option<&str>, key: Option<&str>) -> ForwardedRequest {
    ForwardedRequest {
        id: "m-9".to_owned(),
        class: "auth-notice".to_owned(),
        tenant: tenant.map(str::to_owned),
        destination: u64::MAX,
        idempotency_key: key.map(str::to_owned),
        body: "aGVsbG8=".to_owned(),
        remaining_ms: 2500,
    }
}

fn client_replies() -> Vec<Frame> {
    let rejected =
        [None, Some(Duration::from_millis(1500)), Some(Duration::new(2, 7))].map(ClientReply::Rejected);
    [ClientReply::Accepted, ClientReply::Delivered, ClientReply::Failed]
        .into_iter()
        .chain(rejected)
        .map(|reply| Frame::ClientReply(11, reply))
        .collect()
}

fn admin_commands() -> Vec<Frame> {
    let endpoint = || "endpoint-1".to_owned();
    [
        AdminCommand::Ready,
        AdminCommand::Disable(endpoint()),
        AdminCommand::Enable(endpoint()),
        AdminCommand::Drain,
        AdminCommand::Resume,
    ]
    .map(|command| Frame::AdminCommand(12, command))
    .into()
}

/// The frames of the fixture, in the same order.
fn every_frame() -> Vec<Frame> {
    let mut frames = vec![
        Frame::TakeOver,
        handoff(),
        empty_handoff(),
        Frame::Owned,
        Frame::ClientConnections(3),
        every_outcome(),
        Frame::AttemptsEnded(vec![]),
        Frame::CancelAttempt(attempt("m-1", 2)),
        Frame::AbandonMessage(attempt("m-1", 0)),
        Frame::ClientRequest(u64::MAX, forwarded_request(Some("tenant-a"), Some("key \"1\" \u{e9}"))),
        Frame::ClientRequest(10, forwarded_request(None, None)),
    ];
    frames.extend(client_replies());
    frames.extend(admin_commands());
    frames.push(Frame::AdminReply(13, Ok("ready".into())));
    frames.push(Frame::AdminReply(14, Err("no such endpoint".into())));
    frames
}

fn to_json(frame: &Frame) -> String {
    serde_json::to_string(frame).expect("a frame can be serialized")
}

fn from_json(line: &str) -> Frame {
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}"))
}

#[test]
fn each_frame_is_serialized_as_in_the_fixture() {
    let serialized: Vec<String> = every_frame().iter().map(to_json).collect();
    assert_eq!(serialized, FRAMES.lines().collect::<Vec<_>>());
}

#[test]
fn each_frame_of_an_earlier_version_is_read_completely() {
    for line in FRAMES.lines() {
        assert_eq!(to_json(&from_json(line)), line);
    }
}

#[test]
fn an_ended_attempt_without_unsent_is_read() {
    let complete = to_json(&Frame::AttemptsEnded(vec![ended(Outcome::Reset)]));
    let without_field = complete.replace(",\"unsent\":false", "");
    assert_ne!(without_field, complete);
    assert_eq!(to_json(&from_json(&without_field)), complete);
}

#[test]
fn an_endpoint_without_a_capacity_hint_is_read() {
    let complete = to_json(&handoff());
    let without_field = complete.replace(",\"capacity_hint\":1.5", "");
    assert_ne!(without_field, complete);
    let with_defaults = complete.replace("\"capacity_hint\":1.5", "\"capacity_hint\":1.0");
    assert_eq!(to_json(&from_json(&without_field)), with_defaults);
}
