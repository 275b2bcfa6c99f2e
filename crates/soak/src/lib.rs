//! Soak tests: real proxies among emulated backends, discovery and clients, under random faults that overlap.
//!
//! [`SoakPlan::generate`] makes a plan from a seed. A plan is a file that can be read, changed and run again. [`run`]
//! runs it on top of a rehearsal. The [`SoakResult`] rests on three checks: the invariants that the proxies check
//! themselves, the audit of the ledger, and whether clients that stall in a request get an end. [`shrink`] removes
//! faults from a failing plan for as long as it still fails.
mod error;
mod generate;
mod plan;
mod result;
mod run;
mod scenario;
mod shrink;
mod stalled_clients;

pub use error::SoakError;
pub use plan::{Fault, FaultKind, SoakPlan};
pub use result::SoakResult;
pub use run::{SoakOptions, run};
pub use shrink::shrink;
pub use stalled_clients::UnterminatedClient;
