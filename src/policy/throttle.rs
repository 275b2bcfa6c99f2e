//! Throttle: sheds RPCs of a method or tenant by the outcomes of its recent attempts.
//!
//! After client-side adaptive throttling in the SRE book: RPCs are admitted at a multiple of the rate
//! of good attempts. What differs: the throttle covers a method or a tenant at all backends,
//! so that a slow one does not use up the capacity of the others; and where nothing tells loads only
//! prompt attempts count as good, as backends would otherwise fill up until no response is in time.
use super::idle_signal::IdleSignal;
use crate::attempt::CompletedAttempt;
use crate::rng::Rng;
use crate::rpc_state::RpcState;

/// RPCs admitted for each good attempt. At 2 the throttle stays as it is while half of the
/// attempts are good.
const ADMITTED_PER_GOOD_ATTEMPT: f64 = 2.0;
/// RPCs admitted for each attempt that was in time but slow.
const ADMITTED_PER_SLOW_ATTEMPT: f64 = 1.0;
/// Time constant of the averages in seconds; backends fill up in less.
const TIME_CONSTANT_SECONDS: f64 = 1.0;
/// Number of attempts that count as having gone well: a single late one throttles nothing.
const PRIOR_GOOD_ATTEMPTS: f64 = 1.0;
/// Largest fraction of its time that a prompt attempt uses.
const MAX_PROMPT_TIME_FRACTION: f64 = 0.4;

/// Returns whether an RPC that has arrived is admitted. All are where load is shed by priority.
pub(crate) fn admits(rpc: &RpcState, sheds_by_priority: bool, rng: &Rng, now: f64) -> bool {
    let rate = rpc.lowest_throttle_rate(
        now,
        TIME_CONSTANT_SECONDS,
        PRIOR_GOOD_ATTEMPTS,
        ADMITTED_PER_GOOD_ATTEMPT,
    );
    let is_admitted = sheds_by_priority || rate >= 1.0 || rng.uniform(0.0..1.0) < rate;
    if !is_admitted {
        rpc.record_throttle_rate(0.0, now, TIME_CONSTANT_SECONDS);
    }
    is_admitted
}

/// Records an attempt that succeeded or timed out.
pub(crate) fn record_attempt(
    rpc: &RpcState,
    attempt: &CompletedAttempt,
    signal: IdleSignal,
    now: f64,
) {
    let slow_is_good =
        rpc.method.settings.late_weight_fraction > 0.0 || signal == IdleSignal::LowLoad;
    let is_prompt = attempt.duration <= attempt.time_allowed * MAX_PROMPT_TIME_FRACTION;
    let admitted = if !attempt.succeeded() {
        0.0
    } else if slow_is_good || is_prompt {
        ADMITTED_PER_GOOD_ATTEMPT
    } else {
        ADMITTED_PER_SLOW_ATTEMPT
    };
    rpc.record_throttle_rate(admitted, now, TIME_CONSTANT_SECONDS);
}
