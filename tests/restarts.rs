//! Restarts after SIGKILL and SIGTERM: what the next process does with the messages in the journal.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::time::{Duration, Instant};
use support::{
    DiscoveryStub, EndpointStub, Fixture, ForwarderProcess, FullListener, QUIET_PERIOD, RawEndpoint,
    one_call_slot, plain_endpoint,
};
use tokio::time::sleep;

/// The number of messages that are queued behind a call in flight when the process ends.
const QUEUED_MESSAGES: usize = 30;

#[tokio::test]
async fn after_sigkill_no_message_is_lost_and_no_unsafe_message_is_repeated() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("keyed", "keyed", 20_000).await;
    let keyed_call = fixture.endpoint.next_call().await;
    fixture.forwarder.submit("unsafe", "unsafe", 20_000).await;
    let unsafe_call = fixture.endpoint.next_call().await;
    fixture.discovery.push_changes(2, vec![plain_endpoint("t", fixture.endpoint.address, 7)]);
    fixture.forwarder.kill();
    keyed_call.closed().await;
    unsafe_call.closed().await;
    fixture.forwarder.restart().await;
    // Both may have been executed: the keyed one is retried, the unsafe one must not be.
    assert_eq!(fixture.discovery.notice().await, json!({"message": "unsafe", "outcome": "given_up"}));
    let retry = fixture.endpoint.next_call().await;
    assert_eq!(retry.header("req-id"), "keyed");
    retry.respond(200);
    fixture.forwarder.until_delivered("keyed", "keyed").await;
    fixture.forwarder.kill();
    fixture.forwarder.restart().await;
    assert!(fixture.endpoint.is_quiet(QUIET_PERIOD).await && fixture.discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn each_message_ends_once_however_often_the_process_is_killed() {
    let mut fixture = Fixture::start().await;
    let (mut delivered, mut failed) = (BTreeSet::new(), BTreeSet::new());
    for n in 0..24 {
        // Every third message is in flight when the process is killed.
        let id = format!("m{n}");
        assert_eq!(fixture.forwarder.submit("unsafe", &id, 20_000).await.status(), 202);
        if n % 3 == 0 {
            fixture.forwarder.kill();
            fixture.forwarder.restart().await;
        }
        while delivered.union(&failed).count() <= n {
            tokio::select! {
                call = fixture.endpoint.next_call() => {
                    // An unsafe message must never be sent twice.
                    assert!(delivered.insert(call.header("req-id").to_owned()), "{}", call.header("req-id"));
                    call.respond(200);
                }
                notices = fixture.discovery.notices() => {
                    let ids = notices.iter().filter_map(|notice| notice["message"].as_str());
                    // A message whose call was in flight at the kill may have been executed, and still gets
                    // a notice.
                    failed.extend(ids.filter(|failed_id| !delivered.contains(*failed_id)).map(str::to_owned));
                }
            }
        }
    }
}

#[tokio::test]
async fn a_message_whose_deadline_passed_between_two_processes_ends_at_once() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("unsafe", "m", 700).await;
    let call = fixture.endpoint.next_call().await;
    fixture.forwarder.kill();
    call.closed().await;
    // The deadline passes.
    sleep(Duration::from_millis(700)).await;
    fixture.forwarder.restart().await;
    let restarted = Instant::now();
    assert_eq!(fixture.discovery.notice().await["outcome"], "given_up");
    assert!(restarted.elapsed() < Duration::from_secs(3));
}

#[tokio::test]
async fn an_incomplete_record_at_the_end_of_the_journal_is_cut_off() {
    let mut fixture = Fixture::start().await;
    fixture.forwarder.submit("keyed", "m", 20_000).await;
    let call = fixture.endpoint.next_call().await;
    fixture.forwarder.kill();
    call.closed().await;
    let complete_length = fs::metadata(fixture.forwarder.journal_file()).expect("a journal").len();
    let mut file = OpenOptions::new().append(true).open(fixture.forwarder.journal_file()).expect("a journal");
    file.write_all(b"\x40\0\0\0torn").expect("it is writable");
    fixture.forwarder.restart().await;
    fixture.endpoint.next_call().await.respond(200);
    fixture.forwarder.until_delivered("keyed", "m").await;
    let journal = fs::read(fixture.forwarder.journal_file()).expect("a journal");
    assert!(journal.len() as u64 > complete_length && !journal.windows(4).any(|part| part == b"torn"));
}

#[tokio::test]
async fn a_journal_damaged_in_the_middle_loses_and_repeats_nothing() {
    let Fixture { mut discovery, endpoint: mut stub, mut forwarder } =
        Fixture::start_with("plain", one_call_slot).await;
    assert_eq!(forwarder.submit("unsafe", "sent", 28_000).await.status(), 202);
    let call_in_flight = stub.next_call().await;
    assert_eq!(forwarder.submit("keyed", "queued", 28_000).await.status(), 202);
    forwarder.kill();
    call_in_flight.closed().await;
    // The record of the attempt becomes unreadable, and its message must not be treated as never attempted.
    let mut journal = fs::read(forwarder.journal_file()).expect("a journal");
    let position = journal.windows(6).position(|part| part == b"\"Sent\"").expect("it was stored");
    journal[position] ^= 1;
    fs::write(forwarder.journal_file(), journal).expect("it is writable");
    forwarder.restart().await;
    assert_eq!(discovery.notice().await, json!({"message": "sent", "outcome": "given_up"}));
    // A message accepted after the damaged record is delivered.
    let call = stub.next_call().await;
    assert_eq!(call.header("req-id"), "queued");
    call.respond(200);
    forwarder.until_delivered("keyed", "queued").await;
    assert!(stub.is_quiet(QUIET_PERIOD).await && discovery.is_quiet(QUIET_PERIOD).await);
}

/// How a test ends a process.
#[derive(Clone, Copy)]
enum ProcessEnd {
    Sigterm,
    Sigkill,
}

/// Ends the process while one call is in flight and many messages are queued behind it.
async fn end_with_queued_messages(
    forwarder: &mut ForwarderProcess,
    stub: &mut EndpointStub,
    deadline_ms: u64,
    end: ProcessEnd,
) {
    assert_eq!(forwarder.submit("unsafe", "first", 28_000).await.status(), 202);
    let call_in_flight = stub.next_call().await;
    for n in 0..QUEUED_MESSAGES {
        let class = if n % 2 == 0 { "keyed" } else { "unsafe" };
        assert_eq!(forwarder.submit(class, &format!("m{n}"), deadline_ms).await.status(), 202);
    }
    match end {
        ProcessEnd::Sigterm => {
            forwarder.terminate();
            assert!(forwarder.exit_status().await.success());
        }
        ProcessEnd::Sigkill => {
            forwarder.kill();
            call_in_flight.closed().await;
        }
    }
}

#[tokio::test]
async fn unattempted_messages_are_attempted_after_a_restart_once_their_destination_is_listed() {
    for end in [ProcessEnd::Sigkill, ProcessEnd::Sigterm] {
        let Fixture { mut discovery, endpoint: mut stub, mut forwarder } =
            Fixture::start_with("plain", one_call_slot).await;
        end_with_queued_messages(&mut forwarder, &mut stub, 28_000, end).await;
        forwarder.configure(|configuration| configuration["known"]["targets"] = json!([]));
        forwarder.restart().await;
        // Only the message that may have been executed fails now.
        assert_eq!(discovery.notice().await, json!({"message": "first", "outcome": "given_up"}));
        assert!(discovery.is_quiet(QUIET_PERIOD).await);
        discovery.push_complete_list(2, vec![plain_endpoint("t", stub.address, 7)]);
        let mut attempted = BTreeSet::new();
        while attempted.len() < QUEUED_MESSAGES {
            let call = stub.next_call().await;
            assert!(attempted.insert(call.header("req-id").to_owned()), "{} twice", call.header("req-id"));
            call.respond(200);
        }
        assert!(
            !attempted.contains("first")
                && stub.is_quiet(QUIET_PERIOD).await
                && discovery.is_quiet(QUIET_PERIOD).await
        );
    }
}

#[tokio::test]
async fn messages_that_a_restart_cannot_attempt_in_time_get_their_notices() {
    let Fixture { mut discovery, endpoint: mut stub, mut forwarder } =
        Fixture::start_with("plain", one_call_slot).await;
    let submitted_at = Instant::now();
    end_with_queued_messages(&mut forwarder, &mut stub, 3000, ProcessEnd::Sigkill).await;
    forwarder.configure(|configuration| configuration["known"]["targets"] = json!([]));
    forwarder.restart().await;
    let mut notices = Vec::new();
    while notices.len() < QUEUED_MESSAGES + 1 {
        notices.extend(discovery.notices().await);
    }
    // One notice for each message; one that was never executed may be submitted again.
    let rejected = notices.iter().filter(|notice| notice["outcome"] == "handed_back");
    let rejected_ids: BTreeSet<String> = rejected.map(|notice| notice["message"].to_string()).collect();
    assert_eq!((rejected_ids.len(), notices.len()), (QUEUED_MESSAGES, QUEUED_MESSAGES + 1));
    // The notices arrive shortly before or at the deadline.
    assert!((2500..3600).contains(&submitted_at.elapsed().as_millis()), "{:?}", submitted_at.elapsed());
    assert!(discovery.is_quiet(QUIET_PERIOD).await);
}

#[tokio::test]
async fn unattempted_messages_are_not_rejected_after_a_restart_in_favour_of_new_ones() {
    let small_capacity = |configuration: &mut Value| {
        one_call_slot(configuration);
        configuration["settings"]["limits"]["openCap"] = json!(64);
    };
    let Fixture { mut discovery, endpoint: mut stub, mut forwarder } =
        Fixture::start_with("plain", small_capacity).await;
    end_with_queued_messages(&mut forwarder, &mut stub, 28_000, ProcessEnd::Sigkill).await;
    forwarder.restart().await;
    assert_eq!(discovery.notice().await, json!({"message": "first", "outcome": "given_up"}));
    let call_in_flight = stub.next_call().await;
    let mut rejected = 0;
    for n in 0..60 {
        rejected += usize::from(forwarder.submit("keyed", &format!("n{n}"), 28_000).await.status() == 503);
    }
    assert!(rejected > 20 && discovery.is_quiet(QUIET_PERIOD).await, "{rejected}");
    call_in_flight.respond(200);
}

#[tokio::test]
async fn a_message_whose_connection_was_not_established_at_sigkill_was_never_executed() {
    let (mut discovery, mut stub, full) =
        (DiscoveryStub::start().await, EndpointStub::start().await, FullListener::start().await);
    let known = [plain_endpoint("t", full.address, 7)];
    let mut forwarder = ForwarderProcess::start(discovery.address, &known, |_| {}).await;
    // The turn that accepts the message also starts its call.
    assert_eq!(forwarder.submit("unsafe", "m", 28_000).await.status(), 202);
    forwarder.kill();
    forwarder.configure(|configuration| {
        configuration["known"]["targets"] = json!([plain_endpoint("t", stub.address, 7)]);
    });
    forwarder.restart().await;
    tokio::select! {
        call = stub.next_call() => {
            assert_eq!(call.header("req-id"), "m");
            call.respond(200);
        }
        notice = discovery.notice() => panic!("{notice}"),
    }
    forwarder.until_delivered("unsafe", "m").await;
}

#[tokio::test]
async fn with_a_full_journal_and_silent_peers_a_restart_is_ready_soon_and_ends_every_message() {
    // Discovery holds its watches, and the endpoint accepts connections and never responds.
    let (mut discovery, silent) = (DiscoveryStub::start().await, RawEndpoint::start().await);
    let known = [plain_endpoint("t", silent.address, 7)];
    let mut forwarder = ForwarderProcess::start(discovery.address, &known, |configuration| {
        one_call_slot(configuration);
        configuration["settings"]["limits"]["openCap"] = json!(10_000);
    })
    .await;
    let body = vec![b'x'; 20_000];
    let (mut accepted, mut rejected) = (BTreeSet::new(), 0);
    let submitted_at = Instant::now();
    while rejected == 0 {
        let id = format!("m{}", accepted.len());
        let class = if accepted.len() % 2 == 0 { "unsafe" } else { "keyed" };
        let reply = forwarder.submit_body(7, class, &id, 8000, &body).await;
        match reply.status().as_u16() {
            202 => drop(accepted.insert(id)),
            _ => rejected += 1,
        }
    }
    assert!(accepted.len() > 50, "{}", accepted.len());
    forwarder.kill();
    let killed_at = Instant::now();
    forwarder.restart().await;
    assert!(killed_at.elapsed() < Duration::from_secs(6), "{:?}", killed_at.elapsed());
    // Each message gets one notice, when its deadline passes and not while it could still be attempted.
    let mut ended = BTreeSet::new();
    while ended.len() < accepted.len() {
        for notice in discovery.notices().await {
            let id = notice["message"].as_str().expect("a name").to_owned();
            // The attempt of the first message was in flight when the process was killed.
            assert!(
                id == "m0" || submitted_at.elapsed() > Duration::from_secs(5),
                "{id} {:?}",
                submitted_at.elapsed()
            );
            assert!(ended.insert(id.clone()), "{id} twice");
        }
    }
    assert_eq!(ended, accepted);
    assert!(submitted_at.elapsed() < Duration::from_millis(12_000), "{:?}", submitted_at.elapsed());
}
