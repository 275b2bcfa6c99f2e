//! Exponentially weighted counters and averages. They are brought up to date when they are read, so an idle
//! one costs nothing. Time constants are given with each call, in seconds.
use std::cell::Cell;

/// A counter that decays with a time constant.
#[derive(Debug, Default)]
pub(crate) struct DecayingCounter {
    sum: Cell<f64>,
    updated_at: Cell<f64>,
}

impl DecayingCounter {
    /// Its value by now.
    pub(crate) fn read(&self, now: f64, time_constant: f64) -> f64 {
        self.sum.get() * (-(now - self.updated_at.get()).max(0.0) / time_constant).exp()
    }

    /// Counts this amount at the present time.
    pub(crate) fn add(&self, amount: f64, now: f64, time_constant: f64) {
        self.sum.set(self.read(now, time_constant) + amount);
        self.updated_at.set(now);
    }
}

/// Average of recent samples: two sums that decay alike. It keeps its value while no sample comes in.
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

    /// The average, or `default` before the first sample.
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        let count = self.count.sum.get();
        if count > 0.0 {
            self.total.sum.get() / count
        } else {
            default
        }
    }

    /// The average of the recent samples and of `prior_count` samples of `prior` beside them, so that few
    /// samples change little.
    pub(crate) fn with_prior(
        &self,
        now: f64,
        time_constant: f64,
        prior_count: f64,
        prior: f64,
    ) -> f64 {
        let total = self.total.read(now, time_constant) + prior_count * prior;
        total / (self.count.read(now, time_constant) + prior_count)
    }

    /// The average, decaying towards 0 while no sample comes in.
    pub(crate) fn decayed(&self, now: f64, time_constant: f64) -> f64 {
        self.value_or(0.0) * (-(now - self.count.updated_at.get()).max(0.0) / time_constant).exp()
    }
}
