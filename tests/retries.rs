//! Retries: the retry budget, and which attempts are retried without it.
mod common;
use birchhub::interface::*;
use common::{FinalAnswer, proxy_of, settings};

/// With 60 backends each of them responds rarely, but the responses of all together must fill the retry budget.
#[test]
fn the_retry_budget_grows_where_each_backend_responds_rarely() {
    let mut proxy = proxy_of(
        60,
        Settings {
            can_health_check: false,
            ..settings(&[Idempotency::Idempotent])
        },
    );
    let mut failures = 0;
    let mut retries = 0;
    for round in 0..340 {
        let rpc = proxy.accept(0, 0.5);
        proxy.advance(0.1);
        // Every twentieth attempt fails; from round 300 on all do, and that outage must not cause a retry storm.
        if round % 20 == 19 || round >= 300 {
            failures += usize::from(round < 300);
            proxy.end_attempt(rpc, 0, AttemptOutcome::Failed, None);
            retries += usize::from(proxy.platform.rpcs[&rpc].attempts.len() > 1);
        }
        if round < 300 {
            proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(2.0));
        }
        proxy.end_all_attempts(AttemptOutcome::Failed, None);
    }
    assert!(
        (failures - 3..failures + 5).contains(&retries),
        "{retries} retries for {failures} single failures and an outage"
    );
}

/// When a zone is lost or queues are full, more attempts fail at once than the retry budget allows to retry.
/// None of these was executed, so their retries add no load and need no budget.
#[test]
fn an_attempt_that_cannot_have_run_is_retried_without_retry_budget() {
    for outcome in [AttemptOutcome::ConnectFailed, AttemptOutcome::Rejected] {
        check_retries_where_half_of_the_backends_fail_with(outcome);
    }
}

/// Checks that nearly all RPCs succeed where every attempt at half of the backends has this outcome.
fn check_retries_where_half_of_the_backends_fail_with(outcome: AttemptOutcome) {
    let conf = Settings {
        max_attempts: 5,
        can_health_check: false,
        ..settings(&[Idempotency::NonIdempotent])
    };
    let mut proxy = proxy_of(60, conf);
    let mut failed_attempts = 0;
    let mut failed_rpcs = 0;
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
        failed_rpcs += usize::from(proxy.platform.rpcs[&rpc].answers != [FinalAnswer::Succeeded]);
        proxy.advance(0.05);
    }
    assert!(
        failed_attempts > 20,
        "only {failed_attempts} attempts went to the failing half"
    );
    assert!(
        failed_rpcs <= 3,
        "{outcome:?}: {failed_rpcs} of 60 RPCs failed although half of the backends respond"
    );
    proxy.check_rules().expect("no rule is violated");
}

/// A request that exceeds the retry buffer can not be sent to a second backend.
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
