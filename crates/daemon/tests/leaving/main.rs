//! Clients that disconnect while their RPC waits: it is not forwarded. Each kind of wait, each way to disconnect.
#[path = "../../../../tests/common/mod.rs"]
mod common;
mod connecting;
mod harness;
mod key_queue;
mod retries;
mod stopped;
