//! Timeouts: how long an attempt may take, how long an RPC may wait, and when its client may retry.
//!
//! Deadlines are propagated as in gRPC: the timeout of each attempt is the remaining time of its
//! RPC. Unlike in gRPC, that time ends when a response no longer has any weight, which may be
//! before the client's deadline, because work that ends later only delays other RPCs.
use crate::fleet::Fleet;
use crate::keyed_queue::KeyedQueue;
use crate::rpc_state::RpcState;
use crate::tenant::QuotaClass;

/// Time reserved before a deadline for the transmission of the response and for late timers, in
/// seconds.
pub(crate) const DEADLINE_MARGIN_SECONDS: f64 = 0.003;
/// Longest wait for an idle backend, as a fraction of the latency objective; the rest is left for
/// the execution of the RPC.
const MAX_PENDING_FRACTION: f64 = 0.15;

/// Returns the time left for an attempt that starts now, in seconds.
pub(crate) fn time_allowed(rpc: &RpcState, now: f64) -> f64 {
    (rpc.useful_until - now).max(DEADLINE_MARGIN_SECONDS)
}

/// Returns the timeout of an attempt with this time left, in seconds.
pub(crate) fn timeout(time_allowed: f64) -> f64 {
    (time_allowed - DEADLINE_MARGIN_SECONDS).max(DEADLINE_MARGIN_SECONDS)
}

/// Returns the time until which an RPC waits for an idle backend or, while its key is not ready,
/// for the RPCs with the same key that are ahead of it.
pub(crate) fn pending_until(
    rpc: &RpcState,
    keys: &KeyedQueue,
    health_checks_enabled: bool,
    fleet: &Fleet,
    now: f64,
) -> f64 {
    let end = if rpc.key_ready.get() {
        now + max_wait_for_idle_backend(rpc, health_checks_enabled)
    } else {
        key_wait_until(rpc, keys, fleet.estimates.service_time(), now)
    };
    end.min(rpc.deadline - DEADLINE_MARGIN_SECONDS)
}

/// Returns how long an RPC may wait for an idle backend, in seconds. It is 0 without health checks,
/// as waiting would not find an idle backend, and for RPCs beyond their quota, which must not be
/// queued.
fn max_wait_for_idle_backend(rpc: &RpcState, health_checks_enabled: bool) -> f64 {
    let may_wait = health_checks_enabled && rpc.quota_class < QuotaClass::Beyond;
    let fraction = if may_wait { MAX_PENDING_FRACTION } else { 0.0 };
    fraction * rpc.method.settings.latency_objective
}

/// Returns the time until which an RPC waits for its key. It does not wait if the RPCs ahead of it
/// are expected to use up its time; otherwise the queue of a key could grow until every RPC in it
/// is late.
fn key_wait_until(rpc: &RpcState, keys: &KeyedQueue, service_time: f64, now: f64) -> f64 {
    let key_wait = keys.length(rpc) as f64 * service_time;
    if now + key_wait > rpc.useful_until {
        now
    } else {
        rpc.useful_until - service_time
    }
}

/// Returns the time after which the client of a rejected RPC should retry, in seconds: the longest
/// time that clients honour, or less if the RPCs with the same key are expected to finish sooner.
pub(crate) fn retry_after(
    rpc: &RpcState,
    keys: &KeyedQueue,
    service_time: f64,
    max_retry_after: f64,
) -> f64 {
    if rpc.key_position.get().is_none() {
        return max_retry_after;
    }
    let key_wait = keys.length(rpc) as f64 * service_time;
    max_retry_after.min(key_wait)
}
