//! Holds the bytes of the hand-over: two versions of the program speak to each other, so no frame may change
//! unnoticed.

use super::*;
use crate::api::Condition;
use crate::net::discovery::State;

/// Each frame as version 0.1.0 wrote it, one a line, in the order of [`every_frame`].
const FRAMES: &str = include_str!("../../../tests/fixtures/handover/frames.jsonl");

fn target(uid: &str, endpoint: &str, state: State) -> Line {
    Line {
        uid: uid.to_owned(),
        endpoint: endpoint.parse().expect("an address"),
        az: "hall-a".to_owned(),
        model: "small".to_owned(),
        pod_group: 7,
        state,
        capacity_hint: 1.5,
    }
}

fn targets() -> Vec<Line> {
    vec![
        target("endpoint-1", "10.0.0.1:8080", State::InService),
        target("endpoint-2", "10.0.0.2:8080", State::Terminating),
        target("endpoint-3", "10.0.0.3:8080", State::Terminated),
        target("endpoint-4", "[fd00::4]:8080", State::Other),
    ]
}

fn learnt(target: Option<u64>, state: Condition, limits: Option<(f64, f64)>) -> Learnt {
    Learnt {
        dest: 7,
        target,
        wait_for: 1_500_000,
        due_in: -20,
        state,
        base: 12.5,
        age: 60_000_000,
        sent: 0.1,
        health: [3.0, 0.25, 1e-9],
        usual: 40_000.0,
        pace: 41_000.5,
        limit: limits.map(|(limit, _)| limit),
        ceiling: limits.map(|(_, ceiling)| ceiling),
    }
}

fn rest() -> Frame {
    let cold = Condition::Cold { since: 2_000_000 };
    Frame::Rest(Box::new(Rest {
        rev: 42,
        targets: targets(),
        calls: vec![
            Out {
                target: "endpoint-1".to_owned(),
                age: 1234,
                attempts: vec![("m-1".to_owned(), 0), ("m-2".to_owned(), 3)],
            },
            Out { target: "endpoint-2".to_owned(), age: 0, attempts: vec![] },
        ],
        clients: 5,
        learnt: vec![
            (None, learnt(None, Condition::Well, None)),
            (Some("endpoint-1".to_owned()), learnt(Some(3), cold, Some((10.0, 80.5)))),
            (None, learnt(None, Condition::Down { next_try: 500_000 }, Some((0.25, 1.0)))),
        ],
    }))
}

fn empty_rest() -> Frame {
    Frame::Rest(Box::new(Rest { rev: 0, targets: vec![], calls: vec![], clients: 0, learnt: vec![] }))
}

fn ended(outcome: Outcome) -> Ended {
    Ended {
        message: "m-1".to_owned(),
        attempt: 2,
        outcome,
        finished: false,
        report: None,
        wait: None,
        unsent: false,
    }
}

fn every_outcome() -> Frame {
    Frame::Ended(vec![
        Ended { finished: true, ..ended(Outcome::Delivered) },
        Ended { report: Some(Report { limit: None }), ..ended(Outcome::Error) },
        Ended { report: Some(Report { limit: Some(12.5) }), ..ended(Outcome::Full { wait: None }) },
        Ended { wait: Some(1_500_000), ..ended(Outcome::Full { wait: Some(1_500_000) }) },
        ended(Outcome::TimedOut),
        Ended { unsent: true, ..ended(Outcome::ConnectFailed) },
        ended(Outcome::Reset),
        ended(Outcome::Spoilt),
        ended(Outcome::Dead),
        ended(Outcome::Cancelled),
        Ended { finished: true, unsent: true, ..ended(Outcome::NotSent) },
    ])
}

fn handed_in(tenant: Option<&str>, key: Option<&str>) -> HandedIn {
    HandedIn {
        id: "m-9".to_owned(),
        class: "auth-notice".to_owned(),
        tenant: tenant.map(str::to_owned),
        dest: u64::MAX,
        key: key.map(str::to_owned),
        body: "aGVsbG8=".to_owned(),
        left: 2500,
    }
}

fn answers() -> Vec<Frame> {
    let refused = [None, Some(Duration::from_millis(1500)), Some(Duration::new(2, 7))].map(Answer::Refused);
    [Answer::Accepted, Answer::Delivered, Answer::Failed]
        .into_iter()
        .chain(refused)
        .map(|answer| Frame::Answered(11, answer))
        .collect()
}

fn operators_calls() -> Vec<Frame> {
    let endpoint = || "endpoint-1".to_owned();
    [
        admin::Call::Ready,
        admin::Call::Disable(endpoint()),
        admin::Call::Enable(endpoint()),
        admin::Call::Drain,
        admin::Call::Resume,
    ]
    .map(|call| Frame::Asked(12, call))
    .into()
}

/// The frames of the fixture, in its order.
fn every_frame() -> Vec<Frame> {
    let mut frames = vec![
        Frame::TakeOver,
        rest(),
        empty_rest(),
        Frame::Owned,
        Frame::Clients(3),
        every_outcome(),
        Frame::Ended(vec![]),
        Frame::CallOff("m-1".to_owned(), 2),
        Frame::GiveUp("m-1".to_owned(), 0),
        Frame::HandedIn(u64::MAX, handed_in(Some("tenant-a"), Some("key \"1\" \u{e9}"))),
        Frame::HandedIn(10, handed_in(None, None)),
    ];
    frames.extend(answers());
    frames.extend(operators_calls());
    frames.push(Frame::Replied(13, Ok("ready".to_owned())));
    frames.push(Frame::Replied(14, Err("no such endpoint".to_owned())));
    frames
}

fn write(frame: &Frame) -> String {
    serde_json::to_string(frame).expect("a frame can be written")
}

fn read(line: &str) -> Frame {
    serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"))
}

#[test]
fn each_frame_is_written_as_it_always_was() {
    let written: Vec<String> = every_frame().iter().map(write).collect();
    assert_eq!(written, FRAMES.lines().collect::<Vec<_>>());
}

#[test]
fn each_frame_of_an_earlier_version_is_read_whole() {
    for line in FRAMES.lines() {
        assert_eq!(write(&read(line)), line);
    }
}

#[test]
fn the_end_of_an_attempt_without_unsent_is_read() {
    let whole = write(&Frame::Ended(vec![ended(Outcome::Reset)]));
    let older = whole.replace(",\"unsent\":false", "");
    assert_ne!(older, whole);
    assert_eq!(write(&read(&older)), whole);
}

#[test]
fn a_target_without_a_capacity_hint_is_read() {
    let whole = write(&rest());
    let older = whole.replace(",\"capacity_hint\":1.5", "");
    assert_ne!(older, whole);
    let with_defaults = whole.replace("\"capacity_hint\":1.5", "\"capacity_hint\":1.0");
    assert_eq!(write(&read(&older)), with_defaults);
}
