//! Dispatch: which RPC is sent to which backend, and whether a failed attempt is retried.
//!
//! As in Join-Idle-Queue, an RPC is sent to a backend from the idle queue, or to a random one if
//! the queue is empty. Unlike in Join-Idle-Queue, the RPC waits for a short time while health
//! checks look for idle backends, and pending RPCs are served in order of precedence rather than of
//! arrival.
use super::admission::Admission;
use super::deadlines;
use super::discovery::Discovery;
use super::fallback::Fallback;
use super::health_checks::HealthChecks;
use super::idle_queue::{self, IdleQueue};
use super::load_reports::LoadReports;
use super::outlier_detection::OutlierDetection;
use super::retry_budget::RetryBudget;
use super::rules::{self, Rules};
use super::slow_start::SlowStartSample;
use crate::attempt::BackendChoice;
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::interface::Platform;
use crate::keyed_queue::KeyedQueue;
use crate::pending_queue::PendingQueue;
use crate::rpc_state::RpcState;
use crate::tenant::{QuotaClass, TenantQuotas};
use std::rc::Rc;

/// Combines the mechanisms, each with its own state, and the pending RPCs. `crate::balancer`
/// forwards events to it, records the attempts that it starts, and maintains the timer and the
/// backend index.
#[derive(Default)]
pub(crate) struct Dispatcher {
    /// Rules that every attempt must satisfy.
    pub rules: Rules,
    /// Backends that are assumed to be idle.
    pub idle_queue: IdleQueue,
    /// Evaluation of load reports.
    pub load_reports: LoadReports,
    /// Choice of a random backend.
    pub fallback: Fallback,
    /// Admission control of the fallback.
    pub admission: Admission,
    /// Use of the tenants' quotas.
    pub quotas: TenantQuotas,
    /// Budget of retries.
    pub retry_budget: RetryBudget,
    /// Ejection of failing backends.
    pub outlier_detection: OutlierDetection,
    /// Budget and schedule of health checks.
    pub health_checks: HealthChecks,
    /// Schedule of polls of the endpoint list.
    pub discovery: Discovery,
    /// Backends, averages over them and the random number generator.
    pub fleet: Fleet,
    /// RPCs that wait for a backend.
    pub pending: PendingQueue,
    /// RPCs of methods that are ordered by key.
    pub keyed: KeyedQueue,
    /// Time for which the timer is set, if it is.
    pub timer_at: Option<f64>,
}

/// Whether an attempt that ended has answered its RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// The client got its final response from this attempt.
    Answered,
    /// The RPC still needs a response.
    Failed,
}

impl Dispatcher {
    /// Serves the pending RPCs and schedules the timer. Called after each event.
    pub(crate) fn serve(&mut self, platform: &mut dyn Platform) {
        let now = platform.now();
        while let Some(rpc) = self.keyed.next_ready(now) {
            self.enqueue_rpc(&rpc, now);
        }
        self.serve_from_idle_queue(platform);
        if let Some(rpc) = self.pending.next_after(None) {
            self.health_checks
                .start_due_round(&rpc.preferred_cells, &self.fleet, platform);
        }
        self.serve_by_fallback(platform);
        self.schedule_timer(platform);
    }

    /// Sends pending RPCs to idle backends in order of precedence, as long as the idle queue has
    /// entries.
    fn serve_from_idle_queue(&mut self, platform: &mut dyn Platform) {
        let mut position = None;
        let mut passed_over = 0;
        while passed_over < idle_queue::SCAN_LIMIT && !self.idle_queue.is_empty() {
            let Some(rpc) = self.pending.next_after(position) else {
                return;
            };
            position = rpc.pending_position.get();
            if self.attempt_at_idle_backend(&rpc, platform) {
                self.pending.remove(&rpc);
            } else {
                passed_over += 1;
            }
        }
    }

    /// Sends RPCs whose wait has ended to random backends, or rejects or fails them. If backends
    /// are known and no health check is in flight or can be paid for, all pending RPCs are served,
    /// because waiting would not find an idle backend.
    fn serve_by_fallback(&mut self, platform: &mut dyn Platform) {
        let now = platform.now();
        let may_wait =
            self.health_checks.tokens.has_token_or_check_in_flight() || self.fleet.index.is_empty();
        while let Some(rpc) = self.next_for_fallback(may_wait, now) {
            self.pending.remove(&rpc);
            if !self.attempt_at_random_backend(&rpc, platform) {
                self.reject_or_fail(&rpc, platform);
            }
        }
    }

    /// Returns the next RPC whose wait has ended or, if RPCs may not wait, the first pending RPC.
    fn next_for_fallback(&self, may_wait: bool, now: f64) -> Option<Rc<RpcState>> {
        match self.pending.first_end() {
            Some((end, rpc)) if end <= now => Some(rpc),
            _ if may_wait => None,
            _ => self.pending.next_after(None),
        }
    }

    /// Starts an attempt at a backend from the idle queue. Returns whether a suitable one was
    /// found.
    fn attempt_at_idle_backend(&mut self, rpc: &Rc<RpcState>, platform: &mut dyn Platform) -> bool {
        let now = platform.now();
        let rules = &self.rules;
        let retry_budget = &self.retry_budget;
        let fleet = &self.fleet;
        let fits = |backend: &Rc<Backend>| {
            rules.may_attempt(rpc, backend, SlowStartSample::LastReport, fleet, now)
                && retry_budget.allows(rpc, backend)
        };
        let backend = self.idle_queue.dequeue(rpc, &fleet.estimates, now, fits);
        let Some(backend) = backend else {
            return false;
        };
        self.start_attempt(rpc, backend, BackendChoice::IdleQueue, platform);
        true
    }

    /// Starts an attempt at a random backend. Returns whether the RPC was admitted and a suitable
    /// backend was found.
    fn attempt_at_random_backend(
        &mut self,
        rpc: &Rc<RpcState>,
        platform: &mut dyn Platform,
    ) -> bool {
        let now = platform.now();
        let is_admitted = self.admission.admits(rpc, &self.fleet.estimates, now);
        if !is_admitted || rpc.quota_class == QuotaClass::Beyond {
            return false;
        }
        self.reindex_expired(now);
        let mean_load = self.fleet.estimates.recent_load(now);
        let budget = &self.rules.slow_start.budget;
        let sample = SlowStartSample::RandomChoice(budget.record_random_choice(rpc.id, now));
        let fits = |backend: &Rc<Backend>| {
            self.rules
                .may_attempt(rpc, backend, sample, &self.fleet, now)
                && self.retry_budget.allows(rpc, backend)
        };
        let Some(backend) = self.fallback.pick(rpc, &self.fleet, now, fits) else {
            return false;
        };
        self.start_attempt(rpc, backend, BackendChoice::Random { mean_load }, platform);
        true
    }

    /// Finishes an RPC after an attempt, or retries it if the rules, the remaining time and the
    /// retry budget allow it.
    pub(crate) fn finish_or_retry(
        &mut self,
        rpc: &Rc<RpcState>,
        result: AttemptResult,
        platform: &mut dyn Platform,
    ) {
        if result == AttemptResult::Answered || rpc.response_started.get() {
            rpc.answered.set(true);
            self.cancel_attempts(rpc, platform);
            return;
        }
        if rpc.answered.get() || rpc.has_attempt_in_flight() {
            return;
        }
        if !self.retry(rpc, platform) {
            self.reject_or_fail(rpc, platform);
        }
    }

    /// Starts another attempt if a response is expected in time. Returns whether one was started.
    fn retry(&mut self, rpc: &Rc<RpcState>, platform: &mut dyn Platform) -> bool {
        let time_left = rpc.useful_until - platform.now();
        time_left > self.fleet.estimates.service_time()
            && (self.attempt_at_idle_backend(rpc, platform)
                || self.attempt_at_random_backend(rpc, platform))
    }

    /// Sends the final response to an RPC that no backend has answered: a rejection if a retry by
    /// the client is harmless, otherwise a failure.
    pub(crate) fn reject_or_fail(&mut self, rpc: &RpcState, platform: &mut dyn Platform) {
        self.cancel_attempts(rpc, platform);
        rpc.answered.set(true);
        if rules::may_reject(rpc) {
            let max_retry_after = self.rules.limits.max_retry_after;
            let service_time = self.fleet.estimates.service_time();
            let retry_after =
                deadlines::retry_after(rpc, &self.keyed, service_time, max_retry_after);
            platform.reject(rpc.id, retry_after);
        } else {
            platform.fail(rpc.id);
        }
        self.release_key(rpc);
    }
}
