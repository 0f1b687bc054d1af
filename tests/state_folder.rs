//! Faults of the state folder: it cannot be opened at the start, or cannot be written for a while.

mod support;

use serde_json::json;
use std::fs;
use std::time::{Duration, Instant};
use support::{
    DiscoveryStub, Fixture, ForwarderProcess, FullListener, POLL_INTERVAL, QUIET_PERIOD, one_call_slot,
    plain_endpoint, submit,
};
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, timeout};

/// How long the folder is faulty in tests of what must not happen meanwhile.
const FAULT_PERIOD: Duration = Duration::from_millis(400);
/// A notice must arrive at most this long after the deadline of its message.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// The time from SIGTERM to SIGKILL.
const TIME_UNTIL_KILL: Duration = Duration::from_millis(3700);
/// How long a test waits until the forwarder has reacted to a fault or to its end.
const REACTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Submits a message under new ids until it is accepted, and returns its id.
async fn submit_until_accepted(fixture: &Fixture) -> String {
    let accepted = async {
        for number in 0.. {
            let id = format!("after-{number}");
            match fixture.forwarder.submit("unsafe", &id, 20_000).await.status().as_u16() {
                202 => return id,
                status => assert_eq!(status, 503),
            }
            sleep(POLL_INTERVAL).await;
        }
        unreachable!("the numbers do not end")
    };
    timeout(REACTION_TIMEOUT, accepted).await.expect("messages are accepted again")
}

#[tokio::test]
async fn messages_are_rejected_while_nothing_can_be_written_and_accepted_afterwards() {
    let mut fixture = Fixture::start_with_file_limit(|_| {}).await;
    fixture.deliver("unsafe", "before").await;
    fixture.forwarder.fail_journal_writes();
    let failed_at = Instant::now();
    let mut rejected = 0;
    while failed_at.elapsed() < FAULT_PERIOD {
        let reply = fixture.forwarder.submit("unsafe", &format!("during-{rejected}"), 20_000).await;
        assert_eq!(reply.status(), 503);
        rejected += 1;
    }
    fixture.forwarder.limit_files(None);
    let accepted = submit_until_accepted(&fixture).await;
    let call = fixture.endpoint.next_call().await;
    assert_eq!(call.header("req-id"), accepted);
    call.respond(200);
    fixture.forwarder.until_delivered("unsafe", &accepted).await;
    fixture.forwarder.kill();
    fixture.forwarder.restart().await;
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await && fixture.discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn a_call_waits_until_its_attempt_can_be_recorded_and_a_delivery_is_recorded_later() {
    let mut fixture = Fixture::start_with_file_limit(one_call_slot).await;
    assert_eq!(fixture.forwarder.submit("unsafe", "first", 20_000).await.status(), 202);
    let first = fixture.endpoint.next_call().await;
    assert_eq!(fixture.forwarder.submit("unsafe", "second", 20_000).await.status(), 202);
    fixture.forwarder.fail_journal_writes();
    first.respond(200);
    fixture.forwarder.until_delivered("unsafe", "first").await;
    assert!(fixture.endpoint.is_quiet(FAULT_PERIOD).await);
    fixture.forwarder.limit_files(None);
    let second = fixture.endpoint.next_call().await;
    assert_eq!(second.header("req-id"), "second");
    fixture.forwarder.kill();
    second.closed().await;
    fixture.forwarder.restart().await;
    assert_eq!(fixture.discovery.notice().await, json!({"message": "second", "outcome": "given_up"}));
    assert_eq!(fixture.forwarder.submit("unsafe", "first", 20_000).await.status(), 200);
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn a_call_whose_connection_is_established_while_nothing_can_be_written_is_withheld() {
    let (discovery, full) = (DiscoveryStub::start().await, FullListener::start().await);
    let known = [plain_endpoint("t", full.address, 7)];
    let forwarder = ForwarderProcess::start_with_file_limit(discovery.address, &known, |configuration| {
        configuration["settings"]["limits"]["connectTimeout"] = json!(9000.0);
    })
    .await;
    assert_eq!(forwarder.submit("unsafe", "m", 20_000).await.status(), 202);
    forwarder.fail_journal_writes();
    full.accept_queued().await;
    let (mut connection, _) = full.listener.accept().await.expect("it listens");
    let written = timeout(REACTION_TIMEOUT, connection.read(&mut [0; 1])).await.expect("it is closed");
    assert_eq!(written.expect("closed without a reset"), 0);
    forwarder.limit_files(None);
    timeout(REACTION_TIMEOUT, full.wait_for_write()).await.expect("the call is written later");
}

#[tokio::test]
async fn a_notice_is_sent_in_time_although_it_cannot_be_recorded() {
    let time_to_deadline = Duration::from_millis(900);
    let mut fixture = Fixture::start_with_file_limit(|_| {}).await;
    let submitted_at = Instant::now();
    assert_eq!(fixture.forwarder.submit("unsafe", "m", 900).await.status(), 202);
    let _call = fixture.endpoint.next_call().await;
    fixture.forwarder.fail_journal_writes();
    assert_eq!(fixture.discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    let elapsed = submitted_at.elapsed();
    assert!(elapsed >= time_to_deadline, "until then another process could deliver it: {elapsed:?}");
    assert!(elapsed < time_to_deadline + MAX_NOTICE_DELAY, "{elapsed:?}");
    fixture.forwarder.limit_files(None);
    submit_until_accepted(&fixture).await;
}

#[tokio::test]
async fn a_process_whose_folder_fails_ends_in_time_after_sigterm() {
    let mut fixture = Fixture::start_with_file_limit(|_| {}).await;
    assert_eq!(fixture.forwarder.submit("unsafe", "m", 20_000).await.status(), 202);
    let call = fixture.endpoint.next_call().await;
    fixture.forwarder.fail_journal_writes();
    call.respond(200);
    fixture.forwarder.until_delivered("unsafe", "m").await;
    let terminated_at = Instant::now();
    fixture.forwarder.terminate();
    assert!(fixture.forwarder.exit_status().await.success());
    assert!(terminated_at.elapsed() < TIME_UNTIL_KILL, "{:?}", terminated_at.elapsed());
    // The delivery could not be recorded. The message must not be sent again; a notice does no harm.
    fixture.forwarder.restart().await;
    assert_eq!(fixture.discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await);
}

/// Starts a forwarder that has accepted two messages, with a directory in place of this file of its state
/// folder.
async fn start_with_unusable(file: &str) -> Fixture {
    let mut fixture = Fixture::start_with("plain", one_call_slot).await;
    assert_eq!(fixture.forwarder.submit("unsafe", "first", 20_000).await.status(), 202);
    let _in_flight = fixture.endpoint.next_call().await;
    assert_eq!(fixture.forwarder.submit("unsafe", "second", 20_000).await.status(), 202);
    fixture.forwarder.kill();
    let path = fixture.forwarder.state_file(file);
    fs::rename(&path, path.with_extension("aside")).expect("it was created");
    fs::create_dir(&path).expect("nothing is there");
    fixture.forwarder.begin_restart();
    fixture.forwarder.wait_until_starting().await;
    fixture
}

#[tokio::test]
async fn a_process_waits_for_a_folder_that_cannot_be_opened() {
    for file in ["journal", "lock"] {
        let mut fixture = start_with_unusable(file).await;
        // Longer than the pause between two attempts to open the folder.
        assert!(fixture.endpoint.is_quiet(FAULT_PERIOD).await);
        assert!(fixture.forwarder.admin_command("ready").await.starts_with("NAK"));
        let path = fixture.forwarder.state_file(file);
        fs::remove_dir(&path).expect("it is empty");
        fs::rename(path.with_extension("aside"), &path).expect("it is there");
        fixture.forwarder.wait_until_ready().await;
        assert_eq!(fixture.discovery.notice().await, json!({"message": "first", "outcome": "given_up"}));
        let second = fixture.endpoint.next_call().await;
        assert_eq!(second.header("req-id"), "second");
        second.respond(200);
    }
}

#[tokio::test]
async fn a_process_that_waits_for_its_folder_ends_at_sigterm() {
    let mut fixture = start_with_unusable("journal").await;
    fixture.forwarder.terminate();
    assert!(fixture.forwarder.exit_status().await.success());
}

/// The number of messages that are submitted while a successor cannot open the journal. With the pause
/// between them, the successor retries several times meanwhile.
const SUBMISSIONS_DURING_UPGRADE: usize = 20;
const SUBMISSION_PAUSE: Duration = Duration::from_millis(50);

#[tokio::test]
async fn the_predecessor_serves_until_its_successor_can_open_the_journal() {
    let mut fixture = Fixture::start_inheriting(|_| {}).await;
    let (address, journal) = (fixture.forwarder.address, fixture.forwarder.journal_file());
    let aside = journal.with_extension("aside");
    fs::rename(&journal, &aside).expect("it was created");
    fs::create_dir(&journal).expect("nothing is there");
    let submissions = async {
        for number in 0..SUBMISSIONS_DURING_UPGRADE {
            let reply = submit(address, 7, "unsafe", &format!("m{number}"), 20_000, b"body").await;
            assert_eq!(reply.status(), 202);
            fixture.endpoint.next_call().await.respond(200);
            sleep(SUBMISSION_PAUSE).await;
        }
        fs::remove_dir(&journal).expect("it is empty");
        fs::rename(&aside, &journal).expect("it is there");
    };
    let (_predecessor, ()) = tokio::join!(fixture.forwarder.upgrade(), submissions);
    for number in 0..SUBMISSIONS_DURING_UPGRADE {
        fixture.forwarder.until_delivered("unsafe", &format!("m{number}")).await;
    }
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await && fixture.discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn a_successor_can_take_over_once_the_socket_for_it_can_be_created() {
    let mut fixture = Fixture::start_inheriting(|_| {}).await;
    fixture.forwarder.kill();
    let socket = fixture.forwarder.state_file("handover");
    fs::remove_file(&socket).expect("it was created");
    fs::create_dir(&socket).expect("nothing is there");
    fixture.forwarder.restart().await;
    fs::remove_dir(&socket).expect("it is empty");
    let _predecessor = fixture.forwarder.upgrade().await;
    fixture.deliver("unsafe", "m").await;
}
