//! A stand-in for a discovery service that a fleet shares. It accepts calls in turn, and counts them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// A call that comes within this time after the response to a watch of the same sender continues that watch.
const MAX_WATCH_GAP: Duration = Duration::from_millis(200);

/// How the service accepts calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    /// How long it works on each call that waits for its turn.
    pub(super) service_time: Duration,
    /// A call that would wait for its turn for longer is rejected on its arrival.
    pub(super) patience: Duration,
    /// Whether a call that continues a watch is accepted at once. A rejection then ends the open watches of the
    /// same sender as well.
    pub(super) continues_at_once: bool,
}

/// What the service has counted.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) calls: AtomicU64,
    /// Calls that do not continue a watch.
    pub(super) new_calls: AtomicU64,
    pub(super) rejections: AtomicU64,
    pub(super) list_bytes: AtomicU64,
}

/// The turns of the calls, and what each sender has received.
struct Queue {
    free_at: Instant,
    /// When the last response to a watch of each sender was written.
    answered_at: Vec<Option<Instant>>,
}

/// The service.
pub(super) struct FleetService {
    pub(super) counts: Counts,
    capacity: Capacity,
    revision: watch::Sender<u64>,
    /// Counts the rejections of each sender.
    rejections: Vec<watch::Sender<u64>>,
    queue: Mutex<Queue>,
}

impl FleetService {
    pub(super) fn new(senders: usize, capacity: Capacity) -> Arc<Self> {
        Arc::new(FleetService {
            counts: Counts::default(),
            capacity,
            revision: watch::channel(1).0,
            rejections: (0..senders).map(|_| watch::channel(0).0).collect(),
            queue: Mutex::new(Queue { free_at: Instant::now(), answered_at: vec![None; senders] }),
        })
    }

    /// Changes a record of the list.
    pub(super) fn change(&self) {
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Serves the calls of a sender.
    pub(super) async fn serve(self: Arc<Self>, sender: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let service = self.clone();
            tokio::spawn(async move {
                // A sender may close its connection at any time.
                let _ = service.serve_call(sender, stream).await;
            });
        }
    }

    async fn serve_call(&self, sender: usize, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let known = parameter(&head, "index=");
        let wait = Duration::from_millis(parameter(&head, "wait=").unwrap_or(0));
        let mut rejected = self.rejections[sender].subscribe();
        rejected.mark_unchanged();
        let body = tokio::select! {
            body = self.list(sender, known, wait) => body,
            _ = rejected.changed(), if self.capacity.continues_at_once => None,
        };
        let stream = stream.get_mut();
        let Some(body) = body else {
            self.counts.rejections.fetch_add(1, Ordering::Relaxed);
            return stream.write_all(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        };
        if !wait.is_zero() {
            self.lock().answered_at[sender] = Some(Instant::now());
        }
        self.counts.list_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).await
    }

    /// The body of the response, or `None` if the call is rejected.
    async fn list(&self, sender: usize, known: Option<u64>, wait: Duration) -> Option<String> {
        self.counts.calls.fetch_add(1, Ordering::Relaxed);
        let Some(turn) = self.turn(sender) else {
            self.rejections[sender].send_modify(|count| *count += 1);
            return None;
        };
        sleep_until(turn).await;
        let mut revision = self.revision.subscribe();
        let is_newer = |revision: &u64| known.is_none_or(|known| known < *revision);
        let until = Instant::now() + wait;
        let _ = timeout_at(until, revision.wait_for(is_newer)).await;
        let revision = *revision.borrow();
        Some(match known {
            Some(known) if known < revision => {
                format!("{{\"rev\":{revision},\"all\":false,\"targets\":[{RECORD}]}}")
            }
            Some(_) => format!("{{\"rev\":{revision},\"all\":false,\"targets\":[]}}"),
            None => format!("{{\"rev\":{revision},\"all\":true,\"targets\":[{}]}}", [RECORD; 30].join(",")),
        })
    }

    /// When the service has accepted a call that arrives now, or `None` if the call would wait for too long.
    fn turn(&self, sender: usize) -> Option<Instant> {
        let now = Instant::now();
        let mut queue = self.lock();
        let continues = queue.answered_at[sender].is_some_and(|at| now <= at + MAX_WATCH_GAP);
        if !continues {
            self.counts.new_calls.fetch_add(1, Ordering::Relaxed);
        } else if self.capacity.continues_at_once {
            return Some(now);
        }
        let start = queue.free_at.max(now);
        if now + self.capacity.patience < start {
            return None;
        }
        queue.free_at = start + self.capacity.service_time;
        Some(queue.free_at)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A record of the list.
const RECORD: &str = "{\"uid\":\"s-5be2a07c\",\"endpoint\":\"10.1.0.18:9000\",\"az\":\"a\",\"model\":\"m2\",\
    \"pod_group\":3,\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}";

/// The value of a query parameter in the head of a request.
fn parameter(head: &str, name: &str) -> Option<u64> {
    let target = head.split(' ').nth(1)?;
    target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.parse().ok())
}
