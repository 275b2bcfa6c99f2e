//! A rehearsal in simulated time: the scenario, plan, node model, ledger and audit of the kit, and the decision module behind
//! its `Link`, driven by one queue of events. No sockets, no threads, no clock of the machine: the same scenario
//! and seed give the same ledger to the byte anywhere.
//!
//! What is modelled beside the nodes: the way between machines (a fixed delay), the list service with its lag, outages and old
//! copies, the layer before the proxies, clients and their retries, each proxy's own clock, and pauses of a proxy.
#![expect(
    missing_docs,
    reason = "docs/ROADMAP.md lists the crates that are not documented yet"
)]

mod queue;
mod world;

pub use world::{Outcome, simulate};
