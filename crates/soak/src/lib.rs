//! Soak tests: real proxies in an emulated environment under random, overlapping faults.
//!
//! [`SoakPlan::generate`] makes a plan from a seed. A plan is stored in a file, which can be edited and run again.
//! [`run`] runs it as a rehearsal. The [`SoakResult`] combines three checks: the invariants that the proxies check at run
//! time, the audit of the ledger, and whether stalled clients are terminated. [`shrink`] removes faults from a failing plan
//! while it still fails.
mod active_clients;
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
