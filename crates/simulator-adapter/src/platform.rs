//! Platform of a simulated proxy: writes each command of its decisions as a line of the reply.

use crate::protocol::{MAX_TIMER_SECONDS, NANOSECONDS_PER_SECOND, command};
use birchhub::interface::Platform;
use std::fmt::{Arguments, Write as _};

/// Writes the commands of one proxy's decisions in the simulator's protocol.
pub(crate) struct SimulatorPlatform<'a> {
    output: &'a mut String,
    proxy: u64,
    now: f64,
    /// RPCs that were rejected or failed in the current call.
    answered: Vec<u64>,
}

impl<'a> SimulatorPlatform<'a> {
    /// Creates a platform for one call at the time `now`, in seconds.
    pub(crate) fn new(output: &'a mut String, proxy: u64, now: f64) -> Self {
        Self {
            output,
            proxy,
            now,
            answered: Vec::new(),
        }
    }

    /// Returns the RPCs that were rejected or failed in the call.
    pub(crate) fn into_answered(self) -> Vec<u64> {
        self.answered
    }

    fn write_line(&mut self, name: &str, fields: Arguments) {
        writeln!(self.output, "{name}\t{}{fields}", self.proxy).expect("writing to a string");
    }
}

fn nanoseconds(seconds: f64) -> u64 {
    (seconds * NANOSECONDS_PER_SECOND).round().max(0.0) as u64
}

impl Platform for SimulatorPlatform<'_> {
    fn now(&self) -> f64 {
        self.now
    }

    fn start_attempt(&mut self, rpc: u64, backend: u32, timeout: f64) {
        let timeout = nanoseconds(timeout).max(1);
        self.write_line(
            command::START_ATTEMPT,
            format_args!("\t{rpc}\t{backend}\t{timeout}"),
        );
    }

    fn cancel_attempt(&mut self, rpc: u64, attempt: usize) {
        self.write_line(command::CANCEL_ATTEMPT, format_args!("\t{rpc}\t{attempt}"));
    }

    fn reject(&mut self, rpc: u64, retry_after: f64) {
        self.answered.push(rpc);
        let retry_after = nanoseconds(retry_after);
        self.write_line(command::REJECT, format_args!("\t{rpc}\t{retry_after}"));
    }

    fn fail(&mut self, rpc: u64) {
        self.answered.push(rpc);
        self.write_line(command::FAIL, format_args!("\t{rpc}"));
    }

    fn health_check(&mut self, backend: u32) {
        self.write_line(command::HEALTH_CHECK, format_args!("\t{backend}"));
    }

    fn watch_endpoints(&mut self) {
        self.write_line(command::WATCH_ENDPOINTS, format_args!("\t1"));
    }

    fn schedule_timer(&mut self, delay: f64) {
        let delay = nanoseconds(delay.min(MAX_TIMER_SECONDS));
        self.write_line(command::SCHEDULE_TIMER, format_args!("\t{delay}\t0"));
    }
}
