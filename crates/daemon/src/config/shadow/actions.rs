//! Recorded actions: what one instance of the balancer requested in one call.
use std::collections::BTreeMap;

/// An action on an RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    /// Start an attempt at the backend with this id.
    Attempt(u32),
    /// Reject the RPC; the client may retry it.
    Reject,
    /// Fail the RPC; a backend may have executed it.
    Fail,
}

/// The actions that an instance requested in one call, by RPC and in the order of the requests.
#[derive(Debug, Default)]
pub(crate) struct RecordedActions {
    /// By RPC id.
    by_rpc: BTreeMap<u64, Vec<Action>>,
    health_checks: u64,
}

impl RecordedActions {
    /// Records an action on an RPC.
    pub(crate) fn record(&mut self, rpc: u64, action: Action) {
        self.by_rpc.entry(rpc).or_default().push(action);
    }

    /// Records that a health check was requested.
    pub(crate) fn record_health_check(&mut self) {
        self.health_checks += 1;
    }

    /// Returns the actions on an RPC.
    pub(super) fn for_rpc(&self, rpc: u64) -> &[Action] {
        self.by_rpc.get(&rpc).map_or(&[], Vec::as_slice)
    }

    /// Returns the ids of the RPCs with actions.
    pub(super) fn rpcs(&self) -> impl Iterator<Item = u64> {
        self.by_rpc.keys().copied()
    }

    /// Returns the number of health checks that were requested.
    pub(super) fn health_checks(&self) -> u64 {
        self.health_checks
    }
}

/// A call of the active instance, to be replayed in the shadow.
pub(crate) struct RecordedCall {
    /// Time of the call, in seconds.
    pub now: f64,
    /// Actions that the active instance requested in the call.
    pub actions: RecordedActions,
}
