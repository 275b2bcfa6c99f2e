//! One api node as a state machine: it has neither sockets nor a clock and is driven by calls that carry the
//! time, in seconds from any fixed moment, never falling. The same model serves stand-ins on sockets and fleets
//! in simulated time; no call costs more than O(log) of what the node holds.
#![expect(
    missing_docs,
    reason = "docs/ROADMAP.md lists the crates that are not documented yet"
)]

pub mod backend;
pub mod capacity_model;
pub mod deduplication;
pub mod overload_window;
pub mod work;

pub use backend::{
    AttemptId, Backend, BackendEvent, IncomingWork, LoadReport, RejectionReason, Spec, Start,
};
pub use deduplication::{DeduplicationCache, IdempotencyKey};
pub use work::Work;
