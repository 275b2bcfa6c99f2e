//! The event ledger of a rehearsal, and the audit that checks four rules over it.
//!
//! - [`event`] and [`header`]: the events, and the deployment that they refer to.
//! - [`ledger`]: reads and writes the file that stores both.
//! - [`audit`]: checks the rules. [`findings`] holds its results, [`service`] computes the quality of service.
//! - [`timeline`]: formats entries as text.
//!
//! The crate uses neither sockets nor a clock, so it serves emulated backends on sockets as well as simulations.

pub mod audit;
pub mod event;
pub mod findings;
pub mod header;
pub mod ledger;
pub mod service;
pub mod timeline;

pub use audit::Audit;
pub use event::{EndpointState, Entry, Event, RequestOutcome};
pub use findings::{Findings, Rule, Violation};
pub use header::{DeduplicationScope, Header, Idempotency, Method, RuleParameters};
pub use service::ServiceQuality;
