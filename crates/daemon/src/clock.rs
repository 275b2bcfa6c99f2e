//! The balancer's clock: converts between monotonic time and seconds since the start of the process, and wall-clock
//! times to ages in seconds.

use std::future::pending;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep_until};

/// Upper bound of times that are converted to an `Instant`, which cannot represent arbitrarily late times.
const MAX_SECONDS: f64 = 1e9;

/// Milliseconds per second.
const MS_PER_SECOND: f64 = 1e3;

/// A monotonic clock in seconds, from which suspensions of the process can be excluded.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    /// Instant at which the clock reads 0: `started` plus the excluded time.
    zero: Instant,
    started: Instant,
    /// Wall-clock time at the start, in Unix seconds. The wall clock is not read again, since it may step.
    unix_seconds_at_start: f64,
}

impl Clock {
    /// Starts a clock, which reads 0 now.
    pub(crate) fn start() -> Self {
        let unix_seconds_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64();
        let started = Instant::now();
        Self {
            zero: started,
            started,
            unix_seconds_at_start,
        }
    }

    /// Sets the clock back by `time`, so that it excludes a suspension of that duration.
    pub(crate) fn skip(&mut self, time: Duration) {
        self.zero += time;
    }

    /// Returns the current time in seconds, which is negative if more time was excluded than has passed.
    pub(crate) fn now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// Converts an instant to seconds of this clock.
    pub(crate) fn seconds_at(&self, at: Instant) -> f64 {
        let after_zero = at.saturating_duration_since(self.zero);
        let before_zero = self.zero.saturating_duration_since(at);
        after_zero.as_secs_f64() - before_zero.as_secs_f64()
    }

    /// Converts seconds of this clock to an instant.
    pub(crate) fn instant_at(&self, seconds: f64) -> Instant {
        self.zero + Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
    }

    /// Returns the seconds since a wall-clock time in Unix milliseconds, including excluded time. Returns `None` for 0,
    /// which stands for long ago.
    pub(crate) fn seconds_since_unix_ms(&self, ms: f64) -> Option<f64> {
        (ms > 0.0).then(|| {
            let unix_seconds_now =
                self.unix_seconds_at_start + self.started.elapsed().as_secs_f64();
            unix_seconds_now - ms / MS_PER_SECOND
        })
    }
}

/// Waits until an instant, or forever if there is none.
pub(crate) async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
