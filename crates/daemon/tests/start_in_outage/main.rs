//! Processes that start, or change their source, while discovery is down: no backend gets an RPC that discovery had already
//! reported as draining or removed, and each process is ready in time.
mod agent;
#[path = "../../../../tests/common/mod.rs"]
mod common;
mod harness;
mod limits;
mod starts;
