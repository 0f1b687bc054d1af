//! Checks that a call may still be written, and records its attempts in the journal just before the write.

use crate::forwarder::clock::UnixClock;
use crate::forwarder::journal::{JournalError, Record, SharedJournal};
use crate::forwarder::messages::attempt::AttemptRef;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::Instant;

/// Decides whether a call may be written, and records its attempts in the journal just before the first byte.
///
/// The attempts are not recorded earlier, because after a restart a recorded attempt is treated as one that
/// may have been executed. The guard is shared by the call and the runtime, which run on one thread.
pub(crate) struct WriteGuard {
    journal: SharedJournal,
    /// The clock for the times of the records.
    unix_clock: UnixClock,
    /// The attempts to record.
    attempts: Vec<AttemptRef>,
    /// The call must not be written at or after this time.
    send_before: Instant,
    /// The zone of the endpoint, which is recorded with the attempts.
    zone: String,
    /// Whether the call may have been written, at least in part.
    write_begun: AtomicBool,
    /// Whether writing has been forbidden.
    write_withheld: AtomicBool,
}

impl WriteGuard {
    /// A guard for a call with these `attempts` to an endpoint in `zone`. The call must not be written at or
    /// after `send_before`.
    pub(crate) fn new(
        journal: SharedJournal,
        unix_clock: UnixClock,
        attempts: Vec<AttemptRef>,
        send_before: Instant,
        zone: String,
    ) -> Self {
        WriteGuard {
            journal,
            unix_clock,
            attempts,
            send_before,
            zone,
            write_begun: AtomicBool::new(false),
            write_withheld: AtomicBool::new(false),
        }
    }

    /// Forbids writing from now on.
    pub(crate) fn withhold(&self) {
        self.write_withheld.store(true, Ordering::Relaxed);
    }

    /// Whether the call may have been written, at least in part.
    pub(crate) fn has_begun(&self) -> bool {
        self.write_begun.load(Ordering::Relaxed)
    }

    /// Returns whether the call may be written now, and records its attempts the first time that it may.
    pub(super) fn try_begin(&self) -> bool {
        // The time is compared here although the call also has a timer for it: both the timer and the
        // connection may become ready at once, and the connection may be polled first.
        if self.write_withheld.load(Ordering::Relaxed) || Instant::now() >= self.send_before {
            return false;
        }
        if self.has_begun() {
            return true;
        }
        if let Err(error) = self.record_attempts() {
            eprintln!("journal: cannot record the attempts of a call; the call is not sent: {error}");
            return false;
        }
        self.write_begun.store(true, Ordering::Relaxed);
        true
    }

    fn record_attempts(&self) -> Result<(), JournalError> {
        let now_unix_ms = self.unix_clock.now_unix_ms();
        let record = |AttemptRef { message, attempt }: &AttemptRef| {
            Record::attempt_started(message.clone(), *attempt, now_unix_ms, self.zone.clone())
        };
        let records: Vec<Record> = self.attempts.iter().map(record).collect();
        self.journal.lock().commit(&records, now_unix_ms)
    }
}

#[cfg(test)]
mod tests;
