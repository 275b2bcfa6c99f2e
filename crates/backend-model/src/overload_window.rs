//! Work that a warming backend received lately, as a sum over a sliding window.

/// Number of slots of a window: work older than the window is forgotten with an accuracy of one slot.
const SLOTS: usize = 20;

/// A sum over a sliding window, kept in slots, so that the cost does not depend on the number of additions.
#[derive(Clone, Debug)]
pub struct OverloadWindow {
    slot_seconds: f64,
    /// Sum of each slot, in seconds of a standard core.
    sums: [f64; SLOTS],
    /// Number of the newest slot.
    newest: i64,
}

impl OverloadWindow {
    /// Returns an empty window of this length, in seconds, which must be positive.
    pub fn new(window_seconds: f64) -> Self {
        Self {
            slot_seconds: window_seconds / SLOTS as f64,
            sums: [0.0; SLOTS],
            newest: i64::MIN / 2,
        }
    }

    /// Adds work at `now`, in seconds, and returns the sum over the window that ends then.
    pub fn add(&mut self, now: f64, work: f64) -> f64 {
        let number = (now / self.slot_seconds).floor() as i64;
        let passed = number.saturating_sub(self.newest).clamp(0, SLOTS as i64);
        self.newest = self.newest.max(number);
        for back in 0..passed {
            self.sums[slot_index(self.newest - back)] = 0.0;
        }
        self.sums[slot_index(self.newest)] += work;
        self.sums.iter().sum()
    }
}

fn slot_index(number: i64) -> usize {
    number.rem_euclid(SLOTS as i64) as usize
}
