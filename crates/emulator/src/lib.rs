//! Stand-ins on loopback sockets for what stands around a proxy: api nodes (the model of `birchhub-backend-model`, served
//! over HTTP/1.1), the list service, and clients' connections, with faults at the socket on demand. Everything
//! runs on one thread's runtime, many nodes to a thread; work is waited for, not burnt. What happens is told
//! to a `Notes`, which keeps it for the ledger.
#![expect(
    missing_docs,
    reason = "docs/ROADMAP.md lists the crates that are not documented yet"
)]

pub mod caller;
pub mod clock;
pub mod faults;
pub mod fleet;
pub mod list;
pub mod node;
pub mod notes;
pub mod relay;
pub mod wire;

pub use caller::{Call, Caller};
pub use clock::Clock;
pub use faults::{Fault, Faults};
pub use fleet::{Cost, Fleet};
pub use list::ListService;
pub use node::{NodeHost, Place};
pub use notes::Notes;
