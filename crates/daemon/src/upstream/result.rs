//! How an exchange with a backend ended.

use crate::end_reason::EndReason;
use birchhub::interface::{AttemptOutcome, LoadReport};
use bytes::Bytes;

/// How an exchange ended.
pub(crate) struct ExchangeResult {
    /// What became of it.
    pub outcome: AttemptOutcome,
    /// What ended it, for the log.
    pub reason: EndReason,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
    /// The response's body; empty without a response, and where the body was streamed.
    pub body: Bytes,
}

impl From<AttemptOutcome> for ExchangeResult {
    /// An exchange that brought no response.
    fn from(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            reason: EndReason::Completed,
            report: None,
            body: Bytes::new(),
        }
    }
}
