//! How hard a cold node is pushed: the work sent to it within its window, in slots, against what makes it fall.

const SLOTS: usize = 20; // of a window: what is older than the window is forgotten to a twentieth of it

/// A sum over the last `window` seconds, kept in slots; adding and reading cost the same whatever was added.
#[derive(Clone, Debug)]
pub struct OverloadWindow {
    slot: f64,
    sums: [f64; SLOTS],
    newest: i64,
    total: f64,
}

impl OverloadWindow {
    /// `window` in s, above 0.
    pub fn new(window: f64) -> Self {
        Self {
            slot: window / SLOTS as f64,
            sums: [0.0; SLOTS],
            newest: i64::MIN / 2,
            total: 0.0,
        }
    }

    /// Adds and returns the sum over the window that ends now.
    pub fn add(&mut self, now: f64, work: f64) -> f64 {
        let number = (now / self.slot).floor() as i64;
        let passed = number.saturating_sub(self.newest).clamp(0, SLOTS as i64);
        self.newest = self.newest.max(number);
        for back in 0..passed {
            self.sums[(self.newest - back).rem_euclid(SLOTS as i64) as usize] = 0.0;
        }
        self.sums[self.newest.rem_euclid(SLOTS as i64) as usize] += work;
        self.total = self.sums.iter().sum();
        self.total
    }
}
