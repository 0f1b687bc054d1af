//! A call in flight and the commands to it.

use crate::forwarder::endpoint_client::{CallCommand, WriteGuard};
use crate::forwarder::messages::attempt::{AttemptKey, AttemptRef};
use crate::forwarder::upgrade::Frame;
use crate::interface::{EndpointId, Micros};
use std::sync::Arc;
use tokio::sync::mpsc::Sender;

/// A call in flight.
pub(super) struct CallInFlight {
    pub(super) endpoint: EndpointId,
    /// The number of attempts of the call that have not ended.
    pub(super) attempts_left: usize,
    /// How long the connection was idle before the call; 0 for a new connection.
    pub(super) idle_for: Micros,
    /// Whether the call has been forbidden to write anything more.
    pub(super) write_withheld: bool,
    pub(super) process: CallProcess,
}

/// The process that makes a call.
pub(super) enum CallProcess {
    This {
        /// The call's task holds the receiver. The channel's capacity is [`command_capacity`].
        commands: Sender<CallCommand>,
        guard: Arc<WriteGuard>,
    },
    Predecessor,
}

/// Maximum number of commands to a call: each of its attempts is cancelled at most once and abandoned at most
/// once, and the call is forbidden at most once to write anything more.
pub(super) fn command_capacity(attempts: usize) -> usize {
    2 * attempts + 1
}

impl CallInFlight {
    /// Whether the call may have been written, at least in part.
    pub(super) fn may_be_written(&self) -> bool {
        match &self.process {
            CallProcess::This { guard, .. } => guard.has_begun(),
            CallProcess::Predecessor => true,
        }
    }

    /// Sends a command to the call if this process makes the call.
    pub(super) fn command(&self, command: CallCommand) {
        let CallProcess::This { commands, guard } = &self.process else { return };
        if !matches!(command, CallCommand::Cancel(..)) {
            // The guard takes effect at once; the connection may be established before the task reads the
            // command.
            guard.withhold();
        }
        // A call that no longer receives commands has ended; its report has been sent or will be.
        let _ = commands.try_send(command);
    }

    /// Forbids the call to write anything from now on. The command is sent only once, because the capacity of
    /// the channel allows for one.
    pub(super) fn withhold_write(&mut self) {
        if !self.write_withheld {
            self.write_withheld = true;
            self.command(CallCommand::WithholdWrite);
        }
    }
}

/// A command to the call of one attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum AttemptCommand {
    /// Cancel the attempt.
    Cancel,
    /// Abandon the call, because the message of the attempt has failed or was rejected.
    Abandon,
}

impl AttemptCommand {
    /// The command to a call of this process.
    pub(super) fn to_call(self, key: AttemptKey) -> CallCommand {
        match self {
            AttemptCommand::Cancel => CallCommand::Cancel(key),
            AttemptCommand::Abandon => CallCommand::Abandon,
        }
    }

    /// The frame that sends the command to another process that makes the call.
    pub(super) fn to_frame(self, attempt: AttemptRef) -> Frame {
        match self {
            AttemptCommand::Cancel => Frame::CancelAttempt(attempt),
            AttemptCommand::Abandon => Frame::AbandonMessage(attempt),
        }
    }
}
