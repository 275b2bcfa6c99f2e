//! Load reports: whether a report shows that a backend is idle, and whether reports are worth
//! using.
//!
//! In Join-Idle-Queue a backend announces itself when its queue falls to a fixed threshold. Here
//! the load reported in a response or a health check is compared with the mean load of all
//! backends, because capacities and load levels differ, and a fixed threshold would suit few of
//! them. If reports do not predict the duration of attempts (because they are late, constant or
//! false), responses are used as the signal instead.
use super::health_checks::HealthCheckUse;
use super::idle_signal::IdleSignal;
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::interface::{LoadReport, Settings};
use crate::load_level::LoadLevel;
use crate::report_quality::ReportQuality;

/// Maximum load of an idle backend, as a fraction of the mean reported load. While each backend has
/// one RPC, only a load of 0 is below it.
const LOW_LOAD_FRACTION: f64 = 0.75;
/// Minimum fraction by which attempts after reports of low load must be shorter than the mean;
/// otherwise reports are not worth using.
const MIN_TIME_SAVED_FRACTION: f64 = 0.1;
/// Maximum mean duration of attempts after reports of low load, as a fraction of that after reports
/// of high load, at which reports in responses are used to keep loaded backends out of the idle
/// queue.
const MAX_PREDICTIVE_DURATION_RATIO: f64 = 0.75;

/// Message that carried a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportSource {
    /// The response to an attempt.
    Response,
    /// The response to a health check.
    HealthCheck,
}

/// Evaluation of load reports.
#[derive(Default)]
pub(crate) struct LoadReports {
    /// How well reports predict the duration of attempts.
    pub quality: ReportQuality,
    /// Whether the duration of a health check is used as a measure of the queue, because reports do
    /// not include it.
    pub checks_measure_queue: bool,
    /// Whether health checks are sent.
    health_checks: HealthCheckUse,
}

impl LoadReports {
    /// Applies new settings and whether health checks are sent.
    pub(crate) fn apply_settings(&mut self, settings: &Settings, health_checks: HealthCheckUse) {
        self.checks_measure_queue = health_checks.is_enabled() && !settings.reports_include_queue;
        self.health_checks = health_checks;
    }

    /// Returns the load of a backend in RPCs, from its report or from the duration of a health
    /// check. The duration is used if reports contain only the utilisation, which does not include
    /// the queue.
    pub(crate) fn load(
        &self,
        report: Option<LoadReport>,
        check_duration: Option<f64>,
        fleet: &Fleet,
    ) -> Option<f64> {
        if self.checks_measure_queue {
            check_duration.map(|duration| duration / fleet.estimates.service_time())
        } else {
            report.and_then(LoadReport::load)
        }
    }

    /// Records the load of a backend. Returns whether the backend counts as idle. If health checks
    /// measure the queue, every backend that responds counts as idle: the check waited as an RPC
    /// would, so that the first response comes from the shortest queue.
    pub(crate) fn record(
        &self,
        backend: &Backend,
        load: f64,
        source: ReportSource,
        fleet: &Fleet,
        now: f64,
    ) -> bool {
        let size = backend.relative_size.get();
        let threshold = fleet.estimates.reported_load() * LOW_LOAD_FRACTION * size;
        let level = if load <= threshold {
            LoadLevel::Low
        } else {
            LoadLevel::High
        };
        let load_by_size = load.max(backend.executing() as f64) / size;
        fleet.estimates.record_load(load_by_size, now);
        if self.checks_measure_queue {
            return true;
        }
        self.quality.record_report(backend, level, now);
        let is_low = load_by_size <= fleet.estimates.reported_load() * LOW_LOAD_FRACTION;
        match source {
            ReportSource::HealthCheck => is_low,
            ReportSource::Response if self.reports_are_predictive(now) => is_low,
            ReportSource::Response => self.idle_signal(now) == IdleSignal::Response,
        }
    }

    /// Returns whether attempts are clearly faster after reports of low load. Reports in responses
    /// may be false.
    fn reports_are_predictive(&self, now: f64) -> bool {
        self.quality.low_load_duration_ratio(now) <= MAX_PREDICTIVE_DURATION_RATIO
    }

    /// Returns what adds a backend to the idle queue: reports of low load, or any response if
    /// health checks are not affordable or reports save hardly any time, for example because all of
    /// them report a low load. With reports alone, the idle queue of a proxy with few RPCs would
    /// always be empty then, and every choice would be random.
    pub(crate) fn idle_signal(&self, now: f64) -> IdleSignal {
        let is_affordable = self.health_checks == HealthCheckUse::Affordable;
        if is_affordable && (self.checks_measure_queue || self.reports_save_time(now)) {
            IdleSignal::LowLoad
        } else {
            IdleSignal::Response
        }
    }

    /// Returns whether attempts after reports of low load are sufficiently shorter than the mean.
    /// Durations are fractions of the mean duration after reports of high load.
    fn reports_save_time(&self, now: f64) -> bool {
        let low_load_fraction = self.quality.low_load_fraction();
        let low_load_duration = self.quality.low_load_duration_ratio(now);
        let mean_duration = low_load_fraction * low_load_duration + 1.0 - low_load_fraction;
        low_load_duration <= mean_duration * (1.0 - MIN_TIME_SAVED_FRACTION)
    }
}
