//! The result of an exchange with a backend.

use crate::end_reason::EndReason;
use birchhub::interface::{AttemptOutcome, LoadReport};
use bytes::Bytes;

/// The result of an exchange.
pub(crate) struct ExchangeResult {
    /// The outcome that is reported to the decision actor.
    pub outcome: AttemptOutcome,
    /// Why the exchange ended, for log lines.
    pub reason: EndReason,
    /// The load report of the response.
    pub report: Option<LoadReport>,
    /// The response's body; empty if there is no response or its body was streamed.
    pub body: Bytes,
}

impl From<AttemptOutcome> for ExchangeResult {
    /// Creates the result of an exchange without a response.
    fn from(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            reason: EndReason::Completed,
            report: None,
            body: Bytes::new(),
        }
    }
}
