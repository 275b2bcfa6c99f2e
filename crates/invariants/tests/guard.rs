//! Each rule, as the guard judges it.
use birchhub_invariants::{
    AttemptStart, Guard, RepeatRule, Rule, SendFacts, Violation, slow_start_limit,
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

/// An attempt to which nothing is wrong.
const SEND: SendFacts = SendFacts {
    is_client_gone: false,
    time_left: Some(SECOND),
    late: Duration::ZERO,
    forwarded_timeout: SECOND,
    is_backend_ready: true,
    repeat_time_left: None,
};

fn start(
    is_answered: bool,
    repeat_rule: RepeatRule,
    since_first: Option<Duration>,
) -> AttemptStart {
    AttemptStart {
        is_answered,
        repeat_rule,
        since_first,
    }
}

fn all_violations(guard: &Guard) -> u64 {
    guard.report().violations()
}

#[test]
fn first_attempts_and_harmless_repeats_may_start() {
    let guard = Guard::default();
    let window = RepeatRule::Within(SECOND);
    for facts in [
        start(false, RepeatRule::Never, None),
        start(false, window, None),
        start(false, window, Some(SECOND - MS)),
        start(false, RepeatRule::Always, Some(100 * SECOND)),
    ] {
        assert_eq!(guard.check_start(&facts), Ok(()), "{facts:?}");
    }
    assert_eq!(all_violations(&guard), 0);
}

#[test]
fn what_the_decisions_may_not_start_is_refused_and_counted() {
    let guard = Guard::default();
    let over = Violation::WindowOver {
        since_first: SECOND,
        window: SECOND,
    };
    for (facts, violation) in [
        (start(true, RepeatRule::Always, None), Violation::AfterEnd),
        (
            start(false, RepeatRule::Never, Some(MS)),
            Violation::SecondEffect,
        ),
        (start(false, RepeatRule::Within(SECOND), Some(SECOND)), over),
    ] {
        assert_eq!(guard.check_start(&facts), Err(violation), "{facts:?}");
    }
    assert_eq!(guard.violations(Rule::NothingAfterEnd), 1);
    assert_eq!(guard.violations(Rule::NoSecondEffect), 1);
    assert_eq!(guard.refusals(Rule::NoSecondEffect), 1, "time has passed");
    assert_eq!(all_violations(&guard), 2);
}

#[test]
fn what_went_wrong_since_the_decision_is_refused_before_its_first_byte() {
    let guard = Guard::default();
    assert_eq!(guard.check_send(&SEND), Ok(()));
    for (facts, rule) in [
        (
            SendFacts {
                is_client_gone: true,
                ..SEND
            },
            Rule::NoAttemptAfterDisconnect,
        ),
        (
            SendFacts {
                is_backend_ready: false,
                ..SEND
            },
            Rule::NothingToDraining,
        ),
        (
            SendFacts {
                repeat_time_left: Some(Duration::ZERO),
                ..SEND
            },
            Rule::NoSecondEffect,
        ),
        (
            SendFacts {
                time_left: Some(Duration::ZERO),
                ..SEND
            },
            Rule::NoAttemptBeyondDeadline,
        ),
    ] {
        let refused = guard.check_send(&facts).expect_err("a refusal");
        assert_eq!(refused.rule(), rule, "{facts:?}");
        assert_eq!(guard.refusals(rule), 1, "{facts:?}");
    }
    assert_eq!(all_violations(&guard), 0, "races are no violations");
}

/// The forwarded timeout is at most what is left to the client, with a slack.
#[test]
fn forwarded_timeout_does_not_exceed_the_time_left_to_the_client() {
    let guard = Guard::default();
    let with_timeout = |forwarded_timeout: Duration| SendFacts {
        forwarded_timeout,
        ..SEND
    };
    assert_eq!(guard.check_send(&with_timeout(SECOND + 150 * MS)), Ok(()));
    assert!(guard.check_send(&with_timeout(SECOND + 151 * MS)).is_err());
    assert_eq!(guard.violations(Rule::NoAttemptBeyondDeadline), 1);
    let still_coming = SendFacts {
        time_left: None,
        forwarded_timeout: 60 * SECOND,
        ..SEND
    };
    assert_eq!(guard.check_send(&still_coming), Ok(()));
}

#[test]
fn lateness_counts_beyond_what_the_process_was_stopped_for() {
    let guard = Guard::default();
    let check = |late, stopped| {
        guard
            .check_lateness(late, stopped, |late| Violation::LateClose { late })
            .is_ok()
    };
    assert!(check(250 * MS, Duration::ZERO));
    assert!(check(5 * SECOND, 5 * SECOND));
    assert!(!check(251 * MS, Duration::ZERO));
    assert!(!check(5 * SECOND, 4 * SECOND));
    assert_eq!(guard.violations(Rule::NoConnectionPastDeadline), 2);
}

#[test]
fn the_report_names_what_was_broken_and_refused() {
    let guard = Guard::default();
    assert_eq!(guard.report().to_string(), "0 violations");
    guard.count(&Violation::SecondAnswer);
    let _ = guard.check_send(&SendFacts {
        is_client_gone: true,
        ..SEND
    });
    assert_eq!(
        guard.report().to_string(),
        "1 violations, one-final-answer: 1 violated, 0 refused, \
         no-attempt-after-disconnect: 0 violated, 1 refused"
    );
}

#[test]
fn the_slow_start_limit_is_the_one_of_the_operators() {
    assert_eq!(slow_start_limit(100.0), 122.0);
    assert_eq!(slow_start_limit(16.0), 31.0);
    assert_eq!(slow_start_limit(0.0), 3.0);
}

#[test]
fn every_rule_has_its_own_name_and_place() {
    let mut names: Vec<_> = Rule::ALL.iter().map(|rule| rule.name()).collect();
    for (place, rule) in Rule::ALL.iter().enumerate() {
        assert_eq!(*rule as usize, place);
    }
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), Rule::ALL.len());
}
