//! The clock of the decisions: wall time and the machine's monotonic clock, as seconds.

use std::future::pending;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep_until};

/// The one place where wall time and the machine's steady clock become the module's seconds.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    base: Instant,
    wall: f64,
}

impl Clock {
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

    /// Lets this clock stand still for so long, after the fact.
    pub(crate) fn skip(&mut self, time: Duration) {
        self.base += time;
    }

    pub(crate) fn now(&self) -> f64 {
        self.base.elapsed().as_secs_f64()
    }

    pub(crate) fn seconds_at(&self, at: Instant) -> f64 {
        at.duration_since(self.base).as_secs_f64()
    }

    pub(crate) fn instant_at(&self, seconds: f64) -> Instant {
        self.base + Duration::from_secs_f64(seconds.clamp(0.0, 1e9))
    }

    /// A time in Unix milliseconds; 0 stands for long ago.
    pub(crate) fn seconds_at_unix_ms(&self, ms: f64) -> Option<f64> {
        (ms > 0.0).then(|| ms / 1e3 - self.wall)
    }
}

/// Waits until then; for ever without a time.
pub(crate) async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
