//! Retries: the retry budget, and which attempts are retried without it.
mod common;
use birchhub::interface::*;
use common::{FinalAnswer, proxy_of, settings};

#[test]
fn the_retry_budget_grows_where_each_backend_responds_rarely() {
    let mut proxy = proxy_of(
        60,
        Settings {
            can_health_check: false,
            ..settings(&[Idempotency::Idempotent])
        },
    );
    let mut failed = 0;
    let mut retried = 0;
    for round in 0..340 {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.1);
        // Every twentieth attempt fails, then all do: an outage must not cause a retry storm.
        if round % 20 == 19 || round >= 300 {
            failed += usize::from(round < 300);
            proxy.end_attempt(rpc, 0, AttemptOutcome::Failed, None);
            retried += usize::from(proxy.platform.rpcs[&rpc].attempts.len() > 1);
        }
        if round < 300 {
            proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(2.0));
        }
        proxy.end_all_attempts(AttemptOutcome::Failed, None);
    }
    assert!(
        (failed - 3..failed + 5).contains(&retried),
        "{retried} retries for {failed} failures and an outage"
    );
}

/// A lost zone, or backends with full queues, fail more RPCs at once than the retry budget allows, and none
/// of them was executed.
#[test]
fn an_attempt_that_cannot_have_run_is_retried_without_retry_budget() {
    for outcome in [AttemptOutcome::ConnectFailed, AttemptOutcome::Rejected] {
        check_retries_where_half_of_the_backends_end_attempts_with(outcome);
    }
}

fn check_retries_where_half_of_the_backends_end_attempts_with(outcome: AttemptOutcome) {
    let conf = Settings {
        max_attempts: 5,
        can_health_check: false,
        ..settings(&[Idempotency::NonIdempotent])
    };
    let mut proxy = proxy_of(60, conf);
    let mut failed_attempts = 0;
    let mut lost_rpcs = 0;
    for _ in 0..60 {
        let rpc = proxy.accept(0, 0.5);
        while let Some(attempt) = proxy.attempts_in_flight().pop() {
            let fails = attempt.backend < 30;
            failed_attempts += usize::from(fails);
            let outcome = if fails {
                outcome
            } else {
                AttemptOutcome::Succeeded
            };
            proxy.end_in_flight(attempt, outcome, Some(1.0));
        }
        lost_rpcs += usize::from(proxy.platform.rpcs[&rpc].answers != [FinalAnswer::Succeeded]);
        proxy.advance(0.05);
    }
    assert!(
        failed_attempts > 20,
        "only {failed_attempts} attempts went to the failing half"
    );
    assert!(
        lost_rpcs <= 3,
        "{outcome:?}: {lost_rpcs} of 60 RPCs failed though half of the backends respond"
    );
    proxy.check_rules().expect("the rules");
}

/// A request that is too long to be buffered can not be sent to a second backend.
#[test]
fn an_rpc_that_cannot_be_sent_again_is_rejected() {
    let mut proxy = proxy_of(3, settings(&[Idempotency::NonIdempotent]));
    for is_buffer_exceeded in [false, true] {
        let rpc = proxy.accept_streaming();
        proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
        if is_buffer_exceeded {
            proxy.handles[&rpc].forbid_retry();
        }
        proxy.end_attempt(rpc, 0, AttemptOutcome::ConnectFailed, None);
        let record = &proxy.platform.rpcs[&rpc];
        assert_eq!(
            (record.attempts.len(), record.answers.len()),
            if is_buffer_exceeded { (1, 1) } else { (2, 0) }
        );
        proxy.end_all_attempts(AttemptOutcome::Succeeded, None);
    }
}
