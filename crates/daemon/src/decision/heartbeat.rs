//! The heartbeat of the process, which detects suspensions: the decision actor runs at least once per heartbeat
//! interval unless the machine does not schedule the process.
use std::time::Duration;
use tokio::time::Instant;

/// Time from one heartbeat to the next; short compared with the times that the decisions measure.
const INTERVAL: Duration = Duration::from_millis(10);

/// Scheduling lag of a heartbeat above which the process counts as suspended. A busy machine often lags by less.
const MAX_SCHEDULING_LAG: Duration = Duration::from_millis(10);

/// The next heartbeat, and the end of the last suspension.
pub(super) struct Heartbeat {
    due: Instant,
    resumed_at: Instant,
}

impl Heartbeat {
    /// Starts the heartbeat now.
    pub(super) fn start() -> Self {
        let now = Instant::now();
        Self {
            due: now + INTERVAL,
            resumed_at: now,
        }
    }

    /// Returns when the next heartbeat is due.
    pub(super) fn due(&self) -> Instant {
        self.due
    }

    /// Records a heartbeat. Returns how long the process was suspended before it, or `None` if it was not.
    pub(super) fn record(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let was_suspended = now > self.due + MAX_SCHEDULING_LAG;
        let suspended_for = was_suspended.then(|| now - self.due);
        if was_suspended {
            self.resumed_at = now;
        }
        self.due = now + INTERVAL;
        suspended_for
    }

    /// Returns whether the process resumed so recently that an exchange that ends now may be late because of it.
    pub(super) fn has_just_resumed(&self) -> bool {
        Instant::now() < self.resumed_at + MAX_SCHEDULING_LAG
    }
}
