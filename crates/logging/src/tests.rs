//! The flush at the end of a process.
use super::*;

/// Guards against a last line that a process takes with it, and against an end that waits for a reader that has gone.
#[test]
fn what_was_logged_is_written_by_the_flush_or_waited_for_no_longer() {
    let (lines, entries) = sync_channel(2);
    let logger = Logger {
        lines,
        dropped: Box::leak(Box::default()),
    };
    let begun = Instant::now();
    logger.flush();
    assert!(begun.elapsed() >= FLUSH_TIME, "nobody writes");
    logger.flush();
    logger.flush();
    assert!(
        begun.elapsed() >= FLUSH_TIME * 3,
        "nobody writes, and no more fits"
    );
    let writer = std::thread::spawn(move || write(entries, &AtomicUsize::new(0)));
    logger.flush();
    assert!(!writer.is_finished());
    drop(logger);
    writer.join().expect("the writer ends");
}
