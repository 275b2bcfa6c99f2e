//! A backend as a state machine, for emulated backends on sockets and for simulations.
//!
//! It has neither sockets nor a clock: calls carry the time, in seconds from any fixed moment, which never goes back.
//! No call costs more than O(log n) in the number of RPCs at the backend.

pub mod backend;
pub mod capacity_model;
pub mod deduplication;
pub mod overload_window;
pub mod work;

pub use backend::{
    AttemptId, Backend, BackendEvent, BackendParameters, IncomingWork, LoadReport, RejectionReason,
    StartMode,
};
pub use deduplication::{DeduplicationCache, IdempotencyKey};
pub use work::WorkDistribution;
