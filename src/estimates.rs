//! Averages over all backends: reported load, service time and completions.
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::Settings;

/// Time constant of the averages in seconds: long enough for tens of responses, shorter than most faults.
pub(crate) const AVERAGING_TIME_SECONDS: f64 = 4.0;
/// Largest error of a clock of whole nanoseconds after the arithmetic done here, in seconds.
pub(crate) const CLOCK_TOLERANCE_SECONDS: f64 = 1e-6;
/// Multiple of the elapsed time that an attempt without a response is estimated to have needed.
pub(crate) const NO_RESPONSE_FACTOR: f64 = 1.5;
/// Time constant of expected waits, in mean service times. Waits change as fast as backends fill and
/// drain; without new samples they decay, so that RPCs are not rejected for ever.
const WAIT_SERVICE_TIMES: f64 = 12.0;

/// The averages.
#[derive(Default)]
pub(crate) struct Estimates {
    reported_load: Ewma,
    service_time: Ewma,
    completions: DecayingCounter,
    shortest_objective: f64,
}

impl Estimates {
    /// Adopts new settings; observations are kept.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let objectives = settings.methods.iter().map(|m| m.latency_objective);
        self.shortest_objective = objectives.reduce(f64::min).unwrap_or(1.0);
    }

    /// Records an attempt that was answered after this time.
    pub(crate) fn record_completion(&self, duration: f64, now: f64) {
        self.service_time.add(duration, now, AVERAGING_TIME_SECONDS);
        self.completions.add(1.0, now, AVERAGING_TIME_SECONDS);
    }

    /// Returns the mean time from an attempt to its response in seconds; before the first response,
    /// half of the shortest latency objective.
    pub(crate) fn service_time(&self) -> f64 {
        self.service_time
            .value_or(self.shortest_objective / 2.0)
            .max(CLOCK_TOLERANCE_SECONDS)
    }

    /// Returns the number of responses, decaying with [`AVERAGING_TIME_SECONDS`].
    pub(crate) fn recent_completions(&self, now: f64) -> f64 {
        self.completions.read(now, AVERAGING_TIME_SECONDS)
    }

    /// Returns the responses per second.
    pub(crate) fn completion_rate(&self, now: f64) -> f64 {
        self.recent_completions(now) / AVERAGING_TIME_SECONDS
    }

    /// Records the reported load of a backend, in RPCs.
    pub(crate) fn record_load(&self, load: f64, now: f64) {
        self.reported_load.add(load, now, AVERAGING_TIME_SECONDS);
    }

    /// Records a health check that failed after this time. A backend with too long a queue rejects it
    /// at once, so that the mean load is the least that is assumed.
    pub(crate) fn record_failed_check(&self, duration: f64, now: f64) {
        let load_by_duration = duration / self.service_time();
        let load = load_by_duration.max(self.reported_load()) * NO_RESPONSE_FACTOR;
        self.record_load(load, now);
    }

    /// Returns the mean reported load of a backend, in RPCs.
    pub(crate) fn reported_load(&self) -> f64 {
        self.reported_load.value_or(0.0)
    }

    /// Returns the mean reported load, which decays while no reports arrive.
    pub(crate) fn recent_load(&self, now: f64) -> f64 {
        self.reported_load.decayed(now, AVERAGING_TIME_SECONDS)
    }

    /// Returns the time constant of expected waits, in seconds.
    pub(crate) fn wait_time_constant(&self) -> f64 {
        WAIT_SERVICE_TIMES * self.service_time()
    }
}
