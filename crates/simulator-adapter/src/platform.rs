//! The platform of an instance: each call of the decisions becomes a line of the answer.

use birchhub::interface::Platform;
use std::fmt::{Arguments, Write as _};

/// Longest timer, s: the wire's field ends there.
const LONGEST_TIMER: f64 = 4000.0;
const NANOSECONDS: f64 = 1e9;

/// Writes what the decisions of one instance ask for.
pub(crate) struct WirePlatform<'a> {
    output: &'a mut String,
    proxy: u64,
    now: f64,
    /// RPCs that had their final answer in the present call.
    answered: Vec<u64>,
}

impl<'a> WirePlatform<'a> {
    /// Writes to `output` for this proxy, in a call at this time.
    pub(crate) fn new(output: &'a mut String, proxy: u64, now: f64) -> Self {
        Self {
            output,
            proxy,
            now,
            answered: Vec::new(),
        }
    }

    /// RPCs that had their final answer in the present call.
    pub(crate) fn into_answered(self) -> Vec<u64> {
        self.answered
    }

    fn write_line(&mut self, name: &str, fields: Arguments) {
        writeln!(self.output, "{name}\t{}{fields}", self.proxy).expect("writing to a string");
    }
}

fn nanoseconds(seconds: f64) -> u64 {
    (seconds * NANOSECONDS).round().max(0.0) as u64
}

impl Platform for WirePlatform<'_> {
    fn now(&self) -> f64 {
        self.now
    }

    fn start_attempt(&mut self, rpc: u64, backend: u32, timeout: f64) {
        let timeout = nanoseconds(timeout).max(1);
        self.write_line("PLACE", format_args!("\t{rpc}\t{backend}\t{timeout}"));
    }

    fn cancel_attempt(&mut self, rpc: u64, attempt: usize) {
        self.write_line("ABORT_ATTEMPT", format_args!("\t{rpc}\t{attempt}"));
    }

    fn reject(&mut self, rpc: u64, retry_after: f64) {
        self.answered.push(rpc);
        let retry_after = nanoseconds(retry_after);
        self.write_line("PUSH_BACK", format_args!("\t{rpc}\t{retry_after}"));
    }

    fn fail(&mut self, rpc: u64) {
        self.answered.push(rpc);
        self.write_line("END_FAILED", format_args!("\t{rpc}"));
    }

    fn health_check(&mut self, backend: u32) {
        self.write_line("PROBE", format_args!("\t{backend}"));
    }

    fn watch_endpoints(&mut self) {
        self.write_line("WATCH", format_args!("\t1"));
    }

    fn schedule_timer(&mut self, delay: f64) {
        let delay = nanoseconds(delay.min(LONGEST_TIMER));
        self.write_line("SET_ALARM", format_args!("\t{delay}\t0"));
    }
}
