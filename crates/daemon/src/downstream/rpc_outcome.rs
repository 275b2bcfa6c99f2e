//! The outcome of an RPC: its response and the reason that is logged.
use crate::downstream::response::ProxyResponse;
use crate::end_reason::EndReason;

/// The outcome of an RPC.
pub(super) struct RpcOutcome {
    /// The response to the client.
    pub response: ProxyResponse,
    /// Why the RPC ended.
    pub reason: EndReason,
}

impl RpcOutcome {
    /// Creates an outcome with this response and reason.
    pub(super) fn new(response: impl Into<ProxyResponse>, reason: EndReason) -> Self {
        Self {
            response: response.into(),
            reason,
        }
    }

    /// Creates the outcome of an RPC that the decision actor responded to.
    pub(super) fn from_decision(response: ProxyResponse) -> Self {
        let reason = match response {
            ProxyResponse::Ok(_) | ProxyResponse::Streamed(_) | ProxyResponse::Health(_) => {
                EndReason::Served
            }
            ProxyResponse::Rejected { .. } => EndReason::RejectedByDecision,
            ProxyResponse::Failed => EndReason::FailedByDecision,
            ProxyResponse::ClientError { .. } => EndReason::InvalidRequest,
        };
        Self { response, reason }
    }
}
