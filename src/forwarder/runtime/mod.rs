//! The runtime: owns the decision module, the open messages and the journal. It passes events to the decision
//! module, executes the actions that the module returns, and makes no decisions of its own.
//!
//! Events are collected and handled in turns ([`turn`]). After an upgrade, events are forwarded to the
//! process that has taken over ([`handover`]).

mod admin;
mod call_commands;
mod call_in_flight;
mod call_reports;
mod calls;
mod client_requests;
mod clock;
mod decisions;
mod endpoint_list;
mod endpoints;
mod final_replies;
mod handover;
mod idle_connections;
mod log;
mod notice_queue;
mod open_messages;
mod outbound_calls;
mod outcome_retention;
mod recovery;
mod shutdown;
mod turn;

use crate::forwarder::clock::{KernelClocks, Timeline, UnixClock};
use crate::forwarder::configuration::Config;
use crate::forwarder::departed_endpoints::DepartedEndpoints;
use crate::forwarder::discovery::{InitialList, ListAge, ListOrigin};
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::journal::{Journal, SharedJournal, WRITE_RETRY_DELAY_MS};
use crate::forwarder::messages::notice::Notice;
use crate::forwarder::metrics::IntervalMetrics;
use crate::forwarder::server::{ConnectionCounts, LifecyclePhase};
use crate::forwarder::state_folder::StateFolder;
use crate::forwarder::upgrade::{HandoffState, PeerChannel, StateLock};
use crate::interface::{Micros, Settings};
use crate::settings_reader::SettingNames;
use calls::CallsInFlight;
use clock::Clock;
use decisions::Decisions;
use endpoints::Endpoints;
use handover::{PendingReplies, Successor};
use idle_connections::IdleConnectionPool;
use notice_queue::NoticeQueue;
use open_messages::OpenMessages;
use shutdown::{HandoverStage, Lifecycle, RemainingWork};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep_until, timeout};

/// Lower bound of the time between two turns, in microseconds, which the settings cannot reduce.
const MIN_TURN_INTERVAL_MICROS: Micros = 1000;
/// Upper bound of the time between two turns.
const MAX_TURN_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the time between two turns during a shutdown or an upgrade, whose steps have time limits.
const MAX_TURN_INTERVAL_WHILE_ENDING: Duration = Duration::from_millis(20);
/// Upper bound of the time between two turns while the journal has records that could not be written.
const MAX_TURN_INTERVAL_WHILE_UNWRITTEN: Duration = Duration::from_millis(WRITE_RETRY_DELAY_MS);

/// How long writing the last replies may take when the process ends while clients are still connected.
const FINAL_REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// What connects the runtime to the other parts of the program.
pub(crate) struct RuntimeChannels {
    /// Maximum number of idle connections to endpoints.
    pub(crate) max_idle_connections: usize,
    /// Batches for the notice sender, which holds the receiver. The capacity of the channel is one batch.
    pub(crate) notices: Sender<Vec<Notice>>,
    /// The bounded event queue of the runtime itself, for the calls that it starts.
    pub(crate) events: Sender<RuntimeEvent>,
    /// Shared with the server, which counts the connections of this process.
    pub(crate) connection_counts: Arc<ConnectionCounts>,
}

/// The state of the forwarder, and the event loop that changes it.
pub(crate) struct Runtime {
    settings: Settings,
    names: SettingNames,
    clock: Clock,
    /// For times that are stored in the journal.
    unix_clock: UnixClock,
    /// The Unix time of the journal, stored so that the next process continues it.
    timeline: Timeline<KernelClocks>,
    decisions: Decisions,
    /// Shared with the calls in flight, which journal their attempts right before they are written.
    journal: SharedJournal,
    messages: OpenMessages,
    calls: CallsInFlight,
    endpoints: Endpoints,
    /// The endpoints taken out of service, stored for the next process.
    departed: DepartedEndpoints,
    /// Whether the endpoint list is recent enough to start calls.
    list_age: ListAge,
    idle_connections: IdleConnectionPool,
    notices: NoticeQueue,
    lifecycle: Lifecycle,
    lock: StateLock,
    /// The process that has handed over to this one, until it ends.
    predecessor: Option<PeerChannel>,
    successor: Successor,
    pending_replies: PendingReplies,
    /// Tasks that only the process that owns the messages runs.
    owner_tasks: Vec<AbortHandle>,
    /// Shared with the server, which counts the connections of this process.
    connection_counts: Arc<ConnectionCounts>,
    /// The bounded event queue of this runtime, for the calls that it starts.
    events: Sender<RuntimeEvent>,
    metrics: IntervalMetrics,
}

impl Runtime {
    /// Recovers every open message of the state folder and the state that a live predecessor has handed over.
    /// Also returns the endpoint list that the runtime starts with.
    pub(crate) async fn start(
        config: &Config,
        channels: RuntimeChannels,
        state_folder: StateFolder,
    ) -> (Self, InitialList) {
        let StateFolder { is_new, ownership, owned_since, timeline, journal, open_messages } = state_folder;
        let inherited = match ownership.predecessor {
            // If the predecessor ended right after the handover, its calls ended too, and the journal
            // contains them.
            Some(predecessor) => predecessor.confirm_ownership(channels.events.clone()).await.ok(),
            None => None,
        };
        let (handoff, predecessor) = inherited.unzip();
        let inherited_clients = handoff.as_ref().map_or(0, |state: &HandoffState| state.client_connections);
        channels.connection_counts.predecessor.store(inherited_clients, Relaxed);
        let mut runtime = Runtime::new(config, channels, journal, timeline, ownership.lock, predecessor);
        let now = runtime.clock.now();
        if let Some(known) = &config.known_endpoints {
            let known = runtime.departed.update_known_list(known);
            runtime.apply_endpoint_list(now, &known);
        }
        let origin = list_origin(handoff.as_ref(), is_new);
        // A restarted discovery service may use the revision of an older list again for a different list.
        let known = config.known_endpoints.as_ref();
        let is_outdated = handoff.is_none() && known.is_some_and(|known| runtime.departed.is_older(known));
        runtime.recover(now, open_messages, handoff);
        let revision = runtime.endpoints.revision().filter(|_| !is_outdated);
        let initial_list = InitialList::new(&config.settings, revision, owned_since, origin);
        runtime.apply_list_age(now, initial_list.age_at(Instant::now()));
        runtime.log_start();
        runtime.finish_turn(now);
        (runtime, initial_list)
    }

    fn new(
        config: &Config,
        channels: RuntimeChannels,
        journal: Journal,
        timeline: Timeline<KernelClocks>,
        lock: StateLock,
        predecessor: Option<PeerChannel>,
    ) -> Self {
        let settings = config.settings.clone();
        Runtime {
            names: config.setting_names.clone(),
            clock: Clock::start(),
            unix_clock: timeline.clock(),
            timeline,
            decisions: Decisions::new(settings.clone(), config.seed),
            journal: SharedJournal::new(journal),
            messages: OpenMessages::default(),
            calls: CallsInFlight::default(),
            endpoints: Endpoints::default(),
            departed: DepartedEndpoints::open(&config.state_folder, config.limits.disk_mb),
            list_age: ListAge::Stale,
            idle_connections: IdleConnectionPool::new(channels.max_idle_connections, settings.idle_timeout),
            notices: NoticeQueue::new(channels.notices),
            lifecycle: Lifecycle::new(),
            lock,
            predecessor,
            successor: Successor::None,
            pending_replies: PendingReplies::default(),
            owner_tasks: Vec::new(),
            connection_counts: channels.connection_counts,
            events: channels.events,
            metrics: IntervalMetrics::new(),
            settings,
        }
    }

    /// Saves the timeline of the journal for the next process. Call it after the socket for successors is
    /// created: the saved timeline identifies that socket, and the next process checks it.
    pub(crate) fn save_timeline(&mut self) {
        self.timeline.save();
    }

    /// Registers a task to be aborted once a successor owns the messages.
    pub(crate) fn abort_after_handover(&mut self, task: AbortHandle) {
        self.owner_tasks.push(task);
    }

    /// Takes turns until the process may end, and publishes the lifecycle phase. `events` is the receiver of
    /// the event queue; `server` ends once no client is connected.
    pub(crate) async fn run(
        mut self,
        mut events: Receiver<RuntimeEvent>,
        phase: watch::Sender<LifecyclePhase>,
        server: JoinHandle<()>,
    ) {
        let mut last_turn = Instant::now();
        loop {
            let batch = self.collect_events(&mut events, last_turn).await;
            last_turn = Instant::now();
            self.handle_events(batch);
            self.hand_over_if_requested();
            self.publish_phase(&phase);
            if self.is_complete(server.is_finished()) {
                self.log_end();
                // Dropping the queue rejects the requests that are left in it.
                drop(events);
                self.successor.drop_deferred_events();
                finish_replies(server).await;
                return self.flush_to_successor().await;
            }
        }
    }

    /// Waits until the next turn is due, and returns the events that have arrived until then.
    async fn collect_events(
        &self,
        events: &mut Receiver<RuntimeEvent>,
        last_turn: Instant,
    ) -> Vec<RuntimeEvent> {
        let mut batch = Vec::new();
        tokio::select! {
            Some(event) = events.recv() => batch.push(event),
            () = sleep_until(self.next_turn_at()) => {}
        }
        sleep_until(last_turn + self.min_turn_interval()).await;
        while let Ok(event) = events.try_recv() {
            batch.push(event);
        }
        batch
    }

    fn min_turn_interval(&self) -> Duration {
        Duration::from_micros(self.settings.min_turn_interval.max(MIN_TURN_INTERVAL_MICROS) as u64)
    }

    /// When the next turn is due if no event arrives earlier.
    fn next_turn_at(&self) -> Instant {
        let now = Instant::now();
        let latest = now + self.max_turn_interval();
        if self.successor.stage() != HandoverStage::NotStarted {
            return latest;
        }
        if self.decisions.has_deferred() {
            return now;
        }
        self.decisions.wake_at().map_or(latest, |at| self.clock.instant(at).min(latest))
    }

    fn max_turn_interval(&self) -> Duration {
        if self.lifecycle.is_terminating() || !matches!(self.successor, Successor::None) {
            MAX_TURN_INTERVAL_WHILE_ENDING
        } else if self.journal.lock().is_flushed() {
            MAX_TURN_INTERVAL
        } else {
            MAX_TURN_INTERVAL_WHILE_UNWRITTEN
        }
    }

    fn handle_events(&mut self, events: Vec<RuntimeEvent>) {
        match &mut self.successor {
            Successor::None | Successor::Requested(_) => self.take_turn(events),
            Successor::HandedOver(handover) => {
                handover.defer(events);
                self.check_handover();
            }
            Successor::Owner(_) => self.forward_to_successor(events),
        }
    }

    fn publish_phase(&self, published: &watch::Sender<LifecyclePhase>) {
        let phase = self.phase();
        published.send_if_modified(|previous| std::mem::replace(previous, phase) != phase);
    }

    fn phase(&self) -> LifecyclePhase {
        self.lifecycle.phase(self.successor.stage(), self.calls.has_attempts(), !self.messages.is_empty())
    }

    fn is_complete(&self, is_server_finished: bool) -> bool {
        let remaining = RemainingWork {
            clients: !is_server_finished,
            journal: !self.journal.lock().is_flushed(),
            calls_or_replies: !self.calls.is_empty() || !self.pending_replies.is_empty(),
        };
        self.lifecycle.is_complete(self.successor.stage(), &remaining)
    }
}

/// Where the first endpoint list comes from. A list that was stale in the predecessor must not be treated as
/// fresh, so it counts as one from the configuration.
fn list_origin(handoff: Option<&HandoffState>, is_new: bool) -> ListOrigin {
    match handoff {
        Some(handoff) if handoff.list_is_fresh => ListOrigin::Predecessor,
        None if is_new => ListOrigin::FirstConfiguration,
        _ => ListOrigin::Configuration,
    }
}

/// Gives the server time to write the replies that are ready, then aborts it.
async fn finish_replies(mut server: JoinHandle<()>) {
    let _ = timeout(FINAL_REPLY_TIMEOUT, &mut server).await;
    server.abort();
}
