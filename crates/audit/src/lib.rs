//! The ledger of a rehearsal, and the audit of the four rules over it.
//!
//! - [`event`] and [`header`]: what can happen, and in which deployment.
//! - [`ledger`]: the file that stores both.
//! - [`audit`]: checks the rules; [`findings`] holds its results and [`service`] the quality of service.
//! - [`timeline`]: the entries as text.
//!
//! Nothing here depends on where the events come from: emulated backends on sockets or a simulation.

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
