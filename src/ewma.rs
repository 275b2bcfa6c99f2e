//! Exponentially weighted counters and averages.
//!
//! They are brought up to date when they are read, so that they cost nothing while idle. Time constants
//! are given with each call, in seconds.
use std::cell::Cell;

/// A counter that decays with a time constant.
#[derive(Debug, Default)]
pub(crate) struct DecayingCounter {
    sum: Cell<f64>,
    updated_at: Cell<f64>,
}

impl DecayingCounter {
    /// Returns the factor by which it has decayed since it was updated.
    fn decay(&self, now: f64, time_constant: f64) -> f64 {
        let elapsed = (now - self.updated_at.get()).max(0.0);
        (-elapsed / time_constant).exp()
    }

    /// Returns its value now.
    pub(crate) fn read(&self, now: f64, time_constant: f64) -> f64 {
        self.sum.get() * self.decay(now, time_constant)
    }

    /// Adds an amount now.
    pub(crate) fn add(&self, amount: f64, now: f64, time_constant: f64) {
        self.sum.set(self.read(now, time_constant) + amount);
        self.updated_at.set(now);
    }
}

/// An average of recent samples, which keeps its value while no samples arrive.
#[derive(Debug, Default)]
pub(crate) struct Ewma {
    total: DecayingCounter,
    count: DecayingCounter,
}

impl Ewma {
    /// Adds a sample.
    pub(crate) fn add(&self, sample: f64, now: f64, time_constant: f64) {
        self.total.add(sample, now, time_constant);
        self.count.add(1.0, now, time_constant);
    }

    /// Returns the average, or `default` before the first sample.
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        let count = self.count.sum.get();
        if count > 0.0 {
            self.total.sum.get() / count
        } else {
            default
        }
    }

    /// Returns the average of the recent samples together with `prior_count` samples of value `prior`,
    /// so that few samples change little.
    pub(crate) fn with_prior(
        &self,
        now: f64,
        time_constant: f64,
        prior_count: f64,
        prior: f64,
    ) -> f64 {
        let total = self.total.read(now, time_constant) + prior_count * prior;
        let count = self.count.read(now, time_constant) + prior_count;
        total / count
    }

    /// Returns the average, which decays towards 0 while no samples arrive.
    pub(crate) fn decayed(&self, now: f64, time_constant: f64) -> f64 {
        self.value_or(0.0) * self.count.decay(now, time_constant)
    }
}
