//! What fleets of 3 to 900 senders cost a discovery service that accepts calls in turn, and for how long they
//! hold calls to endpoints.
//!
//! `FLEET_SECONDS=60 cargo test --release --lib fleet_tests -- --nocapture` plays longer runs and prints their
//! figures.

mod service;

use super::*;
use crate::forwarder::event::RuntimeEvent;
use service::{Capacity, FleetService};
use std::env;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at};

/// The length of a run unless `FLEET_SECONDS` gives another one.
const RUN: Duration = Duration::from_secs(12);
/// All senders have a list this long after their start.
const START: Duration = Duration::from_secs(15);
/// The grace period of the fleets, in microseconds.
const DRAIN_GRACE_MICROS: i64 = 500_000;
/// The shortest watch of a fleet that is not busy.
const SHORTEST_WATCH: Duration = Duration::from_secs(4);
/// The longest response to a call of a small fleet in the mean, in bytes: a few records.
const MAX_BYTES_OF_A_CALL: f64 = 1000.0;
/// The largest share of the calls that the service of a small fleet rejects.
const MAX_REJECTED_SHARE: f64 = 0.05;
/// The largest share of the time in which a small fleet may hold calls to endpoints.
const MAX_HELD_SHARE: f64 = 0.05;
/// The longest response that a sender reads, in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;

/// A fleet and the changes of its list.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    senders: usize,
    continues_at_once: bool,
    /// The time between two changes, if the list changes.
    change_interval: Option<Duration>,
}

/// The figures of a run, from [`START`] on.
#[derive(Debug)]
struct Figures {
    length: Duration,
    calls: u64,
    new_calls: u64,
    rejections: u64,
    list_bytes: u64,
    /// The time for which all senders together held calls to endpoints.
    held: Duration,
}

impl Fleet {
    /// The service of a fleet of this size: about as many calls a second as a service of this kind was seen to
    /// accept from fleets of 46 and 150 senders.
    fn capacity(self) -> Capacity {
        let calls_per_second = 1.25 * (self.senders as f64).sqrt();
        Capacity {
            service_time: Duration::from_secs_f64(1.0 / calls_per_second),
            patience: Duration::from_secs(1),
            continues_at_once: self.continues_at_once,
        }
    }

    async fn run(self, length: Duration) -> Figures {
        let service = FleetService::new(self.senders, self.capacity());
        let started_at = Instant::now();
        let (from, until) = (started_at + START, started_at + START + length);
        let mut senders = JoinSet::new();
        for sender in 0..self.senders {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("it is bound");
            tokio::spawn(service.clone().serve(sender, listener));
            senders.spawn(held_time(self.follow(sender, address), from, until));
        }
        sleep_until(from).await;
        let counts = &service.counts;
        let count = || {
            [&counts.calls, &counts.new_calls, &counts.rejections, &counts.list_bytes]
                .map(|count| count.load(Ordering::Relaxed))
        };
        let before = count();
        match self.change_interval {
            Some(interval) => {
                while Instant::now() + interval < until {
                    sleep(interval).await;
                    service.change();
                }
                sleep_until(until).await;
            }
            None => sleep_until(until).await,
        }
        let after = count();
        let held = senders.join_all().await.into_iter().sum();
        let [calls, new_calls, rejections, list_bytes] =
            [0, 1, 2, 3].map(|index| after[index] - before[index]);
        Figures { length, calls, new_calls, rejections, list_bytes, held }
    }

    /// Starts a sender, and returns its events.
    fn follow(self, sender: usize, address: SocketAddr) -> mpsc::Receiver<RuntimeEvent> {
        let settings = Settings {
            poll_discovery: true,
            max_list_age: 10_000_000,
            drain_grace: DRAIN_GRACE_MICROS,
            sender_count: self.senders,
            ..Settings::default()
        };
        let list = InitialList::new(&settings, Some(1), Instant::now(), ListOrigin::FirstConfiguration);
        let (address_sender, address) = watch::channel(address);
        let (events, received) = mpsc::channel(64);
        tokio::spawn(async move {
            // The address does not change while the sender is alive.
            let _address_sender = address_sender;
            follow(address, events, list, sender as u64, MAX_LIST_BYTES).await;
        });
        received
    }
}

/// For how long a sender holds calls to endpoints in this time.
async fn held_time(mut events: mpsc::Receiver<RuntimeEvent>, from: Instant, until: Instant) -> Duration {
    let mut held = Duration::ZERO;
    let mut stale_since = None;
    let mut end_period = |since: Option<Instant>, at: Instant| {
        let since = since.map_or(at, |since: Instant| since.max(from));
        held += at.saturating_duration_since(since);
    };
    while let Ok(Some(event)) = timeout_at(until, events.recv()).await {
        if let RuntimeEvent::ListAge(age) = event {
            match age {
                ListAge::Stale => stale_since = Some(Instant::now()),
                ListAge::Fresh => end_period(stale_since.take(), Instant::now()),
            }
        }
    }
    end_period(stale_since, until);
    held
}

/// Plays these fleets beside each other, prints their figures and returns them.
async fn run_all(fleets: Vec<Fleet>) -> Vec<(Fleet, Figures)> {
    let length = env::var("FLEET_SECONDS").map_or(RUN, |seconds| {
        Duration::from_secs(seconds.parse().expect("FLEET_SECONDS is a number of seconds"))
    });
    let mut runs = JoinSet::new();
    for fleet in fleets {
        runs.spawn(async move { (fleet, fleet.run(length).await) });
    }
    let mut figures = runs.join_all().await;
    figures.sort_by_key(|(fleet, _)| (fleet.senders, fleet.continues_at_once, fleet.change_interval));
    for (fleet, figures) in &figures {
        println!("{} s {fleet:?} {figures:?}", length.as_secs());
    }
    figures
}

/// The fleets that are played: those of CI, or all of 3 to 900 senders if `FLEET_SECONDS` asks for a long run.
fn fleets(change_interval: Option<Duration>) -> Vec<Fleet> {
    let sizes: &[usize] =
        if env::var_os("FLEET_SECONDS").is_some() { &[3, 6, 20, 45, 150, 300, 900] } else { &[3, 6, 45] };
    let both = |senders: &usize| {
        [true, false].map(|continues_at_once| Fleet { senders: *senders, continues_at_once, change_interval })
    };
    sizes.iter().flat_map(both).collect()
}

/// Asserts, of small fleets whose service accepts a call that continues a watch at once, that each sender makes
/// at most two calls for each watch and a new one for its standby watch after each change, that hardly any is
/// rejected, and that calls to endpoints are hardly ever held.
fn assert_cheap(runs: Vec<(Fleet, Figures)>) {
    for (fleet, figures) in runs.iter().filter(|(fleet, _)| fleet.continues_at_once && fleet.senders <= 45) {
        let Figures { length, new_calls, rejections, calls, held, list_bytes } = *figures;
        let senders = fleet.senders as f64;
        let seconds = length.as_secs_f64();
        let changes = fleet.change_interval.map_or(0.0, |interval| seconds / interval.as_secs_f64());
        let watches = seconds / SHORTEST_WATCH.as_secs_f64() + changes + 1.0;
        assert!(new_calls as f64 <= senders * (changes + 1.0), "{fleet:?} {figures:?}");
        assert!(calls as f64 <= senders * (2.0 * watches + changes + 1.0), "{fleet:?} {figures:?}");
        assert!(list_bytes as f64 <= MAX_BYTES_OF_A_CALL * calls as f64, "{fleet:?} {figures:?}");
        assert!(rejections as f64 <= MAX_REJECTED_SHARE * calls as f64, "{fleet:?} {figures:?}");
        assert!(held.as_secs_f64() <= MAX_HELD_SHARE * senders * seconds, "{fleet:?} {figures:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_fleets_make_few_new_calls_and_hold_none() {
    assert_cheap(run_all(fleets(None)).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fleets_make_few_new_calls_for_each_change() {
    assert_cheap(run_all(fleets(Some(Duration::from_secs(8)))).await);
}
