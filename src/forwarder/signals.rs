//! The signals that the process handles.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process handles, from the moment of [`Signals::install`] on.
pub(crate) struct Signals {
    /// SIGHUP: requests a reload of the configuration.
    pub(crate) hangup: Signal,
    /// SIGTERM: requests a graceful shutdown.
    pub(crate) terminate: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// A handler cannot be installed.
    pub(crate) fn install() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        Ok(Signals { hangup, terminate })
    }
}
