//! What is measured over time: sums that decay, brought up to date when they are read.
use std::cell::Cell;

/// A sum that decays with a time constant.
#[derive(Debug, Default)]
pub(crate) struct Decaying {
    sum: Cell<f64>,
    at: Cell<f64>,
}

impl Decaying {
    pub(crate) fn read(&self, now: f64, over: f64) -> f64 {
        self.sum.get() * (-(now - self.at.get()).max(0.0) / over).exp()
    }

    pub(crate) fn add(&self, what: f64, now: f64, over: f64) {
        self.sum.set(self.read(now, over) + what);
        self.at.set(now);
    }
}

/// Mean of what was measured lately, from two sums that decay alike; kept as it was while nothing comes in.
#[derive(Debug, Default)]
pub(crate) struct Mean {
    total: Decaying,
    count: Decaying,
}

impl Mean {
    pub(crate) fn add(&self, value: f64, now: f64, over: f64) {
        self.total.add(value, now, over);
        self.count.add(1.0, now, over);
    }

    pub(crate) fn get(&self, default: f64) -> f64 {
        let count = self.count.sum.get();
        if count > 0.0 { self.total.sum.get() / count } else { default }
    }

    /// The mean of what was measured lately and of `few` of a usual value beside it: little evidence decides little.
    pub(crate) fn weighed(&self, now: f64, over: f64, few: f64, usual: f64) -> f64 {
        (self.total.read(now, over) + few * usual) / (self.count.read(now, over) + few)
    }

    /// The mean, fading with a time constant while nothing more is measured.
    pub(crate) fn fading(&self, now: f64, over: f64) -> f64 {
        self.get(0.0) * (-(now - self.count.at.get()).max(0.0) / over).exp()
    }
}
