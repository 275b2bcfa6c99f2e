//! The checker: judges attempts, responses and closed connections, and counts what it finds.
//!
//! An attempt that the decisions must never request is a violation, which is prevented and counted. An attempt that
//! became wrong between the decision and its first byte, as when the client disconnects in between, is a refusal: that
//! race is unavoidable, and the attempt is safely not sent.
use crate::attempt::{AttemptSend, AttemptStart, RepeatRule};
use crate::rule::Rule;
use crate::violation::Violation;
use crate::{DEADLINE_SLACK, LATENESS_SLACK};
use std::cell::Cell;
use std::time::Duration;

/// A counter for each rule, in the order of [`Rule::ALL`].
type RuleCounts = [Cell<u64>; Rule::ALL.len()];

/// Judges by the rules, and counts violations and refusals.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    violations: RuleCounts,
    refusals: RuleCounts,
}

impl InvariantChecker {
    /// Judges an attempt that the decisions start. An expired deduplication window counts as a refusal, since it may
    /// have expired while the process was suspended, which the clock of the decisions excludes.
    ///
    /// # Errors
    ///
    /// Returns the violation if the attempt must not start.
    pub fn check_start(&self, start: &AttemptStart) -> Result<(), Violation> {
        judge_start(start).inspect_err(|violation| match violation {
            Violation::DeduplicationWindowExpired { .. } => self.count_refusal(violation),
            _ => self.count(violation),
        })
    }

    /// Judges an attempt before its first byte is sent. A forwarded timeout that is too long counts as a violation,
    /// since the proxy itself has chosen it. All else counts as a refusal.
    ///
    /// # Errors
    ///
    /// Returns the violation if the attempt must not be sent.
    pub fn check_send(&self, send: &AttemptSend) -> Result<(), Violation> {
        judge_send(send).inspect_err(|violation| match violation {
            Violation::ForwardedTimeoutTooLong { .. } => self.count(violation),
            _ => self.count_refusal(violation),
        })
    }

    /// Judges how late a response, or the close of a connection, was. `suspended` is the time for which the process was
    /// suspended after the deadline, which is allowed. `violation` makes the violation of the remaining lateness.
    ///
    /// # Errors
    ///
    /// Returns the violation, which is counted, if the lateness exceeds [`LATENESS_SLACK`].
    pub fn check_lateness(
        &self,
        late: Duration,
        suspended: Duration,
        violation: fn(Duration) -> Violation,
    ) -> Result<(), Violation> {
        let late = late.saturating_sub(suspended);
        if late <= LATENESS_SLACK {
            return Ok(());
        }
        let violation = violation(late);
        self.count(&violation);
        Err(violation)
    }

    /// Counts a violation.
    pub fn count(&self, violation: &Violation) {
        increment(&self.violations, violation.rule());
    }

    fn count_refusal(&self, violation: &Violation) {
        increment(&self.refusals, violation.rule());
    }

    /// Returns the number of violations of a rule.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.violations[rule as usize].get()
    }

    /// Returns the number of attempts that were refused by a rule.
    pub fn refusals(&self, rule: Rule) -> u64 {
        self.refusals[rule as usize].get()
    }
}

fn increment(counts: &RuleCounts, rule: Rule) {
    counts[rule as usize].update(|count| count + 1);
}

fn judge_start(start: &AttemptStart) -> Result<(), Violation> {
    if start.is_finished {
        return Err(Violation::AttemptAfterEnd);
    }
    let Some(since_first) = start.since_first_execution else {
        return Ok(());
    };
    match start.repeat_rule {
        RepeatRule::Always => Ok(()),
        RepeatRule::Never => Err(Violation::UnsafeRepeat),
        RepeatRule::Within(window) if since_first < window => Ok(()),
        RepeatRule::Within(window) => Err(Violation::DeduplicationWindowExpired {
            since_first,
            window,
        }),
    }
}

fn judge_send(send: &AttemptSend) -> Result<(), Violation> {
    if send.is_client_disconnected {
        return Err(Violation::ClientDisconnected);
    }
    if !send.is_backend_ready {
        return Err(Violation::BackendDraining);
    }
    // The deduplication window has expired since the start. Reported as `UnsafeRepeat`, because the facts of a send do
    // not include the window; it counts for the same rule as `DeduplicationWindowExpired`.
    if send.repeat_time_left == Some(Duration::ZERO) {
        return Err(Violation::UnsafeRepeat);
    }
    let Some(left) = send.time_left else {
        return Ok(());
    };
    if left.is_zero() {
        let late = send.past_deadline;
        return Err(Violation::DeadlinePassed { late });
    }
    let forwarded = send.forwarded_timeout;
    if forwarded > left + DEADLINE_SLACK {
        return Err(Violation::ForwardedTimeoutTooLong { forwarded, left });
    }
    Ok(())
}
