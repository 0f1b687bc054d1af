//! Forwards the requests of clients and operators to the successor after the handover, and the results of the
//! calls in flight, which this process completes.

use super::forwarded_request;
use super::predecessor::lost_attempts;
use super::successor::Successor;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::admin_command::{AdminCommand, AdminError, AdminRequest};
use crate::forwarder::messages::attempt::AttemptRef;
use crate::forwarder::messages::call_report::{AttemptResult, CallReport};
use crate::forwarder::messages::client_request::{ClientReply, ClientRequest};
use crate::forwarder::runtime::Runtime;
use crate::forwarder::runtime::call_in_flight::AttemptCommand;
use crate::forwarder::upgrade::{EndedAttempt, Frame, PeerEvent, PeerEventKind, PeerRole, UpgradeError};
use crate::interface::Outcome;
use std::sync::atomic::Ordering::Relaxed;

impl Runtime {
    /// Forwards the events of a turn to the successor that owns the messages.
    pub(in crate::forwarder::runtime) fn forward_to_successor(&mut self, events: Vec<RuntimeEvent>) {
        if self.lifecycle.is_past_call_completion() {
            self.cancel_all_attempts();
        }
        // Sent in each turn, because the successor shares the file descriptors with these connections.
        let mut frames = vec![Frame::ClientConnections(self.connection_counts.own.load(Relaxed))];
        for event in events {
            frames.extend(self.forward_event(event));
        }
        if let Successor::Owner(successor) = &self.successor {
            frames.into_iter().for_each(|frame| successor.channel.send(frame));
        }
    }

    /// Returns the frame for an event that the successor has to handle.
    fn forward_event(&mut self, event: RuntimeEvent) -> Option<Frame> {
        match event {
            RuntimeEvent::ClientRequest(request) => self.forward_client_request(request),
            RuntimeEvent::CallEnded(report) => Some(self.forward_call_report(report)),
            RuntimeEvent::AdminRequest(request) => self.forward_admin_request(request),
            RuntimeEvent::Peer(PeerEvent { role: PeerRole::Predecessor, kind, .. }) => {
                Some(self.forward_predecessor_event(kind))
            }
            RuntimeEvent::Peer(PeerEvent { role: PeerRole::Successor, channel_id, kind }) => {
                self.handle_successor_event(channel_id, kind);
                None
            }
            RuntimeEvent::Terminate => {
                self.lifecycle.terminate();
                None
            }
            // The successor receives these events itself.
            RuntimeEvent::EndpointList(_)
            | RuntimeEvent::ListAge(_)
            | RuntimeEvent::NoticesAcknowledged(_)
            | RuntimeEvent::TakeOverRequested(_) => None,
        }
    }

    /// Forwards a message, unless its client has left. If the successor has ended, the message is rejected,
    /// because no process can accept it.
    fn forward_client_request(&mut self, request: ClientRequest) -> Option<Frame> {
        if request.reply.is_closed() {
            return None;
        }
        if self.successor.has_ended() {
            let _ = request.reply.send(ClientReply::Rejected(None));
            return None;
        }
        let (forwarded, reply) = forwarded_request::encode(request, &self.names);
        Some(Frame::ClientRequest(self.pending_replies.add_client(reply), forwarded))
    }

    /// Replies to a readiness check at once, and forwards the other commands whose operators still wait.
    fn forward_admin_request(&mut self, AdminRequest { command, reply }: AdminRequest) -> Option<Frame> {
        if command == AdminCommand::Ready {
            let _ = reply.send(Err(AdminError::TakenOver));
            return None;
        }
        if reply.is_closed() {
            return None;
        }
        if self.successor.has_ended() {
            let _ = reply.send(Err(AdminError::SuccessorGone));
            return None;
        }
        Some(Frame::AdminCommand(self.pending_replies.add_operator(reply), command))
    }

    /// Returns the frame for a call of this process that has ended. The connection of the call is closed,
    /// because this process starts no more calls.
    fn forward_call_report(&mut self, report: CallReport) -> Frame {
        let results = report.results.into_iter();
        Frame::AttemptsEnded(results.filter_map(|result| self.end_forwarded_attempt(result)).collect())
    }

    fn end_forwarded_attempt(&mut self, result: AttemptResult) -> Option<EndedAttempt> {
        let ended = self.calls.end_attempt(result.key())?;
        let AttemptResult { attempt, outcome, finished, report, retry_after, unsent, .. } = result;
        // The attempt was cancelled because this process ends, not because the endpoint was slow.
        let is_cancelled_by_shutdown =
            outcome == Outcome::Cancelled && self.lifecycle.is_past_call_completion();
        let outcome = if is_cancelled_by_shutdown { Outcome::StaleConnection } else { outcome };
        Some(EndedAttempt { message: ended.message, attempt, outcome, finished, report, retry_after, unsent })
    }

    /// Returns the frame for the ended attempts of this process's own predecessor: those that it reports or,
    /// if it has ended, all that it had in flight.
    fn forward_predecessor_event(&mut self, kind: PeerEventKind) -> Frame {
        let ended = match kind {
            PeerEventKind::FrameReceived(Frame::AttemptsEnded(ended)) => ended,
            PeerEventKind::FrameReceived(_) => Vec::new(),
            PeerEventKind::ChannelClosed => lost_attempts(&self.calls),
        };
        for EndedAttempt { message, attempt, .. } in &ended {
            if let Some(key) = self.calls.find_inherited(message, *attempt) {
                self.calls.end_attempt(key);
            }
        }
        Frame::AttemptsEnded(ended)
    }

    /// Handles a frame or the end of the successor that owns the messages.
    fn handle_successor_event(&mut self, channel: u64, kind: PeerEventKind) {
        if !self.successor.is_owner_on(channel) {
            return;
        }
        match kind {
            PeerEventKind::FrameReceived(frame) => self.handle_successor_frame(frame),
            PeerEventKind::ChannelClosed => self.handle_successor_end(),
        }
    }

    fn handle_successor_frame(&mut self, frame: Frame) {
        match frame {
            Frame::ClientReply(request, reply) => self.pending_replies.reply_to_client(request, reply),
            Frame::AdminReply(request, reply) => self.pending_replies.reply_to_operator(request, reply),
            Frame::CancelAttempt(attempt) => self.command_attempt_by_ref(&attempt, AttemptCommand::Cancel),
            Frame::AbandonMessage(attempt) => self.command_attempt_by_ref(&attempt, AttemptCommand::Abandon),
            unexpected => eprintln!("upgrade: {}; ignored: {unexpected:?}", UpgradeError::UnexpectedFrame),
        }
    }

    fn command_attempt_by_ref(&self, attempt: &AttemptRef, command: AttemptCommand) {
        if let Some(key) = self.calls.find(&attempt.message, attempt.attempt) {
            self.command_attempt(key, command);
        }
    }

    fn handle_successor_end(&mut self) {
        eprintln!("upgrade: the successor ended; this process rejects all requests");
        self.pending_replies.clear();
        if let Successor::Owner(successor) = &mut self.successor {
            successor.ended = true;
        }
    }
}
