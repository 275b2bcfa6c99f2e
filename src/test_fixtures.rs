//! Fixtures for the unit tests of the queues.
use crate::interface::{Idempotency, IncomingRpc, MethodSettings};
use crate::method::Method;
use crate::rpc_state::RpcState;
use crate::tenant::QuotaClass;
use std::rc::Rc;

/// Returns the state of an RPC that arrived at time 0, of an idempotent method with this priority
/// weight.
pub(crate) fn rpc_state(id: u64, priority_weight: f64, quota_class: QuotaClass) -> RpcState {
    let settings = MethodSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: 1.0,
        objective_stretch: 0.0,
        priority_weight,
        late_weight_fraction: 0.0,
        ordered_by_key: false,
    };
    let method = Rc::new(Method::new(&settings, 1.0, None));
    let incoming = IncomingRpc {
        id,
        deadline: 9.0,
        ..IncomingRpc::default()
    };
    RpcState::new(&incoming, method, quota_class, Vec::new(), Vec::new(), 0.0)
}
