//! The recent suspensions of the process, which are not counted as lateness.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of suspensions that are kept.
const MAX_SUSPENSIONS: usize = 64;

/// Longest time from one heartbeat to the next without a suspension.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);

/// A period in which the machine did not schedule the process.
#[derive(Clone, Copy)]
struct Suspension {
    ended_at: Instant,
    duration: Duration,
}

/// The last heartbeat and the recent suspensions.
pub(super) struct Suspensions {
    last_heartbeat: Cell<Instant>,
    /// The last [`MAX_SUSPENSIONS`] suspensions, in order of time.
    recent: RefCell<VecDeque<Suspension>>,
}

impl Suspensions {
    /// Creates the state of a process that starts now.
    pub(super) fn new() -> Self {
        Self {
            last_heartbeat: Cell::new(Instant::now()),
            recent: RefCell::default(),
        }
    }

    /// Records a heartbeat, and the suspension that preceded it, if there was one.
    pub(super) fn record_heartbeat(&self, suspended_for: Option<Duration>) {
        let now = Instant::now();
        self.last_heartbeat.set(now);
        let Some(duration) = suspended_for else {
            return;
        };
        let mut recent = self.recent.borrow_mut();
        if recent.len() == MAX_SUSPENSIONS {
            recent.pop_front();
        }
        recent.push_back(Suspension {
            ended_at: now,
            duration,
        });
    }

    /// Returns the total duration of the suspensions that ended after `since`, including one that the next heartbeat
    /// will report.
    pub(super) fn total_since(&self, since: Instant) -> Duration {
        let recorded: Duration = self
            .recent
            .borrow()
            .iter()
            .filter(|suspension| suspension.ended_at > since)
            .map(|suspension| suspension.duration)
            .sum();
        let since_heartbeat = self.last_heartbeat.get().elapsed();
        recorded + since_heartbeat.saturating_sub(MAX_HEARTBEAT_INTERVAL)
    }
}
