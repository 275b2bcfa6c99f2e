//! One process of a proxy: the decision module, its clock and the RPCs in flight.
use super::platform::{Command, SimulationPlatform};
use birchhub::balancer::{Balancer, RpcHandle};
use std::collections::BTreeMap;

/// A process of a proxy. Each start has a new number, so that events for an ended process are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessId {
    /// The proxy that the process runs for.
    pub proxy: u16,
    /// The number of the process among all that were started.
    pub number: u32,
}

/// An RPC that a process has accepted and still holds.
pub(crate) struct InFlightRpc {
    /// The decision module's handle, once it has returned from accepting the RPC.
    pub rpc: Option<RpcHandle>,
    /// The time by which the client is to have its answer, s of the simulation.
    pub deadline: f64,
    /// Whether the client has its answer, or wants none.
    pub answered: bool,
    /// The ids of its attempts at backends in their order; `None` once one has ended.
    pub attempts: Vec<Option<u64>>,
}

impl InFlightRpc {
    /// An RPC that is not yet known to the decision module.
    pub(crate) fn new(deadline: f64) -> Self {
        Self {
            rpc: None,
            deadline,
            answered: false,
            attempts: Vec::new(),
        }
    }

    /// The id of an attempt that has not ended.
    pub(crate) fn open_attempt(&self, attempt_index: usize) -> Option<u64> {
        self.attempts.get(attempt_index).copied().flatten()
    }

    /// Whether the client has its answer and the decision module needs the RPC no longer.
    pub(crate) fn is_finished(&self) -> bool {
        self.answered && self.rpc.as_ref().is_none_or(|rpc| rpc.is_finished())
    }
}

/// A process from its start to its end.
pub(crate) struct ProxyProcess {
    /// Which process it is.
    pub id: ProcessId,
    balancer: Balancer,
    platform: SimulationPlatform,
    /// The RPCs that it holds, by client's request.
    pub in_flight: BTreeMap<u64, InFlightRpc>,
    /// How far its clock is behind the simulation's because of pauses, s.
    pub clock_lag: f64,
    /// Since when it has been paused, s of the simulation.
    pub paused: Option<f64>,
    /// Whether it has had SIGTERM.
    pub stopping: bool,
    /// Whether it has an endpoint list.
    pub ready: bool,
    /// When its next timer fires, s of the simulation.
    pub timer_at: Option<f64>,
}

impl ProxyProcess {
    /// A process that has just started.
    pub(crate) fn new(id: ProcessId, balancer: Balancer) -> Self {
        Self {
            id,
            balancer,
            platform: SimulationPlatform::default(),
            in_flight: BTreeMap::new(),
            clock_lag: 0.0,
            paused: None,
            stopping: false,
            ready: false,
            timer_at: None,
        }
    }

    /// Calls the decision module at a time of the simulation; returns the commands that it gives.
    pub(crate) fn run_decision(
        &mut self,
        now: f64,
        decide: impl FnOnce(&Balancer, &mut BTreeMap<u64, InFlightRpc>, &mut SimulationPlatform),
    ) -> Vec<Command> {
        self.platform.now = now - self.clock_lag;
        decide(&self.balancer, &mut self.in_flight, &mut self.platform);
        std::mem::take(&mut self.platform.commands)
    }
}
