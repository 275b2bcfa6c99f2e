//! A simulated proxy: its balancer, its open RPCs, and the actions that its balancer requests.
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::Platform;
use std::collections::HashMap;

/// An attempt that a balancer requested.
pub(crate) struct RequestedAttempt {
    pub rpc: u64,
    pub backend: u32,
    pub timeout: f64,
}

/// A platform that collects the actions that a balancer requests in one call.
#[derive(Default)]
pub(crate) struct RequestedActions {
    pub now: f64,
    pub attempts: Vec<RequestedAttempt>,
    pub health_checks: Vec<u32>,
    /// Delay of the timer that was scheduled last, in seconds.
    pub timer: Option<f64>,
    /// RPCs that were rejected or have failed.
    pub finished: Vec<u64>,
}

impl Platform for RequestedActions {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, timeout: f64) {
        self.attempts.push(RequestedAttempt {
            rpc,
            backend,
            timeout,
        });
    }
    fn cancel_attempt(&mut self, _rpc: u64, _attempt: usize) {}
    fn reject(&mut self, rpc: u64, _retry_after: f64) {
        self.finished.push(rpc);
    }
    fn fail(&mut self, rpc: u64) {
        self.finished.push(rpc);
    }
    fn health_check(&mut self, backend: u32) {
        self.health_checks.push(backend);
    }
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, delay: f64) {
        self.timer = Some(delay);
    }
}

/// An RPC that has no final answer yet.
pub(crate) struct OpenRpc {
    pub handle: RpcHandle,
    /// Number of attempts so far.
    pub attempts: usize,
    /// Time until which a response meets the latency objective.
    pub objective_at: f64,
}

/// State of a simulated proxy.
pub(crate) struct SimulatedProxy {
    pub balancer: Balancer,
    /// Number of its current process, which increases with each restart.
    pub process: u32,
    pub rpcs: HashMap<u64, OpenRpc>,
}
