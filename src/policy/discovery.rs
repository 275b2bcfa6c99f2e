//! Discovery: when to poll the endpoint list, and how long to back off after a failure.
use crate::{interface::EndpointUpdateKind, interface::Settings, rng::Rng};

const POLL_PART: f64 = 0.5; // of the time within which a list has to be asked for again, between polls
const JITTER: (f64, f64) = (0.8, 1.2); // of the time between polls
const FIRST_BACKOFF: f64 = 0.5; // s, most after the first failed poll, and then twice that: told within 6 s

/// When the list is polled.
#[derive(Default)]
pub(crate) struct Discovery {
    pub poll_at: Option<f64>,
    poll_interval: Option<f64>, // none where updates come without polls
    failures: i32,
}

impl Discovery {
    /// Takes over how the list is followed.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        self.poll_interval =
            Some(settings.max_poll_interval * POLL_PART).filter(|_| settings.polls_endpoint_list);
    }

    /// A poll failed, or the subscription ended. Truncated exponential backoff with full jitter: each of many
    /// proxies finds a free moment of the service.
    pub(crate) fn record_failure(&mut self, rng: &Rng, now: f64) {
        let backoff = FIRST_BACKOFF * 2_f64.powi(self.failures.min(1));
        self.failures += 1;
        self.poll_at = self
            .poll_interval
            .map(|most| now + rng.uniform(0.0, backoff.min(most)));
    }

    /// An update has come. A stale list is renewed soon, with jitter: proxies often start together.
    pub(crate) fn record_update(&mut self, kind: EndpointUpdateKind, rng: &Rng, now: f64) {
        match kind {
            EndpointUpdateKind::StaleSnapshot => {
                self.poll_at = self
                    .poll_interval
                    .map(|_| now + rng.uniform(0.0, FIRST_BACKOFF));
            }
            EndpointUpdateKind::Incremental | EndpointUpdateKind::Snapshot => {
                (self.failures, self.poll_at) = (0, None);
            }
            EndpointUpdateKind::Administrative => {}
        }
    }

    /// Whether to poll now; the next poll is set in case this one stays unanswered.
    pub(crate) fn take_due_poll(&mut self, rng: &Rng, now: f64) -> bool {
        let due = self.poll_at.is_some_and(|at| now >= at);
        if due {
            self.poll_at = self
                .poll_interval
                .map(|every| now + every * rng.uniform(JITTER.0, JITTER.1));
        }
        due
    }
}
