//! Rule 2: no RPC has its effect twice.
use crate::builder::{BOOK, LOG, LedgerBuilder, READ};
use birchhub_audit::event::{Admission, AttemptEnd};
use birchhub_audit::{Event, RequestOutcome, Rule};

/// Returns a ledger with an RPC that succeeds after two attempts: `first` is how the backend handled the first one,
/// `second` and `incarnation` are the time and the place of the second one.
fn two_attempts(method: u8, first: Admission, second: f64, incarnation: u32) -> LedgerBuilder {
    let mut builder = LedgerBuilder::new();
    builder
        .request(1.0, 7, method)
        .attempt(1.001, 7, 100, 0, first)
        .attempt_ends(1.01, 100, AttemptEnd::Broken);
    builder
        .attempt(second, 7, 101, incarnation, Admission::Admitted)
        .attempt_ends(second + 0.01, 101, AttemptEnd::Replied);
    builder.request_ends(second + 0.02, 7, RequestOutcome::Ok);
    builder
}

#[test]
fn a_retry_that_may_run_twice_is_found() {
    two_attempts(READ, Admission::Admitted, 1.1, 2).assert_no_violations();
    two_attempts(BOOK, Admission::Rejected, 1.1, 2).assert_no_violations();
    for first in [Admission::Admitted, Admission::Dropped, Admission::Failed] {
        two_attempts(BOOK, first, 1.1, 0).assert_violation(
            Rule::NoDuplicateEffect,
            "rpc 7",
            "may have run: n0 at 1.001, n0 at 1.100",
        );
    }
    two_attempts(LOG, Admission::Admitted, 1.1, 1).assert_no_violations();
    two_attempts(LOG, Admission::Rejected, 1.1, 2).assert_no_violations();
    two_attempts(LOG, Admission::Admitted, 1.1, 2).assert_violation(
        Rule::NoDuplicateEffect,
        "rpc 7",
        "outside the group",
    );
}

#[test]
fn a_retry_after_the_deduplication_window_is_found() {
    let retried_at = |second: f64| {
        let mut builder = LedgerBuilder::new();
        builder.arrival(1.0, 7, LOG);
        builder.at(
            1.0,
            Event::RequestSent {
                request_id: 7,
                rpc: 7,
                proxy: 0,
                client_timeout: 5.0,
            },
        );
        builder
            .attempt(1.001, 7, 100, 0, Admission::Admitted)
            .attempt_ends(1.01, 100, AttemptEnd::Broken);
        builder
            .attempt(second, 7, 101, 1, Admission::Admitted)
            .attempt_ends(second + 0.01, 101, AttemptEnd::Replied);
        builder.request_ends(second + 0.02, 7, RequestOutcome::Ok);
        builder
    };
    retried_at(2.0).assert_no_violations();
    retried_at(2.1).assert_violation(Rule::NoDuplicateEffect, "rpc 7", "repeats are forgotten");
}

#[test]
fn a_second_execution_across_client_retries_is_found() {
    let mut builder = LedgerBuilder::new();
    builder
        .request(1.0, 7, BOOK)
        .attempt(1.001, 7, 100, 0, Admission::Admitted)
        .execution(1.01, 100);
    builder
        .attempt_ends(1.1, 100, AttemptEnd::Broken)
        .request_ends(1.1, 7, RequestOutcome::Unreachable);
    builder
        .retry(1.2, 70, 7)
        .attempt(1.201, 70, 101, 2, Admission::Admitted)
        .execution(1.21, 101)
        .attempt_ends(1.3, 101, AttemptEnd::Replied);
    builder.request_ends(1.31, 70, RequestOutcome::Ok);
    builder.assert_violation(Rule::NoDuplicateEffect, "rpc 7", "ran 2 times");
}

#[test]
fn hedged_and_too_many_attempts_are_found() {
    let mut hedged = LedgerBuilder::new();
    hedged
        .request(1.0, 7, READ)
        .attempt(1.001, 7, 100, 0, Admission::Admitted)
        .attempt(1.1, 7, 101, 1, Admission::Admitted);
    hedged
        .attempt_ends(1.2, 100, AttemptEnd::Cancelled)
        .attempt_ends(1.2, 101, AttemptEnd::Replied)
        .request_ends(1.2, 7, RequestOutcome::Ok);
    hedged.assert_violation(Rule::NoDuplicateEffect, "rpc 7", "second copy");
    let mut too_many = LedgerBuilder::new();
    too_many.request(1.0, 7, BOOK);
    for n in 0..4 {
        too_many.attempt(1.01 + 0.01 * n as f64, 7, 100 + n, 0, Admission::Rejected);
    }
    too_many
        .request_ends(1.1, 7, RequestOutcome::Rejected(None))
        .assert_violation(Rule::NoDuplicateEffect, "rpc 7", "4 picks, 3 are allowed");
}

#[test]
fn a_rejection_of_what_may_have_run_is_found() {
    for (method, admission, harmful) in [
        (READ, Admission::Admitted, false),
        (BOOK, Admission::Rejected, false),
        (BOOK, Admission::Admitted, true),
        (LOG, Admission::Dropped, true),
    ] {
        let mut builder = LedgerBuilder::new();
        builder
            .request(1.0, 7, method)
            .attempt(1.01, 7, 100, 0, admission)
            .attempt_ends(1.2, 100, AttemptEnd::Cancelled);
        builder.request_ends(1.2, 7, RequestOutcome::Rejected(Some(0.1)));
        match harmful {
            true => {
                builder.assert_violation(Rule::NoDuplicateEffect, "rpc 7", "pushed back although")
            }
            false => drop(builder.assert_no_violations()),
        }
    }
}
