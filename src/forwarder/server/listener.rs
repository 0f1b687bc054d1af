//! Accepts client connections and bounds their number.

use super::activity::ConnectionActivity;
use super::connection::{SHUTDOWN_POLL_INTERVAL, serve_connection};
use super::handler::RequestHandler;
use super::lifecycle::{ConnectionCounts, LifecyclePhase};
use super::rejection::reject;
use crate::forwarder::accept::{Accept, accept_next};
use crate::interface::ClientId;
use socket2::SockRef;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::timeout;

/// At capacity, a connection that awaits no reply may be evicted after this time. A client that opened a
/// connection to send a request has sent it by then.
const MIN_WAIT_BEFORE_EVICTION: Duration = Duration::from_millis(250);
/// The same for a connection whose request has begun to arrive, and is past its head.
const MIN_BODY_WAIT_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// At capacity, new connections let the tasks of all others run, and then not again for so many times as long
/// as that took. If all the others are busy, it takes long, and a burst of new connections would wait for it
/// once each.
const YIELD_PAUSE_FACTOR: u32 = 4;
/// During an upgrade, two processes share the file descriptors of one. The connections of the predecessor
/// reduce the capacity of the successor, but not below the maximum number of connections divided by this.
const MIN_CAPACITY_DIVISOR: usize = 4;
/// Maximum number of attempts to accept queued connections when the server stops. It exceeds the length of
/// the queue.
const MAX_ACCEPTS_AT_STOP: usize = 2048;

/// A listener for clients.
pub(crate) trait ClientListener: Accept<Connection = TcpStream> {
    /// Accepts a connection that is already in the queue, without waiting.
    ///
    /// # Errors
    ///
    /// The queue is empty ([`io::ErrorKind::WouldBlock`]), or the connection cannot be accepted.
    fn accept_queued(&self) -> io::Result<TcpStream>;
}

impl ClientListener for TcpListener {
    fn accept_queued(&self) -> io::Result<TcpStream> {
        // Tokio may not have polled the queue yet, so the connection is accepted directly from the
        // non-blocking socket.
        let (socket, _) = SockRef::from(self).accept()?;
        socket.set_nonblocking(true)?;
        TcpStream::from_std(socket.into())
    }
}

/// Serves clients, with at most `max_connections` at a time, until the phase is [`LifecyclePhase::Stopped`]
/// and the last open request has its reply.
pub(crate) async fn serve<L: ClientListener>(
    listener: L,
    max_connections: usize,
    handler: Arc<RequestHandler>,
) {
    let mut connections = ClientConnections::new(max_connections, handler);
    connections.accept_until_stopped(&listener).await;
    drop(listener);
    connections.close_all().await;
}

/// The open connections of clients. It owns their tasks, so that dropping it closes the connections.
struct ClientConnections {
    max_connections: usize,
    handler: Arc<RequestHandler>,
    open: Vec<OpenConnection>,
    /// Until then, new connections do not wait for the tasks of the others.
    next_yield_at: Instant,
    /// The number of connections that were served so far, from which each gets its number.
    served: ClientId,
    tasks: JoinSet<()>,
}

/// A connection and the handle to abort its task, which closes it.
struct OpenConnection {
    activity: Arc<ConnectionActivity>,
    task: AbortHandle,
}

/// A connection without an open request, or with one that has not arrived completely. The greatest one,
/// compared field by field, is evicted.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    /// The connection has no open request.
    has_no_request: bool,
    /// No request has ever arrived on the connection.
    is_unused: bool,
    /// How long the connection has had no open request, or how long its request has been arriving.
    waiting_time: Duration,
    /// The index of the connection in [`ClientConnections::open`].
    position: usize,
}

impl ClientConnections {
    fn new(max_connections: usize, handler: Arc<RequestHandler>) -> Self {
        let next_yield_at = Instant::now();
        let tasks = JoinSet::new();
        ClientConnections { max_connections, handler, open: Vec::new(), next_yield_at, served: 0, tasks }
    }

    /// Accepts connections and serves them until the phase is [`LifecyclePhase::Stopped`].
    async fn accept_until_stopped<L: ClientListener>(&mut self, listener: &L) {
        let mut phase = self.handler.phase.clone();
        loop {
            let current = *phase.borrow_and_update();
            match current {
                LifecyclePhase::Stopped => return self.accept_all_queued(listener).await,
                // The successor listens on the same socket and accepts the connections from then on. If it
                // takes over, this process stops.
                LifecyclePhase::HandingOver => {
                    let next = phase.wait_for(|phase| *phase != LifecyclePhase::HandingOver).await;
                    if next.is_ok_and(|next| *next == LifecyclePhase::Stopped) {
                        return;
                    }
                }
                _ => tokio::select! {
                    biased;
                    changed = phase.changed() => if changed.is_err() { return },
                    stream = accept_next(listener, "server") => self.add(stream).await,
                },
            }
        }
    }

    /// Accepts the connections that are left in the queue. Closing the listener would reset them, also those
    /// whose request has arrived.
    async fn accept_all_queued<L: ClientListener>(&mut self, listener: &L) {
        for _ in 0..MAX_ACCEPTS_AT_STOP {
            match listener.accept_queued() {
                Ok(stream) => self.add(stream).await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // Either this connection has failed, or the process has no free descriptor until a connection
                // closes.
                Err(_) => yield_now().await,
            }
        }
    }

    /// Serves a new connection. At capacity, it evicts another connection first, or rejects the new one if
    /// there is none to evict. Clients never wait for capacity: otherwise clients that open connections and
    /// send nothing would block the others.
    async fn add(&mut self, stream: TcpStream) {
        if !self.has_capacity() {
            self.yield_if_due().await;
        }
        if self.has_capacity() {
            self.spawn(stream);
        } else if self.evict_one() {
            self.spawn(stream);
            // The task of the evicted connection closes it. Without yielding to that task, a burst of new
            // connections would exceed the capacity.
            self.yield_to_connections().await;
        } else {
            reject(&stream);
        }
    }

    fn has_capacity(&mut self) -> bool {
        self.remove_closed();
        self.open.len() < self.capacity()
    }

    /// Lets the connections end that their clients have closed, unless they could recently.
    async fn yield_if_due(&mut self) {
        if Instant::now() >= self.next_yield_at {
            self.yield_to_connections().await;
        }
    }

    async fn yield_to_connections(&mut self) {
        let started_at = Instant::now();
        yield_now().await;
        self.next_yield_at = Instant::now() + started_at.elapsed() * YIELD_PAUSE_FACTOR;
    }

    /// The number of connections that this process may have now.
    fn capacity(&self) -> usize {
        let shared = self.max_connections.saturating_sub(self.counts().predecessor.load(Relaxed));
        shared.max(self.min_capacity()).max(1)
    }

    /// The number of connections that each process may have during an upgrade, however many the other one
    /// has.
    fn min_capacity(&self) -> usize {
        self.max_connections / MIN_CAPACITY_DIVISOR
    }

    fn counts(&self) -> &ConnectionCounts {
        &self.handler.connection_counts
    }

    fn spawn(&mut self, stream: TcpStream) {
        self.served += 1;
        let activity = Arc::new(ConnectionActivity::new(self.served));
        let task = self.tasks.spawn(serve_connection(stream, self.handler.clone(), activity.clone()));
        self.open.push(OpenConnection { activity, task });
        self.update_count();
    }

    fn remove_closed(&mut self) {
        while self.tasks.try_join_next().is_some() {}
        self.open.retain(|connection| !connection.task.is_finished());
        self.update_count();
    }

    fn update_count(&self) {
        self.counts().own.store(self.tasks.len(), Relaxed);
    }

    /// Closes one connection that awaits no reply, and returns whether there was one. See
    /// [`EvictionCandidate`] for the choice.
    fn evict_one(&mut self) -> bool {
        let candidates = self.open.iter().enumerate().filter_map(|(position, connection)| {
            let activity = &connection.activity;
            let idle_time = activity.idle_time();
            let (waiting_time, min_wait) = match idle_time {
                Some(idle_time) => (idle_time, MIN_WAIT_BEFORE_EVICTION),
                None => (activity.body_arrival_time()?, MIN_BODY_WAIT_BEFORE_EVICTION),
            };
            (waiting_time >= min_wait).then_some(EvictionCandidate {
                has_no_request: idle_time.is_some(),
                is_unused: !activity.has_received_request(),
                waiting_time,
                position,
            })
        });
        let Some(evicted) = candidates.max() else { return false };
        self.open.swap_remove(evicted.position).task.abort();
        true
    }

    /// Waits until the last connection is closed. Meanwhile, connections that await no reply are evicted down
    /// to [`Self::min_capacity`], because a request may arrive slowly on them.
    async fn close_all(mut self) {
        while !self.tasks.is_empty() {
            self.remove_closed();
            while self.open.len() > self.min_capacity() && self.evict_one() {}
            let _ = timeout(SHUTDOWN_POLL_INTERVAL, self.tasks.join_next()).await;
        }
        self.remove_closed();
    }
}

#[cfg(test)]
mod tests;
