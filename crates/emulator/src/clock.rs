//! The clock that all threads of a rehearsal share.
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep_until};

/// [`Clock::instant`] clamps times to this many seconds before and after the start: one day.
const MAX_OFFSET_SECONDS: f64 = 86_400.0;

/// Measures time in seconds since the start of a rehearsal.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time of the start in seconds.
    start_unix_seconds: f64,
}

impl Clock {
    /// Creates a clock that reaches time 0 after `lead`.
    pub fn starting_in(lead: Duration) -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            + lead;
        Self {
            start: Instant::now() + lead,
            start_unix_seconds: unix_time.as_secs_f64(),
        }
    }

    /// Seconds since the start; negative before it.
    pub fn now(&self) -> f64 {
        let now = Instant::now();
        match now.checked_duration_since(self.start) {
            Some(since) => since.as_secs_f64(),
            None => -self.start.duration_since(now).as_secs_f64(),
        }
    }

    /// Converts a time in seconds to an instant. Times are clamped to one day before and after the start.
    pub fn instant(&self, at: f64) -> Instant {
        let offset = Duration::from_secs_f64(at.abs().min(MAX_OFFSET_SECONDS));
        if at < 0.0 {
            self.start.checked_sub(offset).unwrap_or(self.start)
        } else {
            self.start + offset
        }
    }

    /// Converts a time in seconds to Unix time in whole milliseconds, the unit of the discovery protocol.
    pub fn unix_ms(&self, at: f64) -> f64 {
        ((self.start_unix_seconds + at) * 1e3).round()
    }

    /// Sleeps until this time, in seconds since the start.
    pub async fn sleep_until(&self, at: f64) {
        sleep_until(self.instant(at)).await;
    }
}
