//! Chance, from the seed that an instance is handed.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::RefCell;

/// A number between 0 and 1 that belongs to this pair, at every proxy.
pub(crate) fn of_pair(a: u64, b: u64) -> f64 {
    let mut bits = a ^ b.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for by in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        bits = (bits ^ (bits >> 30)).wrapping_mul(by);
    }
    ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

#[derive(Debug)]
pub(crate) struct Chance(RefCell<Pcg64>);

impl Chance {
    pub(crate) fn new(seed: u64) -> Self {
        Self(RefCell::new(Pcg64::seed_from_u64(seed)))
    }

    pub(crate) fn between(&self, low: f64, high: f64) -> f64 {
        self.0.borrow_mut().random_range(low..high)
    }

    /// A number below `most`, which is above 0.
    pub(crate) fn below(&self, most: usize) -> usize {
        self.0.borrow_mut().random_range(0..most)
    }

    /// Takes one of the items at random.
    pub(crate) fn draw<T>(&self, from: &mut Vec<T>) -> Option<T> {
        if from.is_empty() {
            None
        } else {
            Some(from.swap_remove(self.0.borrow_mut().random_range(0..from.len())))
        }
    }
}

impl Default for Chance {
    fn default() -> Self {
        Self::new(0)
    }
}
