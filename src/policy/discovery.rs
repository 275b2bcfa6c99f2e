//! Polling of the endpoint list: when the next poll is due, and how long to back off after a
//! failure.
//!
//! Failed polls are retried with truncated exponential backoff and full jitter (Brooker,
//! "Exponential Backoff And Jitter"), so that many proxies do not poll the service simultaneously
//! after an outage. The backoff is truncated early because updates must arrive within the time that
//! the discovery contract allows.
use crate::interface::{EndpointUpdateKind, Settings};
use crate::rng::Rng;
use std::ops::Range;

/// Mean interval between polls, as a fraction of the maximum interval.
const POLL_INTERVAL_FRACTION: f64 = 0.5;
/// Range of the random factor applied to the interval between polls.
const POLL_JITTER: Range<f64> = 0.8..1.2;
/// Upper bound of the backoff after the first failed poll, in seconds.
const INITIAL_BACKOFF_SECONDS: f64 = 0.5;
/// Maximum number of times that further failures double the upper bound of the backoff.
const MAX_BACKOFF_DOUBLINGS: i32 = 1;

/// Schedule of polls of the endpoint list.
#[derive(Default)]
pub(crate) struct Discovery {
    /// Time of the next poll, if one is scheduled.
    pub poll_at: Option<f64>,
    /// Mean interval between polls in seconds; `None` if updates are pushed.
    poll_interval: Option<f64>,
    /// Number of failed polls since the last update that was not stale.
    consecutive_failures: i32,
}

impl Discovery {
    /// Applies the polling interval of new settings.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let interval = settings.max_poll_interval * POLL_INTERVAL_FRACTION;
        self.poll_interval = settings.polls_endpoint_list.then_some(interval);
    }

    /// Schedules a retry after a failed poll. If updates are pushed, no poll is scheduled.
    pub(crate) fn record_failure(&mut self, rng: &Rng, now: f64) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = INITIAL_BACKOFF_SECONDS * 2_f64.powi(doublings);
        self.consecutive_failures += 1;
        self.poll_at = self
            .poll_interval
            .map(|interval| now + rng.uniform(0.0..backoff.min(interval)));
    }

    /// Adapts the schedule after an update. A stale list is refreshed soon, with jitter to spread
    /// the polls of proxies that start simultaneously.
    pub(crate) fn record_update(&mut self, kind: EndpointUpdateKind, rng: &Rng, now: f64) {
        match kind {
            EndpointUpdateKind::StaleSnapshot => {
                self.poll_at = self
                    .poll_interval
                    .map(|_| now + rng.uniform(0.0..INITIAL_BACKOFF_SECONDS));
            }
            EndpointUpdateKind::Incremental | EndpointUpdateKind::Snapshot => {
                self.consecutive_failures = 0;
                self.poll_at = None;
            }
            EndpointUpdateKind::Administrative => {}
        }
    }

    /// Returns whether a poll is due. If so, schedules the next one, in case this one gets no
    /// response.
    pub(crate) fn take_due_poll(&mut self, rng: &Rng, now: f64) -> bool {
        let is_due = self.poll_at.is_some_and(|at| now >= at);
        if is_due {
            self.poll_at = self
                .poll_interval
                .map(|interval| now + interval * rng.uniform(POLL_JITTER));
        }
        is_due
    }
}
