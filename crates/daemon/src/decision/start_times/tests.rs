use super::*;
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix milliseconds so many seconds from now.
fn unix_ms(seconds: f64) -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    (now.expect("a time after 1970").as_secs_f64() + seconds) * 1e3
}

/// How long ago a backend started, s, by a line that is new since so many seconds.
fn age(boot_ms: f64, changed: Option<f64>, clock: &Clock) -> Option<f64> {
    let since = changed.map(|seconds| Instant::now() - Duration::from_secs_f64(seconds));
    let start = StartTime::read(boot_ms, since, clock);
    start.seconds().map(|seconds| clock.now() - seconds)
}

fn is_near(age: Option<f64>, expected: f64) -> bool {
    age.is_some_and(|age| (age - expected).abs() < 0.1)
}

#[test]
fn a_clock_that_is_off_by_an_hour_makes_no_new_backend_an_old_one() {
    let clock = Clock::start();
    for hour in [-3600.0, 3600.0] {
        let new = age(unix_ms(hour - 1.0), Some(0.0), &clock);
        assert!(new.is_some_and(|age| (0.0..=2.1).contains(&age)), "{new:?}");
    }
    assert!(is_near(age(unix_ms(-1.0), Some(0.0), &clock), 1.0));
}

/// What was not followed for a while may have started in all of it.
#[test]
fn a_backend_may_have_started_since_the_list_was_last_told() {
    let clock = Clock::start();
    assert!(is_near(age(unix_ms(-5.0), Some(8.0), &clock), 5.0));
    assert!(is_near(age(unix_ms(-3600.0), Some(8.0), &clock), 10.0));
}

#[test]
fn the_first_list_of_a_process_goes_by_the_wall_clock() {
    let clock = Clock::start();
    assert!(is_near(age(unix_ms(-5.0), None, &clock), 5.0));
    assert!(
        is_near(age(unix_ms(30.0), None, &clock), 0.0),
        "no start is to come"
    );
    assert_eq!(age(0.0, None, &clock), None, "long ago");
}

/// Times that the process was stopped for are left out of the decisions' clock, but not of a backend's age.
#[test]
fn a_clock_that_skips_times_changes_no_age() {
    let mut clock = Clock::start();
    clock.skip(Duration::from_secs(60));
    assert!(is_near(age(unix_ms(-5.0), None, &clock), 5.0));
}
