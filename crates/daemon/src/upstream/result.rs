//! The result of an exchange with a backend.

use crate::end_reason::EndReason;
use birchhub::interface::{AttemptOutcome, LoadReport};
use bytes::Bytes;

/// The result of an exchange.
pub(crate) struct ExchangeResult {
    /// The outcome as the decisions see it.
    pub outcome: AttemptOutcome,
    /// What ended the exchange, for the log.
    pub reason: EndReason,
    /// The load report of the response.
    pub report: Option<LoadReport>,
    /// The response's body; empty without a response, and if the body was streamed.
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
