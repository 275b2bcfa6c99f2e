//! Polling of the endpoint list: when the next poll is due, and how long to back off after a failure.
//!
//! Failed polls are retried after a truncated exponential backoff with full jitter (Brooker,
//! "Exponential Backoff And Jitter"), so that many proxies do not return to the service at once.
//! The backoff is truncated early: updates must arrive within the discovery contract.
use crate::interface::{EndpointUpdateKind, Settings};
use crate::rng::Rng;
use std::ops::Range;

/// Time between two polls, as a fraction of the longest interval that is allowed.
const POLL_INTERVAL_FRACTION: f64 = 0.5;
/// Random factor of the time between two polls.
const POLL_JITTER: Range<f64> = 0.8..1.2;
/// Upper bound of the backoff after the first failed poll, in seconds.
const INITIAL_BACKOFF_SECONDS: f64 = 0.5;
/// Number of times that further failures double the bound of the backoff.
const MAX_BACKOFF_DOUBLINGS: i32 = 1;

/// The schedule of polls.
#[derive(Default)]
pub(crate) struct Discovery {
    /// Time of the next poll, if one is scheduled.
    pub poll_at: Option<f64>,
    /// Time between two polls in seconds; `None` where updates are pushed.
    poll_interval: Option<f64>,
    /// Polls that have failed since the last update.
    consecutive_failures: i32,
}

impl Discovery {
    /// Adopts the way in which the endpoint list is followed.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let interval = settings.max_poll_interval * POLL_INTERVAL_FRACTION;
        self.poll_interval = settings.polls_endpoint_list.then_some(interval);
    }

    /// Schedules a retry after a failed poll or an ended subscription.
    pub(crate) fn record_failure(&mut self, rng: &Rng, now: f64) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = INITIAL_BACKOFF_SECONDS * 2_f64.powi(doublings);
        self.consecutive_failures += 1;
        self.poll_at = self
            .poll_interval
            .map(|interval| now + rng.uniform(0.0..backoff.min(interval)));
    }

    /// Schedules the next poll after an update. A stale list is renewed soon; the jitter spreads
    /// proxies that start together.
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

    /// Returns whether a poll is due, and schedules the next one in case this one gets no answer.
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
