//! Calls on the balancer that survive its panics, and the release of RPCs that are finished.
use crate::decision::actor::DecisionActor;
use crate::decision::platform::DaemonPlatform;
use birchhub::balancer::RpcHandle;
use birchhub::interface::Platform;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Delay of the timer event after the balancer panicked, which may have lost its own timer.
const PANIC_RECOVERY_DELAY_SECONDS: f64 = 0.01;

impl DecisionActor {
    /// Calls the balancer at the present time. A panic ends neither the process nor other RPCs: the RPC service
    /// responds to the RPCs that the balancer lost, at their deadline.
    pub(super) fn call_balancer(&mut self, call: impl FnOnce(&mut Self)) {
        self.platform.update_now();
        if catch_unwind(AssertUnwindSafe(|| call(self))).is_err() {
            log::error!("decision module panicked, continuing with the next event");
            self.platform.schedule_timer(PANIC_RECOVERY_DELAY_SECONDS);
        }
        // A call about another RPC, or about none, may respond to RPCs that were queued.
        while let Some(id) = self.platform.pop_responded() {
            self.release_if_finished(id);
        }
    }

    /// Calls the balancer's handle of an RPC, if there is one.
    pub(super) fn call_rpc(&mut self, id: u64, call: impl FnOnce(&RpcHandle, &mut DaemonPlatform)) {
        self.call_balancer(|actor| {
            if let Some(rpc) = actor.rpcs.get(&id) {
                call(rpc, &mut actor.platform);
                actor.release_if_finished(id);
            }
        });
    }

    /// Withdraws the unsent attempts of an RPC that has its response, whether or not the settings allow cancelling.
    /// Drops the RPC once all its attempts have ended.
    fn release_if_finished(&mut self, id: u64) {
        if let Some(in_flight) = self.platform.in_flight.get_mut(&id)
            && !in_flight.awaits_response()
        {
            in_flight.withdraw_attempts();
        }
        if self.rpcs.get(&id).is_some_and(RpcHandle::is_finished) {
            self.rpcs.remove(&id);
            self.platform.in_flight.remove(&id);
        }
    }
}
