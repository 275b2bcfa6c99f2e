//! Sliding-window sum of the work that a backend received while it warms up.

/// Number of slots of a window. Work leaves the window with a precision of one slot.
const SLOTS: usize = 20;

/// Sum over a sliding window that is divided into slots, so that its cost is independent of the number of additions.
#[derive(Clone, Debug)]
pub struct OverloadWindow {
    slot_seconds: f64,
    /// Sum of each slot, in seconds of a standard core.
    sums: [f64; SLOTS],
    /// Number of the newest slot.
    newest: i64,
}

impl OverloadWindow {
    /// Creates an empty window of a length in seconds, which must be positive.
    pub fn new(window_seconds: f64) -> Self {
        Self {
            slot_seconds: window_seconds / SLOTS as f64,
            sums: [0.0; SLOTS],
            newest: i64::MIN / 2,
        }
    }

    /// Adds work at `now`, in seconds, and returns the sum over the window that ends then.
    pub fn add(&mut self, now: f64, work: f64) -> f64 {
        let slot = (now / self.slot_seconds).floor() as i64;
        let elapsed_slots = slot.saturating_sub(self.newest).clamp(0, SLOTS as i64);
        self.newest = self.newest.max(slot);
        for back in 0..elapsed_slots {
            self.sums[slot_index(self.newest - back)] = 0.0;
        }
        self.sums[slot_index(self.newest)] += work;
        self.sums.iter().sum()
    }
}

/// Returns the index of a slot in the ring.
fn slot_index(number: i64) -> usize {
    number.rem_euclid(SLOTS as i64) as usize
}
