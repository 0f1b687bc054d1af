//! This process as the predecessor: it hands over to its successor.

use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::runtime::Runtime;
use crate::forwarder::runtime::shutdown::HandoverStage;
use crate::forwarder::upgrade::{Frame, PeerChannel, PeerEvent, PeerEventKind, PeerRole};
use std::time::Duration;
use tokio::time::Instant;

/// A successor confirms its ownership within this time after the hand-over. Later, whether it holds the lock
/// decides.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for writing the last frames before the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A newer process that takes over from this one, as far as this one knows.
pub(in crate::forwarder::runtime) enum Successor {
    None,
    /// It has asked to take over.
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

/// A hand-over that the successor has not confirmed. Until then this process handles no events: should the
/// successor end before, this process goes on as if nobody had asked.
pub(in crate::forwarder::runtime) struct Handover {
    channel: PeerChannel,
    handed_over_at: Instant,
    /// Events that have arrived since.
    events: Vec<RuntimeEvent>,
}

/// A successor that owns all messages.
pub(in crate::forwarder::runtime) struct OwningSuccessor {
    pub(super) channel: PeerChannel,
    since: Instant,
    /// It has ended since.
    pub(super) ended: bool,
}

/// How a hand-over stands.
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
    /// Keeps events until the hand-over is confirmed or has failed.
    pub(in crate::forwarder::runtime) fn defer(&mut self, events: Vec<RuntimeEvent>) {
        self.events.extend(events);
    }

    /// Looks at the events that have arrived, and drops those that concern the hand-over alone.
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
    /// Hands over to a successor that has asked, once the turn is complete and stands in the journal.
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

    /// Looks whether the successor owns the messages now. One that has ended before, or that has not confirmed
    /// while the lock is free, owns nothing: this process goes on.
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
            eprintln!("upgrade: the successor did not take over; going on");
            self.take_turn(handover.events);
        } else {
            self.complete_handover(handover);
        }
    }

    /// Gives up what the successor owns.
    fn complete_handover(&mut self, Handover { channel, events, .. }: Handover) {
        self.successor = Successor::Owner(OwningSuccessor { channel, since: Instant::now(), ended: false });
        self.tasks_of_owner.drain(..).for_each(|task| task.abort());
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
