//! Processes that continue the timeline of the state folder while the wall clock differs from it, as after a
//! step.
//!
//! The tests cannot set the clock of the machine. They shift the stored timeline before a process starts on
//! an empty journal instead: for this process and its successors, the wall clock has been stepped by as much.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs;
use std::os::unix::net::UnixListener;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::{CLOCK_STEP_MS, ClockStep, Fixture, ForwarderProcess, QUIET_PERIOD, one_call_slot};
use tokio::time::sleep;

/// The key lifetime in the test that waits until the key has expired.
const SHORT_KEY_LIFETIME_MS: u64 = 1500;

/// The number of messages whose bodies make the journal long enough to be compacted.
const COMPACTED_MESSAGES: usize = 20;
const LARGE_BODY_BYTES: usize = 20_000;

/// Starts a forwarder whose timeline differs from the wall clock, as after this step.
async fn start_after(step: ClockStep, change: impl FnOnce(&mut Value)) -> Fixture {
    let mut fixture = Fixture::start_inheriting(change).await;
    fixture.forwarder.kill();
    fixture.forwarder.shift_stored_timeline(step);
    fixture.forwarder.restart().await;
    fixture
}

/// The deadline of the first message in the journal, in milliseconds from the wall clock.
fn journaled_deadline_from_now(forwarder: &ForwarderProcess) -> i64 {
    let journal = fs::read(forwarder.journal_file()).expect("a journal");
    let text = String::from_utf8_lossy(&journal);
    let (_, rest) = text.split_once("\"deadline\":").expect("a message");
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).expect("a present time");
    digits.parse::<i64>().expect("a number") - wall.as_millis() as i64
}

#[tokio::test]
async fn a_message_with_time_left_is_delivered_after_a_step_and_a_restart() {
    for (step, expected) in
        [(ClockStep::Forward, 20_000 - CLOCK_STEP_MS), (ClockStep::Back, 20_000 + CLOCK_STEP_MS)]
    {
        let mut fixture = start_after(step, one_call_slot).await;
        fixture.forwarder.submit("keyed", "in-flight", 20_000).await;
        let call = fixture.endpoint.next_call().await;
        fixture.forwarder.submit("unsafe", "queued", 20_000).await;
        let deadline = journaled_deadline_from_now(&fixture.forwarder);
        assert!((expected - 10_000..=expected).contains(&deadline), "{step:?}: {deadline}");
        fixture.forwarder.kill();
        call.closed().await;
        fixture.forwarder.restart().await;
        for _ in 0..2 {
            let call = fixture.endpoint.next_call().await;
            let remaining: i64 = call.header("req-deadline-ms").parse().expect("milliseconds");
            assert!((1..=20_000).contains(&remaining), "{step:?}: {remaining}");
            call.respond(200);
        }
        fixture.forwarder.until_delivered("keyed", "in-flight").await;
        fixture.forwarder.until_delivered("unsafe", "queued").await;
        assert!(fixture.discovery.is_quiet(QUIET_PERIOD).await, "{step:?}");
    }
}

#[tokio::test]
async fn a_deadline_that_passes_between_two_processes_has_passed_after_a_step() {
    for step in [ClockStep::Forward, ClockStep::Back] {
        let mut fixture = start_after(step, one_call_slot).await;
        fixture.forwarder.submit("unsafe", "first", 700).await;
        let call = fixture.endpoint.next_call().await;
        fixture.forwarder.submit("unsafe", "queued", 700).await;
        fixture.forwarder.kill();
        call.closed().await;
        // The deadline passes.
        sleep(Duration::from_millis(700)).await;
        fixture.forwarder.restart().await;
        let mut notices = fixture.discovery.notices().await;
        while notices.len() < 2 {
            notices.extend(fixture.discovery.notices().await);
        }
        assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await, "{step:?}");
    }
}

#[tokio::test]
async fn a_message_whose_key_has_expired_is_not_sent_again_after_a_step() {
    for step in [ClockStep::Forward, ClockStep::Back] {
        let mut fixture = start_after(step, |configuration| {
            configuration["settings"]["classes"][0]["keyTtl"] = json!(SHORT_KEY_LIFETIME_MS);
        })
        .await;
        fixture.forwarder.submit("keyed", "m", 20_000).await;
        let call = fixture.endpoint.next_call().await;
        fixture.forwarder.kill();
        call.closed().await;
        // The key expires.
        sleep(Duration::from_millis(SHORT_KEY_LIFETIME_MS)).await;
        fixture.forwarder.restart().await;
        assert_eq!(
            fixture.discovery.notice().await,
            json!({"message": "m", "outcome": "given_up"}),
            "{step:?}"
        );
        assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await, "{step:?}");
    }
}

#[tokio::test]
async fn outcomes_are_remembered_after_a_step() {
    for step in [ClockStep::Forward, ClockStep::Back] {
        let mut fixture = start_after(step, |_| {}).await;
        fixture.deliver("keyed", "delivered").await;
        fixture.forwarder.submit("unsafe", "failed", 9000).await;
        fixture.endpoint.next_call().await.respond(500);
        assert_eq!(fixture.discovery.notice().await["outcome"], "given_up");
        for restart in [false, true] {
            if restart {
                fixture.forwarder.kill();
                fixture.forwarder.restart().await;
            }
            assert_eq!(fixture.forwarder.submit("keyed", "delivered", 9000).await.status(), 200, "{step:?}");
            let failed = fixture.forwarder.submit("unsafe", "failed", 9000).await.status();
            assert!(failed != 202 && failed != 200, "{step:?}: {failed}");
        }
        assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await, "{step:?}");
    }
}

#[tokio::test]
async fn a_compaction_drops_no_remembered_outcome_after_a_step() {
    let mut fixture = start_after(ClockStep::Forward, |_| {}).await;
    fixture.deliver("keyed", "first").await;
    let body = vec![b'x'; LARGE_BODY_BYTES];
    for number in 0..COMPACTED_MESSAGES {
        let id = format!("m{number}");
        let reply = fixture.forwarder.submit_body(7, "keyed", &id, 9000, &body).await;
        assert_eq!(reply.status(), 202);
        fixture.endpoint.next_call().await.respond(200);
        fixture.forwarder.until_delivered("keyed", &id).await;
    }
    let length = fs::metadata(fixture.forwarder.journal_file()).expect("a journal").len();
    assert!(length < (COMPACTED_MESSAGES * LARGE_BODY_BYTES) as u64, "it was compacted");
    assert_eq!(fixture.forwarder.submit("keyed", "first", 9000).await.status(), 200);
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn a_successor_continues_the_timeline() {
    for step in [ClockStep::Forward, ClockStep::Back] {
        let mut fixture = start_after(step, one_call_slot).await;
        fixture.forwarder.submit("keyed", "in-flight", 20_000).await;
        let call_in_flight = fixture.endpoint.next_call().await;
        fixture.forwarder.submit("keyed", "queued", 20_000).await;
        let predecessor = fixture.forwarder.upgrade().await;
        let second_predecessor = fixture.forwarder.upgrade().await;
        call_in_flight.respond(200);
        let call = fixture.endpoint.next_call().await;
        assert_eq!(call.header("req-id"), "queued");
        let remaining: i64 = call.header("req-deadline-ms").parse().expect("milliseconds");
        assert!((1..=20_000).contains(&remaining), "{step:?}: {remaining}");
        call.respond(200);
        fixture.forwarder.until_delivered("keyed", "queued").await;
        assert!(fixture.discovery.is_quiet(QUIET_PERIOD).await, "{step:?}");
        drop((predecessor, second_predecessor));
    }
}

/// An earlier version of the program ignores the stored timeline and journals times of the wall clock. If
/// that clock was set back meanwhile, an attempt may be older than its journaled time says.
#[tokio::test]
async fn the_journal_of_an_earlier_version_is_read_by_the_wall_clock() {
    for step in [ClockStep::Forward, ClockStep::Back] {
        let mut fixture = Fixture::start_with("plain", one_call_slot).await;
        fixture.forwarder.submit("keyed", "in-flight", 20_000).await;
        let call = fixture.endpoint.next_call().await;
        fixture.forwarder.submit("unsafe", "queued", 20_000).await;
        fixture.forwarder.kill();
        call.closed().await;
        fixture.forwarder.shift_stored_timeline(step);
        // An earlier version recreates the socket when it starts.
        let socket = fixture.forwarder.state_file("handover");
        fs::remove_file(&socket).expect("the process has created it");
        drop(UnixListener::bind(&socket).expect("a free path"));
        fixture.forwarder.restart().await;
        let expected = match step {
            ClockStep::Forward => BTreeSet::from(["in-flight", "queued"].map(str::to_owned)),
            ClockStep::Back => {
                let notice = fixture.discovery.notice().await;
                assert_eq!(notice, json!({"message": "in-flight", "outcome": "given_up"}));
                BTreeSet::from(["queued".to_owned()])
            }
        };
        let mut delivered = BTreeSet::new();
        while delivered.len() < expected.len() {
            let call = fixture.endpoint.next_call().await;
            let remaining: i64 = call.header("req-deadline-ms").parse().expect("milliseconds");
            assert!((1..=20_000).contains(&remaining), "{step:?}: {remaining}");
            delivered.insert(call.header("req-id").to_owned());
            call.respond(200);
        }
        assert_eq!(delivered, expected, "{step:?}");
        assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await, "{step:?}");
    }
}

#[tokio::test]
async fn a_damaged_or_unusable_clock_file_does_not_keep_a_process_from_starting() {
    let mut fixture = Fixture::start().await;
    for content in [&b"damaged"[..], b"", b"\xff\xfe"] {
        fixture.forwarder.kill();
        fs::write(fixture.forwarder.state_file("clock"), content).expect("it is writable");
        fixture.forwarder.restart().await;
    }
    fixture.forwarder.kill();
    fs::remove_file(fixture.forwarder.state_file("clock")).expect("it was saved");
    fs::create_dir(fixture.forwarder.state_file("clock")).expect("a writable folder");
    fixture.forwarder.restart().await;
    fixture.deliver("keyed", "m").await;
}
