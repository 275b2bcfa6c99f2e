//! The emulator on loopback sockets: its backends, discovery service, clients and relay, seen from the other end of a
//! connection and in the recorded events.
mod backend_faults;
mod backend_requests;
mod client;
mod common;
mod discovery_service;
mod relays;
