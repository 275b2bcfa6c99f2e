//! Settings that change while birchhubd runs: they are active on SIGHUP for the RPCs that are accepted from then on, and
//! nothing is lost.
#[path = "../../../../tests/common/mod.rs"]
mod common;
mod load;
mod planned_size;
mod proxy;
mod refused;
mod restart;
mod rpcs;
