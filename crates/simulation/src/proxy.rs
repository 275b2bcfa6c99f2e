//! One proxy in simulated time: the decision module, its handles, and what it asked for in a call.
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::Platform;
use std::collections::BTreeMap;

/// What the module asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Wish {
    Pick {
        attempt: u64,
        backend: u32,
        time_out: f64,
    },
    Cancel {
        attempt: u64,
        pick: usize,
    },
    PushBack {
        attempt: u64,
        come_back: f64,
    },
    Abort {
        attempt: u64,
    },
    Probe {
        backend: u32,
    },
    Watch,
    Wake {
        delay: f64,
    },
}

/// The module's door outward: notes what it asks for, in order.
#[derive(Default)]
pub(crate) struct Door {
    now: f64,
    pub wishes: Vec<Wish>,
}

impl Platform for Door {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, attempt: u64, backend: u32, time_out: f64) {
        self.wishes.push(Wish::Pick {
            attempt,
            backend,
            time_out,
        });
    }
    fn cancel_attempt(&mut self, attempt: u64, pick: usize) {
        self.wishes.push(Wish::Cancel { attempt, pick });
    }
    fn reject(&mut self, attempt: u64, come_back: f64) {
        self.wishes.push(Wish::PushBack { attempt, come_back });
    }
    fn fail(&mut self, attempt: u64) {
        self.wishes.push(Wish::Abort { attempt });
    }
    fn health_check(&mut self, backend: u32) {
        self.wishes.push(Wish::Probe { backend });
    }
    fn watch_endpoints(&mut self) {
        self.wishes.push(Wish::Watch);
    }
    fn schedule_timer(&mut self, delay: f64) {
        self.wishes.push(Wish::Wake { delay });
    }
}

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
