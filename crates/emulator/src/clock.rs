//! The one clock of a rehearsal, read alike by all threads.
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep_until};

/// Seconds since the rehearsal began, and what wall time that is.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Instant,
    wall: f64,
}

impl Clock {
    /// A clock that reads 0 after `lead`.
    pub fn starting_in(lead: Duration) -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            + lead;
        Self {
            base: Instant::now() + lead,
            wall: wall.as_secs_f64(),
        }
    }

    /// s; negative before the beginning.
    pub fn now(&self) -> f64 {
        let now = Instant::now();
        match now.checked_duration_since(self.base) {
            Some(since) => since.as_secs_f64(),
            None => -self.base.duration_since(now).as_secs_f64(),
        }
    }

    /// The moment at which it reads this; times far off are cut to a day.
    pub fn instant(&self, at: f64) -> Instant {
        let span = Duration::from_secs_f64(at.abs().min(86_400.0));
        if at < 0.0 {
            self.base.checked_sub(span).unwrap_or(self.base)
        } else {
            self.base + span
        }
    }

    /// Unix time in ms, as the list tells starts.
    pub fn unix_ms(&self, at: f64) -> f64 {
        ((self.wall + at) * 1e3).round()
    }

    pub async fn sleep_until(&self, at: f64) {
        sleep_until(self.instant(at)).await;
    }
}
