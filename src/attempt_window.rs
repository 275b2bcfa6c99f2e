//! Sliding window of the attempts sent to one backend.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// Times of the attempts sent within the window.
#[derive(Default)]
pub(crate) struct AttemptWindow {
    sent_at: RefCell<VecDeque<f64>>,
    assumed_full_at: Cell<Option<f64>>,
}

impl AttemptWindow {
    /// Adds an attempt sent now. `window` is the length of the window in seconds.
    pub(crate) fn add(&self, now: f64, window: f64) {
        self.count(now, window);
        self.sent_at.borrow_mut().push_back(now);
    }

    /// Treats the window as full until its length has passed from now: another process of this
    /// proxy may have sent as many attempts as are allowed, which this process cannot count.
    pub(crate) fn assume_full(&self, now: f64) {
        self.assumed_full_at.set(Some(now));
    }

    /// Returns the number of attempts sent in the window that ends now, or infinity while the
    /// window is assumed to be full.
    pub(crate) fn count(&self, now: f64, window: f64) -> f64 {
        let mut sent_at = self.sent_at.borrow_mut();
        while sent_at.front().is_some_and(|at| *at <= now - window) {
            sent_at.pop_front();
        }
        let assumed_full_at = self.assumed_full_at.get();
        if assumed_full_at.is_some_and(|at| now < at + window) {
            f64::INFINITY
        } else {
            sent_at.len() as f64
        }
    }
}
