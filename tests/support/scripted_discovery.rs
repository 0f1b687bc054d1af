//! A discovery service whose list and behavior the test can change at any time.

use super::discovery_connection::serve_connection;
use super::discovery_history::{DiscoveryBehavior, DiscoveryHistory, ResponseFault, WatchEnding};
use super::discovery_state::{ChangeAfterWatch, DiscoveryState};
use super::{EVENT_TIMEOUT, POLL_INTERVAL};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// The maximum number of connections in the queue of the listener.
const LISTEN_BACKLOG: u32 = 128;
/// If a connection attempt takes longer than this, the queue of the listener counts as full.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long connections to the old address stay open after the service has moved to another one.
const OLD_ADDRESS_LINGER: Duration = Duration::from_millis(1500);

/// The state that the tasks of a service share.
pub(super) struct SharedDiscovery {
    state: Mutex<DiscoveryState>,
    /// Counts the changes of the state.
    changes: watch::Sender<u64>,
    /// Counts how often all connections were reset.
    pub(super) resets: watch::Sender<u64>,
    /// Locked while a call is served or accepted, by behaviors that do so one by one.
    pub(super) turn: tokio::sync::Mutex<()>,
    /// The number of calls that wait to be accepted or are being accepted in
    /// [`DiscoveryBehavior::OverloadedQueue`].
    pub(super) queue_length: AtomicU32,
    /// The number of requests that arrived before the response to the last one on their connection.
    pub(super) early_requests: AtomicU32,
    /// How long bytes take in one direction between the service and its callers, in milliseconds.
    latency_ms: AtomicU64,
}

impl SharedDiscovery {
    pub(super) fn lock(&self) -> MutexGuard<'_, DiscoveryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn behavior(&self) -> DiscoveryBehavior {
        self.lock().behavior
    }

    /// Returns a receiver of the changes from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits until the service is shut down.
    pub(super) async fn until_shut_down(&self) {
        until_behavior(self, &mut self.subscribe(), |now| now == DiscoveryBehavior::ShutDown).await;
    }

    /// How long bytes take in one direction between the service and its callers.
    pub(super) fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms.load(Ordering::Relaxed))
    }

    /// Rejects all open calls of a caller with 503.
    pub(super) fn reject_open_calls(&self, caller: usize) {
        self.lock().reject_open_calls(caller);
        self.notify();
    }

    /// Sets the record of a uid, or adds it.
    pub(super) fn change(&self, record: Value) {
        self.lock().change(record);
        self.notify();
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

/// A discovery service on a loopback address.
pub(crate) struct ScriptedDiscovery {
    /// The address of the first caller.
    pub address: SocketAddr,
    shared: Arc<SharedDiscovery>,
    /// The address for each caller, by its number.
    listening: Vec<ListeningAddress>,
}

/// An address of the service, with the task that accepts connections there.
struct ListeningAddress {
    address: SocketAddr,
    /// Reserves the port while nothing listens.
    _reserved_port: TcpSocket,
    accept_task: AbortHandle,
    /// Set to true once the connections to this address have to be closed.
    closing: watch::Sender<bool>,
}

impl ListeningAddress {
    /// Listens on a free port for this caller.
    fn start(shared: &Arc<SharedDiscovery>, caller: usize) -> Self {
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let reserved_port = bind(any_port).expect("a free port");
        let address = reserved_port.local_addr().expect("it is bound");
        let closing = watch::channel(false).0;
        let acceptor = Acceptor { address, caller, shared: shared.clone(), closing: closing.subscribe() };
        // A caller may connect before the task runs.
        let listener = (!shared.behavior().hides_calls()).then(|| listen(address, LISTEN_BACKLOG));
        let task = tokio::spawn(acceptor.run(listener));
        ListeningAddress { address, _reserved_port: reserved_port, accept_task: task.abort_handle(), closing }
    }

    /// Accepts no further connection, and closes the open ones after `OLD_ADDRESS_LINGER`.
    fn close(self) {
        self.accept_task.abort();
        tokio::spawn(async move {
            sleep(OLD_ADDRESS_LINGER).await;
            self.closing.send_replace(true);
        });
    }
}

impl ScriptedDiscovery {
    /// Starts a healthy service with a list of revision 1.
    pub(crate) async fn start(records: Vec<Value>) -> Self {
        let shared = Arc::new(SharedDiscovery {
            state: Mutex::new(DiscoveryState::new(records)),
            changes: watch::channel(0).0,
            resets: watch::channel(0).0,
            turn: tokio::sync::Mutex::new(()),
            queue_length: AtomicU32::new(0),
            early_requests: AtomicU32::new(0),
            latency_ms: AtomicU64::new(0),
        });
        let listening = ListeningAddress::start(&shared, 0);
        ScriptedDiscovery { address: listening.address, shared, listening: vec![listening] }
    }

    /// Listens on another address, by which the calls of another caller are identified. Returns the address.
    pub(crate) fn add_caller(&mut self) -> SocketAddr {
        let listening = ListeningAddress::start(&self.shared, self.listening.len());
        let address = listening.address;
        self.listening.push(listening);
        address
    }

    /// Sets the record of a uid, or adds it.
    pub(crate) fn change(&self, record: Value) {
        self.shared.change(record);
    }

    /// Begins a behavior with the response to the next watch that ends in this way, and sets a record right
    /// after that response.
    pub(crate) fn change_after_watch(&self, ending: WatchEnding, behavior: DiscoveryBehavior, record: Value) {
        self.shared.lock().after_watch = Some(ChangeAfterWatch { ending, behavior, record });
    }

    /// Removes a record.
    pub(crate) fn remove(&self, uid: &str) {
        self.shared.lock().remove(uid);
        self.shared.notify();
    }

    /// Replaces the list. Watches receive the complete list.
    pub(crate) fn replace_all(&self, records: Vec<Value>) {
        self.shared.lock().replace_all(records);
        self.shared.notify();
    }

    /// Sets how long bytes take in one direction between the service and its callers.
    pub(crate) fn set_latency(&self, milliseconds: u64) {
        self.shared.latency_ms.store(milliseconds, Ordering::Relaxed);
    }

    /// Begins a behavior.
    pub(crate) fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.shared.lock().set_behavior(behavior);
        if behavior.resets_connections() {
            self.reset_connections();
        }
        self.shared.notify();
    }

    /// Sets the fault of the next response to a caller.
    pub(crate) fn set_fault(&self, caller: usize, fault: ResponseFault) {
        self.shared.lock().set_fault(caller, fault);
    }

    /// Never answers the calls that are open now. Later calls are answered.
    pub(crate) fn silence_open_watches(&self) {
        self.shared.lock().silence_open_calls();
        self.shared.notify();
    }

    /// Resets all connections and gives the present list this revision, as a restart without state does.
    pub(crate) fn restart_at_revision(&self, revision: u64) {
        self.shared.lock().restart_at_revision(revision);
        self.reset_connections();
        self.shared.notify();
    }

    fn reset_connections(&self) {
        self.shared.resets.send_modify(|count| *count += 1);
    }

    /// Moves the service to another address for the first caller. The old address accepts no new connection,
    /// and its open connections are closed soon.
    pub(crate) fn move_to_new_address(&mut self) {
        self.address = self.move_caller(0);
    }

    /// Like [`Self::move_to_new_address`], for this caller. Returns the new address.
    pub(crate) fn move_caller(&mut self, caller: usize) -> SocketAddr {
        let new = ListeningAddress::start(&self.shared, caller);
        let address = new.address;
        std::mem::replace(&mut self.listening[caller], new).close();
        address
    }

    /// The ids of the messages in the notices of forwarders.
    pub(crate) fn noticed_messages(&self) -> BTreeSet<String> {
        self.shared.lock().noticed_messages.clone()
    }

    /// The number of requests that arrived before the response to the last one on their connection.
    pub(crate) fn early_requests(&self) -> u32 {
        self.shared.early_requests.load(Ordering::Relaxed)
    }

    /// The history of the service so far.
    pub(crate) fn history(&self) -> DiscoveryHistory {
        self.shared.lock().history.clone()
    }

    /// The history of the service so far, with the calls of one caller only.
    pub(crate) fn history_of(&self, caller: usize) -> DiscoveryHistory {
        let mut history = self.history();
        history.calls.retain(|call| call.caller == caller);
        history
    }

    /// Waits until the history satisfies a condition.
    pub(crate) async fn until(&self, condition: impl Fn(&DiscoveryHistory) -> bool) {
        let satisfied = async {
            while !condition(&self.shared.lock().history) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(EVENT_TIMEOUT, satisfied).await.expect("the forwarder calls in time");
    }

    /// Waits until the forwarder has received a list or has an open call.
    pub(crate) async fn until_followed(&self) {
        self.until(|history| history.calls.iter().any(|call| !call.has_failed())).await;
    }

    /// Waits until a response with the latest version of the list was written.
    pub(crate) async fn until_latest_list_is_written(&self) {
        self.until(|history| {
            let latest = history.versions.len() - 1;
            history.calls.iter().any(|call| call.is_answered_with(latest))
        })
        .await;
    }

    /// Waits until the last call of the forwarder is open.
    pub(crate) async fn until_watched(&self) {
        self.until(|history| history.calls.last().is_some_and(|call| call.end.is_none())).await;
    }
}

impl Drop for ScriptedDiscovery {
    fn drop(&mut self) {
        self.listening.iter().for_each(|listening| listening.accept_task.abort());
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    bind(address).and_then(|socket| socket.listen(backlog)).expect("the port is reserved")
}

/// Accepts the connections to an address.
struct Acceptor {
    address: SocketAddr,
    caller: usize,
    shared: Arc<SharedDiscovery>,
    closing: watch::Receiver<bool>,
}

impl Acceptor {
    /// Accepts connections while the behavior allows it. Uses `first_listener` first.
    async fn run(self, mut first_listener: Option<TcpListener>) {
        let mut changes = self.shared.subscribe();
        loop {
            match self.shared.behavior() {
                behavior if !behavior.listens() => {
                    until_behavior(&self.shared, &mut changes, DiscoveryBehavior::listens).await;
                }
                behavior if behavior.fills_queue() => {
                    let listener = listen(self.address, 1);
                    let queued = fill_queue(self.address).await;
                    until_behavior(&self.shared, &mut changes, |now| !now.fills_queue()).await;
                    drop((listener, queued));
                }
                _ => {
                    let listener =
                        first_listener.take().unwrap_or_else(|| listen(self.address, LISTEN_BACKLOG));
                    tokio::select! {
                        () = self.accept_from(listener) => {}
                        () = until_behavior(&self.shared, &mut changes, DiscoveryBehavior::hides_calls) => {}
                    }
                }
            }
        }
    }

    async fn accept_from(&self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, self.caller, self.shared.clone(), self.closing.clone()));
        }
    }
}

async fn until_behavior(
    shared: &SharedDiscovery,
    changes: &mut watch::Receiver<u64>,
    matches: impl Fn(DiscoveryBehavior) -> bool,
) {
    while !matches(shared.behavior()) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(FULL_QUEUE_TIMEOUT, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    queued
}
