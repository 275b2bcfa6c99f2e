//! Rules that every attempt and every rejection must satisfy. Other modules decide whether a
//! permitted attempt is useful.
//!
//! 1. An RPC gets one final response, before its deadline, and no attempt after it.
//! 2. No effect is executed twice: an RPC that may have run is repeated only where that is
//!    harmless. RPCs of methods that are ordered by key run in order.
//! 3. A backend that is draining or removed gets no new attempts.
//! 4. A warming backend gets no more attempts than its slow-start budget permits.
use super::deadlines::DEADLINE_MARGIN_SECONDS;
use super::slow_start::{SlowStart, SlowStartSample};
use crate::backend::Backend;
use crate::backend_index::Subset;
use crate::fleet::Fleet;
use crate::interface::{DeduplicationScope, Idempotency};
use crate::limits::Limits;
use crate::rpc_state::RpcState;

/// The limits of the deployment and the slow-start budget.
#[derive(Default)]
pub(crate) struct Rules {
    /// Limits from the settings.
    pub limits: Limits,
    /// Slow start of warming backends.
    pub slow_start: SlowStart,
}

impl Rules {
    /// Returns whether an attempt satisfies all rules. Every attempt is checked here.
    pub(crate) fn may_attempt(
        &self,
        rpc: &RpcState,
        to: &Backend,
        sample: SlowStartSample,
        fleet: &Fleet,
        now: f64,
    ) -> bool {
        self.allows_another_attempt(rpc, now)
            && rpc.key_ready.get()
            && is_repeat_harmless(rpc, to, now)
            // The update that announces a drain or a removal clears `ready` immediately.
            && to.ready.get()
            && self.slow_start.has_room(to, sample, fleet, now)
    }

    /// Returns whether the RPC may have another attempt at any backend.
    fn allows_another_attempt(&self, rpc: &RpcState, now: f64) -> bool {
        let has_ended = rpc.answered.get() || rpc.retry_forbidden.get() || now >= rpc.deadline;
        let has_attempts_left = rpc.attempts.borrow().len() < self.limits.max_attempts;
        let may_run_concurrently = self.limits.can_hedge || !rpc.has_attempt_in_flight();
        !has_ended && has_attempts_left && may_run_concurrently
    }
}

/// Returns whether executing the RPC at this backend repeats no effect. Attempts in flight count as
/// possibly executed.
fn is_repeat_harmless(rpc: &RpcState, to: &Backend, now: f64) -> bool {
    match rpc.method.settings.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => !rpc.may_have_run(),
        Idempotency::Deduplicated { scope, window } => {
            let attempts = rpc.attempts.borrow();
            let mut may_have_run = attempts.iter().filter(|attempt| attempt.may_have_run());
            may_have_run.all(|attempt| {
                let is_in_window = now + DEADLINE_MARGIN_SECONDS < attempt.sent_at + window;
                shares_deduplication(scope, &attempt.backend, to) && is_in_window
            })
        }
    }
}

/// Returns whether two backends share deduplication.
fn shares_deduplication(scope: DeduplicationScope, one: &Backend, other: &Backend) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Cell => one.cell == other.cell,
    }
}

/// Returns whether the RPC may be rejected. A rejection states to the client that a retry is
/// harmless.
pub(crate) fn may_reject(rpc: &RpcState) -> bool {
    match rpc.method.settings.idempotency {
        Idempotency::Idempotent
        | Idempotency::Deduplicated {
            scope: DeduplicationScope::All,
            ..
        } => true,
        Idempotency::Deduplicated { .. } | Idempotency::NonIdempotent => !rpc.may_have_run(),
    }
}

/// Returns the subset of backends to which the RPC may be sent as far as deduplication is
/// concerned: an RPC that may have run stays within the scope that drops its duplicates.
pub(crate) fn allowed_subset(rpc: &RpcState) -> Subset {
    let Idempotency::Deduplicated { scope, .. } = rpc.method.settings.idempotency else {
        return Subset::Ready;
    };
    let attempts = rpc.attempts.borrow();
    let Some(first) = attempts.iter().find(|attempt| attempt.may_have_run()) else {
        return Subset::Ready;
    };
    match scope {
        DeduplicationScope::All => Subset::Ready,
        DeduplicationScope::Zone => Subset::Zone(first.backend.zone.get()),
        DeduplicationScope::Cell => Subset::Cell(first.backend.cell.get()),
    }
}
