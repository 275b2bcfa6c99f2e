//! Calls of the balancer: catches its panics, and removes finished RPCs.
use crate::decision::actor::DecisionActor;
use crate::decision::platform::DaemonPlatform;
use birchhub::balancer::RpcHandle;
use birchhub::interface::Platform;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Delay of the timer event that is scheduled after the balancer panicked: it may not have scheduled its own.
const PANIC_RECOVERY_DELAY_SECONDS: f64 = 0.01;

impl DecisionActor {
    /// Updates the balancer's clock and calls the balancer. A panic ends neither the process nor other RPCs. The RPC
    /// service responds to RPCs that the balancer lost in a panic when their deadline expires.
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

    /// Calls the balancer's handle of an RPC. Does nothing if the balancer does not know the RPC.
    pub(super) fn call_rpc(&mut self, id: u64, call: impl FnOnce(&RpcHandle, &mut DaemonPlatform)) {
        self.call_balancer(|actor| {
            if let Some(rpc) = actor.rpcs.get(&id) {
                call(rpc, &mut actor.platform);
                actor.release_if_finished(id);
            }
        });
    }

    /// Withdraws the unsent attempts of an RPC whose response is decided, even if the settings do not allow cancelling.
    /// Removes the RPC once all its attempts have ended.
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
