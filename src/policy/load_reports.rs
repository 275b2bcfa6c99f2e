//! Load reports: whether a report marks a backend as idle, and whether reports are worth using.
//!
//! In Join-Idle-Queue a backend announces itself when its queue falls to a fixed threshold. Here it is
//! marked by the load in a response or a health check, compared with the mean load of all backends:
//! capacities and load levels differ, and a fixed threshold would fit few of them. Reports that do not
//! predict durations (late, frozen or untrue ones) are replaced by the responses themselves.
use super::health_checks::HealthCheckUse;
use super::idle_signal::IdleSignal;
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::interface::{LoadReport, Settings};
use crate::load_level::LoadLevel;
use crate::report_quality::ReportQuality;

/// Highest load of an idle backend, as a fraction of the mean reported load. While backends have one RPC
/// each, only a load of 0 is below it.
const LOW_LOAD_FRACTION: f64 = 0.75;
/// Fraction of the mean duration that attempts after reports of low load must save; otherwise reports
/// are not worth using.
const MIN_TIME_SAVED_FRACTION: f64 = 0.1;
/// Longest duration after reports of low load, as a fraction of that after others, at which reports in
/// responses still keep loaded backends out of the idle queue.
const MAX_PREDICTIVE_DURATION_RATIO: f64 = 0.75;

/// What brought a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportSource {
    /// The response to an attempt.
    Response,
    /// The response to a health check.
    HealthCheck,
}

/// What is known of load reports.
#[derive(Default)]
pub(crate) struct LoadReports {
    /// How well reports predict the duration of attempts.
    pub quality: ReportQuality,
    /// Reports do not tell the length of a queue, but the duration of a health check does.
    pub checks_measure_queue: bool,
    /// Whether health checks are sent.
    health_checks: HealthCheckUse,
}

impl LoadReports {
    /// Adopts what reports carry, and whether health checks are sent.
    pub(crate) fn apply_settings(&mut self, settings: &Settings, health_checks: HealthCheckUse) {
        self.checks_measure_queue = health_checks.is_enabled() && !settings.reports_include_queue;
        self.health_checks = health_checks;
    }

    /// Returns the load of a backend in RPCs, by its report or by the duration of a health check. The
    /// latter counts where reports tell the utilisation only, which says nothing about the queue.
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

    /// Records the load of a backend. Returns whether it marks the backend as idle. Where health checks
    /// measure the queue, each one that returns does: it has waited as an RPC would, and the first to
    /// return came from the shortest queue.
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

    /// Returns whether attempts are clearly quicker after reports of low load. Reports in responses
    /// may be untrue.
    fn reports_are_predictive(&self, now: f64) -> bool {
        self.quality.low_load_duration_ratio(now) <= MAX_PREDICTIVE_DURATION_RATIO
    }

    /// Returns what puts a backend into the idle queue: reports of low load, or any response where health
    /// checks are not affordable or reports hardly save time, for example because all tell a low load.
    /// Otherwise a proxy with few RPCs would find its idle queue empty and always choose at random.
    pub(crate) fn idle_signal(&self, now: f64) -> IdleSignal {
        let is_affordable = self.health_checks == HealthCheckUse::Affordable;
        if is_affordable && (self.checks_measure_queue || self.reports_save_time(now)) {
            IdleSignal::LowLoad
        } else {
            IdleSignal::Response
        }
    }

    /// Returns whether attempts after reports of low load save enough of the mean duration. Durations
    /// are fractions of those after reports of high load.
    fn reports_save_time(&self, now: f64) -> bool {
        let low_load_fraction = self.quality.low_load_fraction();
        let low_load_duration = self.quality.low_load_duration_ratio(now);
        let mean_duration = low_load_fraction * low_load_duration + 1.0 - low_load_fraction;
        low_load_duration <= mean_duration * (1.0 - MIN_TIME_SAVED_FRACTION)
    }
}
