//! Chance, from the seed that an instance is handed.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

#[derive(Debug)]
pub struct Chance(Pcg64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed))
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        self.0.random_range(low..high)
    }

    /// A number below `most`, which is above 0.
    pub fn below(&mut self, most: usize) -> usize {
        self.0.random_range(0..most)
    }

    /// Takes one of the items at random.
    pub fn draw<T>(&mut self, from: &mut Vec<T>) -> Option<T> {
        if from.is_empty() { None } else { Some(from.swap_remove(self.0.random_range(0..from.len()))) }
    }
}

impl Default for Chance {
    fn default() -> Self {
        Self::new(0)
    }
}
