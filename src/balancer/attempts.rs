//! Bookkeeping of pending RPCs, attempts and the timer, around what the dispatcher decides.
use crate::attempt::{AttemptState, BackendChoice};
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME;
use crate::interface::Platform;
use crate::policy::deadlines;
use crate::policy::dispatch::Dispatcher;
use crate::rpc_state::RpcState;
use std::rc::Rc;

impl Dispatcher {
    /// Lets an RPC wait.
    pub(crate) fn enqueue_rpc(&mut self, rpc: &Rc<RpcState>, now: f64) {
        let checks = self.health_checks.enabled;
        let until = deadlines::pending_until(rpc, &self.keyed, checks, &self.fleet, now);
        self.pending.remove(rpc);
        rpc.pending_until.set(until);
        self.pending.insert(rpc.clone());
    }

    /// Starts an attempt that was decided on and tells the mechanisms that count attempts.
    pub(crate) fn start_attempt(
        &mut self,
        rpc: &Rc<RpcState>,
        to: Rc<Backend>,
        choice: BackendChoice,
        platform: &mut dyn Platform,
    ) {
        let now = platform.now();
        self.admission.last_attempt_at = now;
        self.retry_budget.pay(rpc);
        to.recent_attempts
            .add(now, self.rules.slow_start.budget.window);
        if let Some(violation) = self.rules.slow_start.violation(&to, &self.fleet, now) {
            platform.report_violation(violation);
        }
        to.change_in_flight(1, now, AVERAGING_TIME);
        self.reindex(&to, now);
        let time_allowed = deadlines::time_allowed(rpc, now);
        platform.start_attempt(rpc.id, to.id, deadlines::timeout(time_allowed));
        let mut attempt = AttemptState::new(to, choice, time_allowed, now);
        attempt.set_client_paced(rpc.streams_request);
        rpc.attempts.borrow_mut().push(attempt);
    }

    /// Cancels the attempts in flight, where that is possible.
    pub(crate) fn cancel_attempts(&self, rpc: &RpcState, platform: &mut dyn Platform) {
        if self.rules.limits.can_cancel && !rpc.streaming.get() {
            rpc.attempts_in_flight()
                .into_iter()
                .for_each(|n| platform.cancel_attempt(rpc.id, n));
        }
    }

    /// Lets the next RPC of its key go once this one is finished.
    pub(crate) fn release_key(&mut self, rpc: &RpcState) {
        if rpc.is_finished() {
            self.keyed.remove(rpc);
        }
    }

    /// Asks for a timer at the next time at which something is due, unless an earlier one is set.
    pub(crate) fn schedule_timer(&mut self, platform: &mut dyn Platform) {
        let (now, checks) = (platform.now(), &self.health_checks);
        let idle = self.pending.is_empty();
        let check_at = if idle {
            checks.next_proactive_at(&self.fleet.estimates, now)
        } else {
            checks.next_round_at
        };
        let check_at = checks.enabled.then_some(check_at.max(now));
        let first_end = self.pending.first_end().map(|(end, _)| end);
        let due = [
            first_end,
            check_at,
            self.discovery.poll_at,
            self.keyed.next_due(),
        ];
        let next = due.into_iter().flatten().fold(f64::INFINITY, f64::min);
        if next < self.timer_at.unwrap_or(f64::INFINITY) {
            self.timer_at = Some(next);
            platform.schedule_timer((next - now).max(0.0));
        }
    }
}
