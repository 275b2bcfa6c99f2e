//! A deadline for a transfer, extended by each step of progress up to a fixed limit.
use std::time::Duration;
use tokio::time::Instant;

/// The deadline of a transfer that a peer sends or reads in pieces. Each step of progress extends it, but never beyond
/// a limit that is fixed at the start: a peer that transfers a few bytes from time to time can't keep a connection open
/// forever.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ProgressDeadline {
    expires_at: Instant,
    limit: Instant,
    stall_timeout: Duration,
    /// Bytes that count as one step of progress.
    step_bytes: u64,
    /// Bytes transferred at the last step.
    bytes_at_last_step: u64,
}

impl ProgressDeadline {
    /// Creates a deadline that expires `stall_timeout` after now or after the latest step of `step_bytes` bytes, and
    /// at `limit` at the latest.
    pub(crate) fn new(
        now: Instant,
        stall_timeout: Duration,
        step_bytes: u64,
        limit: Instant,
    ) -> Self {
        Self {
            expires_at: limit.min(now + stall_timeout),
            limit,
            stall_timeout,
            step_bytes,
            bytes_at_last_step: 0,
        }
    }

    /// Records the number of bytes transferred so far.
    pub(crate) fn record(&mut self, total_bytes: u64, now: Instant) {
        if total_bytes >= self.bytes_at_last_step.saturating_add(self.step_bytes) {
            self.bytes_at_last_step = total_bytes;
            self.expires_at = self.limit.min(now + self.stall_timeout);
        }
    }

    /// When the deadline expires if there is no further progress.
    pub(crate) fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// The latest time at which the deadline expires, however much progress there is.
    pub(crate) fn limit(&self) -> Instant {
        self.limit
    }
}

#[cfg(test)]
mod tests;
