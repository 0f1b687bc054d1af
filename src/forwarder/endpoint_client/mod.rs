//! Calls to endpoints: one connection carries one call at a time, and each message in it gets its outcome.

pub(crate) mod idle_age;

use crate::forwarder::clock::unix_now;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::http::{self, Connection, RequestError};
use crate::forwarder::journal::{Record, SharedJournal};
use crate::forwarder::messages::call_report::{AttemptResult, CallReport, ConnectionUsage, IdleReuse};
use crate::interface::{EndpointId, LoadReport, MessageId, Micros, Outcome};
use crate::settings_reader::read_report;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::{Instant, sleep_until};

/// Longest answer that is read.
const ANSWER_MOST: usize = 64 << 10;
/// A connection that breaks so soon after a call was written to it, and that had stood idle before, was dead by
/// then: calls take longer.
const DEAD_WITHIN: Duration = Duration::from_millis(100);
/// Longest wait that is believed (ms): far longer than any that is meant, and one that was spoilt on its way does
/// not shut a destination out for good.
const WAIT_MOST: f64 = 60_000.0;

/// One message in a call.
pub(crate) struct CallItem {
    pub(crate) id: MessageId,
    pub(crate) attempt: usize,
    pub(crate) message: String,
    pub(crate) key: Option<String>,
    pub(crate) body: Bytes,
    /// The wait for it ends then.
    pub(crate) times_out_at: Instant,
    /// Its time is up then: the call ends with it.
    pub(crate) expires_at: Instant,
    /// It must not be written after this: its key may be forgotten by then.
    pub(crate) send_before: Instant,
}

/// A call to make.
pub(crate) struct OutboundCall {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) items: Vec<CallItem>,
    pub(crate) reused: Option<Connection>,
    pub(crate) connect_timeout: Duration,
    /// What the node says to the call while it is out.
    pub(crate) commands: Receiver<CallCommand>,
    pub(crate) guard: Arc<WriteGuard>,
    pub(crate) events: Sender<RuntimeEvent>,
}

/// What the node may still say to a call.
pub(crate) enum CallCommand {
    /// This attempt is called off.
    Cancel(MessageId, usize),
    /// A message of the call was given up, and its client hears so: the call is given up with it. On the wire no
    /// message can be taken out of a call, and what was given up must not be delivered after all.
    Abandon,
    /// The destination told a wait: nothing may be written from now on.
    WithholdWrite,
}

/// Makes the call and tells the node of its outcomes.
pub(crate) async fn perform(mut call: OutboundCall) {
    let mut connection = call.reused.take();
    let mut waiting = std::mem::take(&mut call.items);
    let Some(request) = request(&waiting, call.address) else {
        // Whatever happens, the module hears of each attempt: one that never ends holds its slot for ever.
        let ended = waiting.iter().map(|item| end(item, Outcome::NotSent)).collect();
        return tell(&call, ended, connection, ConnectionUsage::default()).await;
    };
    let mut given_up = Vec::new();
    let guard = call.guard.clone();
    let progress = Progress::new(&guard);
    let mut latest = waiting.iter().map(|i| i.send_before).min();
    let answer = {
        let mut exchange =
            pin!(exchange(&mut connection, call.address, call.connect_timeout, request, &progress));
        loop {
            let Some(until) = waiting.iter().map(|i| i.times_out_at).min() else { break None };
            tokio::select! {
                answer = &mut exchange => break Some(answer),
                () = sleep_until(until) => {
                    let now = Instant::now();
                    // As with a message that is given up. After SIGTERM nobody else ends the call: the module
                    // decides nothing any more.
                    let over = waiting.iter().any(|i| i.expires_at <= now);
                    part(&mut waiting, &mut given_up, Outcome::TimedOut, |i| over || i.times_out_at <= now);
                }
                // Guards against a repeat that is decided in time and written too late, since its connection took
                // a second to come up. The whole call: on the wire no message can be taken out of it.
                () = sleep_until(latest.unwrap_or(until)), if latest.is_some() => {
                    latest = None;
                    hold(&guard, &mut waiting, &mut given_up);
                }
                Some(order) = call.commands.recv() => match order {
                    CallCommand::Cancel(id, attempt) => {
                        let named = |i: &CallItem| (i.id, i.attempt) == (id, attempt);
                        part(&mut waiting, &mut given_up, Outcome::Cancelled, named);
                    }
                    CallCommand::Abandon => part(&mut waiting, &mut given_up, Outcome::TimedOut, |_| true),
                    // Guards the rule on waits: a connection may take its whole time to come up, and what was
                    // decided before the wait would then be written in the midst of it.
                    CallCommand::WithholdWrite => hold(&guard, &mut waiting, &mut given_up),
                },
            }
            // They are told of only once the call is over: until then each holds its copy out, and another
            // attempt would be a second one.
        }
    };
    if !guard.is_begun() {
        // Called off or out of time before its connection was up: it never left, and must not look as if it had.
        for ended in given_up.iter_mut().filter(|ended| ended.outcome != Outcome::NotSent) {
            (ended.outcome, ended.unsent) = (Outcome::ConnectFailed, true);
        }
    }
    let Some(answer) = answer else {
        if let Some(open) = connection.take() {
            open.close().await;
        }
        return tell(&call, given_up, None, progress.take()).await;
    };
    if !answer.as_ref().is_ok_and(|a| a.whole)
        && let Some(open) = connection.take()
    {
        open.close().await;
    }
    given_up.extend(outcomes(&waiting, &answer));
    tell(&call, given_up, connection, progress.take()).await;
}

async fn tell(
    call: &OutboundCall,
    ended: Vec<AttemptResult>,
    connection: Option<Connection>,
    connection_usage: ConnectionUsage,
) {
    let news = CallReport {
        endpoint: call.endpoint,
        address: call.address,
        results: ended,
        connection,
        connection_usage,
    };
    // The node is gone only when the process ends.
    let _ = call.events.send(RuntimeEvent::CallEnded(news)).await;
}

fn end(item: &CallItem, outcome: Outcome) -> AttemptResult {
    let (id, attempt, unsent) = (item.id, item.attempt, is_unsent(outcome));
    AttemptResult { id, attempt, outcome, finished: false, report: None, retry_after: None, unsent }
}

/// Whether nothing was written, where no answer says that the target has seen it.
fn is_unsent(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent)
}

/// Nothing may be written from now on.
fn hold(guard: &WriteGuard, waiting: &mut Vec<CallItem>, ended: &mut Vec<AttemptResult>) {
    // Written already, it goes on; should that fail before a byte went, it is not tried anew.
    guard.withhold();
    if !guard.is_begun() {
        part(waiting, ended, Outcome::NotSent, |_| true);
    }
}

/// Moves those that meet the condition to the ended ones.
fn part(
    waiting: &mut Vec<CallItem>,
    ended: &mut Vec<AttemptResult>,
    outcome: Outcome,
    gone: impl Fn(&CallItem) -> bool,
) {
    waiting.retain(|item| {
        if gone(item) {
            ended.push(end(item, outcome));
        }
        !gone(item)
    });
}

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

/// The request for one message or for several.
fn request(items: &[CallItem], to: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let mut request = match items {
        [] => return None,
        [one] => single(one)?,
        several => batch(several)?,
    };
    *request.method_mut() = Method::POST;
    let wait = items.iter().map(|i| i.times_out_at).max()?.saturating_duration_since(Instant::now());
    let wait = HeaderValue::from(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    request.headers_mut().insert("req-deadline-ms", wait);
    http::set_host(&mut request, to);
    Some(request)
}

fn single(item: &CallItem) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(item.body.clone()));
    *request.uri_mut() = Uri::from_static("/hook");
    request.headers_mut().insert("req-id", HeaderValue::from_str(&item.message).ok()?);
    if let Some(key) = &item.key {
        request.headers_mut().insert("idempotency-key", HeaderValue::from_str(key).ok()?);
    }
    Some(request)
}

fn batch(items: &[CallItem]) -> Option<Request<Full<Bytes>>> {
    let list: Vec<BatchItem> = items
        .iter()
        .map(|i| BatchItem { id: &i.message, key: i.key.as_deref(), body: STANDARD.encode(&i.body) })
        .collect();
    let text = serde_json::to_vec(&list).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(text)));
    *request.uri_mut() = Uri::from_static("/hook/batch");
    request.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    Some(request)
}

/// What came back.
struct Answer {
    status: StatusCode,
    wait: Option<Micros>,
    no_slot: bool,
    report: Option<LoadReport>,
    /// The end of each message of a batch.
    states: Option<Vec<ItemState>>,
    /// It came to its end, so that the connection can be used again.
    whole: bool,
}

impl Answer {
    /// One of which only the first line is of use.
    fn bare(status: StatusCode) -> Self {
        Answer { status, wait: None, no_slot: false, report: None, states: None, whole: false }
    }
}

/// Without an answer that can be read: whether the call may have run.
#[derive(Clone, Copy)]
enum NoResponse {
    NotConnected,
    /// It was held back before anything was written.
    Withheld,
    Interrupted,
    /// It may have, and the target has answered.
    Invalid,
    /// It may have, but the connection had stood idle and was dead already.
    StaleConnection,
}

/// The last look before a call is written. Its attempts are noted in the journal then and not before: what a
/// process leaves behind that never left it must not look tried to the next one.
pub(crate) struct WriteGuard {
    journal: SharedJournal,
    /// What is to be noted.
    attempts: Vec<(String, usize)>,
    /// It must not be written after this.
    latest: Instant,
    zone: String,
    /// Something may have been written.
    begun: AtomicBool,
    /// Nothing more is to be written.
    held: AtomicBool,
}

impl WriteGuard {
    pub(crate) fn new(
        journal: SharedJournal,
        attempts: Vec<(String, usize)>,
        latest: Instant,
        zone: String,
    ) -> Self {
        let (begun, held) = (AtomicBool::new(false), AtomicBool::new(false));
        WriteGuard { journal, attempts, latest, zone, begun, held }
    }

    /// Nothing more is to be written, from now on.
    pub(crate) fn withhold(&self) {
        self.held.store(true, Ordering::Relaxed);
    }

    /// Whether something may have been written.
    pub(crate) fn is_begun(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }

    /// True if the call may be written now. Between this and the first byte nothing is awaited.
    fn try_begin(&self) -> bool {
        // By the clock and not by a timer: both may be due in one turn, and the connection may be looked at first.
        if self.held.load(Ordering::Relaxed) || Instant::now() >= self.latest {
            return false;
        }
        if !self.is_begun() {
            let unix = unix_now();
            let sent = |(name, n): &(String, usize)| {
                Record::attempt_started(name.clone(), *n, unix, self.zone.clone())
            };
            let records: Vec<Record> = self.attempts.iter().map(sent).collect();
            if let Err(e) = self.journal.lock().commit(&records, unix) {
                eprintln!("journal: a call is held back: {e}");
                return false;
            }
            self.begun.store(true, Ordering::Relaxed);
        }
        true
    }
}

/// How far an exchange has come, seen from beside it.
struct Progress<'a> {
    guard: &'a WriteGuard,
    connection_usage: Mutex<ConnectionUsage>,
}

impl<'a> Progress<'a> {
    fn new(guard: &'a WriteGuard) -> Self {
        Progress { guard, connection_usage: Mutex::default() }
    }

    fn connection_usage(&self, failed: Option<&io::Error>) {
        let mut connection_usage = self.connection_usage.lock().unwrap_or_else(PoisonError::into_inner);
        match failed {
            Some(e) => connection_usage.failed = Some(e.kind()),
            None => connection_usage.opened += 1,
        }
    }

    fn kept(&self, kept: IdleReuse) {
        self.connection_usage.lock().unwrap_or_else(PoisonError::into_inner).reuse = Some(kept);
    }

    fn take(&self) -> ConnectionUsage {
        std::mem::take(&mut self.connection_usage.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn exchange(
    connection: &mut Option<Connection>,
    to: SocketAddr,
    connect_timeout: Duration,
    request: Request<Full<Bytes>>,
    progress: &Progress<'_>,
) -> Result<Answer, NoResponse> {
    let several = request.uri().path() == "/hook/batch";
    let mut request = Box::new(request);
    loop {
        let reused = match connection {
            Some(open) => open.is_reusable().await,
            None => false,
        };
        if !reused {
            let opened = Connection::open(to, connect_timeout).await;
            progress.connection_usage(opened.as_ref().err());
            *connection = Some(opened.map_err(|_| NoResponse::NotConnected)?);
        }
        let Some(open) = connection else { return Err(NoResponse::NotConnected) };
        if !progress.guard.try_begin() {
            return Err(NoResponse::Withheld);
        }
        let written = Instant::now();
        match open.send(*request).await {
            Ok(response) => {
                if reused {
                    progress.kept(IdleReuse::Alive);
                }
                return read(response, several).await;
            }
            // Guards what is delivered: the first line says so, whatever became of the rest. Not on a connection
            // that has carried another call: that call's answer may have had a second copy, which came late, and
            // to take a message for delivered that is not would lose it. In doubt it may have run.
            Err(RequestError::InvalidResponse | RequestError::Interrupted)
                if !several && !reused && open.status() == Some(StatusCode::OK) =>
            {
                return Ok(Answer::bare(StatusCode::OK));
            }
            Err(RequestError::InvalidResponse) => return Err(NoResponse::Invalid),
            // The idle connection had been closed before a byte was written: the call opens another one.
            Err(RequestError::NotWritten(unsent)) if reused => {
                (request, *connection) = (unsent, None);
            }
            Err(RequestError::NotWritten(_)) => return Err(NoResponse::NotConnected),
            Err(RequestError::Interrupted) if reused && written.elapsed() < DEAD_WITHIN => {
                progress.kept(IdleReuse::Dead);
                return Err(NoResponse::StaleConnection);
            }
            Err(RequestError::Interrupted) => return Err(NoResponse::Interrupted),
        }
    }
}

/// Reads the answer to its end. One that does not come to it is spoilt: whatever its status says, the call may
/// have run. Only a 200 for one message is true as soon as its first line is there.
async fn read(response: Response<Incoming>, several: bool) -> Result<Answer, NoResponse> {
    let headers = response.headers();
    let mut answer = Answer {
        wait: text(headers, "wait-ms").and_then(wait),
        no_slot: text(headers, "slots-taken") == Some("1"),
        report: text(headers, "srv-load").and_then(report),
        ..Answer::bare(response.status())
    };
    let body = http::body(response.into_body(), ANSWER_MOST).await;
    answer.whole = body.is_some();
    if several && answer.status == StatusCode::OK {
        answer.states = Some(body.as_deref().and_then(states).ok_or(NoResponse::Invalid)?);
    } else if !answer.whole && answer.status != StatusCode::OK {
        return Err(NoResponse::Invalid);
    }
    Ok(answer)
}

/// Item by item, so that one that can't be read does not hide the others.
fn states(body: &[u8]) -> Option<Vec<ItemState>> {
    let items: Vec<serde_json::Value> = serde_json::from_slice(body).ok()?;
    Some(items.into_iter().filter_map(|item| serde_json::from_value(item).ok()).collect())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

fn wait(ms: &str) -> Option<Micros> {
    ms.parse::<f64>().ok().filter(|ms| *ms > 0.0).map(|ms| (ms.min(WAIT_MOST) * 1000.0) as Micros)
}

/// What can be read of a load report: one value that can't does not hide the others.
fn report(values: &str) -> Option<LoadReport> {
    let pairs = values.split(',').filter_map(|pair| pair.trim().split_once('='));
    read_report(pairs.filter(|(_, value)| value.parse().is_ok_and(f64::is_finite)))
}

#[derive(Deserialize)]
struct ItemState {
    id: String,
    state: String,
}

/// The outcome of each message that is still waited for.
fn outcomes(waiting: &[CallItem], answer: &Result<Answer, NoResponse>) -> Vec<AttemptResult> {
    let answer = match answer {
        Ok(answer) => answer,
        Err(NoResponse::NotConnected) => {
            return waiting.iter().map(|i| end(i, Outcome::ConnectFailed)).collect();
        }
        Err(NoResponse::Withheld) => return waiting.iter().map(|i| end(i, Outcome::NotSent)).collect(),
        Err(NoResponse::Interrupted) => return waiting.iter().map(|i| end(i, Outcome::Reset)).collect(),
        Err(NoResponse::Invalid) => {
            return waiting.iter().map(|i| end(i, Outcome::InvalidResponse)).collect();
        }
        Err(NoResponse::StaleConnection) => {
            return waiting.iter().map(|i| end(i, Outcome::StaleConnection)).collect();
        }
    };
    let ended = waiting.iter().map(|item| {
        let mut states = answer.states.iter().flatten();
        let state = states.find(|s| s.id == item.message).map(|s| s.state.as_str());
        let (outcome, finished) = outcome(answer, state);
        // A wait binds beside every outcome: it may come with messages that were all accepted.
        AttemptResult {
            finished,
            report: answer.report,
            retry_after: answer.wait,
            unsent: false,
            ..end(item, outcome)
        }
    });
    let mut ended: Vec<AttemptResult> = ended.collect();
    // The module judges a call by the last end that it hears of it: a few accepted messages must not hide
    // that the rest were turned away or failed.
    ended.sort_by_key(|e| match e.outcome {
        Outcome::Delivered => 0,
        Outcome::NotSent => 1,
        Outcome::Rejected { .. } => 2,
        _ => 3,
    });
    ended
}

/// The outcome, and whether the message is over.
fn outcome(answer: &Answer, state: Option<&str>) -> (Outcome, bool) {
    let full = Outcome::Rejected { retry_after: answer.wait };
    match answer.status {
        StatusCode::OK if answer.states.is_some() => match state {
            Some("accepted") => (Outcome::Delivered, true),
            Some("deferred") => (full, false),
            Some("expired") => (Outcome::NotSent, true),
            Some("no_more") => (Outcome::NotSent, false),
            // A fault, or nothing that can be read: it may have run.
            _ => (Outcome::Error, false),
        },
        StatusCode::OK => (Outcome::Delivered, true),
        StatusCode::SERVICE_UNAVAILABLE if answer.no_slot => (Outcome::NotSent, false),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => (full, false),
        StatusCode::GONE => (Outcome::NotSent, true),
        StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
            (Outcome::NotSent, false)
        }
        _ => (Outcome::Error, false),
    }
}

#[cfg(test)]
mod format_tests;
#[cfg(test)]
mod tests;
