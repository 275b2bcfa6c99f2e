//! What happens to one RPC after it was accepted, and whom the end of an attempt concerns.
use crate::attempt::{BackendChoice, CompletedAttempt};
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME;
use crate::interface::{AttemptOutcome, LoadReport, PacedBy, Platform};
use crate::policy::dispatch::{AttemptResult, Dispatcher};
use crate::policy::load_reports::{IdleSignal, ReportSource};
use crate::policy::{outlier_detection, throttle};
use crate::rpc_state::RpcState;
use std::cell::RefCell;
use std::rc::Rc;

/// An RPC this proxy has accepted.
pub struct RpcHandle {
    dispatcher: Rc<RefCell<Dispatcher>>,
    rpc: Rc<RpcState>,
}

impl RpcHandle {
    /// The handle of an RPC.
    pub(super) fn new(dispatcher: Rc<RefCell<Dispatcher>>, rpc: Rc<RpcState>) -> Self {
        Self { dispatcher, rpc }
    }

    /// It has its final answer and no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.rpc.is_finished()
    }

    /// The response has started; from here on it is the client's, without timeout or deadline.
    pub fn on_response_started(
        &self,
        attempt: usize,
        paced_by: PacedBy,
        platform: &mut dyn Platform,
    ) {
        self.rpc
            .record_response_started(attempt, paced_by, platform.now());
    }

    /// The last byte of a streamed request has been sent: its backend begins, and its time counts from here.
    pub fn on_request_sent(&self, attempt: usize, platform: &mut dyn Platform) {
        self.rpc.record_request_sent(attempt, platform.now());
    }

    /// A part of its body was sent and not kept: no retry could have all of it.
    pub fn forbid_retry(&self) {
        self.rpc.retry_forbidden.set(true);
    }

    /// The client has closed its connection or cancelled.
    pub fn on_client_disconnected(&self, platform: &mut dyn Platform) {
        self.rpc.answered.set(true);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.pending.remove(&self.rpc);
        dispatcher.cancel_attempts(&self.rpc, platform);
        dispatcher.release_key(&self.rpc);
        dispatcher.serve(platform);
    }

    /// An attempt has ended; `answered` if the client has been answered with it.
    pub fn on_attempt_ended(
        &self,
        attempt: usize,
        outcome: AttemptOutcome,
        answered: bool,
        report: Option<LoadReport>,
        platform: &mut dyn Platform,
    ) {
        let (mut dispatcher, now) = (self.dispatcher.borrow_mut(), platform.now());
        let Some(attempt) = self.rpc.end_attempt(attempt, outcome, now) else {
            return;
        };
        attempt.backend.change_in_flight(-1, now, AVERAGING_TIME);
        dispatcher.record_attempt(&self.rpc, &attempt, now);
        dispatcher.record_outcome(&attempt, report, now);
        dispatcher.reindex(&attempt.backend, now);
        let result = if answered || attempt.succeeded() {
            AttemptResult::Answered
        } else {
            AttemptResult::Failed
        };
        dispatcher.finish_or_retry(&self.rpc, result, platform);
        dispatcher.release_key(&self.rpc);
        dispatcher.serve(platform);
    }
}

impl Dispatcher {
    /// What an attempt tells of its method, its tenant and the way in which its backend was picked.
    fn record_attempt(&mut self, rpc: &RpcState, attempt: &CompletedAttempt, now: f64) {
        let measured = attempt.is_timed() || attempt.was_rejected();
        if let Some(level) = attempt.load_level.filter(|_| measured) {
            let objectives = attempt.estimated_duration() / rpc.method.settings.latency_objective;
            self.load_reports
                .quality
                .record_attempt(level, objectives, now);
        }
        // Of rejections only that of the last attempt says how long the RPC would have waited.
        let last = attempt.number + 1 >= self.rules.limits.max_attempts;
        if attempt.is_timed() || attempt.was_rejected() && last {
            let estimates = &self.fleet.estimates;
            match attempt.choice {
                BackendChoice::Random { mean_load } => {
                    let duration = attempt.estimated_duration();
                    rpc.method.record_wait(duration, mean_load, estimates, now);
                }
                BackendChoice::IdleQueue => self.idle_queue.record_attempt(attempt, estimates, now),
            }
        }
        self.admission.record_attempt(rpc, attempt, now);
        if attempt.is_timed() {
            attempt
                .backend
                .response_time
                .add(attempt.estimated_duration(), now, AVERAGING_TIME);
            let idle_signal = self.load_reports.idle_signal(now);
            throttle::record_attempt(rpc, attempt, idle_signal, now);
        }
        if attempt.may_still_run() {
            self.keyed
                .cool_down(rpc, now + self.rules.limits.key_cooldown);
        }
    }

    /// What an outcome tells of the backend.
    fn record_outcome(&mut self, attempt: &CompletedAttempt, report: Option<LoadReport>, now: f64) {
        let (backend, outcome) = (&attempt.backend, attempt.outcome);
        backend.record_outcome(outcome, now);
        match outcome {
            AttemptOutcome::Succeeded => self.record_success(attempt, report, now),
            AttemptOutcome::Rejected => {
                outlier_detection::record_rejection(backend, &mut self.fleet, now)
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            _ => self
                .outlier_detection
                .record_failure(backend, outcome, &mut self.fleet, now),
        }
    }

    fn record_success(&mut self, attempt: &CompletedAttempt, report: Option<LoadReport>, now: f64) {
        let backend = &attempt.backend;
        self.outlier_detection.record_success(backend, now);
        self.retry_budget.record_success();
        self.fleet
            .estimates
            .record_completion(attempt.duration, now);
        let ready = self.fleet.index.ready_count();
        self.rules
            .slow_start
            .budget
            .record_completion(backend, ready, now);
        self.record_report(backend, report, None, now);
        if report.is_none() && self.load_reports.idle_signal(now) == IdleSignal::Response {
            self.enqueue_idle(backend, now);
        }
    }

    /// A report, or the time that a health check took, tells a backend's load.
    pub(super) fn record_report(
        &mut self,
        backend: &Rc<Backend>,
        report: Option<LoadReport>,
        check_duration: Option<f64>,
        now: f64,
    ) {
        let Some(load) = self.load_reports.load(report, check_duration, &self.fleet) else {
            return;
        };
        let source = if check_duration.is_some() {
            ReportSource::HealthCheck
        } else {
            ReportSource::Response
        };
        let is_idle = self
            .load_reports
            .record(backend, load, source, &self.fleet, now);
        self.rules
            .slow_start
            .budget
            .record_report(backend, source, &self.fleet.rng, now);
        if is_idle {
            self.enqueue_idle(backend, now);
        }
    }

    /// A health check that did not succeed tells a backend's load by its time, or that the backend fails.
    pub(super) fn record_failed_check(
        &mut self,
        backend: &Backend,
        outcome: AttemptOutcome,
        duration: Option<f64>,
        now: f64,
    ) {
        if let Some(duration) = duration.filter(|_| self.load_reports.checks_measure_queue) {
            self.fleet.estimates.record_failed_check(duration, now);
        }
        if outcome != AttemptOutcome::Rejected {
            self.outlier_detection
                .record_failure(backend, outcome, &mut self.fleet, now);
        }
    }

    fn enqueue_idle(&mut self, backend: &Rc<Backend>, now: f64) {
        let idle_signal = self.load_reports.idle_signal(now);
        self.idle_queue
            .enqueue(backend, idle_signal, &self.fleet, now);
    }
}
