//! Violations of the rules, with the measured values.
use crate::rule::Rule;
use std::time::Duration;
use thiserror::Error;

/// A violation of a rule, or the reason for which an attempt was refused. The text is logged.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum Violation {
    /// See [`Rule::OneFinalResponse`].
    #[error("the RPC already has a response, and a second one was decided")]
    SecondResponse,
    /// See [`Rule::ResponseBeforeDeadline`].
    #[error("the response was sent {late:?} after the deadline")]
    LateResponse {
        /// Time after the deadline.
        late: Duration,
    },
    /// See [`Rule::NoRequestWithoutResponse`].
    #[error("the connection was closed before the request had a response")]
    NoResponse,
    /// See [`Rule::NoAttemptAfterDisconnect`].
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// See [`Rule::NoAttemptBeyondDeadline`].
    #[error("the attempt would start {late:?} after the deadline")]
    DeadlinePassed {
        /// Time after the deadline.
        late: Duration,
    },
    /// See [`Rule::NoAttemptBeyondDeadline`].
    #[error(
        "the attempt would forward a timeout of {forwarded:?}, but the client has {left:?} left"
    )]
    ForwardedTimeoutTooLong {
        /// Timeout that would be forwarded to the backend.
        forwarded: Duration,
        /// Time that the client has left.
        left: Duration,
    },
    /// See [`Rule::NoAttemptAfterEnd`].
    #[error("the RPC already has its response, or its client has disconnected")]
    AttemptAfterEnd,
    /// See [`Rule::NoDuplicateExecution`].
    #[error("an earlier attempt may have been executed, and the RPC must not be repeated")]
    UnsafeRepeat,
    /// See [`Rule::NoDuplicateExecution`].
    #[error(
        "the first attempt was {since_first:?} ago, but backends recognise duplicates for {window:?}"
    )]
    DeduplicationWindowExpired {
        /// Time since the first attempt that a backend may have executed.
        since_first: Duration,
        /// Time for which backends recognise duplicates.
        window: Duration,
    },
    /// See [`Rule::NoAttemptToDrainingBackend`].
    #[error("the backend is draining or removed")]
    BackendDraining,
    /// See [`Rule::SlowStartLimit`].
    #[error(
        "{sent} requests were sent to a backend in slow start, but all proxies together may send {limit:.1}"
    )]
    SlowStartLimitExceeded {
        /// Requests that this proxy has sent in the overload window.
        sent: u32,
        /// Requests that all proxies together may send in the overload window.
        limit: f64,
    },
    /// See [`Rule::NoConnectionPastDeadline`].
    #[error("the connection was closed {late:?} after its deadline")]
    LateClose {
        /// Time after the deadline.
        late: Duration,
    },
}

impl Violation {
    /// Returns the violated rule.
    pub fn rule(&self) -> Rule {
        match self {
            Self::SecondResponse => Rule::OneFinalResponse,
            Self::LateResponse { .. } => Rule::ResponseBeforeDeadline,
            Self::NoResponse => Rule::NoRequestWithoutResponse,
            Self::ClientDisconnected => Rule::NoAttemptAfterDisconnect,
            Self::DeadlinePassed { .. } | Self::ForwardedTimeoutTooLong { .. } => {
                Rule::NoAttemptBeyondDeadline
            }
            Self::AttemptAfterEnd => Rule::NoAttemptAfterEnd,
            Self::UnsafeRepeat | Self::DeduplicationWindowExpired { .. } => {
                Rule::NoDuplicateExecution
            }
            Self::BackendDraining => Rule::NoAttemptToDrainingBackend,
            Self::SlowStartLimitExceeded { .. } => Rule::SlowStartLimit,
            Self::LateClose { .. } => Rule::NoConnectionPastDeadline,
        }
    }
}
