//! Rehearsals: a scenario describes a small deployment and its faults, a plan is generated from it and a seed, and `run`
//! carries out the plan with real `birchhubd` processes among emulated backends, records a ledger and has it audited.
//!
//! The steps of a rehearsal: `scenario` (the file) → `select` and `plan` (what will happen) → `run` (`environment`: backends
//! and discovery; `proxies`: processes; `clients`: RPCs, open loop) → ledger and audit of `birchhub-audit` → `report`.

pub mod clients;
pub mod duration;
mod environment;
pub mod error;
pub mod hooks;
mod options;
pub mod page;
pub mod plan;
pub mod proxies;
pub mod report;
mod report_files;
pub mod run;
pub mod scenario;
pub mod settings;
pub mod shipped;

pub use error::RehearsalError;
pub use hooks::Hooks;
pub use options::Options;
pub use plan::Plan;
pub use report::{Report, Verdict};
pub use run::{rehearse, rehearse_with};
pub use scenario::{Scenario, ScenarioError};
