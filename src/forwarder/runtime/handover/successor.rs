//! This process as the predecessor: it hands over to its successor.

use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::runtime::Runtime;
use crate::forwarder::runtime::shutdown::HandoverStage;
use crate::forwarder::upgrade::{Frame, PeerChannel, PeerEvent, PeerEventKind, PeerRole};
use std::time::Duration;
use tokio::time::Instant;

/// A successor must confirm its ownership within this time after the hand-over. If it does not, the hand-over has
/// failed once the lock is free.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for writing the last frames before the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What this process knows about a newer process that takes over from it.
pub(in crate::forwarder::runtime) enum Successor {
    /// No process has requested to take over.
    None,
    /// It has requested to take over.
    Requested(PeerChannel),
    /// It has received what the journal does not contain, and may take the lock.
    HandedOver(Handover),
    /// It owns the journal and all messages.
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

    /// Drops the events of an unconfirmed hand-over, so that the requests among them are rejected.
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

    /// Drops the request to take over that arrived on this channel, which is closed.
    pub(super) fn withdraw_request(&mut self, channel_id: u64) {
        if matches!(self, Successor::Requested(channel) if channel.id == channel_id) {
            *self = Successor::None;
        }
    }
}

/// A hand-over that the successor has not confirmed. Meanwhile this process handles no events: if the hand-over
/// fails, it handles them as if there had been none.
pub(in crate::forwarder::runtime) struct Handover {
    channel: PeerChannel,
    handed_over_at: Instant,
    /// The events that have arrived since, in their order.
    events: Vec<RuntimeEvent>,
}

/// A successor that owns all messages.
pub(in crate::forwarder::runtime) struct OwningSuccessor {
    pub(super) channel: PeerChannel,
    since: Instant,
    /// Whether it has ended since.
    pub(super) ended: bool,
}

/// The state of an unconfirmed hand-over.
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
    /// Defers events until the hand-over is confirmed or has failed.
    pub(in crate::forwarder::runtime) fn defer(&mut self, events: Vec<RuntimeEvent>) {
        self.events.extend(events);
    }

    /// Derives the progress from the deferred events, and drops those that only concern the hand-over.
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
        // Attempts that are not written yet are made by the successor: the journal does not contain them.
        self.calls.withhold_all_writes();
        channel.send(Frame::Handoff(Box::new(self.handoff_state(self.clock.now()))));
        if let Err(error) = self.lock.release() {
            eprintln!("upgrade: the lock cannot be released: {error}");
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

    /// Completes the hand-over if the successor has confirmed its ownership. If the successor has ended or has not
    /// confirmed in time, and the lock is free, the hand-over has failed: this process is still the owner.
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

    /// Releases what the successor owns, and forwards the deferred events to it.
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
