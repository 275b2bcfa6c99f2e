//! Why a client's connection, an RPC or an attempt ended: one typed reason for every log line about an end.
use crate::log_budget::client_line_level;
use log::Level;
use std::fmt;

/// Why something ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndReason {
    /// Connection: the client closed it between two messages.
    ClientClosed,
    /// Connection, RPC: the client closed or reset its connection while its RPC was in flight.
    ClientDisconnected,
    /// Connection: it broke, or ended inside a message.
    ConnectionBroken,
    /// Connection: what came on it is no HTTP.
    MalformedMessage,
    /// Connection: it was closed after a response that said so.
    LastResponse,
    /// Connection: no message began in time.
    IdleTimeout,
    /// Connection: a head was not complete in time.
    HeadTimeout,
    /// Connection: the client took no byte of its response.
    ResponseStalled,
    /// Connection: a message was not answered by the time at which it had to be.
    AnswerOverdue,
    /// Connection: its socket was wanted for another one.
    Evicted,
    /// Connection: it was idle, or its message incomplete, for too long while the proxy drained.
    Drained,
    /// RPC: a backend's response was passed on.
    Served,
    /// RPC: the decisions rejected it; nothing took effect, or repeating it is harmless.
    RejectedByDecision,
    /// RPC: the decisions ended it as failed.
    FailedByDecision,
    /// RPC: no answer was decided by its deadline.
    DeadlineExceeded,
    /// RPC: the process ends before an answer could come.
    ShuttingDown,
    /// RPC: the decision actor has no room for another.
    Overloaded,
    /// RPC: the decision actor dropped it.
    LostByDecisions,
    /// RPC: what the client sent is no valid request.
    InvalidRequest,
    /// RPC: its long body made no progress, or was not complete in time.
    BodyStalled,
    /// Attempt: it ran to its own end.
    Completed,
    /// Attempt: the decisions cancelled it, or its RPC has ended.
    Cancelled,
    /// Attempt: its backend takes nothing new.
    EndpointUnavailable,
    /// Attempt: it would have been sent too late to be recognised as a duplicate.
    SendWindowClosed,
    /// Attempt: no response in time.
    TimedOut,
    /// Attempt: a long request made no progress.
    UploadStalled,
}

impl EndReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::ClientClosed => "client-closed",
            Self::ClientDisconnected => "client-disconnected",
            Self::ConnectionBroken => "connection-broken",
            Self::MalformedMessage => "malformed-message",
            Self::LastResponse => "last-response",
            Self::IdleTimeout => "idle-timeout",
            Self::HeadTimeout => "head-timeout",
            Self::ResponseStalled => "response-stalled",
            Self::AnswerOverdue => "answer-overdue",
            Self::Evicted => "evicted",
            Self::Drained => "drained",
            Self::Served => "served",
            Self::RejectedByDecision => "rejected-by-decision",
            Self::FailedByDecision => "failed-by-decision",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::ShuttingDown => "shutting-down",
            Self::Overloaded => "overloaded",
            Self::LostByDecisions => "lost-by-decisions",
            Self::InvalidRequest => "invalid-request",
            Self::BodyStalled => "body-stalled",
            Self::Completed => "completed",
            Self::Cancelled => "cancelled",
            Self::EndpointUnavailable => "endpoint-unavailable",
            Self::SendWindowClosed => "send-window-closed",
            Self::TimedOut => "timed-out",
            Self::UploadStalled => "upload-stalled",
        }
    }

    /// Something did not go its usual way, by what this proxy or a backend did.
    fn is_failure(self) -> bool {
        matches!(
            self,
            Self::AnswerOverdue
                | Self::Evicted
                | Self::FailedByDecision
                | Self::DeadlineExceeded
                | Self::Overloaded
                | Self::LostByDecisions
        )
    }

    /// Something did not go its usual way, by what the client did.
    fn is_fault_of_client(self) -> bool {
        matches!(
            self,
            Self::ConnectionBroken
                | Self::MalformedMessage
                | Self::HeadTimeout
                | Self::ResponseStalled
                | Self::InvalidRequest
                | Self::BodyStalled
                | Self::UploadStalled
        )
    }

    /// The level of the log line about an end of this reason: operators want to see what is unusual.
    pub(crate) fn level(self) -> Level {
        if self.is_failure() {
            Level::Info
        } else if self.is_fault_of_client() {
            client_line_level()
        } else {
            Level::Debug
        }
    }
}

impl fmt::Display for EndReason {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(self.as_str())
    }
}
