//! The logger of all birchhub programs. It implements the [`log`] facade.
//!
//! Each record becomes one line: the Unix time in seconds, the level, the module, the message, and its fields as
//! ` name=value`. A dedicated thread writes the lines to standard error, so that logging never blocks: lines that are
//! logged while the queue is full are dropped and counted.
#[cfg(test)]
mod tests;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of lines that are queued for the writer thread.
const QUEUE_CAPACITY: usize = 1024;
/// Longest time that a flush waits for the writer thread, which may be blocked because nobody reads standard error.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two attempts of a flush to queue its marker while the queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Stack size of the writer thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;
/// Environment variable that sets the log level.
const LEVEL_VARIABLE: &str = "BIRCHHUB_LOG";

/// An entry of the queue to the writer thread.
enum Entry {
    /// A line to write, including its line break.
    Line(String),
    /// Queued by a flush. The writer thread drops the marker after it has written all earlier lines, which closes the
    /// channel on which the flush waits.
    FlushMarker { _written: SyncSender<()> },
}

/// Appends the key-value pairs of a record to its line.
struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

/// Formats records as lines and queues them for the writer thread.
struct Logger {
    queue: SyncSender<Entry>,
    /// Number of lines dropped since the writer thread last reported it.
    dropped: &'static AtomicUsize,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("birchhub")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let timestamp = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let module = record.target().rsplit("::").next().unwrap_or_default();
        let mut line = format!(
            "{:.3} {:5} {module}: {}",
            timestamp.as_secs_f64(),
            record.level(),
            record.args()
        );
        // Appending to a string cannot fail.
        let _ = record.key_values().visit(&mut Fields(&mut line));
        line.push('\n');
        if self.queue.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the queued lines are written, or until [`FLUSH_TIMEOUT`] has passed. A program must flush before it
    /// exits: lines that are still queued are lost.
    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (_written, closed) = sync_channel(0);
        let mut entry = Entry::FlushMarker { _written };
        while let Err(TrySendError::Full(unsent)) = self.queue.try_send(entry) {
            if Instant::now() >= deadline {
                return;
            }
            entry = unsent;
            sleep(FLUSH_RETRY_INTERVAL);
        }
        let _ = closed.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// Writes the queued lines to standard error until the logger is dropped.
fn write_lines(queue: Receiver<Entry>, dropped: &AtomicUsize) {
    let mut stderr = std::io::stderr();
    for entry in queue {
        let Entry::Line(line) = entry else { continue };
        // An error is ignored: there is nowhere else to report that standard error failed.
        let _ = stderr.write_all(line.as_bytes());
        match dropped.swap(0, Ordering::Relaxed) {
            0 => {}
            count => drop(writeln!(stderr, "logger: {count} lines dropped")),
        }
    }
}

/// Installs the logger, at the level in the environment variable `BIRCHHUB_LOG`, or `info` if it is unset or invalid.
///
/// Nothing is logged if the writer thread cannot be started or another logger is already installed.
pub fn start() {
    let level = std::env::var(LEVEL_VARIABLE)
        .ok()
        .and_then(|level| level.parse().ok());
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let dropped: &'static AtomicUsize = Box::leak(Box::default());
    let writer = std::thread::Builder::new()
        .name("log".into())
        .stack_size(WRITER_STACK_BYTES);
    if writer.spawn(move || write_lines(receiver, dropped)).is_ok()
        && log::set_boxed_logger(Box::new(Logger {
            queue: sender,
            dropped,
        }))
        .is_ok()
    {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}
