//! Outlier detection: which failures eject a backend, and which do not.
mod common;
use birchhub::interface::*;
use common::{proxy_of, settings, without_health_checks};

#[test]
fn rpcs_are_still_sent_when_all_backends_are_ejected() {
    let rpcs = without_health_checks(4).drive(61, 0.01, |_| 1.0, |_| Some(AttemptOutcome::Failed));
    assert_eq!(
        rpcs[60].attempts.len(),
        1,
        "not sent while all backends are ejected"
    );
}

#[test]
fn one_error_keeps_a_backend_out_of_the_idle_queue_for_a_while() {
    // Backend 2 fails at once and reports no load. The RPCs are too few to try it three times before a short
    // ejection is over.
    let outcome = |b: u32| {
        if b == 2 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        }
    };
    let mut proxy = proxy_of(8, settings(&[Idempotency::NonIdempotent]));
    let rpcs = proxy.drive(10, 0.54, |b| f64::from(b != 2) * 4.0, |b| Some(outcome(b)));
    let to_failing = rpcs
        .iter()
        .filter(|r| r.attempts.first().is_some_and(|sent| sent.backend == 2))
        .count();
    assert!(
        (1..4).contains(&to_failing),
        "{to_failing} of 10 RPCs went to the backend that fails at once and therefore looks idle"
    );
}

/// A reset after the usual response time counts as one of the several failures that eject a backend. If one
/// were enough, resets by chance would eject all backends in turn.
#[test]
fn one_reset_after_the_usual_time_ejects_no_backend() {
    let mut proxy = without_health_checks(2);
    proxy.drive(20, 0.03, |_| 1.0, |_| Some(AttemptOutcome::Succeeded));
    let mut was_reset = false;
    let mut sent_after = 0;
    for _ in 0..36 {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.01);
        let is_on_reset_backend = proxy.platform.rpcs[&rpc].attempts[0].backend == 1;
        let outcome = if is_on_reset_backend && !was_reset {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Succeeded
        };
        proxy.end_attempt(rpc, 0, outcome, Some(1.0));
        sent_after += usize::from(is_on_reset_backend && was_reset);
        was_reset |= is_on_reset_backend;
    }
    assert!(
        sent_after > 0,
        "no RPC went to the backend in the 0.4 s after its reset"
    );
}

/// A backend that loses one response in three rarely loses three in a row, so counting consecutive failures
/// alone would not eject it.
#[test]
fn a_backend_that_loses_some_responses_is_ejected() {
    let attempts = std::cell::Cell::new(0);
    let outcome = |b: u32| {
        attempts.update(|attempts| attempts + u32::from(b == 2));
        if b == 2 && attempts.get().is_multiple_of(3) {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Succeeded
        }
    };
    let rpcs = without_health_checks(6).drive(900, 0.01, |_| 1.0, |b| Some(outcome(b)));
    let to_lossy = rpcs[300..]
        .iter()
        .filter(|r| r.attempts[0].backend == 2)
        .count();
    assert!(
        (1..60).contains(&to_lossy),
        "{to_lossy} of 600 RPCs went to the one backend of six that loses every third response"
    );
}
