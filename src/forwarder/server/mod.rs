//! Takes messages from clients: reads requests, hands them to the node, and gives its answers.

mod framing;

use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::client_request::{ClientReply, ClientRequest};
use crate::interface::{Idempotency, Settings};
use crate::settings_reader::{SettingNames, index};
use bytes::Bytes;
use framing::FramingScanner;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::{Sleep, sleep, timeout};

/// Longest body.
const BODY_MOST: usize = 64 << 10;
/// What one connection may hold of unread bytes; many slow clients together stay far from the memory limit.
const BUFFER: usize = 16 << 10;
/// Longest id or key: both go into every record of the journal.
const NAME_MOST: usize = 128;
/// A message may not be deliverable for longer than this; it keeps sums of times far from overflow.
const DEADLINE_MOST: u64 = 24 * 3600 * 1000;
/// So long a connection may be idle, and so long a head may take from its first byte, the first one from when the
/// connection opened;
const HEAD: Duration = Duration::from_millis(2400);
/// and so long a whole request, from its first byte, the first one from when the connection opened: a client that
/// sends none within 3 s is told so.
const WHOLE: Duration = Duration::from_millis(2800);
/// Where room is short, a connection without an open request gives way after this time: a client that has
/// something to say has said it by then.
const SPARE: Duration = Duration::from_millis(250);
/// While clients are sent away, connections without an open request are closed after this time: by then the front
/// has heard of it, and what was on its way has come.
const LEAVE: Duration = Duration::from_millis(400);
/// How often that is looked for.
const LEAVE_STEP: Duration = Duration::from_millis(20);
/// A connection that is closed goes on reading, and drops what it reads, for so long and for so many bytes or until
/// the client closes too: a socket closed over unread bytes is reset, and a reset overtakes the last answer.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: usize = 256 << 10;
/// While two processes share the descriptors of one, the new one leaves the old one's clients their places, but for this
/// part of all places.
const LEAST_PART: usize = 4;
/// When a client is to come again for whose message there is no room now.
const AGAIN: Duration = Duration::from_secs(1);
/// All that a client hears for whom there is no room.
const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifecyclePhase {
    Serving,
    /// Clients are sent away, and not ready is said; those that come all the same are served.
    Draining,
    /// Each answer is the last on its connection.
    Closing,
    /// A new version takes over: nobody is accepted here, and idle connections are closed.
    HandingOver,
    /// Nothing new is read.
    Stopped,
}

impl LifecyclePhase {
    /// After what time connections without an open request are closed, if they are.
    fn leaving(self) -> Option<Duration> {
        match self {
            LifecyclePhase::Serving | LifecyclePhase::Closing => None,
            LifecyclePhase::Draining => Some(LEAVE),
            LifecyclePhase::HandingOver | LifecyclePhase::Stopped => Some(Duration::ZERO),
        }
    }
}

/// Clients' connections: they count together while two processes share the descriptors of one.
#[derive(Default)]
pub(crate) struct ConnectionCounts {
    /// At this process.
    pub(crate) own: AtomicUsize,
    /// At the old process.
    pub(crate) predecessor: AtomicUsize,
}

/// What all connections share.
pub(crate) struct RequestHandler {
    pub(crate) names: SettingNames,
    pub(crate) settings: Settings,
    pub(crate) runtime: Sender<RuntimeEvent>,
    pub(crate) phase: watch::Receiver<LifecyclePhase>,
    pub(crate) places: Arc<ConnectionCounts>,
    /// KiB that bodies may take until the node has them.
    pub(crate) bodies: Semaphore,
}

/// Serves clients, at most `most` connections at a time, until all is shut and the last has its answer.
pub(crate) async fn serve(listener: TcpListener, most: usize, intake: Arc<RequestHandler>) {
    let mut phase = intake.phase.clone();
    let places = intake.places.clone();
    let mut clients = Clients { most, open: Vec::new(), tasks: JoinSet::new(), places };
    tokio::select! {
        () = clients.accept(listener, intake) => {}
        _ = phase.wait_for(|p| *p == LifecyclePhase::Stopped) => {}
    }
    while !clients.tasks.is_empty() {
        clients.shrink();
        // Until the last has its answer.
        let _ = timeout(LEAVE_STEP, clients.tasks.join_next()).await;
    }
    clients.count();
}

/// The open connections.
struct Clients {
    most: usize,
    open: Vec<Client>,
    tasks: JoinSet<()>,
    places: Arc<ConnectionCounts>,
}

struct Client {
    using: Arc<Use>,
    task: AbortHandle,
}

/// What a connection is used for: told by its task, looked at where room is short.
struct Use {
    opened: Instant,
    /// It has brought a whole head.
    asked: AtomicBool,
    /// Milliseconds from `opened` to when it last had no open request; [`Use::BUSY`] while it has one.
    idle_from: AtomicU64,
    /// The head that was read last is ambiguous.
    ambiguous: AtomicBool,
    /// The bytes that were read last end within a request.
    within: AtomicBool,
    /// Milliseconds from `opened` to the first byte of that request; 0 for the first one.
    begun_at: AtomicU64,
}

impl Use {
    const BUSY: u64 = u64::MAX;

    fn begin(&self) {
        self.asked.store(true, Relaxed);
        self.idle_from.store(Use::BUSY, Relaxed);
    }

    fn end(&self) {
        // What has come of the next request had to wait for this one.
        self.begun_at.store(self.age(), Relaxed);
        self.idle_from.store(self.age(), Relaxed);
    }

    /// Bytes have come, and end within a request or between two.
    fn bytes(&self, within: bool) {
        if within && !self.within.swap(within, Relaxed) && self.asked.load(Relaxed) {
            self.begun_at.store(self.age(), Relaxed);
        }
        self.within.store(within, Relaxed);
    }

    /// Whether a request has begun that is not answered yet.
    fn is_within(&self) -> bool {
        self.within.load(Relaxed) || self.idle().is_none()
    }

    /// What is left of the time that it may stand idle or take for a head.
    fn head_left(&self) -> Duration {
        let from = if self.within.load(Relaxed) { &self.begun_at } else { &self.idle_from };
        match from.load(Relaxed) {
            // An open request has a time of its own.
            Use::BUSY => HEAD,
            _ if self.idle().is_none() => HEAD,
            from => HEAD.saturating_sub(Duration::from_millis(self.age().saturating_sub(from))),
        }
    }

    /// What is left of the time for the whole request.
    fn left(&self) -> Duration {
        let took = self.age().saturating_sub(self.begun_at.load(Relaxed));
        WHOLE.saturating_sub(Duration::from_millis(took))
    }

    fn age(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(Use::BUSY - 1)
    }

    /// How long it has had no open request; nothing while it has one.
    fn idle(&self) -> Option<Duration> {
        let from = Some(self.idle_from.load(Relaxed)).filter(|from| *from != Use::BUSY)?;
        Some(Duration::from_millis(self.age().saturating_sub(from)))
    }
}

impl Clients {
    async fn accept(&mut self, listener: TcpListener, intake: Arc<RequestHandler>) {
        let mut phase = intake.phase.clone();
        loop {
            let accepted = tokio::select! {
                biased;
                // Another process accepts on the same socket: what this one does not take is taken there.
                _ = phase.wait_for(|p| *p == LifecyclePhase::HandingOver) => None,
                accepted = listener.accept() => Some(accepted),
            };
            let Some(accepted) = accepted else {
                let _ = phase.wait_for(|p| *p != LifecyclePhase::HandingOver).await;
                continue;
            };
            match accepted {
                Ok((stream, _)) => {
                    let most = self.most.saturating_sub(intake.places.predecessor.load(Relaxed));
                    let most = most.max(self.most / LEAST_PART).max(1);
                    self.take(stream, intake.clone(), most);
                    // A connection that gives way is closed by its task: without a turn for that, a wave of new
                    // ones would pass the bound.
                    if self.open.len() >= most {
                        yield_now().await;
                    }
                }
                Err(e) => {
                    // Out of descriptors, say: others must close first.
                    eprintln!("intake: {e}");
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Serves a new connection, in place of an idle one where there is no room. Guards good clients against
    /// silent ones: nobody waits for room, so connections that say nothing shut nobody out.
    fn take(&mut self, stream: TcpStream, intake: Arc<RequestHandler>, most: usize) {
        self.count();
        if self.open.len() >= most && !self.make_room() {
            return turn_away(stream);
        }
        let using = Arc::new(Use {
            opened: Instant::now(),
            asked: AtomicBool::new(false),
            idle_from: AtomicU64::new(0),
            ambiguous: AtomicBool::new(false),
            within: AtomicBool::new(false),
            begun_at: AtomicU64::new(0),
        });
        let task = self.tasks.spawn(client(stream, intake, using.clone()));
        self.open.push(Client { using, task });
        self.places.own.store(self.tasks.len(), Relaxed);
    }

    /// Forgets connections that are closed.
    fn count(&mut self) {
        while self.tasks.try_join_next().is_some() {}
        self.open.retain(|client| !client.task.is_finished());
        self.places.own.store(self.tasks.len(), Relaxed);
    }

    /// What dawdles half way through a request gives way down to the part that a new version leaves in any case.
    fn shrink(&mut self) {
        self.count();
        while self.open.len() > self.most / LEAST_PART && self.make_room() {}
    }

    /// Closes one connection without an open request: one that never asked before the others, then the longest
    /// idle.
    fn make_room(&mut self) -> bool {
        let idle = self.open.iter().enumerate().filter_map(|(n, client)| {
            let idle = client.using.idle().filter(|idle| *idle >= SPARE)?;
            Some((!client.using.asked.load(Relaxed), idle, n))
        });
        let Some((.., n)) = idle.max() else { return false };
        self.open.swap_remove(n).task.abort();
        true
    }
}

/// Says that there is no room. What has come is read before, so that the close is none over unread bytes.
fn turn_away(stream: TcpStream) {
    // Without the runtime, which has yet to hear that it can be read and written.
    let Ok(mut stream) = stream.into_std() else { return };
    let mut unread = [0; 4096];
    for _ in 0..LINGER_MOST / unread.len() {
        if !stream.read(&mut unread).is_ok_and(|n| n == unread.len()) {
            break;
        }
    }
    // It fits into the socket's empty buffer; a client that has left needs none.
    let _ = stream.write(NO_ROOM);
    let _ = stream.shutdown(Shutdown::Write);
}

async fn client(stream: TcpStream, intake: Arc<RequestHandler>, using: Arc<Use>) {
    let _ = stream.set_nodelay(true);
    let mut phase = intake.phase.clone();
    let stream = Guarded { stream, heads: FramingScanner::default(), using: using.clone(), linger: None };
    let at = using.clone();
    let service = service_fn(move |request| {
        let (intake, using) = (intake.clone(), at.clone());
        async move {
            using.begin();
            let reply = intake.answer(request, using.ambiguous.load(Relaxed), using.left()).await;
            using.end();
            Ok::<_, Infallible>(reply)
        }
    });
    let mut server = http1::Builder::new();
    // Its time for a head begins when the connection is idle, and would end in the midst of a request.
    server.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(BUFFER);
    let mut connection = pin!(server.serve_connection(TokioIo::new(stream), service));
    // A client that breaks off harms nobody else.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = leaves(&mut phase, &using) => connection.as_mut().graceful_shutdown(),
        () = expires(&using) => {
            // Half a head is no request: it is owed a close and no more.
            if using.is_within() {
                return;
            }
            connection.as_mut().graceful_shutdown();
        }
    }
    let _ = connection.await;
}

/// Ends when the connection is to close: without an open request, at once where all is shut or handed over, and after
/// a while where clients are sent away. A request of which anything has come is awaited and answered.
async fn leaves(phase: &mut watch::Receiver<LifecyclePhase>, using: &Use) {
    loop {
        // The node is gone only when the process ends.
        let _ = phase.wait_for(|p| p.leaving().is_some()).await;
        let since = Instant::now();
        loop {
            let Some(after) = phase.borrow().leaving() else { break };
            let idle = using.idle().is_some_and(|idle| idle >= after);
            if since.elapsed() >= after && idle && !using.is_within() {
                return;
            }
            sleep(LEAVE_STEP).await;
        }
    }
}

/// Ends when the connection has been idle, or has been at a head, for as long as it may.
async fn expires(using: &Use) {
    loop {
        match using.head_left() {
            Duration::ZERO => return,
            left => sleep(left).await,
        }
    }
}

/// A client's stream that looks at each head before the parser does, which hides a `Content-Length` that
/// stands behind `Transfer-Encoding` or is repeated.
struct Guarded {
    stream: TcpStream,
    heads: FramingScanner,
    using: Arc<Use>,
    linger: Option<Linger>,
}

/// The end of a connection: this side has closed, the other has not.
struct Linger {
    until: Pin<Box<Sleep>>,
    /// Bytes that may still come.
    left: usize,
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.heads.read(&buf.filled()[before..]) {
            self.using.ambiguous.store(true, Relaxed);
        }
        if buf.filled().len() > before {
            self.using.bytes(self.heads.is_within());
        }
        poll
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Nothing that is read from now on is parsed, let alone taken on.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Guarded { stream, linger, .. } = &mut *self;
        if linger.is_none() {
            ready!(Pin::new(&mut *stream).poll_shutdown(cx))?;
        }
        let linger =
            linger.get_or_insert_with(|| Linger { until: Box::pin(sleep(LINGER)), left: LINGER_MOST });
        while linger.until.as_mut().poll(cx).is_pending() {
            let mut dropped = [0; 4096];
            let mut dropped = ReadBuf::new(&mut dropped);
            let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut dropped));
            linger.left = linger.left.saturating_sub(dropped.filled().len());
            if read.is_err() || dropped.filled().is_empty() || linger.left == 0 {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}

type Reply = Response<Full<Bytes>>;

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

impl RequestHandler {
    async fn answer(&self, request: Request<Incoming>, ambiguous: bool, left: Duration) -> Reply {
        let mut reply = match (request.method(), request.uri().path()) {
            _ if ambiguous => status(StatusCode::BAD_REQUEST),
            // Messages come with their length; without chunks, where a body ends is never in doubt.
            _ if request.headers().contains_key(TRANSFER_ENCODING) => status(StatusCode::LENGTH_REQUIRED),
            (&Method::GET, "/-/ready") => status(match *self.phase.borrow() {
                LifecyclePhase::Draining => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::OK,
            }),
            (&Method::POST, path) if path.len() > 1 => match self.submit(request, left).await {
                Ok(answer) => reply(answer),
                Err(code) => status(code),
            },
            _ => status(StatusCode::NOT_FOUND),
        };
        // Nothing behind a request that was not understood is read as another.
        if reply.status().is_client_error() || *self.phase.borrow() >= LifecyclePhase::Draining {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    /// `left`: how long its body may still take.
    async fn submit(&self, request: Request<Incoming>, left: Duration) -> Result<ClientReply, StatusCode> {
        let (parts, body) = request.into_parts();
        // The path's first part is the class; there is nothing below it.
        let class = parts.uri.path().trim_start_matches('/');
        if class.contains('/') {
            return Err(StatusCode::NOT_FOUND);
        }
        let class = index(&self.names.classes, class).ok_or(StatusCode::BAD_REQUEST)?;
        let head = self.read_head(class, &parts.headers).ok_or(StatusCode::BAD_REQUEST)?;
        let Some(length) = body.size_hint().exact().filter(|length| *length <= BODY_MOST as u64) else {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        };
        // Bounds the memory that many bodies at once may take.
        let Ok(_room) = self.bodies.try_acquire_many(length.div_ceil(1024) as u32) else {
            return Ok(ClientReply::Rejected(Some(AGAIN)));
        };
        let body = read_body(body, left).await?;
        let (answer, answered) = oneshot::channel();
        let message = ClientRequest {
            id: head.id,
            class,
            tenant: head.tenant,
            destination: head.destination,
            key: head.key,
            body,
            deadline: Instant::now() + head.remaining,
            reply: answer,
        };
        // A full queue means that the node is far behind: another try does no harm.
        if self.runtime.try_send(RuntimeEvent::ClientRequest(message)).is_err() {
            return Ok(ClientReply::Rejected(Some(AGAIN)));
        }
        Ok(answered.await.unwrap_or(ClientReply::Rejected(None)))
    }

    fn read_head(&self, class: usize, headers: &HeaderMap) -> Option<Head> {
        // Of two values nobody knows which one others go by.
        let once = |name: &str| headers.get_all(name).iter().nth(1).is_none();
        if !["req-id", "req-owner", "req-deadline-ms", "idempotency-key", "envelope"].iter().all(|n| once(n))
        {
            return None;
        }
        let text = |name: &str| headers.get(name).map(|v| v.to_str().ok().map(str::trim)).unwrap_or(Some(""));
        let name = |header: &str| text(header).filter(|v| v.len() <= NAME_MOST);
        let tenant = match name("req-owner")? {
            "" if self.names.tenants.is_empty() => None,
            owner => Some(index(&self.names.tenants, owner)?),
        };
        let key = Some(name("idempotency-key")?.to_owned()).filter(|k| !k.is_empty());
        if key.is_none() && matches!(self.settings.classes[class].idempotency, Idempotency::Keyed { .. }) {
            return None;
        }
        let remaining = text("req-deadline-ms")?.parse().ok().filter(|ms| *ms <= DEADLINE_MOST)?;
        Some(Head {
            id: Some(name("req-id")?.to_owned()).filter(|id| !id.is_empty())?,
            tenant,
            destination: text("envelope")?
                .split(',')
                .filter_map(|pair| pair.trim().split_once('='))
                .find_map(|(name, value)| (name == "dest").then(|| value.parse().ok())?)?,
            key,
            remaining: Duration::from_millis(remaining),
        })
    }
}

/// What the headers of a message tell.
struct Head {
    id: String,
    tenant: Option<usize>,
    destination: u64,
    key: Option<String>,
    remaining: Duration,
}

async fn read_body(body: Incoming, left: Duration) -> Result<Bytes, StatusCode> {
    match timeout(left, Limited::new(body, BODY_MOST).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn reply(answer: ClientReply) -> Reply {
    match answer {
        ClientReply::Accepted => status(StatusCode::ACCEPTED),
        ClientReply::Delivered => status(StatusCode::OK),
        ClientReply::Failed => status(StatusCode::INTERNAL_SERVER_ERROR),
        ClientReply::Rejected(wait) => {
            let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = wait.map(|w| format!("{:.3}", w.as_secs_f64()));
            if let Some(Ok(value)) = seconds.map(|s| HeaderValue::from_str(&s)) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
            reply
        }
    }
}

#[cfg(test)]
mod format_tests;
