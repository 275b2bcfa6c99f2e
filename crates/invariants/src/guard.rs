//! The one guard of a process.
//!
//! What it refuses is of two kinds. An attempt that the decisions should never have asked for is a violation, prevented but
//! counted. One that became wrong between the decision and the first byte, as when the client goes in between, is a
//! refusal: that race can't be avoided, only be lost safely.
use crate::rule::Rule;
use crate::violation::Violation;
use crate::{DEADLINE_SLACK, LATENESS_SLACK};
use std::cell::Cell;
use std::fmt;
use std::time::Duration;

/// Whether a method's requests may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatRule {
    /// They may: they have no effect.
    Always,
    /// They may not.
    Never,
    /// For so long after the first such attempt, by which backends drop them as duplicates.
    Within(Duration),
}

/// What is known as the decisions start an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptStart {
    /// The RPC has its answer.
    pub is_answered: bool,
    /// Whether it may be repeated.
    pub repeat_rule: RepeatRule,
    /// Since the first of its attempts that may have run.
    pub since_first: Option<Duration>,
}

/// What is known as the first byte of an attempt is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendFacts {
    /// The client's connection has ended.
    pub is_client_gone: bool,
    /// What is left to the client; none where its time counts from a byte that is still to come.
    pub time_left: Option<Duration>,
    /// How long the client's time has been over.
    pub late: Duration,
    /// The `Request-Timeout-Ms` that is forwarded to the backend.
    pub forwarded_timeout: Duration,
    /// The backend takes new requests.
    pub is_backend_ready: bool,
    /// What is left of the time in which a repeat is recognised; none where that is not limited.
    pub repeat_time_left: Option<Duration>,
}

/// Checks and counts.
#[derive(Debug, Default)]
pub struct Guard {
    violations: [Cell<u64>; Rule::ALL.len()],
    refusals: [Cell<u64>; Rule::ALL.len()],
}

impl Guard {
    /// Judges an attempt that the decisions start; after an error it must not start. Time may have passed while the
    /// process was stopped, which the decisions leave out: a window that is over since is a refusal, all else a violation.
    pub fn check_start(&self, facts: &AttemptStart) -> Result<(), Violation> {
        let result = judge_start(facts);
        match &result {
            Err(refused @ Violation::WindowOver { .. }) => {
                increment(&self.refusals, refused.rule());
            }
            Err(violation) => self.count(violation),
            Ok(()) => {}
        }
        result
    }

    /// Judges an attempt before its first byte. An error is a refusal: the attempt must not be sent. What the decisions or
    /// their platform should never have asked for is counted as a violation.
    pub fn check_send(&self, facts: &SendFacts) -> Result<(), Violation> {
        let result = judge_send(facts);
        match &result {
            Err(violation @ Violation::DeadlineExceeded { .. }) => self.count(violation),
            Err(refused) => increment(&self.refusals, refused.rule()),
            Ok(()) => {}
        }
        result
    }

    /// Judges how late an answer was, or a connection's end, as a violation that is counted. `excused` is the time for
    /// which the process was stopped meanwhile.
    pub fn check_lateness(
        &self,
        late: Duration,
        excused: Duration,
        violation: fn(Duration) -> Violation,
    ) -> Result<(), Violation> {
        let late = late.saturating_sub(excused);
        if late <= LATENESS_SLACK {
            return Ok(());
        }
        let violation = violation(late);
        self.count(&violation);
        Err(violation)
    }

    /// Counts what was seen to be broken.
    pub fn count(&self, violation: &Violation) {
        increment(&self.violations, violation.rule());
    }

    /// How often a rule was broken.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.violations[rule as usize].get()
    }

    /// How often an attempt was refused for a rule.
    pub fn refusals(&self, rule: Rule) -> u64 {
        self.refusals[rule as usize].get()
    }

    /// The counts, as a line.
    pub fn report(&self) -> Report<'_> {
        Report(self)
    }
}

fn increment(counts: &[Cell<u64>; Rule::ALL.len()], rule: Rule) {
    counts[rule as usize].update(|count| count + 1);
}

fn judge_start(facts: &AttemptStart) -> Result<(), Violation> {
    if facts.is_answered {
        return Err(Violation::AfterEnd);
    }
    match (facts.since_first, facts.repeat_rule) {
        (None, _) | (_, RepeatRule::Always) => Ok(()),
        (Some(_), RepeatRule::Never) => Err(Violation::SecondEffect),
        (Some(since_first), RepeatRule::Within(window)) if since_first < window => Ok(()),
        (Some(since_first), RepeatRule::Within(window)) => Err(Violation::WindowOver {
            since_first,
            window,
        }),
    }
}

fn judge_send(facts: &SendFacts) -> Result<(), Violation> {
    if facts.is_client_gone {
        return Err(Violation::ClientGone);
    }
    if !facts.is_backend_ready {
        return Err(Violation::Draining);
    }
    if facts.repeat_time_left == Some(Duration::ZERO) {
        return Err(Violation::SecondEffect);
    }
    let Some(left) = facts.time_left else {
        return Ok(());
    };
    if left.is_zero() {
        return Err(Violation::DeadlinePassed { late: facts.late });
    }
    let forwarded_timeout = facts.forwarded_timeout;
    if forwarded_timeout > left + DEADLINE_SLACK {
        return Err(Violation::DeadlineExceeded {
            forwarded_timeout,
            left,
        });
    }
    Ok(())
}

/// The counts of a guard: what was violated and what was refused, by rule; rules with neither are left out.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a>(&'a Guard);

impl Report<'_> {
    /// Violations of all rules.
    pub fn violations(&self) -> u64 {
        Rule::ALL.iter().map(|rule| self.0.violations(*rule)).sum()
    }
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{} violations", self.violations())?;
        for rule in Rule::ALL {
            let (violated, refused) = (self.0.violations(rule), self.0.refusals(rule));
            if violated + refused > 0 {
                write!(to, ", {rule}: {violated} violated, {refused} refused")?;
            }
        }
        Ok(())
    }
}
