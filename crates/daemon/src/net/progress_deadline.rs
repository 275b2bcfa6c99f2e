//! A deadline for something that a peer sends or takes in pieces.
use std::time::Duration;
use tokio::time::Instant;

/// The end of a wait for progress. Each step of progress moves it, but never beyond a bound that was fixed at the
/// start: no peer can keep something open for ever by sending a little from time to time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ProgressDeadline {
    at: Instant,
    bound: Instant,
    stall: Duration,
    /// Bytes that make a step.
    step: u64,
    /// Bytes at the last step.
    step_at: u64,
}

impl ProgressDeadline {
    /// A deadline that ends `stall` after now or after the last step of `step` bytes, and at `bound` in any case.
    pub(crate) fn start(now: Instant, stall: Duration, step: u64, bound: Instant) -> Self {
        Self {
            at: bound.min(now + stall),
            bound,
            stall,
            step,
            step_at: 0,
        }
    }

    /// Records that so many bytes have moved in all by now.
    pub(crate) fn record(&mut self, bytes: u64, now: Instant) {
        if bytes >= self.step_at.saturating_add(self.step) {
            self.step_at = bytes;
            self.at = self.bound.min(now + self.stall);
        }
    }

    /// When the wait ends, if there is no further step.
    pub(crate) fn at(&self) -> Instant {
        self.at
    }

    /// When it ends whatever happens.
    pub(crate) fn bound(&self) -> Instant {
        self.bound
    }
}

#[cfg(test)]
mod tests;
