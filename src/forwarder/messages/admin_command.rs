//! Commands of operators, and the replies to them.

use serde::{Deserialize, Serialize};
use std::fmt;
use tokio::sync::oneshot;

/// A command of an operator. It is passed between processes of different versions during an upgrade, so its
/// serialized names must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AdminCommand {
    /// Report whether this process is ready to serve.
    Ready,
    /// Send no new call to the endpoint with this id.
    Disable(String),
    /// Send calls to the endpoint with this id again.
    Enable(String),
    /// Make the readiness check fail, so that the load balancer sends clients to other processes.
    Drain,
    /// End a drain: make the readiness check succeed again.
    Resume,
}

/// A command, and the channel for its reply.
pub(crate) struct AdminRequest {
    /// The command.
    pub(crate) command: AdminCommand,
    /// The channel for the reply. It is closed once the operator has stopped waiting; the command must not be
    /// executed after that.
    pub(crate) reply: oneshot::Sender<AdminReply>,
}

/// The reply to a command: what was done, or why it was not.
pub(crate) type AdminReply = Result<AdminSuccess, AdminError>;

/// What a command has done. During an upgrade it is passed between processes as the text that operators read,
/// so the texts must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub(crate) enum AdminSuccess {
    /// This process is ready to serve.
    Ready,
    /// The drain has started.
    Draining,
    /// The drain has ended.
    AcceptingClients,
    /// No new call is sent to the endpoint with this id.
    EndpointDisabled(String),
    /// Calls are sent to the endpoint with this id again.
    EndpointEnabled(String),
    /// A text from a process of another version that this version does not know.
    Other(String),
}

const DISABLED_SUFFIX: &str = " left out";
const ENABLED_SUFFIX: &str = " put back";

impl fmt::Display for AdminSuccess {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminSuccess::Ready => formatter.write_str("ready"),
            AdminSuccess::Draining => formatter.write_str("draining"),
            AdminSuccess::AcceptingClients => formatter.write_str("taking clients"),
            AdminSuccess::EndpointDisabled(id) => write!(formatter, "{id}{DISABLED_SUFFIX}"),
            AdminSuccess::EndpointEnabled(id) => write!(formatter, "{id}{ENABLED_SUFFIX}"),
            AdminSuccess::Other(text) => formatter.write_str(text),
        }
    }
}

impl From<String> for AdminSuccess {
    fn from(text: String) -> Self {
        match text.as_str() {
            "ready" => AdminSuccess::Ready,
            "draining" => AdminSuccess::Draining,
            "taking clients" => AdminSuccess::AcceptingClients,
            other => {
                if let Some(id) = other.strip_suffix(DISABLED_SUFFIX) {
                    AdminSuccess::EndpointDisabled(id.to_owned())
                } else if let Some(id) = other.strip_suffix(ENABLED_SUFFIX) {
                    AdminSuccess::EndpointEnabled(id.to_owned())
                } else {
                    AdminSuccess::Other(text)
                }
            }
        }
    }
}

impl From<&str> for AdminSuccess {
    fn from(text: &str) -> Self {
        text.to_owned().into()
    }
}

impl From<AdminSuccess> for String {
    fn from(success: AdminSuccess) -> Self {
        success.to_string()
    }
}

/// Why a command was not executed. During an upgrade it is passed between processes as the text that
/// operators read, so the texts must not change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub(crate) enum AdminError {
    /// The line is not a command.
    #[error(transparent)]
    InvalidCommand(#[from] CommandError),
    /// No endpoint list has ever contained the id.
    #[error("no such endpoint was ever listed")]
    UnknownEndpoint,
    /// The process is not ready because operators drain it.
    #[error("draining")]
    Draining,
    /// The process is not ready because it is about to end.
    #[error("about to end")]
    Terminating,
    /// The process is not ready because its predecessor still serves.
    #[error("not ready: another process still serves")]
    NotReady,
    /// A successor has taken over, and the command was not passed on to it.
    #[error("a new version has taken over")]
    TakenOver,
    /// The successor ended before it replied.
    #[error("the new version has gone")]
    SuccessorGone,
    /// The runtime did not reply in time. It drops a command whose operator has stopped waiting, unless it
    /// has already forwarded the command to a successor, which may still execute it.
    #[error("no answer in time")]
    NoReply,
    /// The journal has no capacity for the ban.
    #[error("the journal is full")]
    JournalFull,
    /// The ban cannot be written to the journal, for this reason.
    #[error("the journal cannot be written: {0}")]
    JournalWrite(String),
    /// A text from a process of another version that this version does not know.
    #[error("{0}")]
    Other(String),
}

impl From<String> for AdminError {
    fn from(text: String) -> Self {
        [
            AdminError::UnknownEndpoint,
            AdminError::Draining,
            AdminError::Terminating,
            AdminError::NotReady,
            AdminError::TakenOver,
            AdminError::SuccessorGone,
            AdminError::NoReply,
            AdminError::JournalFull,
        ]
        .into_iter()
        .find(|error| error.to_string() == text)
        .unwrap_or(AdminError::Other(text))
    }
}

impl From<&str> for AdminError {
    fn from(text: &str) -> Self {
        text.to_owned().into()
    }
}

impl From<AdminError> for String {
    fn from(error: AdminError) -> Self {
        error.to_string()
    }
}

/// Why a line is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CommandError {
    /// The line contains no word.
    #[error("empty line")]
    Empty,
    /// The first word of the line is not a command.
    #[error("unknown call")]
    Unknown,
    /// The command takes exactly one endpoint id.
    #[error("this call takes one id")]
    ExpectedOneId,
    /// The command takes no argument.
    #[error("this call takes nothing")]
    UnexpectedArgument,
    /// The line is longer than any command.
    #[error("line too long")]
    TooLong,
    /// The connection ended, or the time for reading passed, before the line was complete.
    #[error("no whole line")]
    IncompleteLine,
    /// The line is not UTF-8.
    #[error("not text")]
    NotText,
}

impl AdminCommand {
    /// Parses one line, without its line break.
    pub(crate) fn parse(line: &[u8]) -> Result<AdminCommand, CommandError> {
        let line = str::from_utf8(line).map_err(|_| CommandError::NotText)?;
        let mut words = line.split_ascii_whitespace();
        let name = words.next().ok_or(CommandError::Empty)?;
        let arguments: Vec<&str> = words.collect();
        match name {
            "ready" => without_argument(AdminCommand::Ready, &arguments),
            "disable-server" => with_id(AdminCommand::Disable, &arguments),
            "enable-server" => with_id(AdminCommand::Enable, &arguments),
            "drain" => without_argument(AdminCommand::Drain, &arguments),
            "resume" => without_argument(AdminCommand::Resume, &arguments),
            _ => Err(CommandError::Unknown),
        }
    }
}

fn with_id(command: fn(String) -> AdminCommand, arguments: &[&str]) -> Result<AdminCommand, CommandError> {
    match arguments {
        [id] => Ok(command((*id).to_owned())),
        _ => Err(CommandError::ExpectedOneId),
    }
}

fn without_argument(command: AdminCommand, arguments: &[&str]) -> Result<AdminCommand, CommandError> {
    if arguments.is_empty() { Ok(command) } else { Err(CommandError::UnexpectedArgument) }
}

#[cfg(test)]
mod tests;
