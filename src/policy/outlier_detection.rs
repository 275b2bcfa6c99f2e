//! Outlier detection: ejects backends that fail, and skips those that are saturated or hang.
//!
//! After Envoy's outlier detection by consecutive failures, with ejections that grow with each further
//! failure. What differs: a success takes back part of a failure instead of all, as a backend that
//! loses some responses seldom fails several times in a row; more is taken back while all backends
//! fail, as an overload is no backend's fault; and after an ejection one attempt at a time is let
//! through until one succeeds, as by a half-open circuit breaker.
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME_SECONDS;
use crate::ewma::Ewma;
use crate::fleet::Fleet;
use crate::interface::AttemptOutcome;
use std::ops::Range;

/// Consecutive timeouts and resets that eject a backend. Any other failure ejects it at once.
const FAILURES_TO_EJECT: f64 = 3.0;
/// Failures that one success takes back at the least.
const FAILURES_FORGIVEN_PER_SUCCESS: f64 = 0.2;
/// Failures that one success takes back, as a multiple of the odds of a failure at any backend.
const FORGIVEN_MULTIPLE_OF_FAILURE_ODDS: f64 = 3.0;
/// Duration of the first ejection in seconds; each further failure doubles it.
const FIRST_EJECTION_SECONDS: f64 = 0.5;
/// Most doublings of an ejection, before [`MAX_EJECTION_SECONDS`] applies.
const MAX_EJECTION_DOUBLINGS: f64 = 10.0;
/// Shortest ejection, in mean times between two responses to this proxy: with few RPCs a shorter one
/// would have no effect.
const MIN_EJECTION_RESPONSES: f64 = 12.0;
/// Longest ejection in seconds, before [`EJECTION_JITTER`] applies: a recovered backend must not wait
/// longer.
const MAX_EJECTION_SECONDS: f64 = 8.0;
/// Random factor of an ejection, so that not all proxies return to the backend at once.
const EJECTION_JITTER: Range<f64> = 0.8..1.2;
/// RPCs in flight above which a backend is skipped, as a multiple of its own mean.
const MAX_IN_FLIGHT_MULTIPLE: f64 = 2.0;
/// RPCs added to that limit; otherwise a mean near 0 would shut a backend out.
const MAX_IN_FLIGHT_MARGIN: f64 = 1.0;

/// The failure rate over all backends. Failures and ejections of each are kept in [`Backend`].
#[derive(Default)]
pub(crate) struct OutlierDetection {
    /// Fraction of the attempts and health checks that fail.
    failure_rate: Ewma,
}

impl OutlierDetection {
    /// Records a failure, and ejects the backend if it is one too many. Removes the backend from the
    /// idle queue: one that fails at once must not look idle.
    pub(crate) fn record_failure(
        &self,
        backend: &Backend,
        outcome: AttemptOutcome,
        fleet: &mut Fleet,
        now: f64,
    ) {
        let failures = failures_after(backend, outcome);
        self.failure_rate.add(1.0, now, AVERAGING_TIME_SECONDS);
        backend.consecutive_failures.set(failures);
        backend.invalidate_queue_entry();
        if failures >= FAILURES_TO_EJECT && now >= backend.ejected_until.get() {
            let ejected_until = now + ejection_seconds(failures, fleet, now);
            backend.ejected_until.set(ejected_until);
            fleet.index.add_expiry(ejected_until, backend);
        }
    }

    /// Takes back part of the failures of a backend.
    pub(crate) fn record_success(&self, backend: &Backend, now: f64) {
        self.failure_rate.add(0.0, now, AVERAGING_TIME_SECONDS);
        let rate = self.failure_rate.value_or(0.0);
        let forgiven_by_odds = FORGIVEN_MULTIPLE_OF_FAILURE_ODDS * rate / (1.0 - rate);
        let forgiven = FAILURES_FORGIVEN_PER_SUCCESS.max(forgiven_by_odds);
        let failures = backend.consecutive_failures.get().min(FAILURES_TO_EJECT);
        backend
            .consecutive_failures
            .set((failures - forgiven).max(0.0));
    }
}

/// Returns the consecutive failures of a backend including this one. Timeouts and resets may happen by
/// chance and would eject all backends in turn; all other failures are expected to repeat.
fn failures_after(backend: &Backend, outcome: AttemptOutcome) -> f64 {
    let may_be_chance = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset);
    let least = if may_be_chance {
        1.0
    } else {
        FAILURES_TO_EJECT
    };
    (backend.consecutive_failures.get() + 1.0).max(least)
}

/// Returns the duration of an ejection after this many consecutive failures, in seconds.
fn ejection_seconds(failures: f64, fleet: &Fleet, now: f64) -> f64 {
    let doublings = (failures - FAILURES_TO_EJECT).min(MAX_EJECTION_DOUBLINGS);
    let doubled = FIRST_EJECTION_SECONDS * 2_f64.powf(doublings);
    let shortest =
        MIN_EJECTION_RESPONSES * AVERAGING_TIME_SECONDS / fleet.estimates.recent_completions(now);
    let duration = doubled.max(shortest).min(MAX_EJECTION_SECONDS);
    duration * fleet.rng.uniform(EJECTION_JITTER)
}

/// Marks a backend that rejected an attempt as saturated for up to one mean service time.
pub(crate) fn record_rejection(backend: &Backend, fleet: &mut Fleet, now: f64) {
    let until = now + fleet.estimates.service_time() * fleet.rng.uniform(0.0..1.0);
    backend.saturated_until.set(until);
    fleet.index.add_expiry(until, backend);
}

/// Returns whether a backend is neither ejected nor saturated. After an ejection it is healthy while
/// it has no attempt in flight, until one succeeds.
pub(crate) fn is_healthy(backend: &Backend, now: f64) -> bool {
    let has_failed = backend.consecutive_failures.get() >= FAILURES_TO_EJECT;
    let ejection_is_over = now >= backend.ejected_until.get();
    let takes_trial = ejection_is_over && backend.in_flight.get() == 0;
    let is_saturated = now < backend.saturated_until.get();
    (!has_failed || takes_trial) && !is_saturated
}

/// Returns whether a backend is healthy and has no more in flight than usual. A backend that hangs
/// collects RPCs.
pub(crate) fn is_available(backend: &Backend, now: f64) -> bool {
    let mean_in_flight = backend.mean_in_flight.value_or(0.0);
    let max_in_flight = mean_in_flight * MAX_IN_FLIGHT_MULTIPLE + MAX_IN_FLIGHT_MARGIN;
    is_healthy(backend, now) && backend.in_flight.get() as f64 <= max_in_flight
}
