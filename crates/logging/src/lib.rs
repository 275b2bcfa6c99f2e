//! The logger of all programs, behind the `log` crate.
//!
//! A record becomes one line: seconds since 1970, level, module, text, and its fields as ` name=value`. A thread of its
//! own writes the lines to standard error, so that logging never blocks: lines that come faster than they can be
//! written are dropped and counted.
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

/// Lines that may wait to be written.
const QUEUE_CAPACITY: usize = 1024;
/// Time that a flush waits for the writing thread: the reader of standard error may be gone.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two attempts of a flush to queue its marker.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Stack of the writing thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;
/// Environment variable with the level.
const LEVEL_VARIABLE: &str = "BIRCHHUB_LOG";

/// A message to the writing thread.
enum Entry {
    /// A line to be written.
    Line(String),
    /// A marker of a flush. The thread drops it after all lines before it, which closes the channel.
    FlushMarker { _written: SyncSender<()> },
}

/// Appends the fields of a record to its line.
struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

/// Formats records and queues their lines.
struct Logger {
    lines: SyncSender<Entry>,
    /// Lines dropped since the last one that was written.
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
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let module = record.target().rsplit("::").next().unwrap_or_default();
        let mut line = format!(
            "{:.3} {:5} {module}: {}",
            at.as_secs_f64(),
            record.level(),
            record.args()
        );
        // Formatting into a string can't fail.
        let _ = record.key_values().visit(&mut Fields(&mut line));
        line.push('\n');
        if self.lines.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the queued lines are written, at most for [`FLUSH_TIMEOUT`]. Otherwise the last lines would be lost when
    /// the process exits.
    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (_written, closed) = sync_channel(0);
        let mut entry = Entry::FlushMarker { _written };
        while let Err(TrySendError::Full(back)) = self.lines.try_send(entry) {
            if Instant::now() >= deadline {
                return;
            }
            entry = back;
            sleep(FLUSH_RETRY_INTERVAL);
        }
        let _ = closed.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// Writes the lines that are queued, until the logger is gone.
fn write(lines: Receiver<Entry>, dropped: &AtomicUsize) {
    let mut stderr = std::io::stderr();
    for entry in lines {
        let Entry::Line(line) = entry else { continue };
        // There is no other place to report that standard error failed.
        let _ = stderr.write_all(line.as_bytes());
        match dropped.swap(0, Ordering::Relaxed) {
            0 => {}
            count => drop(writeln!(stderr, "logger: {count} lines dropped")),
        }
    }
}

/// Starts logging at the level in `BIRCHHUB_LOG`, or at `info` if there is none or it is unknown.
///
/// Without a thread for it, or if another logger was started before, nothing is logged.
pub fn start() {
    let level = std::env::var(LEVEL_VARIABLE)
        .ok()
        .and_then(|level| level.parse().ok());
    let (sender, lines) = sync_channel(QUEUE_CAPACITY);
    let dropped: &'static AtomicUsize = Box::leak(Box::default());
    let writer = std::thread::Builder::new()
        .name("log".into())
        .stack_size(WRITER_STACK_BYTES);
    if writer.spawn(move || write(lines, dropped)).is_ok()
        && log::set_boxed_logger(Box::new(Logger {
            lines: sender,
            dropped,
        }))
        .is_ok()
    {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}
