//! Emulates the environment of a proxy on loopback sockets, for tests and rehearsals.
//!
//! It provides backends (the model of `birchhub-backend-model` behind HTTP/1.1), the discovery service, clients and a
//! fault-injecting relay. All emulated backends run on one thread: the execution of an RPC is a timer and uses no CPU time.
//! Every event is recorded in an [`EventLog`], from which the ledger is written.
pub mod backend;
pub mod client;
pub mod clock;
pub mod discovery_service;
pub mod event_log;
pub mod faults;
pub mod fleet;
mod protocol;
pub mod relay;
pub mod wire;

pub use backend::{BackendSpec, EmulatedBackend};
pub use client::{Client, ClientRequest, SlowSend};
pub use clock::Clock;
pub use discovery_service::DiscoveryService;
pub use event_log::EventLog;
pub use faults::{ActiveFaults, Fault};
pub use fleet::{Fleet, MethodCost};
