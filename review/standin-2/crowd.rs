//! A drain between two calls of a watch, of which a crowded discovery does not take the second one in time.

use crate::discovery::Platform;
use crate::upgrade::{entry, judge, start_clients, start_endpoint, FirstBytes, GRACE};
use crate::world::{self, Record, Setup};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The forwarder has watched the list for this long before the drain.
const NORMAL_TIME: Duration = Duration::from_secs(3);
/// How long discovery is crowded.
const CROWD: Duration = Duration::from_secs(3);
/// Longer than a watch of the forwarder.
const LONGEST_WATCH: Duration = Duration::from_secs(10);
/// How long the case goes on after the drain.
const AFTER_DRAIN: Duration = Duration::from_secs(8);
/// The time between two requests of clients.
const CLIENT_INTERVAL: Duration = Duration::from_millis(33);

/// Runs the case. Returns whether the rule was kept.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(record)?;
    let calls = FirstBytes::default();
    let draining = start_endpoint("127.63.0.2", "draining", &record, &calls)?;
    let staying = start_endpoint("127.63.0.3", "staying", &record, &FirstBytes::default())?;
    let records =
        vec![entry("draining", draining, "a", "in_service"), entry("staying", staying, "b", "in_service")];
    let known = format!("{{\"rev\":1,\"all\":true,\"targets\":[{}]}}", records.join(","));
    let platform = Platform::start("127.63.0.4", records, &record)?;
    let listen = world::free_address("127.63.0.1")?;
    let setup = Setup { listen, discovery: platform.address, known, memory_mb: 48, sockets: 384 };
    world::start_forwarder(&setup, &record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(listen, &record, &stop, CLIENT_INTERVAL);
    sleep(NORMAL_TIME);
    let crowd = if trouble { CROWD } else { Duration::ZERO };
    platform.change_between_watches(entry("draining", draining, "a", "terminating"), crowd);
    let give_up_at = Instant::now() + LONGEST_WATCH;
    while platform.told_at().is_none() && Instant::now() < give_up_at {
        sleep(Duration::from_millis(5));
    }
    let told_at = platform.told_at().ok_or("the forwarder has no watch")?;
    sleep(AFTER_DRAIN);
    stop.store(true, Relaxed);
    clients.join().map_err(|_| "a client failed")?;
    Ok(judge(&record, told_at, told_at + GRACE, &calls))
}
