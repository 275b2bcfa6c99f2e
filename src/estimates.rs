//! What this proxy measures over all backends: reported load, service time, completions.
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::Settings;

/// Time constant of averages, s: tens of responses, yet shorter than most faults.
pub(crate) const AVERAGING_TIME: f64 = 4.0;
/// Largest error of a clock of whole nanoseconds after the arithmetic done here, s.
pub(crate) const CLOCK_TOLERANCE: f64 = 1e-6;
/// Multiple of its time that an attempt without a response is taken to have needed, at the least.
pub(crate) const NO_RESPONSE_FACTOR: f64 = 1.5;
/// Service times over which expected waits are measured and decay while no random pick renews them: waits
/// change as fast as backends fill and drain, and RPCs must not be rejected for ever.
const WAIT_SERVICE_TIMES: f64 = 12.0;

/// Averages over all backends.
#[derive(Default)]
pub(crate) struct Estimates {
    reported_load: Ewma,
    service_time: Ewma,
    completions: DecayingCounter,
    shortest_objective: f64,
}

impl Estimates {
    /// Takes over what settings say; what was measured stays.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let objectives = settings.methods.iter().map(|m| m.latency_objective);
        self.shortest_objective = objectives.reduce(f64::min).unwrap_or(1.0);
    }

    /// An attempt was answered after this time.
    pub(crate) fn record_completion(&self, duration: f64, now: f64) {
        self.service_time.add(duration, now, AVERAGING_TIME);
        self.completions.add(1.0, now, AVERAGING_TIME);
    }

    /// Time from an attempt to its response, s.
    pub(crate) fn service_time(&self) -> f64 {
        self.service_time
            .value_or(self.shortest_objective / 2.0)
            .max(CLOCK_TOLERANCE)
    }

    /// Responses counted over [`AVERAGING_TIME`].
    pub(crate) fn recent_completions(&self, now: f64) -> f64 {
        self.completions.read(now, AVERAGING_TIME)
    }

    /// Responses per second.
    pub(crate) fn completion_rate(&self, now: f64) -> f64 {
        self.recent_completions(now) / AVERAGING_TIME
    }

    /// A backend was reported to hold this many RPCs.
    pub(crate) fn record_load(&self, load: f64, now: f64) {
        self.reported_load.add(load, now, AVERAGING_TIME);
    }

    /// A health check failed after this time: a backend rejects it at once where too many RPCs wait, so the
    /// mean load is the least that is counted.
    pub(crate) fn record_failed_check(&self, duration: f64, now: f64) {
        let load = (duration / self.service_time()).max(self.reported_load()) * NO_RESPONSE_FACTOR;
        self.record_load(load, now);
    }

    /// RPCs that a backend holds by the reports.
    pub(crate) fn reported_load(&self) -> f64 {
        self.reported_load.value_or(0.0)
    }

    /// The same, decaying while no reports come.
    pub(crate) fn recent_load(&self, now: f64) -> f64 {
        self.reported_load.decayed(now, AVERAGING_TIME)
    }

    /// Time constant of expected waits, s.
    pub(crate) fn wait_time_constant(&self) -> f64 {
        WAIT_SERVICE_TIMES * self.service_time()
    }
}
