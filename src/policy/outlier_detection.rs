//! Outlier detection: ejects backends that fail, and skips those that are full or hang.
use crate::interface::AttemptOutcome;
use crate::{backend::Backend, estimates::AVERAGING_TIME, ewma::Ewma, fleet::Fleet};

const FAILURES_TO_EJECT: f64 = 3.0; // timeouts and resets in a row; any other failure counts for all
const FORGIVEN: f64 = 0.2; // of a failure that a success takes back: one in six is borne ...
const FORGIVEN_ODDS: f64 = 3.0; // ... or so many times the odds of all: overload is no backend's fault
const FIRST_EJECTION: f64 = 0.5; // s, doubled with each further failure: outlasts a pause
const EJECTION_RESPONSES: f64 = 12.0; // that an ejection lasts at least: at few a second 0.5 s pass unseen
const MAX_EJECTION: f64 = 8.0; // s; a dead backend costs one attempt in it, a recovered one waits no longer
const JITTER: std::ops::Range<f64> = 0.8..1.2; // of an ejection: proxies must not all come back at once
const IN_FLIGHT_MULTIPLE: f64 = 2.0; // times its own mean in flight that makes a backend be skipped ...
const IN_FLIGHT_MARGIN: f64 = 1.0; // RPCs; ... and more than this beyond, or a mean near 0 would shut it out

/// The failure rate of all; ejections are kept with the backends.
#[derive(Default)]
pub(crate) struct OutlierDetection {
    failure_rate: Ewma, // of attempts and health checks
}

impl OutlierDetection {
    /// Counts a failure, and ejects the backend if it is one too many. A quick failure must not look idle,
    /// and a dead backend must not be picked again and again.
    pub(crate) fn record_failure(
        &self,
        backend: &Backend,
        how: AttemptOutcome,
        fleet: &mut Fleet,
        now: f64,
    ) {
        // Timeouts and resets may come by chance and would eject all in turn; all else meets every attempt.
        let by_chance = matches!(how, AttemptOutcome::TimedOut | AttemptOutcome::Reset);
        let failures = (backend.consecutive_failures.get() + 1.0).max(if by_chance {
            1.0
        } else {
            FAILURES_TO_EJECT
        });
        self.failure_rate.add(1.0, now, AVERAGING_TIME);
        backend.consecutive_failures.set(failures);
        backend.invalidate_queue_entry();
        if failures >= FAILURES_TO_EJECT && now >= backend.ejected_until.get() {
            let least =
                EJECTION_RESPONSES * AVERAGING_TIME / fleet.estimates.recent_completions(now);
            let doubled = FIRST_EJECTION * 2_f64.powf((failures - FAILURES_TO_EJECT).min(10.0));
            let duration = doubled.max(least).min(MAX_EJECTION) * fleet.rng.uniform(JITTER);
            backend.ejected_until.set(now + duration);
            fleet.index.add_expiry(now + duration, backend);
        }
    }

    /// Takes back a part of the failures; not all, as one that loses some responses seldom fails in a row.
    pub(crate) fn record_success(&self, backend: &Backend, now: f64) {
        self.failure_rate.add(0.0, now, AVERAGING_TIME);
        let rate = self.failure_rate.value_or(0.0);
        let forgiven = FORGIVEN.max(FORGIVEN_ODDS * rate / (1.0 - rate));
        let failures = backend.consecutive_failures.get().min(FAILURES_TO_EJECT);
        backend
            .consecutive_failures
            .set((failures - forgiven).max(0.0));
    }
}

/// A backend that rejects is full; the next place there comes free after a service time or less.
pub(crate) fn record_rejection(backend: &Backend, fleet: &mut Fleet, now: f64) {
    let until = now + fleet.estimates.service_time() * fleet.rng.uniform(0.0..1.0);
    backend.full_until.set(until);
    fleet.index.add_expiry(until, backend);
}

/// Neither ejected nor full. After an ejection one attempt at a time is let through, until one succeeds.
pub(crate) fn is_healthy(backend: &Backend, now: f64) -> bool {
    let trial = now >= backend.ejected_until.get() && backend.in_flight.get() == 0;
    (backend.consecutive_failures.get() < FAILURES_TO_EJECT || trial)
        && now >= backend.full_until.get()
}

/// Healthy, and with no more in flight than usual: a backend that hangs collects RPCs.
pub(crate) fn is_available(backend: &Backend, now: f64) -> bool {
    let usual = backend.mean_in_flight.value_or(0.0) * IN_FLIGHT_MULTIPLE + IN_FLIGHT_MARGIN;
    is_healthy(backend, now) && backend.in_flight.get() as f64 <= usual
}
