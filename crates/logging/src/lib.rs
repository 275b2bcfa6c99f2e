//! A small logger behind the `log` crate, the same for all programs: lines go to a thread of their own, and are dropped (and counted) rather than waited for.
//! The fields of a record follow its text as ` name=value`, so that all lines about one request are found by its id.
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

const LINES: usize = 1024; // lines that wait to be written; beyond, they are dropped
const FLUSH_TIME: Duration = Duration::from_millis(200); // for all that waits to be written: a reader may have gone
const FLUSH_EVERY: Duration = Duration::from_millis(1); // between tries to have that asked for

/// What goes to the writing thread.
enum Entry {
    Line(String),
    /// Dropped once all before it is written, which its other end hears.
    Mark {
        _done: SyncSender<()>,
    },
}

/// Appends the fields of a record to its line.
struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

struct Logger {
    lines: SyncSender<Entry>,
    dropped: &'static AtomicUsize,
}

impl Log for Logger {
    fn enabled(&self, about: &Metadata) -> bool {
        about.level() <= log::max_level() && about.target().starts_with("birchhub")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let part = record.target().rsplit("::").next().unwrap_or_default();
        let mut line = format!(
            "{:.3} {:5} {part}: {}",
            at.as_secs_f64(),
            record.level(),
            record.args()
        );
        // Neither a field nor the text can fail: they are written to memory.
        let _ = record.key_values().visit(&mut Fields(&mut line));
        line.push('\n');
        if self.lines.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until what was logged is written, but not for long. Guards against last lines that go with the process.
    fn flush(&self) {
        let until = Instant::now() + FLUSH_TIME;
        let (_done, written) = sync_channel(0);
        let mut entry = Entry::Mark { _done };
        while let Err(TrySendError::Full(back)) = self.lines.try_send(entry) {
            if Instant::now() >= until {
                return;
            }
            entry = back;
            sleep(FLUSH_EVERY);
        }
        let _ = written.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

fn write(lines: Receiver<Entry>, dropped: &AtomicUsize) {
    let mut out = std::io::stderr();
    for entry in lines {
        let Entry::Line(line) = entry else { continue };
        // Nobody is left to tell when standard error fails.
        let _ = out.write_all(line.as_bytes());
        match dropped.swap(0, Ordering::Relaxed) {
            0 => {}
            some => drop(writeln!(out, "logger: {some} lines dropped")),
        }
    }
}

/// Starts logging at the level that `BIRCHHUB_LOG` names, `info` if it names none.
pub fn start() {
    let level = std::env::var("BIRCHHUB_LOG")
        .ok()
        .and_then(|level| level.parse().ok());
    let (sender, lines) = sync_channel(LINES);
    let dropped: &'static AtomicUsize = Box::leak(Box::default());
    let writer = std::thread::Builder::new()
        .name("log".into())
        .stack_size(64 << 10);
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
