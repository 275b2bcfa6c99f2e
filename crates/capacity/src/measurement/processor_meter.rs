//! A meter of the processor time of a process.
use crate::error::MeasurementError;
use crate::usage;
use std::time::Duration;
use tokio::time::Instant;

/// The processor time of a process over an interval.
pub(super) struct ProcessorUsage {
    pub processor_seconds: f64,
    pub elapsed_seconds: f64,
}

impl ProcessorUsage {
    /// The usage in percent of a core.
    pub(super) fn percent(&self) -> f64 {
        100.0 * self.processor_seconds / self.elapsed_seconds
    }

    /// The processor time in seconds that exceeds the usage of an idle process over the same interval.
    pub(super) fn seconds_above(&self, idle: &Self) -> f64 {
        self.processor_seconds - idle.percent() / 100.0 * self.elapsed_seconds
    }
}

/// Measures the processor time of a process from [`ProcessorMeter::start`] to [`ProcessorMeter::stop`].
pub(super) struct ProcessorMeter {
    pid: u32,
    processor_seconds_at_start: f64,
    start: Instant,
}

impl ProcessorMeter {
    pub(super) fn start(pid: u32) -> Result<Self, MeasurementError> {
        Ok(Self {
            pid,
            processor_seconds_at_start: usage::processor_seconds(pid)?,
            start: Instant::now(),
        })
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub(super) fn stop(&self) -> Result<ProcessorUsage, MeasurementError> {
        let processor_seconds =
            usage::processor_seconds(self.pid)? - self.processor_seconds_at_start;
        Ok(ProcessorUsage {
            processor_seconds,
            elapsed_seconds: self.elapsed().as_secs_f64(),
        })
    }
}
