//! Estimator of how far load reports predict latency.
use crate::backend::{Backend, LastReport};
use crate::ewma::Ewma;

/// Time constant, s: also with a few attempts a second there is something to measure.
const TIME_CONSTANT: f64 = 12.0;
/// Attempts that are taken to have been twice as quick after a light report, before any are measured.
const PRIOR_COUNT: f64 = 5.0;
/// Time for which a report tells of the load that an attempt meets, s.
const REPORT_LIFETIME: f64 = 4.0;

/// How many reports are light, and how long attempts took where the last report was heavy, or light.
pub(crate) struct ReportQuality {
    light: Ewma,
    durations: [Ewma; 2], // after heavy and light reports, as multiples of the latency objective
}

impl Default for ReportQuality {
    fn default() -> Self {
        let (light, durations) = <(Ewma, _)>::default();
        (0..PRIOR_COUNT as usize).for_each(|_| light.add(0.5, 0.0, TIME_CONSTANT));
        Self { light, durations }
    }
}

impl ReportQuality {
    /// A report has come.
    pub(crate) fn record_report(&self, backend: &Backend, light: bool, now: f64) {
        backend.last_report.set(Some(LastReport {
            light,
            received_at: now,
        }));
        self.light.add(f64::from(light), now, TIME_CONSTANT);
    }

    /// An attempt that followed such a report took this multiple of the latency objective.
    pub(crate) fn record_attempt(&self, light: bool, objectives: f64, now: f64) {
        self.durations[usize::from(light)].add(objectives, now, TIME_CONSTANT);
    }

    /// Fraction of the reports that are light.
    pub(crate) fn light_part(&self) -> f64 {
        self.light.value_or(0.5)
    }

    /// Duration of attempts after a light report, as a fraction of that after others.
    pub(crate) fn light_duration_ratio(&self, now: f64) -> f64 {
        let [heavy, light] = &self.durations;
        let quick = light.value_or(heavy.value_or(2.0) / 2.0);
        let slow = heavy.value_or(light.value_or(1.0) * 2.0);
        let mean =
            |durations: &Ewma, prior| durations.with_prior(now, TIME_CONSTANT, PRIOR_COUNT, prior);
        mean(light, slow / 2.0) / mean(heavy, quick * 2.0).max(f64::MIN_POSITIVE)
    }
}

/// Whether the last report of a backend was light, if it is recent.
pub(crate) fn recent_report(backend: &Backend, now: f64) -> Option<bool> {
    let report = backend.last_report.get();
    report
        .filter(|report| now < report.received_at + REPORT_LIFETIME)
        .map(|report| report.light)
}
