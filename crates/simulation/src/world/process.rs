//! One proxy's process in simulated time: the decision module, its handles, and its RPCs.
use super::platform::{Door, Wish};
use birchhub::policy::{Balancer, RpcHandle};
use std::collections::BTreeMap;

/// An RPC in a proxy's care.
pub(crate) struct Care {
    pub rpc: Option<RpcHandle>,
    /// By its own clock and by that of the simulation, s.
    pub deadline: f64,
    pub answered: bool,
    /// Jobs by number of the pick; `None` once it has ended.
    pub picks: Vec<Option<u64>>,
}

/// A process, from its start to its end.
pub(crate) struct Proxy {
    pub balancer: Balancer,
    pub door: Door,
    pub cares: BTreeMap<u64, Care>,
    /// Its number among all processes: what was meant for one before does not reach it.
    pub process: u32,
    /// s that its clock is behind: it stood still so long.
    pub behind: f64,
    /// It stands still until then, s of the simulation.
    pub paused: Option<f64>,
    /// SIGTERM has come.
    pub stopping: bool,
    /// It has had a list.
    pub ready: bool,
    pub wake: Option<f64>,
}

impl Proxy {
    pub(crate) fn new(balancer: Balancer, process: u32) -> Self {
        let (door, cares) = (Door::default(), BTreeMap::new());
        Self {
            balancer,
            door,
            cares,
            process,
            behind: 0.0,
            paused: None,
            stopping: false,
            ready: false,
            wake: None,
        }
    }

    /// Calls the module at this time of the simulation; what it asked for is left in the door.
    pub(crate) fn call(
        &mut self,
        now: f64,
        act: impl FnOnce(&Balancer, &mut BTreeMap<u64, Care>, &mut Door),
    ) -> Vec<Wish> {
        self.door.now = now - self.behind;
        act(&self.balancer, &mut self.cares, &mut self.door);
        std::mem::take(&mut self.door.wishes)
    }
}
