//! Pseudo-random choices for the plan of a run.

use std::ops::Range;
use std::time::Duration;

/// A generator (xorshift) whose choices depend on the seed alone.
pub(crate) struct Choices(u64);

impl Choices {
    pub(crate) fn new(seed: u64) -> Self {
        // Neighbouring seeds must not give similar runs, and the state must not be zero.
        let mut choices = Choices(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            choices.next();
        }
        choices
    }

    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }

    pub(crate) fn number(&mut self, range: Range<u64>) -> u64 {
        range.start + self.next() % (range.end - range.start)
    }

    pub(crate) fn milliseconds(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.number(range))
    }

    pub(crate) fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.number(0..values.len() as u64) as usize]
    }

    /// Returns true with a probability of `percent`.
    pub(crate) fn happens(&mut self, percent: u64) -> bool {
        self.number(0..100) < percent
    }
}
