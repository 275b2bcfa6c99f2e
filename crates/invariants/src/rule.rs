//! The rules that a proxy must keep.
use std::fmt;

/// A rule that a proxy must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// An RPC has exactly one final response.
    OneFinalAnswer,
    /// The response is sent before the deadline.
    AnswerInTime,
    /// A request that was read has a response before its connection is closed.
    NoRequestUnanswered,
    /// No attempt starts after the client has disconnected.
    NoAttemptAfterDisconnect,
    /// No attempt starts after the client's deadline, or forwards a timeout that exceeds the time left by more than
    /// [`crate::DEADLINE_SLACK`].
    NoAttemptBeyondDeadline,
    /// No attempt starts for an RPC that has its response.
    NothingAfterEnd,
    /// No RPC is executed a second time that must be executed at most once.
    NoSecondEffect,
    /// No attempt is sent to a draining or removed backend after the drain grace.
    NothingToDraining,
    /// A warming backend is sent no more than [`crate::slow_start_limit`] allows.
    SlowStartBudget,
    /// No client connection stays open after the deadline of its phase.
    NoConnectionPastDeadline,
}

impl Rule {
    /// All rules, in the order of their discriminants.
    pub const ALL: [Self; 10] = [
        Self::OneFinalAnswer,
        Self::AnswerInTime,
        Self::NoRequestUnanswered,
        Self::NoAttemptAfterDisconnect,
        Self::NoAttemptBeyondDeadline,
        Self::NothingAfterEnd,
        Self::NoSecondEffect,
        Self::NothingToDraining,
        Self::SlowStartBudget,
        Self::NoConnectionPastDeadline,
    ];

    /// Returns the name of the rule in logs and in the admin API, which must not change.
    pub fn name(self) -> &'static str {
        match self {
            Self::OneFinalAnswer => "one-final-answer",
            Self::AnswerInTime => "answer-in-time",
            Self::NoRequestUnanswered => "no-request-unanswered",
            Self::NoAttemptAfterDisconnect => "no-attempt-after-disconnect",
            Self::NoAttemptBeyondDeadline => "no-attempt-beyond-deadline",
            Self::NothingAfterEnd => "nothing-after-end",
            Self::NoSecondEffect => "no-second-effect",
            Self::NothingToDraining => "nothing-to-draining",
            Self::SlowStartBudget => "slow-start-budget",
            Self::NoConnectionPastDeadline => "no-connection-past-deadline",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(self.name())
    }
}
