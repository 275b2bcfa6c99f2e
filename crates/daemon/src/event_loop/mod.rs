//! Fair queueing of the event loop's work among peers: clients, backends, discovery and administrative callers.
//!
//! Everything runs on one thread, so a peer that sends without a pause could keep it busy and delay all others. Each peer
//! has a [`Peer`] account. Before a socket is read, and before a message is handled, the account's [`Admission`] asks the
//! [`WorkQueue`]. In one round of the event loop the queue admits a fixed amount of work; what exceeds it waits for the next
//! round, in the order of start-time fair queueing (Goyal, Vin and Cheng, 1996): a peer that has used little goes before one
//! that has used much, whatever the number of either.
mod monitor;
mod peer;
mod queue;
mod usage;

pub(crate) use monitor::{LoopMonitor, LoopReport, measure_turns};
pub(crate) use peer::{Admission, Peer, PeerId};
pub(crate) use queue::WorkQueue;

#[cfg(test)]
mod tests;
