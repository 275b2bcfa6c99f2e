//! Rule 2: no RPC has its effect twice. Once a non-idempotent RPC may have run, it gets no further attempt; a
//! deduplicated RPC gets further attempts only within its scope and window. An RPC that may have run is rejected only if
//! a retry is harmless.
use super::tracker::{Attempt, ClientRequest, Tracker};
use super::violations::{Violations, rpc_subject};
use crate::event::{Entry, Event, RequestOutcome};
use crate::findings::{Rule, Violation};
use crate::header::Idempotency;
use std::collections::HashMap;

/// State of rule 2.
#[derive(Debug, Default)]
pub(super) struct NoDuplicateEffect {
    /// Number of executions of each RPC.
    executions: HashMap<u32, usize>,
    /// Repeated executions of RPCs whose method allows them.
    pub(super) repeated_executions: usize,
    /// Repeated executions of RPCs whose method forbids them.
    pub(super) double_executions: usize,
}

impl NoDuplicateEffect {
    /// Checks an event that the tracker has recorded.
    pub(super) fn observe(
        &mut self,
        entry: &Entry,
        tracker: &Tracker<'_>,
        violations: &mut Violations,
    ) {
        match entry.event {
            Event::Arrival { rpc, .. } => {
                self.executions.insert(rpc, 0);
            }
            Event::ExecutionStarted { attempt_id } => {
                if let Some(request) = tracker.request_of_attempt(attempt_id) {
                    self.record_execution(entry.at, request.rpc, tracker, violations);
                }
            }
            _ => {}
        }
    }

    /// Counts an execution, and reports a repeated one that the method forbids.
    fn record_execution(
        &mut self,
        at: f64,
        rpc: u32,
        tracker: &Tracker<'_>,
        violations: &mut Violations,
    ) {
        let Some(executions) = self.executions.get_mut(&rpc) else {
            return;
        };
        *executions += 1;
        if *executions < 2 {
            return;
        }
        match tracker.idempotency(rpc) {
            None => {}
            Some(Idempotency::Idempotent) => self.repeated_executions += 1,
            Some(Idempotency::NonIdempotent | Idempotency::Deduplicated { .. }) => {
                self.double_executions += 1;
                violations.add(Violation {
                    rule: Rule::NoDuplicateEffect,
                    at,
                    subject: rpc_subject(rpc),
                    description: format!("ran {executions} times"),
                    timing_dependent: false,
                });
            }
        }
    }

    /// Checks the attempts of each request, and its rejection if it was rejected.
    pub(super) fn finish(tracker: &Tracker<'_>, violations: &mut Violations) {
        for request in tracker.requests.values() {
            let Some(idempotency) = tracker.idempotency(request.rpc) else {
                continue;
            };
            let check = RequestCheck {
                request,
                idempotency,
                tracker,
            };
            check.run(violations);
        }
    }
}

/// Checks the attempts and the outcome of one request.
struct RequestCheck<'t> {
    request: &'t ClientRequest,
    idempotency: Idempotency,
    tracker: &'t Tracker<'t>,
}

impl RequestCheck<'_> {
    fn run(&self, violations: &mut Violations) {
        for (index, attempt) in self.request.attempts.iter().enumerate() {
            self.check_attempt_count(index, attempt, violations);
            let earlier = &self.request.attempts[..index];
            self.check_hedging(earlier, attempt, violations);
            for first in earlier.iter().filter(|attempt| attempt.may_have_run()) {
                self.check_retry(first, attempt, violations);
            }
        }
        self.check_rejection(violations);
    }

    fn report(
        &self,
        at: f64,
        description: String,
        timing_dependent: bool,
        violations: &mut Violations,
    ) {
        violations.add(Violation {
            rule: Rule::NoDuplicateEffect,
            at,
            subject: rpc_subject(self.request.rpc),
            description,
            timing_dependent,
        });
    }

    fn check_attempt_count(&self, index: usize, attempt: &Attempt, violations: &mut Violations) {
        let allowed = self.tracker.header.rules.max_attempts;
        if index >= allowed {
            let description = format!("{} picks, {allowed} are allowed", index + 1);
            self.report(attempt.first_byte_at, description, false, violations);
        }
    }

    /// Checks that no attempt began while an earlier one was in flight, unless hedging is allowed.
    fn check_hedging(&self, earlier: &[Attempt], attempt: &Attempt, violations: &mut Violations) {
        let rules = &self.tracker.header.rules;
        let started_at = attempt.first_byte_at;
        let overlaps = |earlier: &Attempt| {
            earlier.may_have_run()
                && earlier
                    .ended_at
                    .is_none_or(|ended_at| ended_at > started_at + rules.slack)
        };
        if !rules.hedging_allowed && earlier.iter().any(overlaps) {
            let description = "a second copy while one was out".to_owned();
            self.report(started_at, description, true, violations);
        }
    }

    /// Checks that the RPC may get another attempt after `first`, which may have run.
    fn check_retry(&self, first: &Attempt, attempt: &Attempt, violations: &mut Violations) {
        let header = self.tracker.header;
        let first_backend = self.tracker.backend_of(first.incarnation);
        let backend = self.tracker.backend_of(attempt.incarnation);
        let (reason, timing_dependent) = match self.idempotency {
            Idempotency::Idempotent => return,
            Idempotency::NonIdempotent => ("sent again after it may have run", false),
            Idempotency::Deduplicated { scope, .. }
                if !header.shares_deduplication(scope, first_backend, backend) =>
            {
                ("sent again outside the group that drops repeats", false)
            }
            Idempotency::Deduplicated { window, .. }
                if attempt.first_byte_at > first.first_byte_at + window + header.rules.slack =>
            {
                ("sent again after repeats are forgotten", true)
            }
            Idempotency::Deduplicated { .. } => return,
        };
        let description = format!(
            "{reason}: {} at {:.3}, {} at {:.3}",
            header.backend_name(first_backend),
            first.first_byte_at,
            header.backend_name(backend),
            attempt.first_byte_at
        );
        self.report(
            attempt.first_byte_at,
            description,
            timing_dependent,
            violations,
        );
    }

    /// Checks that an RPC that may have run is not rejected, unless a retry is harmless.
    fn check_rejection(&self, violations: &mut Violations) {
        let Some((at, RequestOutcome::Rejected(_))) = self.request.outcome else {
            return;
        };
        let may_have_run = self
            .request
            .attempts
            .iter()
            .any(|attempt| attempt.may_have_run() && attempt.first_byte_at <= at);
        if may_have_run && !self.idempotency.retry_is_harmless() {
            let description = "pushed back although it may have run".to_owned();
            self.report(at, description, false, violations);
        }
    }
}
