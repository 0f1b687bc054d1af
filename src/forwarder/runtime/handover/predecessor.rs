//! Handles the frames and the end of the predecessor of this process. This process is the successor: it owns
//! the journal, while the predecessor completes its calls in flight and forwards the requests of its clients.

use super::forwarded_request;
use crate::forwarder::messages::admin_command::AdminCommand;
use crate::forwarder::messages::attempt::AttemptRef;
use crate::forwarder::messages::call_report::AttemptResult;
use crate::forwarder::messages::client_request::ClientReply;
use crate::forwarder::runtime::Runtime;
use crate::forwarder::runtime::calls::CallsInFlight;
use crate::forwarder::upgrade::{
    EndedAttempt, ForwardedRequest, Frame, PeerChannel, PeerEvent, PeerEventKind, PeerRole, UpgradeError,
};
use crate::interface::{Micros, Outcome};
use std::sync::atomic::Ordering::Relaxed;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

impl Runtime {
    /// Handles a frame or the end of another process while this process owns the messages.
    pub(in crate::forwarder::runtime) fn handle_peer_event(&mut self, now: Micros, event: PeerEvent) {
        match (event.role, event.kind) {
            (PeerRole::Predecessor, PeerEventKind::FrameReceived(frame)) => {
                self.handle_predecessor_frame(now, frame);
            }
            (PeerRole::Predecessor, PeerEventKind::ChannelClosed) => self.handle_predecessor_end(now),
            (PeerRole::Successor, PeerEventKind::ChannelClosed) => {
                self.successor.withdraw_request(event.channel_id);
            }
            // This process still owns the messages: the frame is outdated or premature, and is ignored.
            (PeerRole::Successor, PeerEventKind::FrameReceived(_)) => {}
        }
    }

    fn handle_predecessor_frame(&mut self, now: Micros, frame: Frame) {
        match frame {
            Frame::AttemptsEnded(ended) => self.end_inherited_attempts(now, ended),
            Frame::ClientConnections(count) => self.connection_counts.predecessor.store(count, Relaxed),
            Frame::ClientRequest(request, message) => self.submit_forwarded(now, request, message),
            Frame::AdminCommand(request, command) => self.execute_forwarded_command(now, request, command),
            unexpected => eprintln!("upgrade: {}; ignored: {unexpected:?}", UpgradeError::UnexpectedFrame),
        }
    }

    /// Ends the attempts that the predecessor had in flight when it ended. They may have been executed.
    fn handle_predecessor_end(&mut self, now: Micros) {
        let lost = lost_attempts(&self.calls);
        eprintln!("upgrade: the predecessor ended, with {} attempts in flight", lost.len());
        self.end_inherited_attempts(now, lost);
        self.predecessor = None;
        self.connection_counts.predecessor.store(0, Relaxed);
    }

    fn end_inherited_attempts(&mut self, now: Micros, ended: Vec<EndedAttempt>) {
        for attempt in ended {
            self.end_inherited_attempt(now, attempt);
        }
    }

    fn end_inherited_attempt(&mut self, now: Micros, ended: EndedAttempt) {
        let EndedAttempt { message, attempt, outcome, finished, report, retry_after, unsent } = ended;
        let Some(key) = self.calls.find_inherited(&message, attempt) else { return };
        let Some(endpoint) = self.calls.endpoint_of(key) else { return };
        if retry_after.is_some() {
            self.withhold_writes_to_destination_of(endpoint);
        }
        let Some(address) = self.endpoints.address(endpoint) else { return };
        let id = key.id;
        let result = AttemptResult { id, attempt, outcome, finished, report, retry_after, unsent };
        self.end_attempt(now, address, result);
    }

    /// Submits a message of a client that is connected to the predecessor, which receives the reply.
    fn submit_forwarded(&mut self, now: Micros, request: u64, forwarded: ForwardedRequest) {
        let Some(predecessor) = self.predecessor.as_ref().map(PeerChannel::sender) else { return };
        let (reply, received) = oneshot::channel();
        let Some(message) = forwarded_request::decode(forwarded, &self.names, reply) else {
            // The predecessor may have ended.
            let _ = predecessor.send(Frame::ClientReply(request, ClientReply::Rejected(None)));
            return;
        };
        // The task ends when the reply is sent, or dropped together with the message.
        tokio::spawn(send_reply_to_predecessor(request, received, predecessor));
        self.submit(now, message);
    }

    /// Executes a command of an operator who is connected to the predecessor.
    fn execute_forwarded_command(&mut self, now: Micros, request: u64, command: AdminCommand) {
        let reply = self.execute_admin_command(now, command);
        if let Some(predecessor) = &self.predecessor {
            predecessor.send(Frame::AdminReply(request, reply));
        }
    }
}

/// Sends the reply to a forwarded message to the predecessor. A message that was dropped without a reply was
/// not accepted, and is rejected.
async fn send_reply_to_predecessor(
    request: u64,
    reply: oneshot::Receiver<ClientReply>,
    predecessor: UnboundedSender<Frame>,
) {
    let reply = reply.await.unwrap_or(ClientReply::Rejected(None));
    // The predecessor may have ended.
    let _ = predecessor.send(Frame::ClientReply(request, reply));
}

/// The ends of all attempts that the predecessor had in flight when it ended. They may have been executed,
/// but do not count against the health of the endpoints.
pub(super) fn lost_attempts(calls: &CallsInFlight) -> Vec<EndedAttempt> {
    let lost = |AttemptRef { message, attempt }| EndedAttempt {
        message,
        attempt,
        outcome: Outcome::StaleConnection,
        finished: false,
        report: None,
        retry_after: None,
        unsent: false,
    };
    calls.attempts_of_predecessor().map(lost).collect()
}
