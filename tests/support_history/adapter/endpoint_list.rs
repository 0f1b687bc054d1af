//! The endpoint list as the simulator sends it to an instance.

use super::settings::{ALL_ENDPOINTS, ENDPOINTS_PER_DESTINATION, KINDS};
use super::simulator::Simulator;
use std::fmt::Write as _;

impl Simulator {
    /// Writes a catalog and the list that refers to it. A patch contains a few endpoints, other lists all.
    pub(super) fn send_list(&mut self, index: usize, mode: &str, frame: &mut String) {
        self.sheet += 1;
        let rows = if mode == "patch" { 1 + self.generator.below(3) } else { ALL_ENDPOINTS };
        writeln!(frame, "CATALOG sheet={} entries={rows}", self.sheet).unwrap();
        for row in 0..rows {
            let position = if mode == "patch" { self.generator.below(ALL_ENDPOINTS) } else { row };
            self.write_row(position, mode != "patch", frame);
        }
        let sheet = self.sheet;
        writeln!(frame, "ENDPOINTS forwarder={index} serial={sheet} mode={mode} sheet={sheet}").unwrap();
    }

    fn write_row(&mut self, position: u64, mostly_serving: bool, frame: &mut String) {
        let destination = 1 + position / ENDPOINTS_PER_DESTINATION;
        let endpoint = destination * 10 + position % ENDPOINTS_PER_DESTINATION;
        let site = ["a", "b", "c"][(position % 3) as usize];
        let flavor = KINDS[destination as usize - 1];
        let serving = mostly_serving && self.generator.per_mille(900);
        let other = self.generator.pick(&["SERVING", "DRAINING", "DELETED"]);
        let availability = if serving { "SERVING" } else { other };
        let scale = self.generator.between(1, 200) as f64 / 4.0;
        writeln!(
            frame,
            "ROW target={endpoint} site={site} flavor={flavor} belongsTo={destination} \
             availability={availability} scale={scale}"
        )
        .unwrap();
    }

    pub(super) fn change_list(&mut self, index: usize, frame: &mut String) {
        let subscribed = std::mem::take(&mut self.instances[index].subscribed);
        if self.generator.per_mille(10) {
            writeln!(frame, "ENDPOINTS forwarder={index} serial=0 mode=broken").unwrap();
        } else if subscribed || self.generator.per_mille(5) {
            let mode = self.generator.pick(&["whole", "stale_copy"]);
            self.send_list(index, mode, frame);
        } else if self.generator.per_mille(15) {
            self.send_list(index, "patch", frame);
        }
        if self.generator.per_mille(10) {
            let destination = 1 + self.generator.below(KINDS.len() as u64);
            if !self.unreachable.remove(&destination) {
                self.unreachable.insert(destination);
            }
        }
    }
}
