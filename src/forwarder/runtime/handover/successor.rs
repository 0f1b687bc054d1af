//! Hands over to the successor of this process. This process is the predecessor: it sends its state, releases
//! the lock and waits until the successor confirms its ownership.

use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::runtime::Runtime;
use crate::forwarder::runtime::shutdown::HandoverStage;
use crate::forwarder::upgrade::{Frame, PeerChannel, PeerEvent, PeerEventKind, PeerRole};
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for a successor to confirm its ownership. After that, the handover has failed as soon as the
/// lock is free.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(800);
/// How long writing the last frames may take when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// How far a newer process has taken over from this one.
pub(in crate::forwarder::runtime) enum Successor {
    /// No process has requested to take over.
    None,
    /// A process has requested to take over.
    Requested(PeerChannel),
    /// The successor has been sent the state that the journal does not contain, and may acquire the lock.
    HandedOver(Handover),
    /// The successor owns the journal and all messages.
    Owner(OwningSuccessor),
}

impl Successor {
    /// How far this process has handed over.
    pub(in crate::forwarder::runtime) fn stage(&self) -> HandoverStage {
        match self {
            Successor::None | Successor::Requested(_) => HandoverStage::NotStarted,
            Successor::HandedOver(_) => HandoverStage::AwaitingConfirmation,
            Successor::Owner(owner) => HandoverStage::Complete { since: owner.since },
        }
    }

    /// Drops the events of an unconfirmed handover, so that the requests among them are rejected.
    pub(in crate::forwarder::runtime) fn drop_deferred_events(&mut self) {
        if let Successor::HandedOver(handover) = self {
            handover.events.clear();
        }
    }

    /// Whether the successor that owned the messages has ended.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self, Successor::Owner(owner) if owner.ended)
    }

    /// Whether the successor on this channel owns the messages.
    pub(super) fn is_owner_on(&self, channel_id: u64) -> bool {
        matches!(self, Successor::Owner(owner) if owner.channel.id == channel_id)
    }

    /// Drops the request to take over that was received on this channel, after the channel was closed.
    pub(super) fn withdraw_request(&mut self, channel_id: u64) {
        if matches!(self, Successor::Requested(channel) if channel.id == channel_id) {
            *self = Successor::None;
        }
    }
}

/// A handover that the successor has not confirmed. Until then, this process defers all events: if the
/// handover fails, it handles them as if there had been no handover.
pub(in crate::forwarder::runtime) struct Handover {
    channel: PeerChannel,
    handed_over_at: Instant,
    /// The events that have arrived since the handover, in their order.
    events: Vec<RuntimeEvent>,
}

/// A successor that owns all messages.
pub(in crate::forwarder::runtime) struct OwningSuccessor {
    pub(super) channel: PeerChannel,
    since: Instant,
    /// Whether the successor has ended.
    pub(super) ended: bool,
}

/// The progress of an unconfirmed handover.
#[derive(Default)]
struct HandoverProgress {
    /// The successor has confirmed that it owns the messages.
    confirmed: bool,
    /// The successor has ended, or has not confirmed in time.
    overdue: bool,
    /// This process received SIGTERM.
    terminate: bool,
}

impl Handover {
    /// Defers events until the handover is confirmed or has failed.
    pub(in crate::forwarder::runtime) fn defer(&mut self, events: Vec<RuntimeEvent>) {
        self.events.extend(events);
    }

    /// Derives the progress from the deferred events, and removes those that only concern the handover.
    fn progress(&mut self) -> HandoverProgress {
        let mut progress = HandoverProgress {
            overdue: self.handed_over_at.elapsed() > OWNERSHIP_TIMEOUT,
            ..HandoverProgress::default()
        };
        let channel = self.channel.id;
        self.events.retain(|event| match event {
            RuntimeEvent::Peer(PeerEvent { role: PeerRole::Successor, channel_id, kind })
                if !progress.confirmed && *channel_id == channel =>
            {
                progress.confirmed = matches!(kind, PeerEventKind::FrameReceived(Frame::Owned));
                progress.overdue |= matches!(kind, PeerEventKind::ChannelClosed);
                false
            }
            RuntimeEvent::Terminate => {
                progress.terminate = true;
                true
            }
            _ => true,
        });
        progress
    }
}

impl Runtime {
    /// Hands over to a successor that has requested it, once the turn is complete and written to the journal.
    pub(in crate::forwarder::runtime) fn hand_over_if_requested(&mut self) {
        let is_requested = matches!(self.successor, Successor::Requested(_));
        if !is_requested || !self.journal.lock().is_flushed() || self.decisions.has_deferred() {
            return;
        }
        if let Successor::Requested(channel) = std::mem::replace(&mut self.successor, Successor::None) {
            self.hand_over(channel);
        }
    }

    fn hand_over(&mut self, channel: PeerChannel) {
        // Attempts that are not written yet are not in the journal, so that the successor makes them.
        self.calls.withhold_all_writes();
        channel.send(Frame::Handoff(Box::new(self.handoff_state(self.clock.now()))));
        if let Err(error) = self.lock.release() {
            eprintln!("upgrade: the handover failed: {error}; this process continues");
            return;
        }
        self.idle_connections.close_all();
        eprintln!(
            "upgrade: handed over {} messages and {} calls in flight to the successor",
            self.messages.len(),
            self.calls.len()
        );
        self.successor =
            Successor::HandedOver(Handover { channel, handed_over_at: Instant::now(), events: Vec::new() });
    }

    /// Completes the handover if the successor has confirmed its ownership. If the successor has ended or has
    /// not confirmed in time, and the lock is free, the handover has failed: this process is still the owner.
    pub(in crate::forwarder::runtime) fn check_handover(&mut self) {
        let Successor::HandedOver(handover) = &mut self.successor else { return };
        let progress = handover.progress();
        if progress.terminate {
            self.lifecycle.terminate();
        }
        let failed = !progress.confirmed && progress.overdue && self.lock.try_acquire().unwrap_or(false);
        if !progress.confirmed && !failed {
            return;
        }
        let Successor::HandedOver(handover) = std::mem::replace(&mut self.successor, Successor::None) else {
            return;
        };
        if failed {
            eprintln!("upgrade: the successor did not take over; this process continues");
            self.take_turn(handover.events);
        } else {
            self.complete_handover(handover);
        }
    }

    /// Stops the tasks and removes the messages that now belong to the successor, and forwards the deferred
    /// events to it.
    fn complete_handover(&mut self, Handover { channel, events, .. }: Handover) {
        self.successor = Successor::Owner(OwningSuccessor { channel, since: Instant::now(), ended: false });
        self.owner_tasks.drain(..).for_each(|task| task.abort());
        self.messages.clear();
        self.forward_to_successor(events);
    }

    /// Writes the last frames to the successor before the process ends.
    pub(in crate::forwarder::runtime) async fn flush_to_successor(self) {
        if let Successor::Owner(successor) = self.successor {
            successor.channel.flush(FLUSH_TIMEOUT).await;
        }
    }
}
