//! Random numbers that are reproducible from the seed of a balancer, and a hash that is the same at
//! every proxy.
use rand::{Rng as _, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::RefCell;
use std::ops::Range;

/// Hashes two numbers to a number in [0, 1) with the finalizer of SplitMix64. The result is the
/// same at every proxy.
pub(crate) fn hash_pair(a: u64, b: u64) -> f64 {
    let mut bits = a ^ b.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for factor in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        bits = (bits ^ (bits >> 30)).wrapping_mul(factor);
    }
    ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Random number generator of one balancer.
#[derive(Debug)]
pub(crate) struct Rng(RefCell<Pcg64>);

impl Rng {
    /// Creates a generator with this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self(RefCell::new(Pcg64::seed_from_u64(seed)))
    }

    /// Draws a number from a range, which must not be empty.
    pub(crate) fn uniform(&self, range: Range<f64>) -> f64 {
        self.0.borrow_mut().random_range(range)
    }

    /// Draws an index below `length`, which must not be 0.
    pub(crate) fn index(&self, length: usize) -> usize {
        self.0.borrow_mut().random_range(0..length)
    }

    /// Removes and returns a random item. Does not draw a number if there are no items.
    pub(crate) fn take_one<T>(&self, items: &mut Vec<T>) -> Option<T> {
        if items.is_empty() {
            None
        } else {
            Some(items.swap_remove(self.index(items.len())))
        }
    }
}

impl Default for Rng {
    fn default() -> Self {
        Self::new(0)
    }
}
