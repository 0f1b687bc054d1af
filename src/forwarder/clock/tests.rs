//! Tests of the timeline with clocks that can be set, and the helpers that they share with other tests.

use super::stored_anchor::StoredAnchor;
use super::*;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use std::{env, fs, process};

/// The steps of the wall clock, in seconds.
pub(crate) const STEPS: [i64; 4] = [1, -1, 3600, -3600];
/// The Unix time of the wall clock at the start of each test.
const START: Duration = Duration::from_secs(1_800_000_000);

/// A machine with a state folder and with clocks that the test sets. Dropping it removes the folder. Tests
/// that use it pause the time of tokio, so that time passes only by [`Self::advance`].
pub(crate) struct Machine {
    pub(crate) folder: PathBuf,
    monotonic: Cell<Duration>,
    wall: Cell<Duration>,
    monotonic_id: RefCell<Option<String>>,
}

impl Machine {
    pub(crate) fn new() -> Self {
        static CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let folder = env::temp_dir().join(format!("clock-test-{}-{number}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Machine {
            folder,
            monotonic: Cell::new(Duration::from_secs(5000)),
            wall: Cell::new(START),
            monotonic_id: RefCell::new(Some("first boot".to_owned())),
        }
    }

    /// Opens the timeline as a process does that starts now.
    pub(crate) fn start_process(&self) -> Timeline<&Self> {
        Timeline::open(&self.folder, self.owner_socket(), self)
    }

    /// The Unix time in milliseconds that a process reads which starts now.
    fn now_of_new_process(&self) -> u64 {
        self.start_process().clock().now_unix_ms()
    }

    /// Lets time pass.
    pub(crate) async fn advance(&self, time: Duration) {
        tokio::time::advance(time).await;
        self.monotonic.set(self.monotonic.get() + time);
        self.wall.set(self.wall.get() + time);
    }

    /// Steps the wall clock forward, or back if `seconds` is negative.
    pub(crate) fn step_wall(&self, seconds: i64) {
        let step = Duration::from_secs(seconds.unsigned_abs());
        let wall = self.wall.get();
        self.wall.set(if seconds < 0 { wall - step } else { wall + step });
    }

    fn wall_ms(&self) -> u64 {
        self.wall.get().as_millis() as u64
    }

    fn owner_socket(&self) -> PathBuf {
        self.folder.join("handover")
    }

    fn clock_file(&self) -> PathBuf {
        self.folder.join("clock")
    }

    /// Creates the socket anew, as each owner of the journal does in every version of the program.
    pub(crate) fn create_owner_socket(&self) {
        // Renamed over the previous socket, so that the inode of that one is not reused.
        let new = self.folder.join("new-socket");
        fs::write(&new, b"").and_then(|()| fs::rename(new, self.owner_socket())).expect("a writable folder");
    }
}

impl SystemClocks for &Machine {
    fn monotonic(&self) -> Option<Duration> {
        Some(self.monotonic.get())
    }

    fn wall(&self) -> Duration {
        self.wall.get()
    }

    fn monotonic_id(&self) -> Option<String> {
        self.monotonic_id.borrow().clone()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn start_ms() -> u64 {
    START.as_millis() as u64
}

#[tokio::test(start_paused = true)]
async fn a_step_changes_nothing_while_a_process_runs() {
    for step in STEPS {
        let machine = Machine::new();
        let timeline = machine.start_process();
        machine.step_wall(step);
        machine.advance(Duration::from_millis(12_345)).await;
        assert_eq!(timeline.clock().now_unix_ms(), start_ms() + 12_345, "step of {step} s");
    }
}

#[tokio::test(start_paused = true)]
async fn a_step_changes_nothing_for_the_next_processes() {
    for step in STEPS {
        let machine = Machine::new();
        machine.start_process().save();
        machine.step_wall(step);
        machine.advance(Duration::from_secs(7)).await;
        let mut second = machine.start_process();
        assert_eq!(second.clock().now_unix_ms(), start_ms() + 7000, "step of {step} s");
        // Another step, while a process runs that saves the timeline after it.
        machine.step_wall(step);
        machine.advance(Duration::from_secs(2)).await;
        second.save();
        machine.advance(Duration::from_secs(1)).await;
        assert_eq!(machine.now_of_new_process(), start_ms() + 10_000, "step of {step} s");
    }
}

#[tokio::test(start_paused = true)]
async fn without_a_stored_timeline_the_wall_clock_is_used() {
    let machine = Machine::new();
    machine.step_wall(3600);
    assert_eq!(machine.now_of_new_process(), machine.wall_ms());
    assert!(!machine.clock_file().exists(), "opening writes nothing");
}

#[tokio::test(start_paused = true)]
async fn after_a_restart_of_the_machine_the_wall_clock_is_used() {
    let machine = Machine::new();
    machine.start_process().save();
    *machine.monotonic_id.borrow_mut() = Some("second boot".to_owned());
    machine.step_wall(3600);
    assert_eq!(machine.now_of_new_process(), machine.wall_ms());
}

#[tokio::test(start_paused = true)]
async fn if_the_monotonic_clock_went_back_the_wall_clock_is_used() {
    let machine = Machine::new();
    machine.start_process().save();
    machine.monotonic.set(machine.monotonic.get() - Duration::from_micros(1));
    machine.step_wall(3600);
    assert_eq!(machine.now_of_new_process(), machine.wall_ms());
}

/// On a system whose monotonic clock restarts with each process, this is detected only if the clock is before
/// the last saved time. Therefore a running process keeps saving the file.
#[tokio::test(start_paused = true)]
async fn the_timeline_is_saved_at_intervals() {
    let machine = Machine::new();
    let mut timeline = machine.start_process();
    timeline.save_if_due();
    let saved_at =
        || StoredAnchor::read(&machine.clock_file()).expect("readable").expect("saved").monotonic_us;
    let first = saved_at();
    machine.advance(Duration::from_millis(900)).await;
    timeline.save_if_due();
    assert_eq!(saved_at(), first);
    machine.advance(Duration::from_millis(100)).await;
    timeline.save_if_due();
    assert_eq!(saved_at(), first + 1_000_000);
}

#[tokio::test(start_paused = true)]
async fn with_a_damaged_file_the_wall_clock_is_used() {
    let machine = Machine::new();
    machine.start_process().save();
    machine.step_wall(3600);
    let saved = fs::read(machine.clock_file()).expect("it was saved");
    let json_end = saved.trim_ascii_end().len();
    for position in 0..json_end {
        let mut damaged = saved.clone();
        damaged[position] ^= 1;
        fs::write(machine.clock_file(), damaged).expect("a writable folder");
        assert_eq!(machine.now_of_new_process(), machine.wall_ms(), "byte {position}");
    }
    for length in 0..json_end {
        fs::write(machine.clock_file(), &saved[..length]).expect("a writable folder");
        assert_eq!(machine.now_of_new_process(), machine.wall_ms(), "{length} bytes");
    }
    // A save replaces the damaged content.
    machine.start_process().save();
    machine.step_wall(3600);
    assert_eq!(machine.now_of_new_process(), machine.wall_ms() - 3_600_000);
}

#[tokio::test(start_paused = true)]
async fn if_the_file_cannot_be_read_or_written_the_wall_clock_is_used() {
    let machine = Machine::new();
    fs::create_dir(machine.clock_file()).expect("a writable folder");
    let mut timeline = machine.start_process();
    timeline.save();
    timeline.save();
    assert_eq!(timeline.clock().now_unix_ms(), machine.wall_ms());
    // The folder is missing.
    fs::remove_dir_all(&machine.folder).expect("it is there");
    let mut timeline = machine.start_process();
    timeline.save();
    assert_eq!(timeline.clock().now_unix_ms(), machine.wall_ms());
}

#[tokio::test(start_paused = true)]
async fn without_an_id_of_the_monotonic_clock_the_wall_clock_is_used() {
    let machine = Machine::new();
    machine.start_process().save();
    *machine.monotonic_id.borrow_mut() = None;
    machine.step_wall(3600);
    let mut timeline = machine.start_process();
    assert_eq!(timeline.clock().now_unix_ms(), machine.wall_ms());
    timeline.save();
}

/// An earlier version of the program ignores the file and writes times of the wall clock to the journal.
#[tokio::test(start_paused = true)]
async fn after_a_process_that_does_not_know_the_timeline_the_wall_clock_is_used() {
    let machine = Machine::new();
    machine.create_owner_socket();
    machine.start_process().save();
    machine.step_wall(3600);
    assert_eq!(machine.now_of_new_process(), start_ms());
    // A process of the earlier version runs.
    machine.create_owner_socket();
    let mut next = machine.start_process();
    assert_eq!(next.clock().now_unix_ms(), machine.wall_ms());
    // The timeline that starts here is continued, also after the socket is created.
    machine.create_owner_socket();
    next.save();
    machine.step_wall(3600);
    assert_eq!(machine.now_of_new_process(), machine.wall_ms() - 3_600_000);
}

#[tokio::test(start_paused = true)]
async fn the_file_takes_one_disk_block() {
    let machine = Machine::new();
    machine.create_owner_socket();
    *machine.monotonic_id.borrow_mut() = KernelClocks.monotonic_id().or(Some("id".to_owned()));
    machine.start_process().save();
    assert_eq!(fs::metadata(machine.clock_file()).expect("it was saved").len(), 512);
}

#[test]
fn the_clocks_of_the_kernel_can_be_read() {
    let (first, second) = (KernelClocks.monotonic(), KernelClocks.monotonic());
    assert!(first.is_some() && first <= second);
    assert!(KernelClocks.wall() > Duration::ZERO);
    assert_eq!(KernelClocks.monotonic_id(), KernelClocks.monotonic_id());
}
