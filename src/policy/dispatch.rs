//! Dispatch: which RPC goes where. A pending RPC is served from the idle queue, or by the fallback when its
//! wait is over; after a failed attempt there is a retry or the final answer.
use super::{
    admission::Admission, discovery::Discovery, fallback::Fallback, load_reports::LoadReports,
};
use super::{
    deadlines, health_checks, health_checks::HealthChecks, idle_queue, rules, rules::Rules,
};
use super::{
    idle_queue::IdleQueue, outlier_detection::OutlierDetection, retry_budget::RetryBudget,
};
use crate::attempt::BackendChoice;
use crate::tenant::{QuotaClass, TenantQuotas};
use crate::{backend::Backend, fleet::Fleet, interface::Platform, rpc_state::RpcState};
use crate::{keyed_queue::KeyedQueue, pending_queue::PendingQueue};
use std::rc::Rc;

/// The mechanisms, each with its own state, and pending RPCs. `crate::balancer` hands it events and keeps its
/// books: attempts that start, the timer, the subsets of backends.
#[derive(Default)]
pub(crate) struct Dispatcher {
    pub rules: Rules,
    pub idle_queue: IdleQueue,
    pub load_reports: LoadReports,
    pub fallback: Fallback,
    pub admission: Admission,
    pub quotas: TenantQuotas,
    pub retry_budget: RetryBudget,
    pub outlier_detection: OutlierDetection,
    pub health_checks: HealthChecks,
    pub discovery: Discovery,
    pub fleet: Fleet,
    pub pending: PendingQueue,
    pub keyed: KeyedQueue,
    pub timer_at: Option<f64>,
}

impl Dispatcher {
    /// Serves the pending RPCs after any event.
    pub(crate) fn serve(&mut self, platform: &mut dyn Platform) {
        let now = platform.now();
        while let Some(rpc) = self.keyed.next_ready(now) {
            self.enqueue_rpc(&rpc, now);
        }
        self.serve_from_idle_queue(platform);
        if let Some(rpc) = self.pending.next_after(None)
            && self
                .health_checks
                .take_due_round(self.fleet.estimates.service_time(), now)
        {
            self.health_checks.start(
                health_checks::PER_ROUND,
                &rpc.preferred_cells,
                &self.fleet,
                platform,
            );
        }
        self.serve_by_fallback(platform);
        self.schedule_timer(platform);
    }

    /// The first by priority first, while there are idle backends.
    fn serve_from_idle_queue(&mut self, platform: &mut dyn Platform) {
        let (mut position, mut passed) = (None, 0);
        while passed < idle_queue::SCAN_LIMIT && !self.idle_queue.is_empty() {
            let Some(rpc) = self.pending.next_after(position) else {
                return;
            };
            position = rpc.pending_position.get();
            if self.attempt_idle(&rpc, platform) {
                self.pending.remove(&rpc);
            } else {
                passed += 1;
            }
        }
    }

    /// Picks a random backend for those whose wait is over; for all if no health check may find an idle one.
    fn serve_by_fallback(&mut self, platform: &mut dyn Platform) {
        let now = platform.now();
        let may_wait = self.health_checks.tokens.any_left() || self.fleet.index.is_empty();
        loop {
            let ended = self
                .pending
                .first_end()
                .filter(|(end, _)| *end <= now)
                .map(|(_, rpc)| rpc);
            let next = || {
                if may_wait {
                    None
                } else {
                    self.pending.next_after(None)
                }
            };
            let Some(rpc) = ended.or_else(next) else {
                return;
            };
            self.pending.remove(&rpc);
            if !self.attempt_fallback(&rpc, platform) {
                self.give_up(&rpc, platform);
            }
        }
    }

    /// Starts an attempt at a backend of the idle queue; false if none fits.
    fn attempt_idle(&mut self, rpc: &Rc<RpcState>, platform: &mut dyn Platform) -> bool {
        let (rules, budget, fleet, now) =
            (&self.rules, &self.retry_budget, &self.fleet, platform.now());
        let fits =
            |b: &Rc<Backend>| rules.may_attempt(rpc, b, None, fleet, now) && budget.allows(rpc, b);
        let backend = self.idle_queue.dequeue(rpc, &fleet.estimates, now, fits);
        backend
            .map(|backend| self.start_attempt(rpc, backend, BackendChoice::IdleQueue, platform))
            .is_some()
    }

    /// Starts an attempt at a random backend; false if the RPC is not admitted or none fits.
    fn attempt_fallback(&mut self, rpc: &Rc<RpcState>, platform: &mut dyn Platform) -> bool {
        let now = platform.now();
        if !self.admission.admits(rpc, &self.fleet.estimates, now)
            || rpc.quota_class == QuotaClass::Beyond
        {
            return false;
        }
        self.reindex_expired(now);
        let mean_load = self.fleet.estimates.recent_load(now);
        let choice = BackendChoice::Random { mean_load };
        let sample = Some(self.rules.slow_start.budget.record_random_pick(rpc.id, now));
        let (rules, budget, fleet) = (&self.rules, &self.retry_budget, &self.fleet);
        let fits = |b: &Rc<Backend>| {
            rules.may_attempt(rpc, b, sample, fleet, now) && budget.allows(rpc, b)
        };
        let backend = self.fallback.pick(rpc, fleet, now, fits);
        backend
            .map(|backend| self.start_attempt(rpc, backend, choice, platform))
            .is_some()
    }

    /// After an attempt: its response is the final answer, else a retry where rules, time and budget allow.
    pub(crate) fn finish_or_retry(
        &mut self,
        rpc: &Rc<RpcState>,
        done: bool,
        platform: &mut dyn Platform,
    ) {
        if done || rpc.streaming.get() {
            rpc.answered.set(true);
            return self.cancel_attempts(rpc, platform);
        }
        if rpc.answered.get() || rpc.has_attempt_in_flight() {
            return;
        }
        let in_time = rpc.useful_until - platform.now() > self.fleet.estimates.service_time();
        if !(in_time && (self.attempt_idle(rpc, platform) || self.attempt_fallback(rpc, platform)))
        {
            self.give_up(rpc, platform);
        }
    }

    /// The final answer without a response.
    pub(crate) fn give_up(&mut self, rpc: &RpcState, platform: &mut dyn Platform) {
        self.cancel_attempts(rpc, platform);
        rpc.answered.set(true);
        if rules::may_reject(rpc) {
            let longest = self.rules.limits.max_retry_after;
            let service_time = self.fleet.estimates.service_time();
            platform.reject(
                rpc.id,
                deadlines::retry_after(rpc, &self.keyed, service_time, longest),
            );
        } else {
            platform.fail(rpc.id);
        }
        self.release_key(rpc);
    }
}
