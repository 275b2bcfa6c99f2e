//! Helpers for the tests of the decisions and of the running daemon.
//!
//! `fixtures`, `fleets`, `rule_model` and `proxy` run the decisions in simulated time and check them against a
//! model of the rules; `sockets` runs a birchhubd process with emulated clients, backends and a discovery
//! service on loopback sockets.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file includes all helpers and uses some"
)]

mod fixtures;
mod fleets;
mod proxy;
mod rule_model;
pub(crate) mod sockets;

pub(crate) use fixtures::*;
pub(crate) use fleets::*;
pub(crate) use proxy::*;
pub(crate) use rule_model::*;
