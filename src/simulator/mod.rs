//! The simulator adapter, which runs the decision module for the instances of a simulated fleet.
//!
//! The simulator writes requests in frames, one request per line, and reads a reply to each frame. This
//! module parses the requests, translates them to [`crate::interface`] and writes the resulting actions. It
//! makes no decisions.

mod host;
mod instance;
mod reply;
mod request;

use crate::key_value::{FieldError, Fields};
use host::Host;
use std::any::Any;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The line that opens a frame and sets the time.
const FRAME_START: &str = "FRAME";
/// The line that closes a frame and asks for the reply.
const FRAME_END: &str = "OVER_TO_YOU";
/// The last line of each reply, with its line break.
const REPLY_END: &str = "OK\n";

/// Why serving the simulator ended before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A line is malformed.
    #[error(transparent)]
    InvalidLine(#[from] FieldError),
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The decision module panicked. The simulator has received an `INTERNAL_ERROR`.
    #[error("the decision module panicked")]
    Panicked,
}

/// Serves the simulator until the end of its input.
///
/// # Errors
///
/// Ends with an error at the first malformed line, when reading or writing fails, and when the decision
/// module panics.
pub fn serve(input: impl BufRead, output: impl Write) -> Result<(), ServeError> {
    let mut session = Session { host: Host::default(), output, in_frame: false, last_instance: 0 };
    for (index, line) in input.lines().enumerate() {
        session.handle_line(index as u64 + 1, line?.trim_end_matches('\r'))?;
    }
    Ok(())
}

/// One connection to a simulator.
struct Session<W> {
    host: Host,
    output: W,
    in_frame: bool,
    /// The instance that the latest line with a `forwarder` field named. A panic in a line without this field
    /// is attributed to it.
    last_instance: u64,
}

impl<W: Write> Session<W> {
    fn handle_line(&mut self, line_number: u64, line: &str) -> Result<(), ServeError> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if name.is_empty() {
            return Ok(());
        }
        let fields = Fields::parse(line_number, rest)?;
        match name {
            FRAME_START => Ok(self.begin_frame(&fields)?),
            _ if !self.in_frame => Err(fields.invalid(name, "outside a frame").into()),
            FRAME_END => self.end_frame(&fields),
            _ => self
                .run_catching_panics(&fields, |host| host.handle(name, &fields))?
                .map_err(ServeError::from),
        }
    }

    fn begin_frame(&mut self, fields: &Fields) -> Result<(), FieldError> {
        if self.in_frame {
            return Err(fields.invalid(FRAME_START, "the previous frame has not been closed"));
        }
        self.host.set_time(fields.required_time("time")?);
        self.in_frame = true;
        Ok(())
    }

    fn end_frame(&mut self, fields: &Fields) -> Result<(), ServeError> {
        let mut reply = self.run_catching_panics(fields, Host::reply)?;
        reply.push_str(REPLY_END);
        self.output.write_all(reply.as_bytes())?;
        self.output.flush()?;
        self.in_frame = false;
        Ok(())
    }

    /// Runs a step that may call the decision module. A panic in the step is reported to the simulator.
    fn run_catching_panics<T>(
        &mut self,
        fields: &Fields,
        step: impl FnOnce(&mut Host) -> T,
    ) -> Result<T, ServeError> {
        let result = catch_unwind(AssertUnwindSafe(|| step(&mut self.host)));
        let instance = fields.integer("forwarder").unwrap_or(self.last_instance);
        match result {
            Ok(value) => {
                self.last_instance = instance;
                Ok(value)
            }
            Err(cause) => {
                let message = panic_message(cause.as_ref());
                write!(self.output, "INTERNAL_ERROR forwarder={instance} msg={message}\n{REPLY_END}")?;
                self.output.flush()?;
                Err(ServeError::Panicked)
            }
        }
    }
}

/// Returns the message of a panic on one line.
fn panic_message(cause: &(dyn Any + Send)) -> String {
    let message = match (cause.downcast_ref::<String>(), cause.downcast_ref::<&str>()) {
        (Some(message), _) => message,
        (None, Some(message)) => *message,
        (None, None) => "panic",
    };
    message.replace(['\n', '\r'], " ")
}
