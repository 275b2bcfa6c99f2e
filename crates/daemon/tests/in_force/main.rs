//! Reloads of the configuration on SIGHUP: new settings apply to the RPCs that are accepted from then on, and no RPC is
//! lost.
#[path = "../../../../tests/common/mod.rs"]
mod common;
mod load;
mod planned_size;
mod proxy;
mod restart;
mod rpcs;
mod unchanged;
