//! Averages over all backends: reported load, service time and completed attempts.
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::Settings;

/// Time constant of the averages in seconds: long enough to cover tens of responses, and shorter
/// than most faults.
pub(crate) const AVERAGING_TIME_SECONDS: f64 = 4.0;
/// Tolerance for comparing times, in seconds: covers a clock resolution of one nanosecond and the
/// rounding errors of floating-point times.
pub(crate) const CLOCK_TOLERANCE_SECONDS: f64 = 1e-6;
/// Factor by which the time needed by an attempt without a response is estimated to exceed the time
/// that elapsed.
pub(crate) const NO_RESPONSE_FACTOR: f64 = 1.5;
/// Time constant of expected waits, in mean service times. Waits change as fast as the queues of
/// the backends grow and shrink. Without new samples the expected wait decays, so that RPCs are not
/// rejected forever.
const WAIT_TIME_CONSTANT_SERVICE_TIMES: f64 = 12.0;

/// Averages over all backends.
#[derive(Default)]
pub(crate) struct Estimates {
    reported_load: Ewma,
    service_time: Ewma,
    completions: DecayingCounter,
    shortest_objective: f64,
}

impl Estimates {
    /// Applies new settings. Observations are kept.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let objectives = settings.methods.iter().map(|m| m.latency_objective);
        self.shortest_objective = objectives.reduce(f64::min).unwrap_or(1.0);
    }

    /// Records an attempt that succeeded, with its duration in seconds.
    pub(crate) fn record_completion(&self, duration: f64, now: f64) {
        self.service_time.add(duration, now, AVERAGING_TIME_SECONDS);
        self.completions.add(1.0, now, AVERAGING_TIME_SECONDS);
    }

    /// Returns the mean time from the start of an attempt to its response, in seconds. Before the
    /// first response it is half of the shortest latency objective.
    pub(crate) fn service_time(&self) -> f64 {
        self.service_time
            .value_or(self.shortest_objective / 2.0)
            .max(CLOCK_TOLERANCE_SECONDS)
    }

    /// Returns the number of recent responses, which decays with time constant
    /// [`AVERAGING_TIME_SECONDS`].
    pub(crate) fn recent_completions(&self, now: f64) -> f64 {
        self.completions.read(now, AVERAGING_TIME_SECONDS)
    }

    /// Returns the number of responses per second.
    pub(crate) fn completion_rate(&self, now: f64) -> f64 {
        self.recent_completions(now) / AVERAGING_TIME_SECONDS
    }

    /// Records the reported load of a backend, in RPCs.
    pub(crate) fn record_load(&self, load: f64, now: f64) {
        self.reported_load.add(load, now, AVERAGING_TIME_SECONDS);
    }

    /// Records a health check that failed after `duration` seconds. A backend whose queue is too
    /// long rejects it immediately, so the load is assumed to be at least the mean load.
    pub(crate) fn record_failed_check(&self, duration: f64, now: f64) {
        let load_by_duration = duration / self.service_time();
        let load = load_by_duration.max(self.reported_load()) * NO_RESPONSE_FACTOR;
        self.record_load(load, now);
    }

    /// Returns the mean reported load of a backend, in RPCs.
    pub(crate) fn reported_load(&self) -> f64 {
        self.reported_load.value_or(0.0)
    }

    /// Returns the mean reported load, decayed by the time since the last report.
    pub(crate) fn recent_load(&self, now: f64) -> f64 {
        self.reported_load.decayed(now, AVERAGING_TIME_SECONDS)
    }

    /// Returns the time constant of expected waits, in seconds.
    pub(crate) fn wait_time_constant(&self) -> f64 {
        WAIT_TIME_CONSTANT_SERVICE_TIMES * self.service_time()
    }
}
