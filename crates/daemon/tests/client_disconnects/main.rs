//! RPCs whose client disconnects while they wait are not forwarded: each kind of wait, and each way to disconnect.
#[path = "../../../../tests/common/mod.rs"]
mod common;
mod connecting;
mod harness;
mod key_queue;
mod retries;
mod suspended_proxy;
