//! Tests of the checker and its report, the slow-start limit and the names of the rules.
use birchhub_invariants::{
    AttemptSend, AttemptStart, InvariantChecker, RepeatRule, Rule, Violation, slow_start_limit,
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

/// An attempt that may be sent.
const SEND: AttemptSend = AttemptSend {
    is_client_disconnected: false,
    time_left: Some(SECOND),
    past_deadline: Duration::ZERO,
    forwarded_timeout: SECOND,
    is_backend_ready: true,
    repeat_time_left: None,
};

fn start(
    is_finished: bool,
    repeat_rule: RepeatRule,
    since_first_execution: Option<Duration>,
) -> AttemptStart {
    AttemptStart {
        is_finished,
        repeat_rule,
        since_first_execution,
    }
}

fn all_violations(checker: &InvariantChecker) -> u64 {
    checker.report().violations()
}

#[test]
fn first_attempts_and_safe_repeats_may_start() {
    let checker = InvariantChecker::default();
    let window = RepeatRule::Within(SECOND);
    for attempt in [
        start(false, RepeatRule::Never, None),
        start(false, window, None),
        start(false, window, Some(SECOND - MS)),
        start(false, RepeatRule::Always, Some(100 * SECOND)),
    ] {
        assert_eq!(checker.check_start(&attempt), Ok(()), "{attempt:?}");
    }
    assert_eq!(all_violations(&checker), 0);
}

#[test]
fn attempts_that_must_not_start_are_refused_and_counted() {
    let checker = InvariantChecker::default();
    let expired = Violation::DeduplicationWindowExpired {
        since_first: SECOND,
        window: SECOND,
    };
    for (attempt, violation) in [
        (
            start(true, RepeatRule::Always, None),
            Violation::AttemptAfterEnd,
        ),
        (
            start(false, RepeatRule::Never, Some(MS)),
            Violation::UnsafeRepeat,
        ),
        (
            start(false, RepeatRule::Within(SECOND), Some(SECOND)),
            expired,
        ),
    ] {
        assert_eq!(checker.check_start(&attempt), Err(violation), "{attempt:?}");
    }
    assert_eq!(checker.violations(Rule::NoAttemptAfterEnd), 1);
    assert_eq!(checker.violations(Rule::NoDuplicateExecution), 1);
    assert_eq!(
        checker.refusals(Rule::NoDuplicateExecution),
        1,
        "an expired deduplication window is a refusal"
    );
    assert_eq!(all_violations(&checker), 2);
}

#[test]
fn attempts_that_became_invalid_since_the_decision_are_refused_before_their_first_byte() {
    let checker = InvariantChecker::default();
    assert_eq!(checker.check_send(&SEND), Ok(()));
    for (attempt, rule) in [
        (
            AttemptSend {
                is_client_disconnected: true,
                ..SEND
            },
            Rule::NoAttemptAfterDisconnect,
        ),
        (
            AttemptSend {
                is_backend_ready: false,
                ..SEND
            },
            Rule::NoAttemptToDrainingBackend,
        ),
        (
            AttemptSend {
                repeat_time_left: Some(Duration::ZERO),
                ..SEND
            },
            Rule::NoDuplicateExecution,
        ),
        (
            AttemptSend {
                time_left: Some(Duration::ZERO),
                ..SEND
            },
            Rule::NoAttemptBeyondDeadline,
        ),
    ] {
        let refused = checker.check_send(&attempt).expect_err("a refusal");
        assert_eq!(refused.rule(), rule, "{attempt:?}");
        assert_eq!(checker.refusals(rule), 1, "{attempt:?}");
    }
    assert_eq!(all_violations(&checker), 0, "races are not violations");
}

/// The forwarded timeout may exceed the time left by `DEADLINE_SLACK`.
#[test]
fn forwarded_timeout_does_not_exceed_the_time_left_to_the_client() {
    let checker = InvariantChecker::default();
    let with_timeout = |forwarded_timeout: Duration| AttemptSend {
        forwarded_timeout,
        ..SEND
    };
    assert_eq!(checker.check_send(&with_timeout(SECOND + 150 * MS)), Ok(()));
    assert!(
        checker
            .check_send(&with_timeout(SECOND + 151 * MS))
            .is_err()
    );
    assert_eq!(checker.violations(Rule::NoAttemptBeyondDeadline), 1);
    let incomplete_request = AttemptSend {
        time_left: None,
        forwarded_timeout: 60 * SECOND,
        ..SEND
    };
    assert_eq!(checker.check_send(&incomplete_request), Ok(()));
}

#[test]
fn lateness_excludes_the_time_for_which_the_process_was_suspended() {
    let checker = InvariantChecker::default();
    let check = |late, suspended| {
        checker
            .check_lateness(late, suspended, |late| Violation::LateClose { late })
            .is_ok()
    };
    assert!(check(250 * MS, Duration::ZERO));
    assert!(check(5 * SECOND, 5 * SECOND));
    assert!(!check(251 * MS, Duration::ZERO));
    assert!(!check(5 * SECOND, 4 * SECOND));
    assert_eq!(checker.violations(Rule::NoConnectionPastDeadline), 2);
}

#[test]
fn report_lists_violations_and_refusals_by_rule() {
    let checker = InvariantChecker::default();
    assert_eq!(checker.report().to_string(), "0 violations");
    checker.count(&Violation::SecondResponse);
    let _ = checker.check_send(&AttemptSend {
        is_client_disconnected: true,
        ..SEND
    });
    assert_eq!(
        checker.report().to_string(),
        "1 violations, one-final-answer: 1 violated, 0 refused, \
         no-attempt-after-disconnect: 0 violated, 1 refused"
    );
}

#[test]
fn slow_start_limit_adds_a_wider_tolerance_if_few_requests_are_allowed() {
    assert_eq!(slow_start_limit(100.0), 122.0);
    assert_eq!(slow_start_limit(16.0), 31.0);
    assert_eq!(slow_start_limit(0.0), 3.0);
}

/// Operators and tests of other packages search for these names.
#[test]
fn names_of_rules_are_the_same_in_every_version() {
    let expected = [
        "one-final-answer",
        "answer-in-time",
        "no-request-unanswered",
        "no-attempt-after-disconnect",
        "no-attempt-beyond-deadline",
        "nothing-after-end",
        "no-second-effect",
        "nothing-to-draining",
        "slow-start-budget",
        "no-connection-past-deadline",
    ];
    assert_eq!(Rule::ALL.map(Rule::name), expected);
}

#[test]
fn every_rule_has_its_own_name_and_index() {
    let mut names: Vec<_> = Rule::ALL.iter().map(|rule| rule.name()).collect();
    for (index, rule) in Rule::ALL.iter().enumerate() {
        assert_eq!(*rule as usize, index);
    }
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), Rule::ALL.len());
}
