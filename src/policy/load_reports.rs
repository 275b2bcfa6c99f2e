//! Whether a load report makes a backend idle, and whether reports are worth using.
use crate::interface::{LoadReport, Settings};
use crate::{backend::Backend, fleet::Fleet, report_quality::ReportQuality};

const LIGHT_LOAD: f64 = 0.75; // at most, of the mean reported load: 0 while backends hold one RPC each
const MIN_TIME_SAVED: f64 = 0.1; // part of its time that a light report must save an attempt
const MAX_TELLING_RATIO: f64 = 0.75; // of others' time that attempts after a light report may take

/// What is known of reports.
#[derive(Default)]
pub(crate) struct LoadReports {
    pub quality: ReportQuality,
    pub checks_measure_queue: bool, // the time of a health check tells what queues there; reports don't
    only_responses: bool,           // health checks are impossible or cost more than they are worth
}

impl LoadReports {
    /// Takes over what reports carry and what checks cost.
    pub(crate) fn apply_settings(
        &mut self,
        settings: &Settings,
        can_check: bool,
        affordable: bool,
    ) {
        self.checks_measure_queue = can_check && !settings.reports_include_queue;
        self.only_responses = !(can_check && affordable);
    }

    /// RPCs at a backend. A utilisation says nothing of a queue: there the time of the health check counts.
    pub(crate) fn load(
        &self,
        report: Option<LoadReport>,
        check: Option<f64>,
        fleet: &Fleet,
    ) -> Option<f64> {
        let queued = check.map(|duration| duration / fleet.estimates.service_time());
        if self.checks_measure_queue {
            queued
        } else {
            report.and_then(|report| report.load())
        }
    }

    /// Takes in a load. Returns whether the backend is idle by it.
    pub(crate) fn record(
        &self,
        backend: &Backend,
        load: f64,
        check: bool,
        fleet: &Fleet,
        now: f64,
    ) -> bool {
        let light =
            load <= fleet.estimates.reported_load() * LIGHT_LOAD * backend.relative_size.get();
        let load = load.max(backend.executing() as f64) / backend.relative_size.get();
        fleet.estimates.record_load(load, now);
        if self.checks_measure_queue {
            return true;
        }
        self.quality.record_report(backend, light, now);
        // Reports with responses keep out what is loaded only if light ones are quicker: they may be untrue.
        let tells = self.quality.light_duration_ratio(now) <= MAX_TELLING_RATIO;
        let believed = load <= fleet.estimates.reported_load() * LIGHT_LOAD && (check || tells);
        believed || !check && !tells && self.responses_fill_queue(now)
    }

    /// Responses fill the idle queue: reports cost too much, or hardly save time, as where all are light.
    /// Proxies that each see too little to pay for health checks would otherwise only pick at random.
    pub(crate) fn responses_fill_queue(&self, now: f64) -> bool {
        let (light, ratio) = (
            self.quality.light_part(),
            self.quality.light_duration_ratio(now),
        );
        let saves = ratio <= (light * ratio + 1.0 - light) * (1.0 - MIN_TIME_SAVED);
        self.only_responses || !self.checks_measure_queue && !saves
    }
}
