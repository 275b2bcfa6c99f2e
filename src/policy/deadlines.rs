//! How long an attempt may take, how long an RPC may wait, and when a client may come back.
use crate::{fleet::Fleet, keyed_queue::KeyedQueue, rpc_state::RpcState, tenant::QuotaShare};

pub(crate) const SLACK: f64 = 0.003; // s kept free before a deadline: the way back and a late timer
const PENDING_PART: f64 = 0.15; // of the objective spent waiting for an idle backend: leaves time to work

/// Time that an attempt starting now has, s: work that ends too late only delays others.
pub(crate) fn time_allowed(rpc: &RpcState, now: f64) -> f64 {
    (rpc.useful_until - now).max(SLACK)
}

/// Timeout of an attempt that has this time.
pub(crate) fn timeout(time_allowed: f64) -> f64 {
    (time_allowed - SLACK).max(SLACK)
}

/// End of an RPC's wait: for an idle backend, or before that for its key while it could still be in time.
pub(crate) fn pending_until(
    rpc: &RpcState,
    keys: &KeyedQueue,
    checks: bool,
    fleet: &Fleet,
    now: f64,
) -> f64 {
    let (service_time, queued) = (fleet.estimates.service_time(), keys.length(rpc) as f64);
    let part = if checks && rpc.share < QuotaShare::Beyond {
        PENDING_PART
    } else {
        0.0
    };
    let until = if rpc.key_ready.get() {
        now + part * rpc.method.settings.latency_objective
    } else if now + queued * service_time > rpc.useful_until {
        now // otherwise the RPCs of one key could queue up until none of them is in time
    } else {
        rpc.useful_until - service_time
    };
    until.min(rpc.deadline - SLACK)
}

/// The longest time that clients honour; the RPCs of the same key may have ended sooner.
pub(crate) fn retry_after(
    rpc: &RpcState,
    keys: &KeyedQueue,
    service_time: f64,
    longest: f64,
) -> f64 {
    let key_wait = keys.length(rpc) as f64 * service_time;
    longest.min(if rpc.key_position.get().is_some() {
        key_wait
    } else {
        f64::INFINITY
    })
}
