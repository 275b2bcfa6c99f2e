//! One api node as a state machine: it has neither sockets nor a clock and is driven by calls that carry the
//! time, in seconds from any fixed moment, never falling. The same model serves stand-ins on sockets and fleets
//! in simulated time; no call costs more than O(log) of what the node holds.
#![expect(
    missing_docs,
    reason = "docs/ROADMAP.md lists the crates that are not documented yet"
)]

pub mod node;
pub mod pace;
pub mod push;
pub mod repeats;
pub mod work;

pub use node::{AttemptId, Happening, Node, Offer, Report, Spec, Start, Why};
pub use repeats::{Mark, Repeats};
pub use work::Work;
