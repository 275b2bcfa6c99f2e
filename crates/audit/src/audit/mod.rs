//! Checks the four rules over the entries of a ledger, in chronological order.
//!
//! The `tracker` keeps the state that several rules need. Each rule has a module of its own, whose `observe` gets each
//! event after the tracker has recorded it.
mod draining;
mod no_duplicate_effect;
mod one_answer;
mod slow_start;
mod tracker;
mod violations;

use crate::event::{Admission, AttemptEnd, Entry, Event, RequestOutcome};
use crate::findings::{Counts, Findings, LatenessSummary};
use crate::header::Header;
use crate::service::ServiceAccumulator;
use draining::Draining;
use no_duplicate_effect::NoDuplicateEffect;
use one_answer::OneAnswer;
use slow_start::SlowStart;
use tracker::Tracker;
use violations::Violations;

/// An audit in progress: [`feed`](Self::feed) takes the entries in chronological order, [`finish`](Self::finish) returns
/// the findings.
pub struct Audit<'a> {
    tracker: Tracker<'a>,
    one_answer: OneAnswer,
    no_duplicate_effect: NoDuplicateEffect,
    draining: Draining,
    slow_start: SlowStart,
    violations: Violations,
    counts: Counts,
    service: ServiceAccumulator<'a>,
    /// Scheduling delays of the emulated clients, in seconds.
    client_lateness: Vec<f64>,
    /// Scheduling delays of the emulated backends, in seconds.
    emulator_lateness: Vec<f64>,
}

impl<'a> Audit<'a> {
    /// Creates an audit without entries.
    pub fn new(header: &'a Header) -> Self {
        Self {
            tracker: Tracker::new(header),
            one_answer: OneAnswer::default(),
            no_duplicate_effect: NoDuplicateEffect::default(),
            draining: Draining::default(),
            slow_start: SlowStart::default(),
            violations: Violations::default(),
            counts: Counts::default(),
            service: ServiceAccumulator::new(header),
            client_lateness: Vec::new(),
            emulator_lateness: Vec::new(),
        }
    }

    /// Audits a complete ledger, whose entries are in chronological order.
    pub fn of(header: &'a Header, entries: &[Entry]) -> Findings {
        let mut audit = Self::new(header);
        for entry in entries {
            audit.feed(entry);
        }
        audit.finish()
    }

    /// Processes an entry, which must not be earlier than the previous one.
    pub fn feed(&mut self, entry: &Entry) {
        self.tracker.record(entry);
        self.count(entry);
        let tracker = &self.tracker;
        let violations = &mut self.violations;
        self.one_answer.observe(entry, tracker, violations);
        self.no_duplicate_effect.observe(entry, tracker, violations);
        self.draining.observe(entry, tracker, violations);
        self.slow_start.observe(entry, tracker, violations);
    }

    /// Updates the counts and the quality of service.
    fn count(&mut self, entry: &Entry) {
        let counts = &mut self.counts;
        match entry.event {
            Event::Arrival {
                rpc,
                method,
                tenant,
                within_quota,
            } => {
                counts.rpcs += 1;
                let method = method as usize;
                let tenant = tenant as usize;
                self.service
                    .record_arrival(entry.at, rpc, method, tenant, within_quota);
            }
            Event::RequestSent { .. } => counts.client_requests += 1,
            Event::RequestEnded {
                request_id,
                outcome,
            } => self.count_outcome(entry.at, request_id, outcome),
            Event::AttemptReceived(received) => {
                counts.attempts += 1;
                counts.attempts_rejected += usize::from(received.admission == Admission::Rejected);
            }
            Event::ExecutionStarted { .. } => counts.executions += 1,
            Event::DuplicateDropped { .. } => counts.duplicates_dropped += 1,
            Event::AttemptEnded { how, .. } => {
                counts.attempts_cancelled += usize::from(how == AttemptEnd::Cancelled);
            }
            Event::BackendCollapsed { .. } => counts.collapsed += 1,
            Event::ClientLate { delay } => self.client_lateness.push(f64::from(delay)),
            Event::EmulatorLate { delay } => self.emulator_lateness.push(f64::from(delay)),
            _ => {}
        }
    }

    /// Counts the first outcome of a request; further ones are violations of rule 1.
    fn count_outcome(&mut self, at: f64, request_id: u64, outcome: RequestOutcome) {
        let Some(request) = self.tracker.requests.get(&request_id) else {
            return;
        };
        if request.outcome_count > 1 {
            return;
        }
        match outcome {
            RequestOutcome::Ok => {
                self.counts.ok += 1;
                self.service.record_success(at, request.rpc);
            }
            RequestOutcome::Rejected(_) => self.counts.rejected += 1,
            RequestOutcome::Aborted(_) => self.counts.aborted += 1,
            RequestOutcome::Unreachable => self.counts.unreachable += 1,
            RequestOutcome::Cancelled => self.counts.cancelled += 1,
            RequestOutcome::Lost | RequestOutcome::TimedOut | RequestOutcome::Malformed => {}
        }
    }

    /// Runs the checks that need the complete ledger, and returns the findings.
    pub fn finish(mut self) -> Findings {
        let tracker = &self.tracker;
        let violations = &mut self.violations;
        self.one_answer.finish(tracker, violations);
        NoDuplicateEffect::finish(tracker, violations);
        let counts = Counts {
            lost_with_proxy: self.one_answer.lost_with_proxy,
            repeated_executions: self.no_duplicate_effect.repeated_executions,
            double_executions: self.no_duplicate_effect.double_executions,
            collapsed_uninformed: self.slow_start.collapsed_uninformed,
            ..self.counts
        };
        Findings {
            cold_starts: self.slow_start.cold_starts(&self.tracker),
            violations: self.violations.into_sorted(),
            counts,
            service: self.service.finish(),
            max_delay_after_notification: self.draining.max_delay_after_notification,
            client_lateness: LatenessSummary::from_samples(&mut self.client_lateness),
            emulator_lateness: LatenessSummary::from_samples(&mut self.emulator_lateness),
        }
    }
}
