use super::*;

const STALL: Duration = Duration::from_secs(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Only whole steps move the deadline: single bytes, however regular, do not.
#[test]
fn only_steps_move_the_deadline() {
    let start = Instant::now();
    let mut deadline = ProgressDeadline::start(start, STALL, 100, start + seconds(60));
    for byte in 1..100 {
        deadline.record(byte, start + seconds(1));
    }
    assert_eq!(deadline.at(), start + STALL);
    deadline.record(100, start + seconds(1));
    assert_eq!(deadline.at(), start + seconds(1) + STALL);
    deadline.record(199, start + seconds(2));
    assert_eq!(deadline.at(), start + seconds(1) + STALL);
    deadline.record(250, start + seconds(2));
    assert_eq!(deadline.at(), start + seconds(2) + STALL);
}

/// Whatever progress there is, the bound holds.
#[test]
fn no_progress_moves_the_deadline_past_its_bound() {
    let start = Instant::now();
    let bound = start + seconds(5);
    let mut deadline = ProgressDeadline::start(start, STALL, 1, bound);
    for second in 1..10 {
        deadline.record(second * 1000, start + seconds(second));
        assert!(deadline.at() <= bound, "at {second} s");
    }
    assert_eq!(deadline.at(), bound);
    let short = ProgressDeadline::start(start, STALL, 1, start + seconds(1));
    assert_eq!(short.at(), start + seconds(1));
}
