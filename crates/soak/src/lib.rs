//! A soak: real proxies among stand-ins, under faults that a seed draws and that overlap.
//!
//! [`SoakPlan::draw`] draws a plan, which is a file that can be read, changed and played again; [`play`] plays it on top of a
//! rehearsal; [`Judgement`] is passed by three judges: the invariants that the proxies count themselves, the audit of the
//! ledger, and what clients that stop in a request saw. [`shrink`] leaves faults out of a plan that fails for as long as it
//! still does.
mod draw;
mod fault;
mod judge;
mod play;
mod scenario;
mod shrink;
mod stopped_clients;

pub use fault::{Fault, FaultKind, SoakPlan};
pub use judge::Judgement;
pub use play::{SoakError, SoakOptions, play};
pub use shrink::shrink;
