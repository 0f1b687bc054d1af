//! How long the outcome of a message is remembered, so that its id cannot run a second time.

use super::Runtime;
use super::clock::MICROS_PER_MILLISECOND;
use crate::forwarder::journal::{AcceptedMessage, FinalOutcome};

/// Shortest time for which the outcome of a message that may have been executed is remembered. A client that
/// has lost its connection may submit the message again after the deadline of its first request.
const MIN_RETENTION_MS: u64 = 30_000;

impl Runtime {
    /// Until when the outcome of a message that ends now is remembered, in Unix milliseconds.
    ///
    /// The outcome of a message that was never executed is remembered until its deadline: later, the message
    /// may be accepted like a new one. One that may have been executed must not run again, so its outcome is
    /// remembered as long as messages of its class may be open.
    pub(super) fn remember_until_unix_ms(&self, message: &AcceptedMessage, outcome: FinalOutcome) -> u64 {
        if outcome == FinalOutcome::Rejected {
            return message.deadline_unix_ms;
        }
        let class = self.names.classes.index_of(&message.class);
        let longest_life = class.map_or(0, |class| self.settings.classes[class].deadline);
        let longest_life_ms = u64::try_from(longest_life / MICROS_PER_MILLISECOND).unwrap_or(0);
        let retention_ms = longest_life_ms.max(MIN_RETENTION_MS);
        message.deadline_unix_ms.max(self.unix_clock.now_unix_ms().saturating_add(retention_ms))
    }
}
