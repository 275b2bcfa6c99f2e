//! One process of a proxy: its decisions, its clock and its RPCs in flight.
use super::platform::{Command, SimulationPlatform};
use birchhub::balancer::{Balancer, RpcHandle};
use std::collections::BTreeMap;

/// Identifies a process of a proxy. Each start gets a new number, so that events for an ended process are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessId {
    /// The proxy that the process runs for.
    pub proxy: u16,
    /// The number of the process among all that were started.
    pub number: u32,
}

/// An RPC in flight at a process.
pub(crate) struct InFlightRpc {
    /// The decisions' handle of the RPC; `None` until they have returned from accepting it.
    pub rpc: Option<RpcHandle>,
    /// The client's deadline, in seconds of the simulation.
    pub deadline: f64,
    /// Whether the client was answered or has disconnected.
    pub answered: bool,
    /// The ids of its attempts in their order; `None` for one that has ended.
    pub attempts: Vec<Option<u64>>,
}

impl InFlightRpc {
    /// Creates an RPC that the decisions have not accepted yet.
    pub(crate) fn new(deadline: f64) -> Self {
        Self {
            rpc: None,
            deadline,
            answered: false,
            attempts: Vec::new(),
        }
    }

    /// Returns the id of an attempt, unless that has ended.
    pub(crate) fn open_attempt(&self, attempt_index: usize) -> Option<u64> {
        self.attempts.get(attempt_index).copied().flatten()
    }

    /// Returns whether the client was answered and the decisions no longer need the RPC.
    pub(crate) fn is_finished(&self) -> bool {
        self.answered && self.rpc.as_ref().is_none_or(|rpc| rpc.is_finished())
    }
}

/// A running process.
pub(crate) struct ProxyProcess {
    /// The process's identity.
    pub id: ProcessId,
    balancer: Balancer,
    platform: SimulationPlatform,
    /// Its RPCs in flight, by the id of the client's request.
    pub in_flight: BTreeMap<u64, InFlightRpc>,
    /// How far its clock lags behind the simulation because of pauses, in seconds.
    pub clock_lag: f64,
    /// When it was paused, in seconds of the simulation; `None` while it runs.
    pub paused_at: Option<f64>,
    /// Whether it has received SIGTERM.
    pub stopping: bool,
    /// Whether it has an endpoint list.
    pub ready: bool,
    /// When its next timer fires, in seconds of the simulation.
    pub timer_at: Option<f64>,
}

impl ProxyProcess {
    /// Creates a process that has just started.
    pub(crate) fn new(id: ProcessId, balancer: Balancer) -> Self {
        Self {
            id,
            balancer,
            platform: SimulationPlatform::default(),
            in_flight: BTreeMap::new(),
            clock_lag: 0.0,
            paused_at: None,
            stopping: false,
            ready: false,
            timer_at: None,
        }
    }

    /// Calls the decisions at a time of the simulation and returns their commands.
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
