//! The invariants of a proxy and their names.
use std::fmt;

/// An invariant that a proxy must not violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// An RPC has exactly one final response.
    OneFinalResponse,
    /// The response is sent before the deadline of the RPC, or at most [`crate::LATENESS_SLACK`] later.
    ResponseBeforeDeadline,
    /// A request that was received gets a response before its connection is closed.
    NoRequestWithoutResponse,
    /// No attempt starts after the client has disconnected.
    NoAttemptAfterDisconnect,
    /// No attempt starts after the client's deadline, or forwards a timeout that exceeds the time left until then by
    /// more than [`crate::DEADLINE_SLACK`].
    NoAttemptBeyondDeadline,
    /// No attempt starts for an RPC that already has its response or whose client has disconnected.
    NoAttemptAfterEnd,
    /// An RPC that must be executed at most once is not sent again once a backend may have executed it.
    NoDuplicateExecution,
    /// No attempt is sent to a draining or removed backend after the drain grace.
    NoAttemptToDrainingBackend,
    /// A backend in slow start is sent no more requests than [`crate::slow_start_limit`] allows.
    SlowStartLimit,
    /// No client connection stays open after the deadline of its phase, apart from [`crate::LATENESS_SLACK`].
    NoConnectionPastDeadline,
}

impl Rule {
    /// All rules, in the order of their discriminants.
    pub const ALL: [Self; 10] = [
        Self::OneFinalResponse,
        Self::ResponseBeforeDeadline,
        Self::NoRequestWithoutResponse,
        Self::NoAttemptAfterDisconnect,
        Self::NoAttemptBeyondDeadline,
        Self::NoAttemptAfterEnd,
        Self::NoDuplicateExecution,
        Self::NoAttemptToDrainingBackend,
        Self::SlowStartLimit,
        Self::NoConnectionPastDeadline,
    ];

    /// Returns the name of the rule in logs and in the admin API. Names must not change.
    pub fn name(self) -> &'static str {
        match self {
            Self::OneFinalResponse => "one-final-answer",
            Self::ResponseBeforeDeadline => "answer-in-time",
            Self::NoRequestWithoutResponse => "no-request-unanswered",
            Self::NoAttemptAfterDisconnect => "no-attempt-after-disconnect",
            Self::NoAttemptBeyondDeadline => "no-attempt-beyond-deadline",
            Self::NoAttemptAfterEnd => "nothing-after-end",
            Self::NoDuplicateExecution => "no-second-effect",
            Self::NoAttemptToDrainingBackend => "nothing-to-draining",
            Self::SlowStartLimit => "slow-start-budget",
            Self::NoConnectionPastDeadline => "no-connection-past-deadline",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
