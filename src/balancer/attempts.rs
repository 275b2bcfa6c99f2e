//! Starts and cancels attempts as the dispatcher decides, and maintains pending RPCs and the timer.
use crate::attempt::{AttemptState, BackendChoice};
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME_SECONDS;
use crate::interface::Platform;
use crate::policy::deadlines;
use crate::policy::dispatch::Dispatcher;
use crate::rpc_state::RpcState;
use std::rc::Rc;

impl Dispatcher {
    /// Queues an RPC until a backend is available, or until its key is ready.
    pub(crate) fn enqueue_rpc(&mut self, rpc: &Rc<RpcState>, now: f64) {
        let health_checks_enabled = self.health_checks.usage.is_enabled();
        let until =
            deadlines::pending_until(rpc, &self.keyed, health_checks_enabled, &self.fleet, now);
        self.pending.remove(rpc);
        rpc.pending_until.set(until);
        self.pending.insert(rpc.clone());
    }

    /// Starts an attempt, and records it with the mechanisms that count attempts.
    pub(crate) fn start_attempt(
        &mut self,
        rpc: &Rc<RpcState>,
        to: Rc<Backend>,
        choice: BackendChoice,
        platform: &mut dyn Platform,
    ) {
        let now = platform.now();
        self.admission.last_attempt_at = now;
        self.retry_budget.withdraw(rpc);
        let slow_start = &self.rules.slow_start;
        to.recent_attempts.add(now, slow_start.budget.window);
        if let Some(violation) = slow_start.violation(&to, &self.fleet, now) {
            platform.report_violation(violation);
        }
        to.change_in_flight(1, now, AVERAGING_TIME_SECONDS);
        self.reindex(&to, now);
        let time_allowed = deadlines::time_allowed(rpc, now);
        platform.start_attempt(rpc.id, to.id, deadlines::timeout(time_allowed));
        let mut attempt = AttemptState::new(to, choice, time_allowed, now);
        attempt.set_client_paced(rpc.streams_request);
        rpc.attempts.borrow_mut().push(attempt);
    }

    /// Cancels the attempts in flight, if the settings permit it and no response has started.
    pub(crate) fn cancel_attempts(&self, rpc: &RpcState, platform: &mut dyn Platform) {
        if self.rules.limits.can_cancel && !rpc.response_started.get() {
            for attempt in rpc.attempts_in_flight() {
                platform.cancel_attempt(rpc.id, attempt);
            }
        }
    }

    /// Releases the key of an RPC if it is finished, so that the next RPC with that key can run.
    pub(crate) fn release_key(&mut self, rpc: &RpcState) {
        if rpc.is_finished() {
            self.keyed.remove(rpc);
        }
    }

    /// Schedules a timer for the earliest time at which something is due, unless an earlier one is
    /// set.
    pub(crate) fn schedule_timer(&mut self, platform: &mut dyn Platform) {
        let now = platform.now();
        let first_pending_end = self.pending.first_end().map(|(end, _)| end);
        let due = [
            first_pending_end,
            self.next_health_check_at(now),
            self.discovery.poll_at,
            self.keyed.next_due(),
        ];
        let next = due.into_iter().flatten().fold(f64::INFINITY, f64::min);
        if next < self.timer_at.unwrap_or(f64::INFINITY) {
            self.timer_at = Some(next);
            platform.schedule_timer((next - now).max(0.0));
        }
    }

    /// Returns the time of the next proactive health check, or of the next round of health checks
    /// if an RPC is pending. `None` if health checks are disabled.
    fn next_health_check_at(&self, now: f64) -> Option<f64> {
        let health_checks = &self.health_checks;
        let check_at = if self.pending.is_empty() {
            health_checks.next_proactive_at(&self.fleet.estimates, now)
        } else {
            health_checks.next_round_at
        };
        health_checks
            .usage
            .is_enabled()
            .then_some(check_at.max(now))
    }
}
