//! Token bucket that limits the rate of health checks, and the number of health checks in flight.
use crate::backend::Backend;

/// Token bucket of which each health check takes one token, and the number of checks in flight.
#[derive(Default)]
pub(crate) struct HealthCheckTokens {
    tokens: f64,
    in_flight: usize,
}

impl HealthCheckTokens {
    /// Adds tokens up to a total of `max`.
    pub(crate) fn add(&mut self, tokens: f64, max: f64) {
        self.tokens = (self.tokens + tokens).min(max);
    }

    /// Returns whether there is a token for another health check.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Returns whether a health check is in flight or could be started.
    pub(crate) fn has_token_or_check_in_flight(&self) -> bool {
        self.has_token() || self.in_flight > 0
    }

    /// Takes a token for a health check of the backend that is being sent now.
    pub(crate) fn start_check(&mut self, backend: &Backend, now: f64) {
        backend.health_check_sent_at.set(Some(now));
        self.in_flight += 1;
        self.tokens -= 1.0;
    }

    /// Records the end of a backend's health check, or the removal of the backend. Returns the time
    /// at which the check was sent, or `None` if none was in flight.
    pub(crate) fn finish_check(&mut self, backend: &Backend) -> Option<f64> {
        let sent_at = backend.health_check_sent_at.take();
        self.in_flight -= usize::from(sent_at.is_some());
        sent_at
    }
}
