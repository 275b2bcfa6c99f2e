use super::*;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds at `seconds` from now.
fn unix_ms(seconds: f64) -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    (now.expect("a time after 1970").as_secs_f64() + seconds) * 1e3
}

/// Returns the age in seconds of a backend that was added to the list within the last `changed_seconds`.
fn age(started_at_ms: f64, changed_seconds: Option<f64>, clock: &Clock) -> Option<f64> {
    let since = changed_seconds.map(|seconds| Instant::now() - Duration::from_secs_f64(seconds));
    let start = StartTime::convert(started_at_ms, since, clock);
    start.seconds().map(|seconds| clock.now() - seconds)
}

fn is_near(age: Option<f64>, expected: f64) -> bool {
    age.is_some_and(|age| (age - expected).abs() < 0.1)
}

#[test]
fn a_new_backend_is_new_despite_a_clock_skew_of_an_hour() {
    let clock = Clock::start();
    for hour in [-3600.0, 3600.0] {
        let new = age(unix_ms(hour - 1.0), Some(0.0), &clock);
        assert!(new.is_some_and(|age| (0.0..=2.1).contains(&age)), "{new:?}");
    }
    assert!(is_near(age(unix_ms(-1.0), Some(0.0), &clock), 1.0));
}

/// A backend that an update adds may have started at any time since the update before.
#[test]
fn the_age_of_a_new_backend_is_limited_by_the_time_since_the_last_update() {
    let clock = Clock::start();
    assert!(is_near(age(unix_ms(-5.0), Some(8.0), &clock), 5.0));
    assert!(is_near(age(unix_ms(-3600.0), Some(8.0), &clock), 10.0));
}

#[test]
fn start_times_in_the_first_list_are_converted_by_the_wall_clock() {
    let clock = Clock::start();
    assert!(is_near(age(unix_ms(-5.0), None, &clock), 5.0));
    assert!(
        is_near(age(unix_ms(30.0), None, &clock), 0.0),
        "a start time in the future counts as now"
    );
    assert_eq!(age(0.0, None, &clock), None, "long ago");
}

/// Suspensions of the process are excluded from the balancer's clock, but not from the age of a backend.
#[test]
fn the_age_of_a_backend_includes_suspensions() {
    let mut clock = Clock::start();
    clock.skip(Duration::from_secs(60));
    assert!(is_near(age(unix_ms(-5.0), None, &clock), 5.0));
}
