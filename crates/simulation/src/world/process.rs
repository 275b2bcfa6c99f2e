//! One proxy's process in simulated time: the decision module, its handles, and its RPCs.
use super::platform::{Command, SimulationPlatform};
use birchhub::policy::{Balancer, RpcHandle};
use std::collections::BTreeMap;

/// An RPC in a proxy's care.
pub(crate) struct InFlightRpc {
    pub rpc: Option<RpcHandle>,
    /// By its own clock and by that of the simulation, s.
    pub deadline: f64,
    pub answered: bool,
    /// Jobs by number of the pick; `None` once it has ended.
    pub attempts: Vec<Option<u64>>,
}

/// A process, from its start to its end.
pub(crate) struct ProxyProcess {
    pub balancer: Balancer,
    pub platform: SimulationPlatform,
    pub in_flight: BTreeMap<u64, InFlightRpc>,
    /// Its number among all processes: what was meant for one before does not reach it.
    pub process: u32,
    /// s that its clock is behind: it stood still so long.
    pub clock_lag: f64,
    /// It stands still until then, s of the simulation.
    pub paused: Option<f64>,
    /// SIGTERM has come.
    pub stopping: bool,
    /// It has had a list.
    pub ready: bool,
    pub timer_at: Option<f64>,
}

impl ProxyProcess {
    pub(crate) fn new(balancer: Balancer, process: u32) -> Self {
        let (platform, in_flight) = (SimulationPlatform::default(), BTreeMap::new());
        Self {
            balancer,
            platform,
            in_flight,
            process,
            clock_lag: 0.0,
            paused: None,
            stopping: false,
            ready: false,
            timer_at: None,
        }
    }

    /// Calls the module at this time of the simulation; what it asked for is left in the door.
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
