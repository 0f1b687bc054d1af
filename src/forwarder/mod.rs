//! The forwarder process, which runs the decision module with real sockets.

/// Writes a line to the log, which is the standard error stream. It replaces the macro of the standard
/// library in this module, because that panics if the write fails: a failed log write must not end the
/// process or one of its tasks.
macro_rules! eprintln {
    ($($argument:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stderr(), $($argument)*);
    }};
}

mod accept;
mod admin;
mod background_tasks;
mod clock;
mod configuration;
mod departed_endpoints;
mod discovery;
mod discovery_client;
mod endpoint_client;
mod event;
mod http;
mod inherited_listener;
mod journal;
mod messages;
mod metrics;
mod notices;
mod resource_budget;
mod runtime;
mod server;
mod signals;
mod state_folder;
mod upgrade;

pub use configuration::{Config, ConfigError};
pub use inherited_listener::{InheritError, listener as inherited_listener};

use background_tasks::BackgroundTasks;
use discovery::InitialList;
use discovery_client::Backoff;
use event::RuntimeEvent;
use messages::admin_command::AdminError;
use messages::notice::Notice;
use resource_budget::ResourceBudget;
use runtime::{Runtime, RuntimeChannels};
use server::{ConnectionCounts, LifecyclePhase, RequestHandler, RequestMemory};
use signals::Signals;
use state_folder::StateFolder;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// Maximum number of events that wait for the runtime.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Maximum number of batches that wait for the notice sender.
const NOTICE_QUEUE_CAPACITY: usize = 1;

/// Delay after the first failed attempt to read the configuration at SIGHUP.
const INITIAL_RELOAD_BACKOFF: Duration = Duration::from_millis(20);
/// Longest delay between attempts to read the configuration. The new address must be in use a few seconds
/// after the signal.
const MAX_RELOAD_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum number of attempts to read the configuration after one SIGHUP.
const MAX_RELOAD_ATTEMPTS: usize = 240;

/// Maximum number of connections that wait to be accepted. If a crowd fills the queue, the system drops
/// further attempts to connect, and clients repeat theirs only after a second.
const LISTEN_BACKLOG: u32 = 1024;
/// Time for which binding an address is retried.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two attempts to bind an address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why the forwarder could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A signal handler cannot be installed.
    #[error("cannot handle signals: {0}")]
    Signals(#[source] io::Error),
    /// An address cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// The inherited listener cannot be used.
    #[error("cannot use the inherited listener: {0}")]
    InheritedListener(#[source] io::Error),
}

/// Runs until SIGTERM, or until a successor has taken over and all work is done. Clients are accepted on the
/// inherited listener, or on the configured address if there is none. Opening the state folder is retried
/// until it succeeds.
///
/// # Errors
///
/// See [`RunError`]. Errors occur only before anything is taken over from a predecessor.
pub async fn run(config: Config, inherited: Option<std::net::TcpListener>) -> Result<(), RunError> {
    // Must come first: until its handler is installed, SIGHUP ends the process.
    let Signals { hangup, mut terminate } = Signals::install().map_err(RunError::Signals)?;
    let budget = ResourceBudget::new(&config);
    // The runtime holds the receiver.
    let (events, mut event_queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut tasks = BackgroundTasks::default();
    let listener = tokio::select! {
        listener = open_listeners(&config, inherited, &events, &mut tasks) => listener?,
        _ = terminate.recv() => return Ok(()),
    };
    let state_folder = tokio::select! {
        opened = StateFolder::open(&config.state_folder, config.limits.disk_mb) => opened,
        never = reject_admin_requests(&mut event_queue) => match never {},
        _ = terminate.recv() => return Ok(()),
    };
    let connection_counts = Arc::new(ConnectionCounts::default());
    // The notice sender holds the receiver.
    let (notices, notice_batches) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
    let channels = RuntimeChannels {
        max_idle_connections: budget.idle_connections,
        notices,
        events: events.clone(),
        connection_counts: connection_counts.clone(),
    };
    let (mut runtime, initial_list) = Runtime::start(&config, channels, state_folder).await;
    upgrade::listen_for_successors(&config.state_folder, events.clone());
    runtime.save_timeline();
    let discovery = start_platform_clients(
        &config,
        budget.list_bytes,
        initial_list,
        &events,
        notice_batches,
        &mut runtime,
        &mut tasks,
    );
    tasks.spawn(reload_configuration(hangup, discovery));
    tasks.spawn(forward_termination(terminate, events.clone()));
    // The runtime publishes its phase to the server and its connections.
    let (phase_publisher, phase) = watch::channel(LifecyclePhase::Serving);
    let request_memory = Arc::new(RequestMemory::new(budget.request_bytes, connection_counts.clone()));
    let handler = RequestHandler {
        setting_names: config.setting_names,
        settings: config.settings,
        runtime: events,
        phase,
        connection_counts,
        request_memory,
    };
    let server = tokio::spawn(server::serve(listener, budget.client_connections, Arc::new(handler)));
    runtime.run(event_queue, phase_publisher, server).await;
    Ok(())
}

/// Starts to serve operators, and returns the listener for clients. Called before the take-over, because a
/// process that cannot serve clients must not stop its predecessor from serving them.
async fn open_listeners(
    config: &Config,
    inherited: Option<std::net::TcpListener>,
    events: &Sender<RuntimeEvent>,
    tasks: &mut BackgroundTasks,
) -> Result<TcpListener, RunError> {
    serve_operators(config, events, tasks).await?;
    client_listener(config, inherited).await
}

/// Starts to serve operators, if an address for them is configured.
async fn serve_operators(
    config: &Config,
    events: &Sender<RuntimeEvent>,
    tasks: &mut BackgroundTasks,
) -> Result<(), RunError> {
    if let Some(address) = config.admin {
        tasks.spawn(admin::serve(bind(address).await?, events.clone()));
    }
    Ok(())
}

async fn client_listener(
    config: &Config,
    inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, RunError> {
    match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(RunError::InheritedListener),
        None => bind(config.listen).await,
    }
}

/// Binds an address. Retries for [`BIND_TIMEOUT`], since the address may still be in use by a process that is
/// about to end, or the system may be short of resources.
async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    let give_up_at = Instant::now() + BIND_TIMEOUT;
    loop {
        match listen(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if Instant::now() >= give_up_at => return Err(RunError::Listen(address, error)),
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // The connections of an earlier process may still be in `TIME_WAIT`.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Rejects commands of operators while this process does not own the state. Never completes.
async fn reject_admin_requests(event_queue: &mut Receiver<RuntimeEvent>) -> Infallible {
    while let Some(event) = event_queue.recv().await {
        if let RuntimeEvent::AdminRequest(request) = event {
            // An operator who has disconnected needs no reply.
            let _ = request.reply.send(Err(AdminError::NotReady));
        }
    }
    std::future::pending().await
}

/// Starts the tasks that watch the endpoint list and send notices, which are aborted once a successor owns
/// the messages. Returns the sender that publishes the address of the platform to them.
fn start_platform_clients(
    config: &Config,
    list_bytes: usize,
    initial_list: InitialList,
    events: &Sender<RuntimeEvent>,
    notice_batches: Receiver<Vec<Notice>>,
    runtime: &mut Runtime,
    tasks: &mut BackgroundTasks,
) -> watch::Sender<SocketAddr> {
    let (publisher, address) = watch::channel(config.discovery);
    let discovery = tasks.spawn(discovery::follow(
        address.clone(),
        events.clone(),
        initial_list,
        config.seed,
        list_bytes,
    ));
    let notices = tasks.spawn(notices::send_all(address, notice_batches, events.clone()));
    runtime.abort_after_handover(discovery);
    runtime.abort_after_handover(notices);
    publisher
}

/// Reads the configuration again at each SIGHUP and publishes the address of discovery. All other values stay
/// as they were read at the start of the process.
async fn reload_configuration(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        if let Some(address) = read_discovery_address().await {
            discovery.send_if_modified(|published| std::mem::replace(published, address) != address);
        }
    }
}

/// Reads the address of discovery from the configuration, in up to [`MAX_RELOAD_ATTEMPTS`] attempts: the file
/// may be half written, or the process may lack descriptors. Returns `None` if all of them fail.
async fn read_discovery_address() -> Option<SocketAddr> {
    let mut backoff = Backoff::new(INITIAL_RELOAD_BACKOFF, MAX_RELOAD_BACKOFF);
    for attempt in 0..MAX_RELOAD_ATTEMPTS {
        match Config::from_env() {
            Ok(Config { discovery, .. }) => return Some(discovery),
            Err(error) if attempt == 0 => eprintln!("configuration: cannot reload, retrying: {error}"),
            Err(_) => {}
        }
        sleep(backoff.next_delay()).await;
    }
    None
}

/// Forwards SIGTERM to the runtime.
async fn forward_termination(mut terminate: Signal, events: Sender<RuntimeEvent>) {
    terminate.recv().await;
    // Sending fails only if the runtime has ended, and with it the process.
    let _ = events.send(RuntimeEvent::Terminate).await;
}
