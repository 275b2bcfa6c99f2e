//! Checks attempts, responses and closed connections, and counts violations and refusals.
//!
//! An attempt that the decision logic must never request is a violation. An attempt that was correct when it was
//! decided but not when its first byte is about to be sent, for example because the client has disconnected in between,
//! is a refusal: that race is unavoidable. In both cases the attempt is counted and not sent.
use crate::attempt::{AttemptSend, AttemptStart, RepeatRule};
use crate::rule::Rule;
use crate::violation::Violation;
use crate::{DEADLINE_SLACK, LATENESS_SLACK};
use std::cell::Cell;
use std::time::Duration;

/// A counter for each rule, in the order of [`Rule::ALL`].
type RuleCounts = [Cell<u64>; Rule::ALL.len()];

/// Checks events against the rules, and counts violations and refusals by rule.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    violations: RuleCounts,
    refusals: RuleCounts,
}

impl InvariantChecker {
    /// Checks an attempt when the decision logic starts it. An expired deduplication window counts as a refusal: it may
    /// have expired while the process was suspended, which the clock of the decision logic excludes.
    ///
    /// # Errors
    ///
    /// Returns the violation if the attempt must not start.
    pub fn check_start(&self, start: &AttemptStart) -> Result<(), Violation> {
        validate_start(start).inspect_err(|violation| match violation {
            Violation::DeduplicationWindowExpired { .. } => self.count_refusal(violation),
            _ => self.count(violation),
        })
    }

    /// Checks an attempt before its first byte is sent. A forwarded timeout that is too long counts as a violation,
    /// because the proxy itself has chosen it. Everything else counts as a refusal.
    ///
    /// # Errors
    ///
    /// Returns the violation if the attempt must not be sent.
    pub fn check_send(&self, send: &AttemptSend) -> Result<(), Violation> {
        validate_send(send).inspect_err(|violation| match violation {
            Violation::ForwardedTimeoutTooLong { .. } => self.count(violation),
            _ => self.count_refusal(violation),
        })
    }

    /// Checks by how much a response, or the close of a connection, exceeded its deadline. `suspended` is the time for
    /// which the process was suspended after the deadline; it is subtracted from `late`. `violation` constructs the
    /// violation from the remaining lateness.
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

    /// Counts a violation of its rule.
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

/// Returns an error if the attempt must not start.
fn validate_start(start: &AttemptStart) -> Result<(), Violation> {
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

/// Returns an error if the attempt must not be sent.
fn validate_send(send: &AttemptSend) -> Result<(), Violation> {
    if send.is_client_disconnected {
        return Err(Violation::ClientDisconnected);
    }
    if !send.is_backend_ready {
        return Err(Violation::BackendDraining);
    }
    // The deduplication window has expired since the attempt started. This is reported as `UnsafeRepeat`, because the
    // length of the window is not known here. `DeduplicationWindowExpired` is a violation of the same rule.
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
