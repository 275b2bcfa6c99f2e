//! Simulator of rehearsals: runs a scenario's plan against the decisions in simulated time, driven by one event queue.
//!
//! It uses neither sockets nor threads nor the machine's clock, so that the same scenario and seed give the same ledger to
//! the byte everywhere. Beside the backends it models the network (a fixed delay), the endpoint list service with its delay,
//! outages and stale copies, the load balancer in front of the proxies, clients and their retries, and each proxy's clock and
//! pauses.

mod queue;
mod world;

pub use world::{Outcome, simulate};
