//! Pseudo-random numbers (xorshift): the same seed always yields the same sequence.

/// The next pseudo-random number from 0 (included) to 1 (excluded). The seed must not be 0.
pub(crate) fn random_unit(seed: &mut u64) -> f64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) as f64 / (1u64 << 53) as f64
}

/// A random factor from 0.5 (included) to 1.5 (excluded), so that many senders do not act at the same time.
pub(crate) fn random_jitter(seed: &mut u64) -> f64 {
    0.5 + random_unit(seed)
}
