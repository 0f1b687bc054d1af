//! Executes the commands of operators.

use super::Runtime;
use crate::forwarder::journal::{JournalError, Record};
use crate::forwarder::messages::admin_command::{
    AdminCommand, AdminError, AdminReply, AdminRequest, AdminSuccess,
};
use crate::forwarder::server::LifecyclePhase;
use crate::interface::{Event, Micros};
use std::error::Error;

impl Runtime {
    /// Executes the command of a request, unless the operator has stopped waiting: a command that cannot be
    /// acknowledged must have no effect.
    pub(super) fn handle_admin_request(&mut self, now: Micros, request: AdminRequest) {
        if request.reply.is_closed() {
            return;
        }
        let reply = self.execute_admin_command(now, request.command);
        // The operator may have disconnected.
        let _ = request.reply.send(reply);
    }

    /// Executes a command and logs it.
    pub(super) fn execute_admin_command(&mut self, now: Micros, command: AdminCommand) -> AdminReply {
        let reply = match &command {
            // Not logged, because monitoring sends it often.
            AdminCommand::Ready => return self.readiness(),
            AdminCommand::Disable(uid) => self.set_banned(now, uid, true),
            AdminCommand::Enable(uid) => self.set_banned(now, uid, false),
            AdminCommand::Drain => {
                self.decisions.notify(now, Event::Drain);
                Ok(AdminSuccess::Draining)
            }
            AdminCommand::Resume => {
                self.decisions.notify(now, Event::Resume);
                Ok(AdminSuccess::AcceptingClients)
            }
        };
        eprintln!("admin: {command:?}: {reply:?}");
        reply
    }

    fn readiness(&self) -> AdminReply {
        match self.phase() {
            LifecyclePhase::Serving => Ok(AdminSuccess::Ready),
            LifecyclePhase::Draining => Err(AdminError::Draining),
            LifecyclePhase::Closing | LifecyclePhase::HandingOver | LifecyclePhase::Stopped => {
                Err(AdminError::Terminating)
            }
        }
    }

    /// Starts or ends the ban of an endpoint. The ban is written to the journal before it takes effect. A
    /// repeated command changes nothing.
    fn set_banned(&mut self, now: Micros, uid: &str, banned: bool) -> AdminReply {
        let is_banned = self.journal.lock().is_banned(uid);
        if !is_banned && !self.endpoints.was_ever_listed(uid) {
            return Err(AdminError::UnknownEndpoint);
        }
        if banned != is_banned {
            self.commit_ban(uid, banned)?;
        }
        self.apply_ban(now, uid, banned);
        let uid = uid.to_owned();
        Ok(if banned { AdminSuccess::EndpointDisabled(uid) } else { AdminSuccess::EndpointEnabled(uid) })
    }

    fn commit_ban(&self, uid: &str, banned: bool) -> Result<(), AdminError> {
        let uid = uid.to_owned();
        let record = if banned { Record::EndpointBanned(uid) } else { Record::EndpointAllowed(uid) };
        let now_unix_ms = self.unix_clock.now_unix_ms();
        self.journal.lock().commit(&[record], now_unix_ms).map_err(|error| journal_failure(&error))
    }

    fn apply_ban(&mut self, now: Micros, uid: &str, banned: bool) {
        let Some(endpoint) = self.endpoints.number_of(uid) else { return };
        let event = if banned { Event::BanStarted { endpoint } } else { Event::BanEnded { endpoint } };
        self.decisions.notify(now, event);
        // Its connections may be stale: operators may have restarted the endpoint.
        self.stop_using(endpoint);
    }
}

/// The reply to an operator whose command could not be written to the journal.
fn journal_failure(error: &JournalError) -> AdminError {
    match (error, error.source()) {
        (JournalError::Full, _) => AdminError::JournalFull,
        (_, Some(source)) => AdminError::JournalWrite(source.to_string()),
        (_, None) => AdminError::JournalWrite(error.to_string()),
    }
}
