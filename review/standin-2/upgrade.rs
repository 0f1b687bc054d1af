//! A drain whose answer is lost when discovery goes down, and an upgrade or a restart in that outage.

use crate::discovery::Platform;
use crate::world::{self, Folder, Record, Setup, Sockets};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The forwarder has watched the list for this long before the drain.
const NORMAL_TIME: Duration = Duration::from_secs(3);
/// From the lost answer to the operation.
const BEFORE_OPERATION: Duration = Duration::from_secs(1);
/// The time between two requests.
const CLIENT_INTERVAL: Duration = Duration::from_millis(200);
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(12);
/// How long the case goes on after the outage.
const AFTER_OUTAGE: Duration = Duration::from_secs(3);
/// From SIGTERM to SIGKILL, and from SIGKILL to the next start.
const TERMINATION_GRACE: Duration = Duration::from_millis(3700);
const BEFORE_START: Duration = Duration::from_millis(600);
/// New calls have to stop this long after the forwarder was told (`stopSendingWithin`), with the allowance of
/// the sockets and the time for which a forwarder may be held up.
pub const GRACE: Duration = Duration::from_millis(500 + 50 + 150);
/// "What discovery tells becomes binding 2 s after the yes."
const BINDING_AFTER_YES: Duration = Duration::from_secs(2);

/// What happens to the forwarder during the outage.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    Upgrade,
    Restart,
}

/// When the first byte of each call to an endpoint arrived.
pub type FirstBytes = Arc<Mutex<Vec<Instant>>>;

/// Runs the case. Returns whether the rule was kept.
pub fn run(record: &str, trouble: bool, operation: Operation) -> Result<bool, String> {
    let record = Record::create(record)?;
    let calls = FirstBytes::default();
    let draining = start_endpoint("127.62.0.2", "draining", &record, &calls)?;
    let staying = start_endpoint("127.62.0.3", "staying", &record, &FirstBytes::default())?;
    let records =
        vec![entry("draining", draining, "a", "in_service"), entry("staying", staying, "b", "in_service")];
    let known = format!("{{\"rev\":1,\"all\":true,\"targets\":[{}]}}", records.join(","));
    let platform = Platform::start("127.62.0.4", records, &record)?;
    // On days with an upgrade the platform holds the clients' listening socket.
    let listener = match operation {
        Operation::Upgrade => Some(TcpListener::bind("127.62.0.1:0").map_err(|error| error.to_string())?),
        Operation::Restart => None,
    };
    let listen = match &listener {
        Some(listener) => listener.local_addr().map_err(|error| error.to_string())?,
        None => world::free_address("127.62.0.1")?,
    };
    let setup = Setup { listen, discovery: platform.address, known, memory_mb: 48, sockets: 384 };
    let folder = Folder::create(&setup)?;
    let admin = world::free_address("127.62.0.5")?;
    let first =
        world::start_process(&setup, &folder, &Sockets { listener: listener.as_ref(), admin: Some(admin) })?;
    world::wait_until_ready(listen, &record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(listen, &record, &stop, CLIENT_INTERVAL);
    sleep(NORMAL_TIME);
    if trouble {
        platform.lose_next_change();
    }
    platform.change(0, entry("draining", draining, "a", "terminating"));
    sleep(BEFORE_OPERATION);
    let told_at = platform.told_at().ok_or("the forwarder has no watch")?;
    let binding_from = match operation {
        Operation::Upgrade => {
            record.line("operators: start a new version");
            let admin = world::free_address("127.62.0.6")?;
            let sockets = Sockets { listener: listener.as_ref(), admin: Some(admin) };
            world::start_process(&setup, &folder, &sockets)?;
            world::wait_for_yes(admin, Duration::from_secs(6))?;
            let yes = Instant::now();
            record.line("forwarder: the new version says yes; SIGTERM to the old one");
            world::signal("TERM", first)?;
            sleep(TERMINATION_GRACE);
            world::signal("KILL", first)?;
            yes + BINDING_AFTER_YES
        }
        Operation::Restart => {
            record.line("platform: SIGKILL");
            world::signal("KILL", first)?;
            sleep(BEFORE_START);
            folder.prepare_restart(&setup)?;
            let sockets = Sockets { listener: None, admin: Some(admin) };
            world::start_process(&setup, &folder, &sockets)?;
            world::wait_until_ready(listen, &record)?;
            told_at
        }
    };
    sleep((told_at + OUTAGE).saturating_duration_since(Instant::now()));
    if trouble {
        platform.recover();
    }
    sleep(AFTER_OUTAGE);
    stop.store(true, Relaxed);
    clients.join().map_err(|_| "a client failed")?;
    // A dead discovery takes no notice, while PROTOCOL has it acknowledge them: none may fall due.
    if folder.log()?.contains("notices: ") {
        return Err("a notice fell due in the outage".to_owned());
    }
    Ok(judge(&record, told_at, told_at.max(binding_from) + GRACE, &calls))
}

/// Whether no call to the draining endpoint began after this time.
pub fn judge(record: &Record, told_at: Instant, latest: Instant, calls: &FirstBytes) -> bool {
    let calls = calls.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let late: Vec<&Instant> = calls.iter().filter(|at| **at > latest).collect();
    match late.last() {
        None => {
            record.line("rule kept: no late call to the draining endpoint");
            true
        }
        Some(last) => {
            let (count, after) = (late.len(), last.duration_since(told_at).as_secs_f64());
            record.line(&format!(
                "rule BROKEN: {count} calls began at the draining endpoint too late, the last one {after:.1} s after \
                 the forwarder was told"
            ));
            false
        }
    }
}

/// A record of the list. The forwarder is in zone a.
pub fn entry(uid: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"{zone}\",\"model\":\"bulk\",\"pod_group\":7,\
         \"state\":\"{state}\",\"capacity_hint\":50.0,\"boot_ms\":0}}"
    )
}

/// A sound endpoint of destination 7, which takes 50 ms for each call.
pub fn start_endpoint(
    host: &str,
    name: &str,
    record: &Record,
    calls: &FirstBytes,
) -> Result<SocketAddr, String> {
    let (name, record, calls) = (name.to_owned(), record.clone(), calls.clone());
    world::serve(host, move |call, stream| {
        calls.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(call.first_byte);
        record.line(&format!("endpoint {name}: call of {}", call.header("req-id")));
        sleep(Duration::from_millis(50));
        let accepted = if call.header("req-id").is_empty() { accept_all(&call.body) } else { String::new() };
        world::respond(stream, "200 OK", "", &accepted)?;
        Ok(true)
    })
}

/// The answer that accepts each message of a call with several.
fn accept_all(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let ids = text.split("\"id\":\"").skip(1).filter_map(|rest| rest.split('"').next());
    let states: Vec<String> = ids.map(|id| format!("{{\"id\":\"{id}\",\"state\":\"accepted\"}}")).collect();
    format!("[{}]", states.join(","))
}

/// Requests at this interval.
pub fn start_clients(
    address: SocketAddr,
    record: &Record,
    stop: &Arc<AtomicBool>,
    interval: Duration,
) -> thread::JoinHandle<()> {
    let (record, stop) = (record.clone(), stop.clone());
    thread::spawn(move || {
        for number in 0.. {
            if stop.load(Relaxed) {
                return;
            }
            let answer = world::request(address, &world::notice(number));
            record.line(&format!("client: {number:016x} answered with {answer:?}"));
            sleep(interval);
        }
    })
}
