//! When a backend started, on the clock of the decisions.
//!
//! The list tells it by the wall clock of another machine, which may be off by an hour, as may this one's. Spans are real
//! time: a backend that comes into the list while that is followed has started little before, whatever its line says.
use crate::clock::Clock;
use std::time::Duration;
use tokio::time::Instant;

/// Between a backend's start and its line in the list, at most: it has to become ready first.
const LISTING_DELAY: Duration = Duration::from_secs(2);

/// The start of a backend, as it was taken when its line was new.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StartTime {
    boot_ms: f64,
    /// None stands for long ago.
    seconds: Option<f64>,
}

impl StartTime {
    /// The start that a line of the list stands for. Nothing of what is new in the list was true before
    /// `changed_since`; without one the whole list is new to this process, and all there is to go by is the wall clock.
    pub(super) fn read(boot_ms: f64, changed_since: Option<Instant>, clock: &Clock) -> Self {
        let seconds = clock.seconds_since_unix_ms(boot_ms).map(|age| {
            let most = changed_since.map(|since| (since.elapsed() + LISTING_DELAY).as_secs_f64());
            clock.now() - age.clamp(0.0, most.unwrap_or(f64::INFINITY))
        });
        Self { boot_ms, seconds }
    }

    /// Whether a line with this start time tells of the same start.
    pub(super) fn is_of(&self, boot_ms: f64) -> bool {
        self.boot_ms == boot_ms
    }

    /// In seconds of the decisions' clock; none for long ago.
    pub(super) fn seconds(&self) -> Option<f64> {
        self.seconds
    }
}

#[cfg(test)]
mod tests;
