//! A forwarder is cut off from discovery for 6 s. Meanwhile an endpoint starts to drain. No call may start at
//! that endpoint later than the grace period after the drain counts as told.

#[path = "common.rs"]
mod common;

use common::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    /// Of the C library, which the standard library is linked with. It is used to shorten the queue of a
    /// listener, so that connections do not come up.
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// `split+mass`: "for 6 s a zone is partitioned".
const CUT: Duration = Duration::from_secs(6);
/// The cut begins this long after the forwarder has opened a watch.
const CUT_AFTER_WATCH: Duration = Duration::from_millis(3150);
/// The drain is made this long after the beginning of the cut.
const DRAIN_AFTER_CUT: Duration = Duration::from_millis(200);
/// What a silent watch misses counts as told this long after it fell silent.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// Or, if that is later, this long after its wait is over.
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
/// `guarantees.stopSendingWithin` of the settings, and the 50 ms that are added to every time limit.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// How long an endpoint works on a call: "120 to 210 ms at a partner system of usual pace".
const WORK: Duration = Duration::from_millis(150);
/// The drained endpoint ends this long after the last moment at which a call may start there: whatever was
/// sent in time has been answered by then.
const END_AFTER_LIMIT: Duration = Duration::from_millis(250);
/// Two of three messages are payments, and the traffic is thirty messages a second.
const INTERVAL: Duration = Duration::from_millis(33);
const DESTINATION: u64 = 7;

/// The network between the forwarder and the platform. Connections that are open when a cut begins are silent
/// from then on, also after it; connections that are tried during a cut do not come up.
struct Network {
    address: SocketAddr,
    listener: TcpListener,
    is_cut: AtomicBool,
    /// The number of cuts so far: what was open before a cut stays silent.
    cuts: Mutex<u64>,
    /// When the forwarder's last watch arrived, and its wait.
    last_watch: Mutex<Option<(Instant, Duration)>>,
    record: Record,
}

impl Network {
    fn start(platform: SocketAddr, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let network = Arc::new(Network {
            address: listener.local_addr().expect("it is bound"),
            listener,
            is_cut: AtomicBool::new(false),
            cuts: Mutex::new(0),
            last_watch: Mutex::new(None),
            record: record.clone(),
        });
        let accepting = network.clone();
        thread::spawn(move || {
            loop {
                if !accepting.is_cut.load(Ordering::SeqCst)
                    && let Ok((stream, _)) = accepting.listener.accept()
                {
                    let _ = stream.set_nonblocking(false);
                    accepting.clone().connect(stream, platform);
                    continue;
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        network
    }

    fn connect(self: Arc<Self>, forwarder: TcpStream, platform: SocketAddr) {
        let Ok(behind) = TcpStream::connect(platform) else { return };
        let _ = (forwarder.set_nodelay(true), behind.set_nodelay(true));
        let opened_in = *self.cuts.lock().unwrap();
        let pairs = [(&forwarder, &behind, true), (&behind, &forwarder, false)];
        for (from, to, is_request) in pairs {
            let (mut from, mut to) = (from.try_clone().expect("a socket"), to.try_clone().expect("a socket"));
            let network = self.clone();
            thread::spawn(move || {
                use std::io::{Read, Write};
                let mut buffer = [0; 16 << 10];
                loop {
                    let length = from.read(&mut buffer).unwrap_or(0);
                    if *network.cuts.lock().unwrap() != opened_in {
                        // Silent, and still open.
                        loop {
                            thread::sleep(Duration::from_secs(3600));
                        }
                    }
                    if is_request && length > 0 {
                        network.note_request(&buffer[..length]);
                    }
                    if length == 0 || to.write_all(&buffer[..length]).is_err() {
                        let _ = to.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    }

    fn note_request(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let first = text.lines().next().unwrap_or_default();
        if !first.starts_with("GET ") {
            return;
        }
        let wait = first.split("wait=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let watch = wait.filter(|wait| *wait > 0).map(|wait| (Instant::now(), Duration::from_millis(wait)));
        *self.last_watch.lock().unwrap() = watch;
    }

    fn cut(&self) -> Vec<TcpStream> {
        self.is_cut.store(true, Ordering::SeqCst);
        *self.cuts.lock().unwrap() += 1;
        self.record.log("network: the forwarder is cut off from discovery");
        // The queue of the listener gets full, so that the system does not answer further connections.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        (0..4)
            .filter_map(|_| TcpStream::connect_timeout(&self.address, Duration::from_millis(20)).ok())
            .collect()
    }

    fn heal(&self, fillers: Vec<TcpStream>) {
        for _ in &fillers {
            let _ = self.listener.accept();
        }
        drop(fillers);
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.is_cut.store(false, Ordering::SeqCst);
        self.record.log("network: the cut is over");
    }
}

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
    let network = Network::start(platform.address, &record);
    let mut forwarder = Forwarder::start(
        &case.root,
        &case.folder,
        &record,
        network.address,
        &targets,
        Settings::default(),
    );

    let stop = Arc::new(AtomicBool::new(false));
    let clients = steady_clients(forwarder.address, DESTINATION, INTERVAL, &record, &stop);

    // The forwarder has settled; the cut begins within one of its watches.
    sleep_ms(3000);
    let give_up = Instant::now() + Duration::from_secs(30);
    let (watch_at, wait) = loop {
        let watch = *network.last_watch.lock().unwrap();
        match watch {
            Some((at, wait)) if wait > CUT_AFTER_WATCH => {
                let elapsed = at.elapsed();
                if (CUT_AFTER_WATCH..CUT_AFTER_WATCH + Duration::from_millis(20)).contains(&elapsed) {
                    break (at, wait);
                }
            }
            _ => {}
        }
        if Instant::now() > give_up {
            cannot_run("the forwarder has opened no watch");
        }
        sleep_ms(1);
    };
    let silent_since = Instant::now();
    let fillers = if case.trouble { network.cut() } else { Vec::new() };
    thread::sleep(DRAIN_AFTER_CUT);
    platform.change(&Target { state: "terminating".to_owned(), ..targets[0].clone() });
    let made_at = Instant::now();
    thread::sleep(CUT.saturating_sub(silent_since.elapsed()));
    if case.trouble {
        network.heal(fillers);
    }
    // When the drain counts as told: at once on a watch that works; otherwise by the clock for silence.
    let told_at = if case.trouble {
        (silent_since + TOLD_AFTER_SILENCE).max(watch_at + wait + TOLD_AFTER_WAIT)
    } else {
        made_at
    };
    let limit = told_at + GRACE;
    thread::sleep((limit + END_AFTER_LIMIT).saturating_duration_since(Instant::now()));
    record.log("s-draining: its process ends");
    draining.down();
    // Whatever the forwarder was told, it has the list long before this.
    thread::sleep(Duration::from_secs(10));
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    let runs = forwarder.runs();
    forwarder.kill();

    let calls = calls.lock().unwrap();
    let before = calls.iter().filter(|at| **at < made_at).count();
    let late: Vec<u128> =
        calls.iter().filter(|at| **at > limit).map(|at| (*at - told_at).as_millis()).collect();
    record.log(&format!(
        "result: {before} calls to s-draining before its drain; the drain counts as told {} ms after it was made; \
         {} calls later than {} ms after that, at (ms after it was told) {late:?}",
        (told_at - made_at).as_millis(),
        late.len(),
        GRACE.as_millis()
    ));
    let lost = platform.notices().iter().filter(|notice| notice.outcome == "given_up").count();
    record.log(&format!("result: {lost} accepted messages were given up"));
    if !runs || before == 0 {
        cannot_run("the forwarder has ended, or has not used the endpoint");
    }
    println!(
        "{} calls to a drained endpoint beyond the grace, ms after it was told: {late:?}; {lost} messages given up",
        late.len()
    );
    std::process::exit(i32::from(!late.is_empty()));
}
