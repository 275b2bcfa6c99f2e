//! What happened in a rehearsal, and whether the four rules held. `event` and `head` say what can happen and among
//! whom, `ledger` keeps it in a file, `audit` judges it, `service` says how well it went. Nothing here knows
//! where the events come from: stand-ins on sockets or a fleet in simulated time.
#![expect(
    missing_docs,
    reason = "docs/ROADMAP.md lists the crates that are not documented yet"
)]

pub mod audit;
pub mod event;
pub mod findings;
pub mod head;
pub mod ledger;
pub mod service;
pub mod timeline;

pub use audit::Audit;
pub use event::{Answer, EndpointState, Entry, Event};
pub use findings::{Findings, Rule, Violation};
pub use head::{DeduplicationScope, Head, Idempotency, Method, Rules};
pub use service::Service;
