//! Commands of operators.

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// A command of an operator. It is passed between processes during an upgrade: the serialized names stay as they
/// are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AdminCommand {
    /// Whether this process is ready to serve.
    Ready,
    /// Send no new call to the endpoint with this id.
    Disable(String),
    /// Send calls to it again.
    Enable(String),
    /// Send clients away.
    Drain,
    /// Invite clients again.
    Resume,
}

/// The reply: what was done, or why it was not.
pub(crate) type AdminReply = Result<String, String>;

/// A command, and where its reply goes.
pub(crate) struct AdminRequest {
    /// What is to be done.
    pub(crate) command: AdminCommand,
    /// Where the reply goes. Closed once the operator has stopped waiting.
    pub(crate) reply: oneshot::Sender<AdminReply>,
}

/// Why a line is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CommandError {
    /// It contains no word.
    #[error("empty line")]
    Empty,
    /// Its first word is not a command.
    #[error("unknown call")]
    Unknown,
    /// The command takes exactly one endpoint id.
    #[error("this call takes one id")]
    NeedsId,
    /// The command takes no argument.
    #[error("this call takes nothing")]
    TakesNothing,
    /// It is longer than any command.
    #[error("line too long")]
    TooLong,
    /// The connection ended or the time was up before the line was complete.
    #[error("no whole line")]
    Unfinished,
    /// It is not UTF-8.
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
        _ => Err(CommandError::NeedsId),
    }
}

fn without_argument(command: AdminCommand, arguments: &[&str]) -> Result<AdminCommand, CommandError> {
    if arguments.is_empty() { Ok(command) } else { Err(CommandError::TakesNothing) }
}
