//! Bookkeeping of health checks: how many are paid for and how many are in flight.
use crate::backend::Backend;

/// Tokens that pay for health checks, and the checks in flight.
#[derive(Default)]
pub(crate) struct CheckTokens {
    tokens: f64,
    in_flight: usize,
}

impl CheckTokens {
    /// Adds tokens, up to a maximum.
    pub(crate) fn add(&mut self, tokens: f64, max: f64) {
        self.tokens = (self.tokens + tokens).min(max);
    }

    /// Whether there is a token for a check.
    pub(crate) fn can_pay(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Whether a check is in flight or there is a token for one.
    pub(crate) fn any_left(&self) -> bool {
        self.can_pay() || self.in_flight > 0
    }

    /// A check of the backend is sent; it takes a token.
    pub(crate) fn start(&mut self, backend: &Backend, now: f64) {
        backend.health_check_sent_at.set(Some(now));
        self.in_flight += 1;
        self.tokens -= 1.0;
    }

    /// A check has ended, or its backend is forgotten. Returns when it was sent, if one was in flight.
    pub(crate) fn finish(&mut self, backend: &Backend) -> Option<f64> {
        let sent_at = backend.health_check_sent_at.take();
        self.in_flight -= usize::from(sent_at.is_some());
        sent_at
    }
}
