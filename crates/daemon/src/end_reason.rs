//! Why a client's connection, an RPC or an attempt ended, as it is logged.
use crate::log_budget::client_line_level;
use log::Level;
use std::fmt;

/// Why a connection, an RPC or an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndReason {
    /// Connection: the client closed it between two messages.
    ClientClosed,
    /// Connection, RPC: the client closed or reset the connection while its RPC was in flight.
    ClientDisconnected,
    /// Connection: it failed, or the client closed it inside a message.
    ConnectionBroken,
    /// Connection: the received bytes are not HTTP.
    MalformedMessage,
    /// Connection: closed after a response with `Connection: close`.
    LastResponse,
    /// Connection: no message began before the idle timeout.
    IdleTimeout,
    /// Connection: a head was not complete before its timeout.
    HeadTimeout,
    /// Connection: the client stopped reading its response.
    ResponseStalled,
    /// Connection: a message had no response by its deadline.
    ResponseOverdue,
    /// Connection: evicted to make room for another one.
    Evicted,
    /// Connection: closed because the proxy is draining.
    Drained,
    /// RPC: a backend's response was forwarded.
    Served,
    /// RPC: rejected by the decision actor. It had no effect, or is idempotent.
    RejectedByDecision,
    /// RPC: failed by the decision actor.
    FailedByDecision,
    /// RPC: it had no response by its deadline.
    DeadlineExceeded,
    /// RPC: it had no response before the response deadline of a shutdown.
    ShuttingDown,
    /// RPC: the mailbox of the decision actor is full.
    Overloaded,
    /// RPC: the client's message is not a valid request.
    InvalidRequest,
    /// RPC: its streamed body stalled, or was not complete in time.
    BodyStalled,
    /// Attempt: it completed, with or without a response.
    Completed,
    /// Attempt: cancelled by the decision actor, or because its RPC ended.
    Cancelled,
    /// Attempt: its backend accepts no new requests.
    EndpointUnavailable,
    /// Attempt: nothing was sent before the end of the period in which the backend detects duplicates.
    SendWindowClosed,
    /// Attempt: no response before the timeout.
    TimedOut,
    /// Attempt: the body of a streamed request was truncated or too large, or the client or the backend stalled.
    UploadFailed,
}

impl EndReason {
    /// The name of the reason in log lines.
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
            Self::ResponseOverdue => "answer-overdue",
            Self::Evicted => "evicted",
            Self::Drained => "drained",
            Self::Served => "served",
            Self::RejectedByDecision => "rejected-by-decision",
            Self::FailedByDecision => "failed-by-decision",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::ShuttingDown => "shutting-down",
            Self::Overloaded => "overloaded",
            Self::InvalidRequest => "invalid-request",
            Self::BodyStalled => "body-stalled",
            Self::Completed => "completed",
            Self::Cancelled => "cancelled",
            Self::EndpointUnavailable => "endpoint-unavailable",
            Self::SendWindowClosed => "send-window-closed",
            Self::TimedOut => "timed-out",
            Self::UploadFailed => "upload-failed",
        }
    }

    /// Whether this proxy or a backend caused an abnormal end.
    fn is_failure(self) -> bool {
        matches!(
            self,
            Self::ResponseOverdue
                | Self::FailedByDecision
                | Self::DeadlineExceeded
                | Self::Overloaded
        )
    }

    /// Whether clients caused an abnormal end.
    fn is_client_fault(self) -> bool {
        matches!(
            self,
            Self::ConnectionBroken
                | Self::Evicted
                | Self::MalformedMessage
                | Self::HeadTimeout
                | Self::ResponseStalled
                | Self::InvalidRequest
                | Self::BodyStalled
                | Self::UploadFailed
        )
    }

    /// Returns the level of a log line with this reason. Abnormal ends are logged at `info`, those that clients cause
    /// within their log budget.
    pub(crate) fn level(self) -> Level {
        if self.is_failure() {
            Level::Info
        } else if self.is_client_fault() {
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
