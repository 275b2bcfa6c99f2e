//! A rehearsal in simulated time: the scenario, plan, node model, ledger and audit of the kit, and the decision module behind
//! its `Platform`, driven by one queue of events. No sockets, no threads, no clock of the machine: the same scenario
//! and seed give the same ledger to the byte anywhere.
//!
//! What is modelled beside the nodes: the network between machines (a fixed delay), the endpoint list service with its delay,
//! outages and stale copies, the layer before the proxies, clients and their retries, each proxy's own clock, and pauses of a
//! proxy.

mod queue;
mod world;

pub use world::{Outcome, simulate};
