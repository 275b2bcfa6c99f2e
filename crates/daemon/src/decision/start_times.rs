//! The start times of backends, converted to the balancer's clock.
//!
//! The endpoint list contains start times by the wall clock of another machine. The clocks of both machines may be an
//! hour off, but measured intervals are reliable: a backend that joins the list while it is being watched has started
//! shortly before, whatever its listed start time is.
use crate::clock::Clock;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time from the start of a backend until it is listed, which includes the time to become ready.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(2);

/// The start time of a backend, as it was converted when the endpoint list first contained it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StartTime {
    /// The listed start time, in Unix milliseconds.
    started_at_ms: f64,
    /// Start time in seconds of the balancer's clock; `None` for long ago.
    seconds: Option<f64>,
}

impl StartTime {
    /// Converts a listed start time, in Unix milliseconds. The result is at most [`MAX_LISTING_DELAY`] before
    /// `changed_since`, the time at which the previous list was current. Without a previous list, only the wall clocks
    /// determine it.
    pub(super) fn convert(
        started_at_ms: f64,
        changed_since: Option<Instant>,
        clock: &Clock,
    ) -> Self {
        let max_age = changed_since.map_or(f64::INFINITY, |since| {
            (since.elapsed() + MAX_LISTING_DELAY).as_secs_f64()
        });
        let seconds = clock
            .seconds_since_unix_ms(started_at_ms)
            .map(|age| clock.now() - age.clamp(0.0, max_age));
        Self {
            started_at_ms,
            seconds,
        }
    }

    /// Returns whether this was converted from the same listed start time.
    pub(super) fn was_converted_from(&self, started_at_ms: f64) -> bool {
        self.started_at_ms == started_at_ms
    }

    /// Returns the start time in seconds of the balancer's clock, or `None` for long ago.
    pub(super) fn seconds(&self) -> Option<f64> {
        self.seconds
    }
}

#[cfg(test)]
mod tests;
