//! The Unix time that all processes of one state folder share.

use super::file_identity::FileIdentity;
use super::stored_anchor::{StoredAnchor, StoredAnchorError};
use super::system_clocks::{ClockReading, SystemClocks};
use super::unix_clock::UnixClock;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Name of the file in the state folder.
const FILE_NAME: &str = "clock";
/// Time between two saves of the file. It bounds the error on a system whose monotonic clock restarts with
/// each process: that is only detected if the clock is before the saved time.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// The difference to the wall clock is logged after it has changed by more than this.
const MAX_UNLOGGED_DIFFERENCE_MS: u64 = 1000;

/// Why a stored timeline of earlier processes is not continued.
#[derive(Debug, thiserror::Error)]
pub(super) enum Discontinuity {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] StoredAnchorError),
    /// The monotonic clock of this process cannot be read.
    #[error("the monotonic clock cannot be read")]
    NoMonotonicClock,
    /// The machine was restarted, or the folder comes from another machine.
    #[error("the file was written with a different monotonic clock")]
    OtherMonotonicClock,
    /// The monotonic clock shows an earlier time than at the last save of the file.
    #[error("the monotonic clock went back")]
    MonotonicClockWentBack,
    /// The last owner of the journal was a process that does not use the file, such as an earlier version of
    /// the program. It wrote times of the wall clock to the journal.
    #[error("the last owner of the journal did not save the file")]
    OtherOwner {
        /// The current time on the timeline that is not continued.
        unix_time: Duration,
    },
}

impl Discontinuity {
    /// The time by which the wall clock may have been set back while the journal was in use. Zero if that
    /// cannot be determined: the wall clock is then assumed not to have been set.
    fn possible_step_back(&self, wall: Duration) -> Duration {
        match self {
            Discontinuity::OtherOwner { unix_time } => unix_time.saturating_sub(wall),
            Discontinuity::Unreadable(_)
            | Discontinuity::NoMonotonicClock
            | Discontinuity::OtherMonotonicClock
            | Discontinuity::MonotonicClockWentBack => Duration::ZERO,
        }
    }
}

/// Maintains the Unix time of the journal, and the file that ties it to the monotonic clock. Only the process
/// that owns the journal saves the file.
pub(crate) struct Timeline<C> {
    clocks: C,
    monotonic_id: Option<String>,
    path: PathBuf,
    /// The socket that each owner of the journal creates anew, in every version of the program.
    owner_socket: PathBuf,
    clock: UnixClock,
    possible_step_back: Duration,
    last_saved_at: Option<Instant>,
    /// How far the wall clock was ahead when the difference was last logged; negative if it was behind, and 0
    /// if no difference has been logged.
    logged_difference_ms: i64,
    /// Whether the last save failed. Only the first of consecutive failures is logged.
    last_save_failed: bool,
}

impl<C: SystemClocks> Timeline<C> {
    /// Continues the timeline that is stored in the folder, or starts one with the time of the wall clock if
    /// none is stored or it cannot be verified. Writes nothing. `owner_socket` is the path of the socket that
    /// each owner of the journal creates anew.
    pub(crate) fn open(folder: &Path, owner_socket: PathBuf, clocks: C) -> Self {
        let path = folder.join(FILE_NAME);
        let reading = ClockReading::take(&clocks);
        let monotonic_id = clocks.monotonic_id();
        let continued = continued_unix_time(&path, &owner_socket, monotonic_id.as_ref(), &reading);
        let mut possible_step_back = Duration::ZERO;
        if let Err(reason) = &continued {
            eprintln!("runtime: ignoring the time in {}, using the wall clock: {reason}", path.display());
            possible_step_back = reason.possible_step_back(reading.wall);
        }
        let unix_time = continued.ok().flatten().unwrap_or(reading.wall);
        let mut timeline = Timeline {
            clocks,
            monotonic_id,
            path,
            owner_socket,
            clock: UnixClock::new(reading.instant, unix_time),
            possible_step_back,
            last_saved_at: None,
            logged_difference_ms: 0,
            last_save_failed: false,
        };
        timeline.log_difference_if_changed(&reading);
        timeline
    }

    /// The clock of this process.
    pub(crate) fn clock(&self) -> UnixClock {
        self.clock
    }

    /// The time by which times in the journal may be too late, because the wall clock was set back and a
    /// process that does not use the timeline has written to the journal.
    pub(crate) fn possible_step_back(&self) -> Duration {
        self.possible_step_back
    }

    /// Saves the timeline, unless the last save is more recent than [`SAVE_INTERVAL`].
    pub(crate) fn save_if_due(&mut self) {
        if self.last_saved_at.is_none_or(|last| last.elapsed() >= SAVE_INTERVAL) {
            self.save();
        }
    }

    /// Saves the timeline for the next process. A failure is logged; the next process may then use the wall
    /// clock.
    pub(crate) fn save(&mut self) {
        let reading = ClockReading::take(&self.clocks);
        self.last_saved_at = Some(reading.instant);
        self.log_difference_if_changed(&reading);
        let Some(anchor) = self.anchor(&reading) else { return };
        let written = anchor.write(&self.path);
        if let Err(error) = &written
            && !self.last_save_failed
        {
            eprintln!("runtime: cannot write {}: {error}", self.path.display());
        }
        self.last_save_failed = written.is_err();
    }

    fn anchor(&self, reading: &ClockReading) -> Option<StoredAnchor> {
        Some(StoredAnchor {
            monotonic_id: self.monotonic_id.clone()?,
            monotonic_us: micros(reading.monotonic?),
            unix_us: micros(self.clock.unix_time(reading.instant)),
            owner_socket: FileIdentity::of(&self.owner_socket),
        })
    }

    /// Logs the difference to the wall clock if a step of that clock has changed it.
    fn log_difference_if_changed(&mut self, reading: &ClockReading) {
        let difference_ms = millis(reading.wall) - millis(self.clock.unix_time(reading.instant));
        if difference_ms.abs_diff(self.logged_difference_ms) <= MAX_UNLOGGED_DIFFERENCE_MS {
            return;
        }
        self.logged_difference_ms = difference_ms;
        let direction = if difference_ms > 0 { "ahead of" } else { "behind" };
        eprintln!(
            "runtime: the wall clock is {} ms {direction} the time of the journal, which is not adjusted",
            difference_ms.unsigned_abs()
        );
    }
}

/// The Unix time of the reading on the stored timeline; `None` if no timeline is stored.
fn continued_unix_time(
    path: &Path,
    owner_socket: &Path,
    monotonic_id: Option<&String>,
    reading: &ClockReading,
) -> Result<Option<Duration>, Discontinuity> {
    let Some(stored) = StoredAnchor::read(path)? else { return Ok(None) };
    let monotonic = reading.monotonic.ok_or(Discontinuity::NoMonotonicClock)?;
    if monotonic_id != Some(&stored.monotonic_id) {
        return Err(Discontinuity::OtherMonotonicClock);
    }
    let Some(elapsed) = monotonic.checked_sub(Duration::from_micros(stored.monotonic_us)) else {
        return Err(Discontinuity::MonotonicClockWentBack);
    };
    let unix_time = Duration::from_micros(stored.unix_us) + elapsed;
    if FileIdentity::of(owner_socket) != stored.owner_socket {
        return Err(Discontinuity::OtherOwner { unix_time });
    }
    Ok(Some(unix_time))
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
