//! A simulator that writes frames and reads the replies of the adapter.

use super::instance::Instance;
use super::settings::SETTINGS;
use crate::support_history::{Digest, Generator};
use std::collections::BTreeSet;
use std::fmt::Write as _;

const FRAMES: usize = 2000;
/// Longest usual time between two frames, in tenths of a millisecond.
const MAX_FRAME_INTERVAL: i64 = 1500;
pub(super) const SECOND: i64 = 10_000;

/// The simulator. Times are in tenths of a millisecond.
pub(crate) struct Simulator {
    pub(super) generator: Generator,
    pub(super) now: i64,
    pub(super) frames: usize,
    pub(super) sheet: u64,
    pub(super) instances: [Instance; 2],
    pub(super) unreachable: BTreeSet<u64>,
    pub(super) digest: Digest,
    pub(crate) checkpoints: Vec<u64>,
    pub(crate) reply_lines: usize,
    pub(crate) seen_replies: BTreeSet<String>,
    pub(super) unread: Vec<u8>,
}

/// A time as the protocol writes it.
pub(super) fn milliseconds(time: i64) -> f64 {
    time as f64 / 10.0
}

impl Simulator {
    pub(crate) fn new(seed: u64) -> Self {
        Simulator {
            generator: Generator::new(seed),
            now: 100 * SECOND,
            frames: 0,
            sheet: 0,
            instances: Default::default(),
            unreachable: BTreeSet::new(),
            digest: Digest::new(),
            checkpoints: Vec::new(),
            reply_lines: 0,
            seen_replies: BTreeSet::new(),
            unread: Vec::new(),
        }
    }

    /// The next frame as text; empty once the history is complete.
    pub(super) fn next_frame(&mut self) -> String {
        if self.frames == FRAMES {
            return String::new();
        }
        self.frames += 1;
        self.now += self.frame_interval();
        let mut frame = format!("FRAME time={}\n", milliseconds(self.now));
        for index in 0..self.instances.len() {
            self.instance_events(index, &mut frame);
        }
        frame.push_str("OVER_TO_YOU\n");
        frame
    }

    fn frame_interval(&mut self) -> i64 {
        let is_long = self.generator.per_mille(10);
        let planned = self.generator.between(1, if is_long { 5 * SECOND } else { MAX_FRAME_INTERVAL });
        let wakes = self.instances.iter().filter_map(|instance| instance.wake_at);
        let next_wake = wakes.min().unwrap_or(i64::MAX) - self.now;
        // A multiple of 5 ms.
        (planned.min(next_wake).max(1) + 49) / 50 * 50
    }

    fn instance_events(&mut self, index: usize, frame: &mut String) {
        if !self.instances[index].running {
            self.boot(index, frame);
        } else if self.generator.per_mille(3) {
            writeln!(frame, "EXIT forwarder={index}").unwrap();
            let incarnation = self.instances[index].incarnation;
            self.instances[index] = Instance { incarnation, ..Instance::default() };
            // Half of them are started again in the same frame.
            if self.generator.per_mille(500) {
                self.boot(index, frame);
            }
            return;
        }
        self.wake(index, frame);
        self.return_calls(index, frame);
        self.change_list(index, frame);
        self.disconnect_and_stream(index, frame);
        if self.generator.per_mille(500) {
            for _ in 0..=self.generator.below(4) {
                self.submit(index, frame);
            }
        }
    }

    fn boot(&mut self, index: usize, frame: &mut String) {
        let seed = self.generator.next() >> 1;
        writeln!(frame, "BOOT forwarder={index} nonce64={seed} {}", SETTINGS[index]).unwrap();
        let incarnation = self.instances[index].incarnation + 1;
        self.instances[index] = Instance { running: true, incarnation, ..Instance::default() };
        let mode = self.generator.pick(&["whole", "stale_copy"]);
        self.send_list(index, mode, frame);
    }

    fn wake(&mut self, index: usize, frame: &mut String) {
        let instance = &mut self.instances[index];
        if instance.wake_at.take_if(|at| *at <= self.now).is_some() {
            writeln!(frame, "RING forwarder={index} handle=0").unwrap();
        }
    }
}
