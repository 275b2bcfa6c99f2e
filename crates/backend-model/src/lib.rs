//! Model of a backend as a state machine, for emulated backends on sockets and for simulations.
//!
//! The model uses neither sockets nor a clock. Each call takes the current time in seconds since an arbitrary fixed
//! point; it must not decrease between calls. A call costs at most O(log n) in the number of RPCs at the backend for each
//! event that is due.

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
