//! Token bucket that pays for health checks, and the count of health checks in flight.
use crate::backend::Backend;

/// The tokens, of which each health check takes one, and the health checks in flight.
#[derive(Default)]
pub(crate) struct HealthCheckTokens {
    tokens: f64,
    in_flight: usize,
}

impl HealthCheckTokens {
    /// Adds tokens, up to a maximum.
    pub(crate) fn add(&mut self, tokens: f64, max: f64) {
        self.tokens = (self.tokens + tokens).min(max);
    }

    /// Returns whether there is a token for a health check.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Returns whether a health check is in flight or there is a token for one.
    pub(crate) fn has_token_or_check_in_flight(&self) -> bool {
        self.has_token() || self.in_flight > 0
    }

    /// Takes a token for a health check of the backend that is sent now.
    pub(crate) fn start_check(&mut self, backend: &Backend, now: f64) {
        backend.health_check_sent_at.set(Some(now));
        self.in_flight += 1;
        self.tokens -= 1.0;
    }

    /// Records that the health check of a backend has ended, or that the backend was removed. Returns
    /// when the check was sent, if one was in flight.
    pub(crate) fn finish_check(&mut self, backend: &Backend) -> Option<f64> {
        let sent_at = backend.health_check_sent_at.take();
        self.in_flight -= usize::from(sent_at.is_some());
        sent_at
    }
}
