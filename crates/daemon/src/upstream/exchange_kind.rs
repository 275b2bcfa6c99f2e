//! The purpose of an exchange with a backend, and the event that reports its end.
use crate::messages::{AttemptId, Event};
use crate::upstream::result::ExchangeResult;

/// The purpose of an exchange.
#[derive(Clone, Copy)]
pub(crate) enum ExchangeKind {
    /// One attempt of an RPC.
    Attempt(AttemptId),
    /// A health check of this backend.
    HealthCheck {
        /// The backend's number.
        backend: u32,
    },
}

impl ExchangeKind {
    /// Creates the event that reports the end of the exchange to the decision actor.
    pub(crate) fn completion_event(self, result: ExchangeResult) -> Event {
        match self {
            Self::Attempt(attempt) => Event::AttemptEnded { attempt, result },
            Self::HealthCheck { backend } => Event::HealthChecked {
                backend,
                outcome: result.outcome,
                report: result.report,
            },
        }
    }
}
