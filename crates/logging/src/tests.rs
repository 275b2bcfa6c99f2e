//! Tests of [`Logger::flush`].
use super::*;

/// A program flushes before it exits: it must neither lose queued lines nor hang while the writer thread is blocked.
#[test]
fn flush_writes_all_lines_or_times_out() {
    let (queue, receiver) = sync_channel(2);
    let logger = Logger {
        queue,
        dropped: Box::leak(Box::default()),
    };
    let start = Instant::now();
    logger.flush();
    assert!(
        start.elapsed() >= FLUSH_TIMEOUT,
        "there is no writer thread"
    );
    logger.flush();
    logger.flush();
    assert!(
        start.elapsed() >= FLUSH_TIMEOUT * 3,
        "there is no writer thread, and the queue is full"
    );
    let writer = std::thread::spawn(move || write_lines(receiver, &AtomicUsize::new(0)));
    logger.flush();
    assert!(!writer.is_finished());
    drop(logger);
    writer.join().expect("the writer thread does not panic");
}
