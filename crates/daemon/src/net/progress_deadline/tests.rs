use super::*;

const STALL_TIMEOUT: Duration = Duration::from_secs(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Single bytes, however regular, don't extend the deadline; a step of progress does.
#[test]
fn only_whole_steps_of_progress_extend_the_deadline() {
    let start = Instant::now();
    let mut deadline = ProgressDeadline::new(start, STALL_TIMEOUT, 100, start + seconds(60));
    for byte in 1..100 {
        deadline.record(byte, start + seconds(1));
    }
    assert_eq!(deadline.expires_at(), start + STALL_TIMEOUT);
    deadline.record(100, start + seconds(1));
    assert_eq!(deadline.expires_at(), start + seconds(1) + STALL_TIMEOUT);
    deadline.record(199, start + seconds(2));
    assert_eq!(deadline.expires_at(), start + seconds(1) + STALL_TIMEOUT);
    deadline.record(250, start + seconds(2));
    assert_eq!(deadline.expires_at(), start + seconds(2) + STALL_TIMEOUT);
}

#[test]
fn no_progress_extends_the_deadline_past_its_limit() {
    let start = Instant::now();
    let limit = start + seconds(5);
    let mut deadline = ProgressDeadline::new(start, STALL_TIMEOUT, 1, limit);
    for second in 1..10 {
        deadline.record(second * 1000, start + seconds(second));
        assert!(deadline.expires_at() <= limit, "at {second} s");
    }
    assert_eq!(deadline.expires_at(), limit);
    let short = ProgressDeadline::new(start, STALL_TIMEOUT, 1, start + seconds(1));
    assert_eq!(short.expires_at(), start + seconds(1));
}
