//! Outlier detection: ejects backends that fail, and skips those that are saturated or hanging.
//!
//! It follows Envoy's outlier detection by consecutive failures, with ejections that last longer
//! after each further failure. Three things differ. A success reduces the failure count instead of
//! resetting it, because a backend that loses some responses rarely fails several times in a row.
//! The reduction is larger while all backends fail, because an overload is not the fault of a
//! single backend. And after an ejection one attempt at a time is permitted until one succeeds, as
//! with a half-open circuit breaker.
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME_SECONDS;
use crate::ewma::Ewma;
use crate::fleet::Fleet;
use crate::interface::AttemptOutcome;
use std::ops::Range;

/// Number of consecutive timeouts and resets after which a backend is ejected. Any other failure
/// ejects it immediately.
const FAILURES_TO_EJECT: f64 = 3.0;
/// Minimum reduction of the failure count per success.
const MIN_REDUCTION_PER_SUCCESS: f64 = 0.2;
/// Reduction of the failure count per success, as a multiple of the odds of a failure over all
/// backends.
const REDUCTION_MULTIPLE_OF_FAILURE_ODDS: f64 = 3.0;
/// Duration of the first ejection in seconds. Each further failure doubles it.
const FIRST_EJECTION_SECONDS: f64 = 0.5;
/// Maximum number of doublings of an ejection, before [`MAX_EJECTION_SECONDS`] applies.
const MAX_EJECTION_DOUBLINGS: f64 = 10.0;
/// Minimum ejection, in mean intervals between responses to this proxy: with few RPCs a shorter
/// ejection would have no effect.
const MIN_EJECTION_RESPONSES: f64 = 12.0;
/// Maximum ejection in seconds, before [`EJECTION_JITTER`] applies. It limits how long a recovered
/// backend stays unused.
const MAX_EJECTION_SECONDS: f64 = 8.0;
/// Range of the random factor applied to an ejection, so that the proxies do not all return to the
/// backend simultaneously.
const EJECTION_JITTER: Range<f64> = 0.8..1.2;
/// Number of attempts in flight above which a backend is skipped, as a multiple of its own mean.
const MAX_IN_FLIGHT_MULTIPLE: f64 = 2.0;
/// Constant added to that limit; otherwise a backend with a mean near 0 would always be skipped.
const MAX_IN_FLIGHT_MARGIN: f64 = 1.0;

/// Failure rate over all backends. The failures and ejections of each backend are stored in
/// [`Backend`].
#[derive(Default)]
pub(crate) struct OutlierDetection {
    /// Fraction of attempts and health checks that fail.
    failure_rate: Ewma,
}

impl OutlierDetection {
    /// Records a failure, and ejects the backend if the limit is reached. Invalidates the backend's
    /// entry in the idle queue, because a backend that fails immediately must not look idle.
    pub(crate) fn record_failure(
        &self,
        backend: &Backend,
        outcome: AttemptOutcome,
        fleet: &mut Fleet,
        now: f64,
    ) {
        let failures = failures_including(backend, outcome);
        self.failure_rate.add(1.0, now, AVERAGING_TIME_SECONDS);
        backend.consecutive_failures.set(failures);
        backend.invalidate_queue_entry();
        if failures >= FAILURES_TO_EJECT && now >= backend.ejected_until.get() {
            let ejected_until = now + ejection_seconds(failures, fleet, now);
            backend.ejected_until.set(ejected_until);
            fleet.index.add_expiry(ejected_until, backend);
        }
    }

    /// Records a success, which reduces the failure count of the backend.
    pub(crate) fn record_success(&self, backend: &Backend, now: f64) {
        self.failure_rate.add(0.0, now, AVERAGING_TIME_SECONDS);
        let rate = self.failure_rate.value_or(0.0);
        let reduction_by_odds = REDUCTION_MULTIPLE_OF_FAILURE_ODDS * rate / (1.0 - rate);
        let reduction = MIN_REDUCTION_PER_SUCCESS.max(reduction_by_odds);
        let failures = backend.consecutive_failures.get().min(FAILURES_TO_EJECT);
        backend
            .consecutive_failures
            .set((failures - reduction).max(0.0));
    }
}

/// Returns the consecutive failures of a backend, including this one. Timeouts and resets may be
/// transient; if one were enough, all backends would be ejected in turn. Other failures are
/// expected to recur.
fn failures_including(backend: &Backend, outcome: AttemptOutcome) -> f64 {
    let may_be_transient = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset);
    let min_failures = if may_be_transient {
        1.0
    } else {
        FAILURES_TO_EJECT
    };
    (backend.consecutive_failures.get() + 1.0).max(min_failures)
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

/// Returns whether a backend is neither ejected nor saturated. After an ejection, and until an
/// attempt succeeds, it is healthy only while no attempt is in flight.
pub(crate) fn is_healthy(backend: &Backend, now: f64) -> bool {
    let has_failed = backend.consecutive_failures.get() >= FAILURES_TO_EJECT;
    let ejection_is_over = now >= backend.ejected_until.get();
    let accepts_trial = ejection_is_over && backend.in_flight.get() == 0;
    let is_saturated = now < backend.saturated_until.get();
    (!has_failed || accepts_trial) && !is_saturated
}

/// Returns whether a backend is healthy and has no unusual number of attempts in flight, as a
/// hanging backend accumulates them.
pub(crate) fn is_available(backend: &Backend, now: f64) -> bool {
    let mean_in_flight = backend.mean_in_flight.value_or(0.0);
    let max_in_flight = mean_in_flight * MAX_IN_FLIGHT_MULTIPLE + MAX_IN_FLIGHT_MARGIN;
    is_healthy(backend, now) && backend.in_flight.get() as f64 <= max_in_flight
}
