//! Discrete-event simulator: runs the plan of a rehearsal scenario with the proxies' decisions in simulated time.
//!
//! It uses no sockets, threads or system clock, so that a scenario and a seed give a byte-identical ledger on every machine.
//! It models the backends, the network (as a fixed delay), the endpoint list service with its delay, outages and stale
//! copies, the load balancer in front of the proxies, clients and their retries, and each proxy's clock and pauses.

mod queue;
mod world;

pub use world::{Outcome, simulate};
