//! How a rule was broken, or would have been, with the evidence.
use crate::rule::Rule;
use std::time::Duration;
use thiserror::Error;

/// One breach of a rule, with what was seen.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum Violation {
    /// See [`Rule::OneFinalAnswer`].
    #[error("a second answer was decided")]
    SecondAnswer,
    /// See [`Rule::AnswerInTime`].
    #[error("answered {late:?} after the deadline")]
    LateAnswer {
        /// Beyond the deadline.
        late: Duration,
    },
    /// See [`Rule::NoRequestUnanswered`].
    #[error("the connection was closed with the request unanswered")]
    Unanswered,
    /// See [`Rule::NoAttemptAfterDisconnect`].
    #[error("an attempt for a client that has gone")]
    ClientGone,
    /// See [`Rule::NoAttemptBeyondDeadline`].
    #[error("an attempt {late:?} after the deadline")]
    DeadlinePassed {
        /// Beyond the deadline.
        late: Duration,
    },
    /// See [`Rule::NoAttemptBeyondDeadline`].
    #[error(
        "an attempt forwards a timeout of {forwarded_timeout:?} with {left:?} left to the client"
    )]
    DeadlineExceeded {
        /// The timeout that is forwarded to the backend.
        forwarded_timeout: Duration,
        /// What is left to the client.
        left: Duration,
    },
    /// See [`Rule::NothingAfterEnd`].
    #[error("an attempt for an RPC that has its answer")]
    AfterEnd,
    /// See [`Rule::NoSecondEffect`].
    #[error("an attempt beside one that may have run")]
    SecondEffect,
    /// See [`Rule::NoSecondEffect`].
    #[error(
        "an attempt {since_first:?} after the first, where duplicates are dropped for {window:?}"
    )]
    WindowOver {
        /// Since the first attempt that may have run.
        since_first: Duration,
        /// For which duplicates are dropped.
        window: Duration,
    },
    /// See [`Rule::NothingToDraining`].
    #[error("an attempt to a backend that takes nothing new")]
    Draining,
    /// See [`Rule::SlowStartBudget`].
    #[error("{sent} requests to a warming backend, where all proxies may send {limit:.1}")]
    SlowStart {
        /// By this proxy, in the window.
        sent: u32,
        /// By all proxies.
        limit: f64,
    },
    /// See [`Rule::NoConnectionPastDeadline`].
    #[error("the connection ended {late:?} after its deadline")]
    LateClose {
        /// Beyond the deadline.
        late: Duration,
    },
}

impl Violation {
    /// The rule that is broken.
    pub fn rule(&self) -> Rule {
        match self {
            Self::SecondAnswer => Rule::OneFinalAnswer,
            Self::LateAnswer { .. } => Rule::AnswerInTime,
            Self::Unanswered => Rule::NoRequestUnanswered,
            Self::ClientGone => Rule::NoAttemptAfterDisconnect,
            Self::DeadlinePassed { .. } | Self::DeadlineExceeded { .. } => {
                Rule::NoAttemptBeyondDeadline
            }
            Self::AfterEnd => Rule::NothingAfterEnd,
            Self::SecondEffect | Self::WindowOver { .. } => Rule::NoSecondEffect,
            Self::Draining => Rule::NothingToDraining,
            Self::SlowStart { .. } => Rule::SlowStartBudget,
            Self::LateClose { .. } => Rule::NoConnectionPastDeadline,
        }
    }
}
