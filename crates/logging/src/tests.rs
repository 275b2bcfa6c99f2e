//! Tests of the flush at the end of a process.
use super::*;

/// A flush waits for the writing thread, and gives up if nobody reads.
#[test]
fn flush_writes_all_lines_or_times_out() {
    let (lines, entries) = sync_channel(2);
    let logger = Logger {
        lines,
        dropped: Box::leak(Box::default()),
    };
    let begun = Instant::now();
    logger.flush();
    assert!(begun.elapsed() >= FLUSH_TIMEOUT, "nobody writes");
    logger.flush();
    logger.flush();
    assert!(
        begun.elapsed() >= FLUSH_TIMEOUT * 3,
        "nobody writes, and the queue is full"
    );
    let writer = std::thread::spawn(move || write(entries, &AtomicUsize::new(0)));
    logger.flush();
    assert!(!writer.is_finished());
    drop(logger);
    writer.join().expect("the writer ends");
}
