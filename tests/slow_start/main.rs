//! Tests of slow start over a whole fleet: all proxies together must not send a backend that has just started
//! more than its slow-start budget (rule 4 of `policy::rules`). The load is measured at the backend.
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
