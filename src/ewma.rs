//! Counters and moving averages with exponential decay.
//!
//! The decay is computed on access, so that an unused counter costs nothing. Each call takes the
//! time constant in seconds.
use std::cell::Cell;

/// A counter that decays exponentially.
#[derive(Debug, Default)]
pub(crate) struct DecayingCounter {
    sum: Cell<f64>,
    updated_at: Cell<f64>,
}

impl DecayingCounter {
    /// Returns the factor by which the counter has decayed since its last update.
    fn decay(&self, now: f64, time_constant: f64) -> f64 {
        let elapsed = (now - self.updated_at.get()).max(0.0);
        (-elapsed / time_constant).exp()
    }

    /// Returns the current value.
    pub(crate) fn read(&self, now: f64, time_constant: f64) -> f64 {
        self.sum.get() * self.decay(now, time_constant)
    }

    /// Adds an amount to the current value.
    pub(crate) fn add(&self, amount: f64, now: f64, time_constant: f64) {
        self.sum.set(self.read(now, time_constant) + amount);
        self.updated_at.set(now);
    }
}

/// An exponentially weighted moving average, which keeps its value while no samples arrive.
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

    /// Returns the average of the recent samples and `prior_count` samples of value `prior`, so
    /// that a few samples do not dominate the result.
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

    /// Returns the average, decayed towards 0 by the time since the last sample.
    pub(crate) fn decayed(&self, now: f64, time_constant: f64) -> f64 {
        self.value_or(0.0) * self.count.decay(now, time_constant)
    }
}
