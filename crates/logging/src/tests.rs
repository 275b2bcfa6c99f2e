//! The flush at the end of a process.
use super::*;

/// Prevents the loss of the last lines at the end of a process, and an end that waits for a reader that has gone.
#[test]
fn a_flush_writes_all_lines_or_gives_up_in_time() {
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
        "nobody writes, and the queue is full"
    );
    let writer = std::thread::spawn(move || write(entries, &AtomicUsize::new(0)));
    logger.flush();
    assert!(!writer.is_finished());
    drop(logger);
    writer.join().expect("the writer ends");
}
