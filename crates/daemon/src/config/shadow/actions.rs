//! What an instance of the decision package asked for in one call.
use std::collections::BTreeMap;

/// What was asked for on an RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    /// An attempt at this backend.
    Attempt(u32),
    /// The client is told that it may retry.
    Reject,
    /// The client is told that the RPC failed.
    Fail,
}

/// What an instance asked for in one call, by RPC and in order.
#[derive(Debug, Default)]
pub(crate) struct RecordedActions {
    by_rpc: BTreeMap<u64, Vec<Action>>,
    health_checks: u64,
}

impl RecordedActions {
    /// Records an action on an RPC.
    pub(crate) fn record(&mut self, rpc: u64, action: Action) {
        self.by_rpc.entry(rpc).or_default().push(action);
    }

    /// Records that a health check was asked for.
    pub(crate) fn record_health_check(&mut self) {
        self.health_checks += 1;
    }

    /// The actions on an RPC.
    pub(super) fn of_rpc(&self, rpc: u64) -> &[Action] {
        self.by_rpc.get(&rpc).map_or(&[], Vec::as_slice)
    }

    /// The RPCs that there are actions on.
    pub(super) fn rpcs(&self) -> impl Iterator<Item = u64> {
        self.by_rpc.keys().copied()
    }

    /// Health checks that were asked for.
    pub(super) fn health_checks(&self) -> u64 {
        self.health_checks
    }
}

/// A call on the instance that decides, as it is replayed to the shadow.
pub(crate) struct RecordedCall {
    /// The time of the call, s.
    pub now: f64,
    /// What that instance asked for in the call.
    pub actions: RecordedActions,
}
