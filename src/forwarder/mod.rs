//! The real forwarder: the decision module on sockets.

mod admin;
mod clock;
mod configuration;
mod discovery;
mod endpoint_client;
mod event;
mod http;
mod inherited_listener;
mod journal;
mod messages;
mod metrics;
mod notices;
mod runtime;
mod server;
mod upgrade;

pub use configuration::{Config, ConfigError};
pub use inherited_listener::{InheritError, listener as inherited_listener};

use event::RuntimeEvent;
use runtime::{Runtime, RuntimeChannels};
use server::{ConnectionCounts, LifecyclePhase, RequestHandler};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};

/// What may wait for the node at a time.
const INPUTS: usize = 1024;

/// The part of the memory that bodies may take before the node has them; the journal's bounds hold from then.
const BODIES: usize = 8;

/// Descriptors for all but clients and targets: standard streams, runtime, listener, journal, discovery.
const OWN: usize = 20;

/// How the descriptors are shared out, so that neither many clients nor many targets use up all of them.
struct Sockets {
    clients: usize,
    /// Connections to targets without a call.
    idle: usize,
}

impl Sockets {
    fn share(configuration: &Config) -> Self {
        let operators = if configuration.admin.is_some() { admin::CALLERS + 1 } else { 0 };
        let own = OWN.saturating_add(operators).saturating_add(configuration.settings.call_slots);
        let free = configuration.limits.sockets.saturating_sub(own);
        Sockets { clients: (free * 2 / 3).max(1), idle: (free / 3).max(1) }
    }
}

/// Why the forwarder ended before it was told to.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The journal cannot be opened.
    #[error("journal: {0}")]
    Journal(String),
    /// The lock on the state folder cannot be had.
    #[error("upgrade: {0}")]
    Upgrade(#[from] upgrade::UpgradeError),
    /// A socket or a signal cannot be had.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Reads the file again at each SIGHUP and passes on discovery's address; all else that the file tells holds
/// for the whole life of the process. A file that can't be read changes nothing.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Config::from_env() {
            Ok(configuration) => {
                discovery.send_if_modified(|at| {
                    let old = std::mem::replace(at, configuration.discovery);
                    old != configuration.discovery
                });
            }
            Err(e) => eprintln!("configuration: not read again: {e}"),
        }
    }
}

/// Replies to operators as long as another process owns the state. Never completes.
async fn reject_admin_requests(events: &mut mpsc::Receiver<RuntimeEvent>) -> Infallible {
    while let Some(event) = events.recv().await {
        if let RuntimeEvent::AdminRequest(request) = event {
            let _ = request.reply.send(Err("not ready: another process still serves".to_owned()));
        }
    }
    std::future::pending().await
}

/// Runs until SIGTERM, or until a new version has taken over and all is done. Clients come to the inherited listener;
/// without one, the address is bound.
pub async fn run(configuration: Config, inherited: Option<std::net::TcpListener>) -> Result<(), RunError> {
    // Before anybody can see that it is ready: SIGHUP without a handler would end the process.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let Sockets { clients, idle } = Sockets::share(&configuration);
    let (inputs, mut received) = mpsc::channel(INPUTS);
    if let Some(at) = configuration.admin {
        tokio::spawn(admin::serve(TcpListener::bind(at).await?, inputs.clone()));
    }
    // Before anything is taken over: a process that can't serve leaves the other one alone.
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener)?,
        None => TcpListener::bind(configuration.listen).await?,
    };
    let begin = tokio::select! {
        begin = upgrade::acquire_ownership(&configuration.state, reject_admin_requests(&mut received)) => begin?,
        _ = terminate.recv() => return Ok(()),
    };
    let (notices, batches) = mpsc::channel(1);
    let (told, at) = watch::channel(configuration.discovery);
    let places = Arc::new(ConnectionCounts::default());
    let to = RuntimeChannels { idle_most: idle, notices, inputs: inputs.clone(), places: places.clone() };
    let mut runtime =
        Runtime::start(&configuration, to, begin).await.map_err(|e| RunError::Journal(e.to_string()))?;
    upgrade::listen_for_successors(&configuration.state, inputs.clone()).unwrap_or_else(|e| {
        // It serves all the same; a new version waits until it has ended.
        eprintln!("handover: no new version can take over: {e}");
    });
    let settings = configuration.settings.clone();
    let follow = discovery::follow(at.clone(), runtime.rev(), inputs.clone(), settings, configuration.seed);
    runtime.ends_with_it(tokio::spawn(follow).abort_handle());
    runtime.ends_with_it(tokio::spawn(notices::send_all(at, batches, inputs.clone())).abort_handle());
    tokio::spawn(reload(hangup, told));
    let told = inputs.clone();
    tokio::spawn(async move {
        terminate.recv().await;
        // The node is gone only when the process ends.
        let _ = told.send(RuntimeEvent::Terminate).await;
    });
    let (phase, closing) = watch::channel(LifecyclePhase::Serving);
    let server = RequestHandler {
        setting_names: configuration.names,
        settings: configuration.settings,
        runtime: inputs,
        phase: closing,
        connection_counts: places,
        body_memory: Semaphore::new(configuration.limits.memory_mb.max(1) * 1024 / BODIES),
    };
    let server = tokio::spawn(server::serve(listener, clients, Arc::new(server)));
    runtime.run(received, phase, server).await;
    Ok(())
}
