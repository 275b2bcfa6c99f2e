//! Updates the mechanisms with the outcomes of attempts and health checks.
use crate::attempt::{BackendChoice, CompletedAttempt};
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME_SECONDS;
use crate::interface::{AttemptOutcome, LoadReport};
use crate::policy::dispatch::Dispatcher;
use crate::policy::idle_signal::IdleSignal;
use crate::policy::load_reports::ReportSource;
use crate::policy::{outlier_detection, throttle};
use crate::rpc_state::RpcState;
use std::rc::Rc;

impl Dispatcher {
    /// Updates the statistics of the method, the tenant and the way in which the backend was
    /// chosen, and starts the cooldown of the key if the attempt may still be running.
    pub(super) fn record_attempt(&mut self, rpc: &RpcState, attempt: &CompletedAttempt, now: f64) {
        let duration = attempt.estimated_duration();
        let is_usable_sample = attempt.has_measured_duration() || attempt.was_rejected();
        if let Some(level) = attempt.load_level.filter(|_| is_usable_sample) {
            let relative_duration = duration / rpc.method.settings.latency_objective;
            self.load_reports
                .quality
                .record_attempt(level, relative_duration, now);
        }
        // A rejected attempt counts as a wait only if it was the last that the RPC may have; an
        // earlier one may be followed by an attempt at a backend that accepts it.
        let is_last = attempt.number + 1 >= self.rules.limits.max_attempts;
        if attempt.has_measured_duration() || attempt.was_rejected() && is_last {
            self.record_wait(rpc, attempt, now);
        }
        self.admission.record_attempt(rpc, attempt, now);
        if attempt.has_measured_duration() {
            let response_time = &attempt.backend.response_time;
            response_time.add(duration, now, AVERAGING_TIME_SECONDS);
            let idle_signal = self.load_reports.idle_signal(now);
            throttle::record_attempt(rpc, attempt, idle_signal, now);
        }
        if attempt.may_still_run() {
            let cooldown = self.rules.limits.key_cooldown;
            self.keyed.cool_down(rpc, now + cooldown);
        }
    }

    /// Records the duration of an attempt with the mechanism that chose its backend.
    fn record_wait(&self, rpc: &RpcState, attempt: &CompletedAttempt, now: f64) {
        let estimates = &self.fleet.estimates;
        match attempt.choice {
            BackendChoice::Random { mean_load } => {
                let duration = attempt.estimated_duration();
                rpc.method.record_wait(duration, mean_load, estimates, now);
            }
            BackendChoice::IdleQueue => self.idle_queue.record_attempt(attempt, estimates, now),
        }
    }

    /// Updates the state of the backend with the outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        attempt: &CompletedAttempt,
        report: Option<LoadReport>,
        now: f64,
    ) {
        let backend = &attempt.backend;
        let outcome = attempt.outcome;
        backend.record_outcome(outcome, now);
        match outcome {
            AttemptOutcome::Succeeded => self.record_success(attempt, report, now),
            AttemptOutcome::Rejected => {
                outlier_detection::record_rejection(backend, &mut self.fleet, now);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            _ => self
                .outlier_detection
                .record_failure(backend, outcome, &mut self.fleet, now),
        }
    }

    /// Records a complete response, with the load report that it carried.
    fn record_success(&mut self, attempt: &CompletedAttempt, report: Option<LoadReport>, now: f64) {
        let backend = &attempt.backend;
        self.outlier_detection.record_success(backend, now);
        self.retry_budget.record_success();
        self.fleet
            .estimates
            .record_completion(attempt.duration, now);
        let ready_count = self.fleet.index.ready_count();
        let budget = &self.rules.slow_start.budget;
        budget.record_completion(backend, ready_count, now);
        self.record_report(backend, report, None, now);
        if report.is_none() && self.load_reports.idle_signal(now) == IdleSignal::Response {
            self.enqueue_idle(backend, now);
        }
    }

    /// Records the load of a backend from its report or from the duration of a health check, and
    /// adds the backend to the idle queue if it counts as idle.
    pub(super) fn record_report(
        &mut self,
        backend: &Rc<Backend>,
        report: Option<LoadReport>,
        check_duration: Option<f64>,
        now: f64,
    ) {
        let fleet = &self.fleet;
        let Some(load) = self.load_reports.load(report, check_duration, fleet) else {
            return;
        };
        let source = if check_duration.is_some() {
            ReportSource::HealthCheck
        } else {
            ReportSource::Response
        };
        let is_idle = self.load_reports.record(backend, load, source, fleet, now);
        let budget = &self.rules.slow_start.budget;
        budget.record_report(backend, source, &fleet.rng, now);
        if is_idle {
            self.enqueue_idle(backend, now);
        }
    }

    /// Records a health check that did not succeed. Its duration is a measure of the load where
    /// reports do not include the queue. Unless it was rejected, it counts as a failure of the
    /// backend.
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

    /// Adds a backend to the idle queue.
    fn enqueue_idle(&mut self, backend: &Rc<Backend>, now: f64) {
        let idle_signal = self.load_reports.idle_signal(now);
        self.idle_queue
            .enqueue(backend, idle_signal, &self.fleet, now);
    }
}
