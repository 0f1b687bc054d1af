//! Keeps the list of targets: one watch after another, and the whole list after an error. Where many senders ask one
//! service, by calls for the whole list instead, whose pace is found by additive increase and multiplicative decrease.

use crate::estimators::random_unit;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::http::{self, Connection};
use crate::forwarder::messages::endpoint_list::EndpointList;
use crate::interface::Settings;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
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

#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("no answer")]
    Silent,
    #[error("the connection broke")]
    RequestError,
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
        let pause = self.next.mul_f64(0.5 + random_unit(&mut self.seed));
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
        let within = Duration::from_micros(settings.max_list_age.max(0) as u64);
        let polls = settings.poll_discovery && settings.sender_count > FEW && !within.is_zero();
        polls.then_some(Polls { within, rate: RATE, seed: seed | 1 })
    }

    /// From the start on, where a list is known by then.
    fn first(&mut self) -> Duration {
        self.within.mul_f64(SPREAD * random_unit(&mut self.seed))
    }

    /// Each at a time of its own: in step they would all come at once.
    fn next(&mut self, most: f64) -> Duration {
        let most = most * (0.8 + 0.2 * random_unit(&mut self.seed));
        self.within.mul_f64(((0.5 + random_unit(&mut self.seed)) / self.rate).min(most))
    }

    fn answered(&mut self) -> Duration {
        self.rate = (self.rate + INCREASE).min(RATE_MOST);
        self.next(NEXT)
    }

    fn failed(&mut self, why: &PollError) -> Duration {
        self.rate = (self.rate * DECREASE).max(RATE_LEAST);
        self.next(if matches!(why, PollError::Status(_)) { NEXT_REFUSED } else { NEXT_SILENT })
    }
}

/// Keeps the list from `rev` on, where one is known, for ever; whatever is told goes to the node in its order.
pub(crate) async fn follow(
    at: watch::Receiver<SocketAddr>,
    rev: Option<u64>,
    node: Sender<RuntimeEvent>,
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
async fn poll(
    mut at: watch::Receiver<SocketAddr>,
    known: bool,
    node: Sender<RuntimeEvent>,
    mut polls: Polls,
) {
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
                eprintln!("discovery: version {}, {} endpoints", list.revision, list.endpoints.len());
                if node.send(RuntimeEvent::EndpointList(list)).await.is_err() {
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
    node: Sender<RuntimeEvent>,
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
                known = Some(list.revision).filter(|_| list.complete || list.unreadable == 0);
                if node.send(RuntimeEvent::EndpointList(list)).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                eprintln!("discovery: {e}");
                connection = None;
                // One that has no time now says nothing against what is known: the whole list would cost it more.
                known = known.filter(|_| matches!(e, PollError::Status(_)));
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
) -> Result<EndpointList, PollError> {
    if !connection.as_ref().is_some_and(Connection::is_open) {
        *connection = Some(Connection::open(at, CONNECT).await?);
    }
    let open = connection.as_mut().ok_or(PollError::RequestError)?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|_| PollError::RequestError)?;
    http::set_host(&mut request, at);
    let exchange = async {
        let answer = open.send(request).await.map_err(|_| PollError::RequestError)?;
        match answer.status() {
            StatusCode::OK => http::body(answer.into_body(), MOST).await.ok_or(PollError::RequestError),
            status => Err(PollError::Status(status)),
        }
    };
    let text = timeout(limit, exchange).await.map_err(|_| PollError::Silent)??;
    Ok(serde_json::from_slice(&text)?)
}

#[cfg(test)]
mod tests;
