//! A local agent that is silent, fails or is slow: no backend gets an RPC that the agent has as draining or removed, and each
//! process is ready in time.
mod agent;
#[path = "../../../../tests/common/mod.rs"]
mod common;
mod harness;
mod limits;
mod random_plays;
mod reload;
mod slow_agent;
mod starts;
