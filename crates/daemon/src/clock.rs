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
    started: Instant,
    /// Wall time at the start, as Unix seconds. The wall clock is not read again: it may step.
    wall: f64,
}

impl Clock {
    /// A clock that reads 0 now.
    pub(crate) fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64();
        let started = Instant::now();
        Self {
            base: started,
            started,
            wall,
        }
    }

    /// Leaves out a time that has passed, as if the clock had stood still for it.
    pub(crate) fn skip(&mut self, time: Duration) {
        self.base += time;
    }

    /// Seconds since the start, less than none where more was left out than has passed.
    pub(crate) fn now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// This instant as seconds since the start.
    pub(crate) fn seconds_at(&self, at: Instant) -> f64 {
        let after = at.saturating_duration_since(self.base);
        let before = self.base.saturating_duration_since(at);
        after.as_secs_f64() - before.as_secs_f64()
    }

    /// The instant at which this clock reads so many seconds.
    pub(crate) fn instant_at(&self, seconds: f64) -> Instant {
        self.base + Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
    }

    /// Real seconds since a time in Unix milliseconds; none for 0, which stands for long ago.
    pub(crate) fn seconds_since_unix_ms(&self, ms: f64) -> Option<f64> {
        (ms > 0.0).then(|| self.wall + self.started.elapsed().as_secs_f64() - ms / 1e3)
    }
}

/// Waits until a time; for ever without one.
pub(crate) async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
