//! Detection of suspensions of the process. The decision actor runs at least once per heartbeat interval, so a late
//! heartbeat shows that the machine did not schedule the process.
use std::time::Duration;
use tokio::time::Instant;

/// Time from one heartbeat to the next. Short compared with the latencies that the balancer measures.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10);

/// Delay of a heartbeat above which the process counts as suspended. Smaller delays are frequent on a busy machine.
const MAX_SCHEDULING_LAG: Duration = Duration::from_millis(10);

/// Detects suspensions by heartbeats that are late.
pub(super) struct Heartbeat {
    /// Time of the next heartbeat.
    due: Instant,
    /// End of the last suspension.
    resumed_at: Instant,
}

impl Heartbeat {
    /// Starts the heartbeat now.
    pub(super) fn start() -> Self {
        let now = Instant::now();
        Self {
            due: now + HEARTBEAT_INTERVAL,
            resumed_at: now,
        }
    }

    /// Returns when the next heartbeat is due.
    pub(super) fn due(&self) -> Instant {
        self.due
    }

    /// Returns how late the next heartbeat is; zero if it is not due.
    pub(super) fn delay(&self) -> Duration {
        Instant::now().saturating_duration_since(self.due)
    }

    /// Records a heartbeat. Returns how long the process was suspended before it, or `None` if it was not.
    pub(super) fn record(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let was_suspended = now > self.due + MAX_SCHEDULING_LAG;
        let suspended_for = was_suspended.then(|| now - self.due);
        if was_suspended {
            self.resumed_at = now;
        }
        self.due = now + HEARTBEAT_INTERVAL;
        suspended_for
    }

    /// Returns whether the process resumed so recently that the suspension may have delayed an exchange that ends now.
    pub(super) fn has_just_resumed(&self) -> bool {
        Instant::now() < self.resumed_at + MAX_SCHEDULING_LAG
    }
}
