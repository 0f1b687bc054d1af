//! Shared by the recorded histories: a seeded generator, a digest, and the comparison with recorded values.
//!
//! Nothing here depends on a type of the package. The hosts of the histories are in `decisions` and
//! `adapter`.

/// Turns (or frames) between two checkpoints of a digest.
pub(crate) const CHECKPOINT_EVERY: usize = 500;

/// A splitmix64 generator: the same seed gives the same numbers on every machine.
pub(crate) struct Generator {
    state: u64,
}

impl Generator {
    pub(crate) fn new(seed: u64) -> Self {
        Generator { state: seed }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`, which must not be 0.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// A number from `low` up to but not including `high`.
    pub(crate) fn between(&mut self, low: i64, high: i64) -> i64 {
        low + self.below((high - low) as u64) as i64
    }

    /// True with a probability of `share` in a thousand.
    pub(crate) fn per_mille(&mut self, share: u64) -> bool {
        self.below(1000) < share
    }

    pub(crate) fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize]
    }
}

/// A 64-bit FNV-1a digest.
pub(crate) struct Digest {
    value: u64,
}

impl Digest {
    pub(crate) fn new() -> Self {
        Digest { value: 0xcbf2_9ce4_8422_2325 }
    }

    pub(crate) fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.value = (self.value ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// The digest of all bytes so far.
    pub(crate) fn value(&self) -> u64 {
        self.value
    }
}

/// The expected result of a history.
pub(crate) struct Expected {
    /// Number of all actions or reply lines.
    pub count: usize,
    /// The digest at each checkpoint; the last is that of the whole history.
    pub checkpoints: &'static [u64],
}

/// The result of a history.
pub(crate) struct Recording {
    pub name: &'static str,
    pub count: usize,
    pub checkpoints: Vec<u64>,
}

impl Recording {
    /// Panics with the first checkpoint that differs, and with the values found in the form of the source.
    pub(crate) fn assert_equals(&self, expected: &Expected) {
        let pairs = self.checkpoints.iter().zip(expected.checkpoints);
        let equal = pairs.take_while(|(found, recorded)| found == recorded).count();
        let complete = equal == self.checkpoints.len() && equal == expected.checkpoints.len();
        assert!(
            complete && self.count == expected.count,
            "history {:?} differs from its recording between turns {} and {}: expected count {} and \
             {:#018x?}, found Expected {{ count: {}, checkpoints: &{:#018x?} }}",
            self.name,
            equal * CHECKPOINT_EVERY,
            (equal + 1) * CHECKPOINT_EVERY,
            expected.count,
            expected.checkpoints,
            self.count,
            self.checkpoints,
        );
    }
}
