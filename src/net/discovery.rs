//! Keeps the list of targets: one watch after another, and the whole list after an error. Where many senders ask one
//! service, by calls for the whole list instead, whose pace is found by additive increase and multiplicative decrease.

use crate::api::Settings;
use crate::net::http::{self, Connection};
use crate::net::node::Input;
use crate::parts::chance;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::timeout;

/// How long a watch waits for news. Short: an agent that has fallen silent shows only when this has passed,
/// and what it had to tell counts as told a few seconds later all the same.
const WATCH: Duration = Duration::from_secs(2);
/// An answer later than this is taken for lost.
const GRACE: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_secs(1);
/// A watch that fails is followed by the next after the first of these, doubled up to the second.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// More senders than these share out what the service can do.
const FEW: usize = 4;
/// Calls of each sender in the time that the settings give for asking: at first, at least and at most,
const RATE: f64 = 1.0;
const RATE_LEAST: f64 = 0.25;
const RATE_MOST: f64 = 5.0;
/// what each answer adds to them, and what a call that fails leaves of them.
const INCREASE: f64 = 0.1;
const DECREASE: f64 = 0.5;
/// In parts of that time: until when the next call comes after an answer in any case, after a refusal, and after a call
/// that has got no answer at all, since what it would have brought counts as told;
const NEXT: f64 = 0.75;
const NEXT_REFUSED: f64 = 3.0;
const NEXT_SILENT: f64 = 0.2;
/// the spread of the first calls, since all may start together; and how long an answer is awaited: others wait before it.
const SPREAD: f64 = 0.5;
const TURN: f64 = 0.25;
/// Longest list that is read.
const MOST: usize = 8 << 20;

/// The list of targets, or what changed in it.
#[derive(Debug, Default, Deserialize)]
#[serde(from = "Answer")]
pub(crate) struct List {
    pub(crate) rev: u64,
    pub(crate) all: bool,
    pub(crate) targets: Vec<Line>,
    /// Lines that could not be read. They are left out, and hide none of the others.
    pub(crate) unreadable: usize,
}

/// The list as it comes.
#[derive(Deserialize)]
struct Answer {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

impl From<Answer> for List {
    fn from(Answer { rev, all, targets }: Answer) -> Self {
        let mut list = List { rev, all, ..List::default() };
        for line in targets {
            match serde_json::from_value(line) {
                Ok(line) => list.targets.push(line),
                Err(e) => {
                    eprintln!("discovery: unreadable line: {e}");
                    list.unreadable += 1;
                }
            }
        }
        list
    }
}

/// What the list says of one target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Line {
    pub(crate) uid: String,
    pub(crate) endpoint: SocketAddr,
    pub(crate) az: String,
    pub(crate) model: String,
    pub(crate) pod_group: u64,
    pub(crate) state: State,
    #[serde(default = "one")]
    pub(crate) capacity_hint: f64,
}

fn one() -> f64 {
    1.0
}

/// Where a target stands.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    InService,
    Terminating,
    Terminated,
    /// One that this version does not know: nothing new goes there.
    #[serde(other)]
    Other,
}

#[derive(Debug, thiserror::Error)]
enum Failed {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("no answer")]
    Silent,
    #[error("the connection broke")]
    Broken,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("unreadable list: {0}")]
    Form(#[from] serde_json::Error),
}

/// The times between watches that fail.
struct Backoff {
    next: Duration,
    seed: u64,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Backoff { next: BACKOFF.0, seed: seed | 1 }
    }

    /// Exponential backoff with jitter.
    fn next(&mut self) -> Duration {
        let pause = self.next.mul_f64(0.5 + chance(&mut self.seed));
        self.next = (self.next * 2).min(BACKOFF.1);
        pause
    }

    /// A call has been answered.
    fn end(&mut self) {
        self.next = BACKOFF.0;
    }
}

/// The times between calls for the whole list, where many senders share one service. It works through calls in turn, also
/// through those that have waited too long by then: more calls than it can do, and it answers none of them.
struct Polls {
    within: Duration,
    /// Calls in that time.
    rate: f64,
    seed: u64,
}

impl Polls {
    /// None where few share the service, or each has an agent of its own.
    fn new(settings: &Settings, seed: u64) -> Option<Self> {
        let within = Duration::from_micros(settings.ask_within.max(0) as u64);
        let polls = settings.ask && settings.senders > FEW && !within.is_zero();
        polls.then_some(Polls { within, rate: RATE, seed: seed | 1 })
    }

    /// From the start on, where a list is known by then.
    fn first(&mut self) -> Duration {
        self.within.mul_f64(SPREAD * chance(&mut self.seed))
    }

    /// Each at a time of its own: in step they would all come at once.
    fn next(&mut self, most: f64) -> Duration {
        let most = most * (0.8 + 0.2 * chance(&mut self.seed));
        self.within.mul_f64(((0.5 + chance(&mut self.seed)) / self.rate).min(most))
    }

    fn answered(&mut self) -> Duration {
        self.rate = (self.rate + INCREASE).min(RATE_MOST);
        self.next(NEXT)
    }

    fn failed(&mut self, why: &Failed) -> Duration {
        self.rate = (self.rate * DECREASE).max(RATE_LEAST);
        self.next(if matches!(why, Failed::Status(_)) { NEXT_REFUSED } else { NEXT_SILENT })
    }
}

/// Keeps the list from `rev` on, where one is known, for ever; whatever is told goes to the node in its order.
pub(crate) async fn follow(
    at: watch::Receiver<SocketAddr>,
    rev: Option<u64>,
    node: Sender<Input>,
    settings: Settings,
    seed: u64,
) {
    match Polls::new(&settings, seed) {
        Some(polls) => poll(at, rev.is_some(), node, polls).await,
        None => watch(at, rev, node, Backoff::new(seed)).await,
    }
}

/// Calls for the whole list now and then. A new address is called at once: the old one may have fallen behind.
///
/// No watch: each change would be answered to all at once, and what comes right behind an answer counts as told to a watch
/// even if no further call can have its turn.
async fn poll(mut at: watch::Receiver<SocketAddr>, known: bool, node: Sender<Input>, mut polls: Polls) {
    let mut connection = None;
    let mut from = *at.borrow();
    let mut pause = if known { polls.first() } else { Duration::ZERO };
    loop {
        let _ = timeout(pause, at.changed()).await;
        let to = *at.borrow_and_update();
        if std::mem::replace(&mut from, to) != to {
            connection = None;
        }
        let told = tokio::select! {
            biased;
            told = call(to, "/api/targets", polls.within.mul_f64(TURN), &mut connection) => told,
            Ok(()) = wait_for_change(&at) => continue,
        };
        pause = match told {
            Ok(list) => {
                eprintln!("discovery: version {}, {} endpoints", list.rev, list.targets.len());
                if node.send(Input::List(list)).await.is_err() {
                    return;
                }
                polls.answered()
            }
            Err(e) => {
                connection = None;
                let pause = polls.failed(&e);
                eprintln!("discovery: {e}; again in {} ms", pause.as_millis());
                pause
            }
        };
    }
}

/// Ends when the address is another one, which stays unseen.
async fn wait_for_change(at: &watch::Receiver<SocketAddr>) -> Result<(), watch::error::RecvError> {
    let mut at = at.clone();
    at.changed().await
}

/// Watches from `rev` on, where one is known. A new address breaks off the watch at the old one, and the whole list is
/// asked for there: the old one may have fallen behind.
async fn watch(
    mut at: watch::Receiver<SocketAddr>,
    rev: Option<u64>,
    node: Sender<Input>,
    mut backoff: Backoff,
) {
    let mut known = rev;
    let mut connection = None;
    let mut from = *at.borrow();
    loop {
        let to = *at.borrow_and_update();
        // Told between an answer and this: the connection would go on at the old address.
        if std::mem::replace(&mut from, to) != to {
            (known, connection) = (None, None);
            backoff.end();
        }
        let (path, limit) = match known {
            Some(rev) => (format!("/api/targets?index={rev}&wait={}", WATCH.as_millis()), WATCH + GRACE),
            None => ("/api/targets".to_owned(), GRACE),
        };
        let told = tokio::select! {
            biased;
            told = call(to, &path, limit, &mut connection) => told,
            Ok(()) = at.changed() => continue,
        };
        match told {
            Ok(list) => {
                backoff.end();
                // Of a change that can't be read the whole list may tell more.
                known = Some(list.rev).filter(|_| list.all || list.unreadable == 0);
                if node.send(Input::List(list)).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                eprintln!("discovery: {e}");
                connection = None;
                // One that has no time now says nothing against what is known: the whole list would cost it more.
                known = known.filter(|_| matches!(e, Failed::Status(_)));
                // A new address is tried at once.
                let _ = timeout(backoff.next(), at.changed()).await;
            }
        }
    }
}

async fn call(
    at: SocketAddr,
    path: &str,
    limit: Duration,
    connection: &mut Option<Connection>,
) -> Result<List, Failed> {
    if !connection.as_ref().is_some_and(Connection::is_open) {
        *connection = Some(Connection::open(at, CONNECT).await?);
    }
    let open = connection.as_mut().ok_or(Failed::Broken)?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|_| Failed::Broken)?;
    http::set_host(&mut request, at);
    let exchange = async {
        let answer = open.send(request).await.map_err(|_| Failed::Broken)?;
        match answer.status() {
            StatusCode::OK => http::body(answer.into_body(), MOST).await.ok_or(Failed::Broken),
            status => Err(Failed::Status(status)),
        }
    };
    let text = timeout(limit, exchange).await.map_err(|_| Failed::Silent)??;
    Ok(serde_json::from_slice(&text)?)
}

#[cfg(test)]
mod format_tests;
#[cfg(test)]
mod tests;
