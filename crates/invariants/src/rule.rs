//! The rules.
use std::fmt;

/// What a proxy may never do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// An RPC has one final answer.
    OneFinalAnswer,
    /// The answer comes before the deadline.
    AnswerInTime,
    /// A request that was read has an answer before its connection is closed.
    NoRequestUnanswered,
    /// No attempt begins after the client has gone, past [`crate::DISCONNECT_SLACK`].
    NoAttemptAfterDisconnect,
    /// No attempt begins after the client's time, or tells its backend more than is left of it, past
    /// [`crate::DEADLINE_SLACK`].
    NoAttemptBeyondDeadline,
    /// Nothing begins for an RPC that has its answer.
    NothingAfterEnd,
    /// No effect is repeated that may not be.
    NoSecondEffect,
    /// Nothing new is sent to a draining or removed backend past the grace.
    NothingToDraining,
    /// A warming backend gets no more than all proxies together may send it.
    SlowStartBudget,
    /// No connection is kept beyond the deadline of its phase.
    NoConnectionPastDeadline,
}

impl Rule {
    /// All of them.
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

    /// Its name in logs and reports.
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
