//! Throttle: sheds RPCs of a method or tenant according to the results of its recent attempts.
//!
//! It follows client-side adaptive throttling as described in the SRE book: RPCs are admitted at a
//! multiple of the rate of good attempts. Two things differ. A throttle covers one method or tenant
//! at all backends, so that a slow method or tenant does not use up the capacity of the others. And
//! if load reports do not fill the idle queue, only prompt attempts count as good, because the
//! queues of the backends would otherwise grow until every response is late.
use super::idle_signal::IdleSignal;
use crate::attempt::CompletedAttempt;
use crate::rng::Rng;
use crate::rpc_state::RpcState;

/// RPCs admitted per good attempt. At 2 the admission rate stays constant while half of the
/// attempts are good.
const ADMITTED_PER_GOOD_ATTEMPT: f64 = 2.0;
/// RPCs admitted per attempt that succeeded in time but slowly.
const ADMITTED_PER_SLOW_ATTEMPT: f64 = 1.0;
/// Time constant of the averages in seconds. The queues of backends can fill up in less.
const TIME_CONSTANT_SECONDS: f64 = 1.0;
/// Weight of the prior, as a number of good attempts, so that a single late attempt sheds nothing.
const PRIOR_GOOD_ATTEMPTS: f64 = 1.0;
/// Maximum fraction of the allowed time that a prompt attempt uses.
const MAX_PROMPT_TIME_FRACTION: f64 = 0.4;

/// Returns whether an arriving RPC is admitted. Every RPC is if load is shed by priority.
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

/// Updates the throttles of an RPC with an attempt that succeeded or timed out.
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
