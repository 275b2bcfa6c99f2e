//! The phases of a client's connection, each with the deadline that bounds it.
use crate::end_reason::EndReason;
use crate::net::progress_deadline::ProgressDeadline;
use tokio::time::Instant;

/// The phase of a client's connection, with its deadline. Every phase has one, so no connection can wait forever.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ConnectionPhase {
    /// The client has sent nothing since it connected.
    AwaitingFirstByte {
        /// When the first byte must have been received.
        deadline: Instant,
    },
    /// Between two messages.
    Idle {
        /// When the next message must have begun.
        deadline: Instant,
    },
    /// Part of a message's head was received.
    ReadingHead {
        /// When the head must be complete.
        deadline: Instant,
    },
    /// The head is complete, and the message waits for its share of the event loop.
    AwaitingAdmission {
        /// When the message must have its response.
        response_deadline: Instant,
    },
    /// The head is complete, the buffered part of the body is not.
    ReadingBody {
        /// When the message must have its response.
        response_deadline: Instant,
    },
    /// The RPC waits for its response.
    RpcInFlight {
        /// When the RPC must have its response.
        response_deadline: Instant,
    },
    /// The response is being written. Each byte that the socket accepts extends the deadline, up to its limit.
    WritingResponse {
        /// When the client must have read more of the response.
        progress: ProgressDeadline,
    },
    /// The last response was written, and the client gets time to read it.
    Lingering {
        /// When the connection is closed.
        deadline: Instant,
    },
}

impl ConnectionPhase {
    /// The name of the phase in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::AwaitingFirstByte { .. } => "AwaitingFirstByte",
            Self::Idle { .. } => "Idle",
            Self::ReadingHead { .. } => "ReadingHead",
            Self::AwaitingAdmission { .. } => "AwaitingAdmission",
            Self::ReadingBody { .. } => "ReadingBody",
            Self::RpcInFlight { .. } => "RpcInFlight",
            Self::WritingResponse { .. } => "WritingResponse",
            Self::Lingering { .. } => "Lingering",
        }
    }

    /// Returns the deadline of this phase and the reason used to close the connection when it expires.
    pub(crate) fn scheduled_close(self) -> ScheduledClose {
        match self {
            Self::AwaitingFirstByte { deadline } | Self::Idle { deadline } => {
                ScheduledClose::new(deadline, EndReason::IdleTimeout)
            }
            Self::ReadingHead { deadline } => ScheduledClose::new(deadline, EndReason::HeadTimeout),
            // The request parser and the RPC service respond before this deadline; it only expires if they fail to.
            Self::AwaitingAdmission { response_deadline }
            | Self::ReadingBody { response_deadline }
            | Self::RpcInFlight { response_deadline } => {
                ScheduledClose::new(response_deadline, EndReason::ResponseOverdue)
            }
            Self::WritingResponse { progress } => {
                ScheduledClose::new(progress.expires_at(), EndReason::ResponseStalled)
            }
            Self::Lingering { deadline } => ScheduledClose::new(deadline, EndReason::LastResponse),
        }
    }

    /// Whether an RPC is in flight or its response is being written.
    pub(crate) fn is_serving(self) -> bool {
        matches!(
            self,
            Self::RpcInFlight { .. } | Self::WritingResponse { .. }
        )
    }

    /// Whether the connection must not be closed to make room or to drain: a message was received and has no response.
    pub(crate) fn is_busy(self) -> bool {
        self.is_serving() || matches!(self, Self::AwaitingAdmission { .. })
    }
}

/// When and why a connection is closed unless its state changes first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledClose {
    /// The time of the close.
    pub at: Instant,
    /// The reason that is logged.
    pub reason: EndReason,
}

impl ScheduledClose {
    /// Creates a close at this time for this reason.
    pub(crate) fn new(at: Instant, reason: EndReason) -> Self {
        Self { at, reason }
    }

    /// Returns the earlier of two; `self` if both are due at the same time.
    pub(crate) fn earlier(self, other: Self) -> Self {
        if other.at < self.at { other } else { self }
    }
}
