//! Detection that the process was stopped: the decision actor is busy at least once in each heartbeat interval,
//! unless the machine did not run it.
use std::time::Duration;
use tokio::time::Instant;

/// Longest time between two heartbeats of a process that runs: short against the times that the decisions measure.
const INTERVAL: Duration = Duration::from_millis(10);

/// Scheduling lag of a heartbeat from which on the process counts as stopped: a busy machine often lags by less.
const MAX_LAG: Duration = Duration::from_millis(10);

/// When the next heartbeat is due, and when the process last went on after it was stopped.
pub(super) struct Heartbeat {
    due: Instant,
    resumed: Instant,
}

impl Heartbeat {
    /// A heartbeat of a process that starts now.
    pub(super) fn start() -> Self {
        let now = Instant::now();
        Self {
            due: now + INTERVAL,
            resumed: now,
        }
    }

    /// When the next one is due.
    pub(super) fn due(&self) -> Instant {
        self.due
    }

    /// Records a heartbeat. Returns for how long the process was stopped before it, if it was.
    pub(super) fn beat(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let was_stopped = now > self.due + MAX_LAG;
        let stopped_for = was_stopped.then(|| now - self.due);
        if was_stopped {
            self.resumed = now;
        }
        self.due = now + INTERVAL;
        stopped_for
    }

    /// Whether the process went on so lately that what ends now may have been late because of that.
    pub(super) fn has_just_resumed(&self) -> bool {
        Instant::now() < self.resumed + MAX_LAG
    }
}
