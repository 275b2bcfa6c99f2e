//! A small logger behind the `log` crate, the same for all programs: lines go to a thread of their own, and are dropped (and counted) rather than waited for.
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

const LINES: usize = 1024; // lines that wait to be written; beyond, they are dropped

struct Logger {
    lines: SyncSender<String>,
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
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let part = record.target().rsplit("::").next().unwrap_or_default();
        let line = format!("{:.3} {:5} {part}: {}\n", at.as_secs_f64(), record.level(), record.args());
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn write(lines: Receiver<String>, dropped: &AtomicUsize) {
    let mut out = std::io::stderr();
    for line in lines {
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
    let level = std::env::var("BIRCHHUB_LOG").ok().and_then(|level| level.parse().ok());
    let (sender, lines) = sync_channel(LINES);
    let dropped: &'static AtomicUsize = Box::leak(Box::default());
    let writer = std::thread::Builder::new().name("log".into()).stack_size(64 << 10);
    if writer.spawn(move || write(lines, dropped)).is_ok()
        && log::set_boxed_logger(Box::new(Logger { lines: sender, dropped })).is_ok()
    {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}
