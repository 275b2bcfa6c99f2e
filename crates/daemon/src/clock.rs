//! The clock of the decisions: wall time and the machine's monotonic clock, as seconds.

use std::future::pending;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep_until};

/// Upper bound of a time in seconds that is converted to an `Instant`, which would overflow far beyond.
const MAX_SECONDS: f64 = 1e9;

/// The one place where wall time and the monotonic clock become the seconds of the decision package.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    base: Instant,
    /// Wall time at the start, as Unix seconds.
    wall: f64,
}

impl Clock {
    /// A clock that reads 0 now.
    pub(crate) fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64();
        Self {
            base: Instant::now(),
            wall,
        }
    }

    /// Leaves out a time that has passed, as if the clock had stood still for it.
    pub(crate) fn skip(&mut self, time: Duration) {
        self.base += time;
    }

    /// Seconds since the start.
    pub(crate) fn now(&self) -> f64 {
        self.base.elapsed().as_secs_f64()
    }

    /// This instant as seconds since the start.
    pub(crate) fn seconds_at(&self, at: Instant) -> f64 {
        at.duration_since(self.base).as_secs_f64()
    }

    /// The instant at which this clock reads so many seconds.
    pub(crate) fn instant_at(&self, seconds: f64) -> Instant {
        self.base + Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
    }

    /// A time in Unix milliseconds as seconds since the start; none for 0, which stands for long ago.
    pub(crate) fn seconds_at_unix_ms(&self, ms: f64) -> Option<f64> {
        (ms > 0.0).then(|| ms / 1e3 - self.wall)
    }
}

/// Waits until a time; for ever without one.
pub(crate) async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
