//! The rules that no attempt and no rejection may break. Whether an attempt is wise is decided elsewhere.
use super::{deadlines::DEADLINE_MARGIN_SECONDS, slow_start::SlowStart};
use crate::interface::{DeduplicationScope as Scope, Idempotency};
use crate::{
    backend::Backend, backend_index::Subset, fleet::Fleet, limits::Limits, rpc_state::RpcState,
};

/// The limits of the deployment and the slow start budget.
#[derive(Default)]
pub(crate) struct Rules {
    pub limits: Limits,
    pub slow_start: SlowStart,
}

impl Rules {
    /// Judges every attempt. `sample` is the random sample of the fallback's pick.
    pub(crate) fn may_attempt(
        &self,
        rpc: &RpcState,
        to: &Backend,
        sample: Option<f64>,
        fleet: &Fleet,
        now: f64,
    ) -> bool {
        // 1: one final answer, in time, and nothing after it.
        let ended = rpc.answered.get() || rpc.retry_forbidden.get() || now >= rpc.deadline;
        let open = !ended && rpc.attempts.borrow().len() < self.limits.max_attempts;
        let alone = self.limits.can_hedge || !rpc.has_attempt_in_flight();
        // 2: no effect twice.
        let harmless = is_repeat_harmless(rpc, to, now);
        // RPCs with its key that were accepted before it have ended, and so have their effects.
        let in_order = rpc.key_ready.get();
        // 3: `ready` is cleared the moment a drain or removal is told. 4: the slow start budget.
        let allowed = to.ready.get() && self.slow_start.has_room(to, sample, fleet, now);
        open && in_order && alone && harmless && allowed
    }
}

/// Whether executing the RPC there repeats no effect. An attempt in flight may have run.
fn is_repeat_harmless(rpc: &RpcState, to: &Backend, now: f64) -> bool {
    let attempts = rpc.attempts.borrow();
    let mut may_have_run = attempts.iter().filter(|attempt| attempt.may_have_run());
    match rpc.method.settings.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => may_have_run.next().is_none(),
        Idempotency::Deduplicated { scope, window } => may_have_run.all(|attempt| {
            let same_scope = match scope {
                Scope::All => true,
                Scope::Zone => attempt.backend.zone == to.zone,
                Scope::Cell => attempt.backend.cell == to.cell,
            };
            same_scope && now + DEADLINE_MARGIN_SECONDS < attempt.sent_at + window
        }),
    }
}

/// Judges whether a client may be told that a retry is harmless.
pub(crate) fn may_reject(rpc: &RpcState) -> bool {
    match rpc.method.settings.idempotency {
        Idempotency::Idempotent
        | Idempotency::Deduplicated {
            scope: Scope::All, ..
        } => true,
        _ => !rpc.may_have_run(),
    }
}

/// The backends that rule 2 leaves: what may have run is tied to the scope that drops its duplicates.
pub(crate) fn allowed_subset(rpc: &RpcState) -> Subset {
    let attempts = rpc.attempts.borrow();
    let first = attempts
        .iter()
        .find(|attempt| attempt.may_have_run())
        .map(|attempt| &attempt.backend);
    match (rpc.method.settings.idempotency, first) {
        (
            Idempotency::Deduplicated {
                scope: Scope::Zone, ..
            },
            Some(b),
        ) => Subset::Zone(b.zone.get()),
        (
            Idempotency::Deduplicated {
                scope: Scope::Cell, ..
            },
            Some(b),
        ) => Subset::Cell(b.cell.get()),
        _ => Subset::Ready,
    }
}
