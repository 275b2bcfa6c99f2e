//! Estimator of how well load reports predict the duration of attempts.
use crate::backend::{Backend, LastReport};
use crate::ewma::Ewma;
use crate::load_level::LoadLevel;

/// Time constant in seconds, long enough to cover several samples at a few attempts per second.
const TIME_CONSTANT_SECONDS: f64 = 12.0;
/// Weight of the prior estimate, as a number of attempts.
const PRIOR_ATTEMPTS: f64 = 5.0;
/// Prior estimate of the duration of attempts after a report of high load, as a multiple of that
/// after a report of low load.
const PRIOR_SLOWDOWN: f64 = 2.0;
/// Time for which a load report counts as recent, in seconds.
const REPORT_LIFETIME_SECONDS: f64 = 4.0;

/// Fraction of the reports with a low load, and the durations of attempts after reports of each
/// level.
pub(crate) struct ReportQuality {
    /// Fraction of the reports with a low load.
    low_load: Ewma,
    /// Durations after reports of low load, as multiples of the latency objective.
    durations_at_low_load: Ewma,
    /// Durations after reports of high load, as multiples of the latency objective.
    durations_at_high_load: Ewma,
}

impl Default for ReportQuality {
    fn default() -> Self {
        let low_load = Ewma::default();
        for _ in 0..PRIOR_ATTEMPTS as usize {
            low_load.add(0.5, 0.0, TIME_CONSTANT_SECONDS);
        }
        Self {
            low_load,
            durations_at_low_load: Ewma::default(),
            durations_at_high_load: Ewma::default(),
        }
    }
}

impl ReportQuality {
    /// Records a load report of a backend.
    pub(crate) fn record_report(&self, backend: &Backend, level: LoadLevel, now: f64) {
        backend.last_report.set(Some(LastReport {
            level,
            received_at: now,
        }));
        let is_low = f64::from(level == LoadLevel::Low);
        self.low_load.add(is_low, now, TIME_CONSTANT_SECONDS);
    }

    /// Records the duration of an attempt that followed a report of this level, as a multiple of
    /// the latency objective.
    pub(crate) fn record_attempt(&self, level: LoadLevel, duration: f64, now: f64) {
        let durations = match level {
            LoadLevel::Low => &self.durations_at_low_load,
            LoadLevel::High => &self.durations_at_high_load,
        };
        durations.add(duration, now, TIME_CONSTANT_SECONDS);
    }

    /// Returns the fraction of the reports with a low load.
    pub(crate) fn low_load_fraction(&self) -> f64 {
        self.low_load.value_or(0.5)
    }

    /// Returns the mean duration of attempts after a report of low load, as a fraction of that
    /// after a report of high load.
    pub(crate) fn low_load_duration_ratio(&self, now: f64) -> f64 {
        let low = &self.durations_at_low_load;
        let high = &self.durations_at_high_load;
        let prior_at_low = low.value_or(high.value_or(PRIOR_SLOWDOWN) / PRIOR_SLOWDOWN);
        let prior_at_high = high.value_or(low.value_or(1.0) * PRIOR_SLOWDOWN);
        let mean = |durations: &Ewma, prior| {
            durations.with_prior(now, TIME_CONSTANT_SECONDS, PRIOR_ATTEMPTS, prior)
        };
        let mean_at_low = mean(low, prior_at_high / PRIOR_SLOWDOWN);
        let mean_at_high = mean(high, prior_at_low * PRIOR_SLOWDOWN);
        mean_at_low / mean_at_high.max(f64::MIN_POSITIVE)
    }
}

/// Returns the load level last reported by a backend, if the report is recent.
pub(crate) fn recent_load_level(backend: &Backend, now: f64) -> Option<LoadLevel> {
    let report = backend.last_report.get()?;
    let is_recent = now < report.received_at + REPORT_LIFETIME_SECONDS;
    is_recent.then_some(report.level)
}
