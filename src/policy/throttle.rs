//! Throttle of a method and a tenant by how their last attempts went, rejections among them: backends must
//! not fill until nothing is in time, and one slow method or tenant must not take the others' places.
use crate::{rng::Rng, rpc_state::CompletedAttempt, rpc_state::RpcState};

const ADMITTED_PER_GOOD: f64 = 2.0; // times the part that goes well is admitted: half keeps it as it is
const TIME_CONSTANT: f64 = 1.0; // s: backends fill in less
const PRIOR_GOOD: f64 = 1.0; // attempts that went well counted beside: one late one throttles nothing
const PROMPT_PART: f64 = 0.4; // of its time that a good attempt may take: later, backends are filling up

/// Whether an RPC that has come in is admitted: all are where admission goes by priority, or nothing is slow.
pub(crate) fn admits(rpc: &RpcState, by_priority: bool, rng: &Rng, now: f64) -> bool {
    let least = rpc.least_throttle(now, TIME_CONSTANT, PRIOR_GOOD, ADMITTED_PER_GOOD);
    let admitted = by_priority || least >= 1.0 || rng.uniform(0.0..1.0) < least;
    if !admitted {
        rpc.record_throttle(0.0, now, TIME_CONSTANT);
    }
    admitted
}

/// An attempt succeeded or timed out. A slow one leaves the rate as it is, unless late ones count or reports
/// tell of loads.
pub(crate) fn record_attempt(
    rpc: &RpcState,
    attempt: &CompletedAttempt,
    by_responses: bool,
    now: f64,
) {
    let late_is_good = rpc.method.settings.late_weight_fraction > 0.0 || !by_responses;
    let prompt = attempt.duration <= attempt.time_allowed * PROMPT_PART;
    let good = if late_is_good || prompt {
        ADMITTED_PER_GOOD
    } else {
        1.0
    };
    rpc.record_throttle(
        if attempt.succeeded() { good } else { 0.0 },
        now,
        TIME_CONSTANT,
    );
}
