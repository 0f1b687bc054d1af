//! The answer that tells of a drain is lost on its way, as discovery goes down. It counts as told when it was
//! written, and no call may start at that endpoint later than the grace period after that.

#[path = "common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `herd+mass`: "discovery is down for 8 s".
const OUTAGE: Duration = Duration::from_secs(8);
/// `guarantees.stopSendingWithin` of the settings, and the 50 ms that are added to every time limit.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// How long an endpoint works on a call: "120 to 210 ms at a partner system of usual pace".
const WORK: Duration = Duration::from_millis(150);
/// The drained endpoint ends this long after the drain was told, and so 1.45 s after the last moment at which a
/// call may start there.
const END_AFTER_TOLD: Duration = Duration::from_secs(2);
const INTERVAL: Duration = Duration::from_millis(33);
const DESTINATION: u64 = 7;

fn main() {
    let case = Case::from_arguments();
    let record = case.record.clone();
    let calls = Arc::new(Mutex::new(Vec::new()));
    let other_calls = Arc::new(Mutex::new(Vec::new()));
    let draining = delivering_endpoint("s-draining", &record, WORK, &calls);
    let staying = delivering_endpoint("s-staying", &record, WORK, &other_calls);
    let target = |uid: &str, address| Target {
        uid: uid.to_owned(),
        address,
        zone: "magazzino".to_owned(),
        kind: "bulk-partners".to_owned(),
        destination: DESTINATION,
        state: "in_service".to_owned(),
        hint: 120.0,
    };
    let targets = [target("s-draining", draining.address), target("s-staying", staying.address)];
    let platform = Platform::start(&record, &targets);
    let mut forwarder = Forwarder::start(
        &case.root,
        &case.folder,
        &record,
        platform.address,
        &targets,
        Settings::default(),
    );
    let stop = Arc::new(AtomicBool::new(false));
    let clients = steady_clients(forwarder.address, DESTINATION, INTERVAL, &record, &stop);

    // A watch is open, and has been so for 2 s.
    thread::sleep(Duration::from_secs(6));
    let drained = Target { state: "terminating".to_owned(), ..targets[0].clone() };
    let told_at = if case.trouble {
        let Some(lost_at) = platform.change_and_lose_answer(&drained) else {
            cannot_run("no watch was open when the endpoint started to drain");
        };
        platform.set_down(true);
        lost_at
    } else {
        platform.change(&drained);
        Instant::now()
    };
    thread::sleep((told_at + END_AFTER_TOLD).saturating_duration_since(Instant::now()));
    record.log("s-draining: its process ends");
    draining.down();
    thread::sleep((told_at + OUTAGE).saturating_duration_since(Instant::now()));
    if case.trouble {
        platform.set_down(false);
    }
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    let runs = forwarder.runs();
    forwarder.kill();

    let limit = told_at + GRACE;
    let calls = calls.lock().unwrap();
    let before = calls.iter().filter(|at| **at < told_at).count();
    let late: Vec<u128> =
        calls.iter().filter(|at| **at > limit).map(|at| (*at - told_at).as_millis()).collect();
    let lost = platform.notices().iter().filter(|notice| notice.outcome == "given_up").count();
    let result = format!(
        "{} calls to a drained endpoint beyond the grace, ms after it was told: {late:?}; {lost} messages given up",
        late.len()
    );
    record.log(&format!("result: {before} calls to s-draining before its drain; {result}"));
    if !runs || before == 0 {
        cannot_run("the forwarder has ended, or has not used the endpoint");
    }
    println!("{result}");
    std::process::exit(i32::from(!late.is_empty()));
}
