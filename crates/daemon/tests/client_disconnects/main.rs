//! RPCs are not forwarded if their client disconnects while they wait. The tests combine each kind of wait with each
//! way to disconnect.
#[path = "../../../../tests/common/mod.rs"]
mod common;
mod connecting;
mod harness;
mod key_queue;
mod retries;
mod suspended_proxy;
