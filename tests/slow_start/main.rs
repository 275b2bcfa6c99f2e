//! Slow start over a whole fleet (rule 4): what all proxies together send to a backend that has just
//! started, measured at the backend.
#[path = "../common/mod.rs"]
mod common;

mod backend;
mod event;
mod extremes;
mod fleet_budget;
mod fleets;
mod measurement;
mod proxy;
mod proxy_group;
mod restarts;
mod rpcs;
mod scenario;
mod simulation;
mod single_proxy;
mod sweep;
