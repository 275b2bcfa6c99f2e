//! Runtime checks of the invariants of a proxy, which it must not violate even if clients, backends or the discovery
//! service fail.
//!
//! [`Rule`] lists the invariants. The [`InvariantChecker`] checks each attempt before it starts and again before its
//! first byte is sent, so that an attempt that would violate a rule is not sent. It also checks how late responses and
//! closes of connections are, and counts the violations by rule. Nothing here performs I/O, reads a clock or waits:
//! callers pass durations.
mod attempt;
mod checker;
mod report;
mod rule;
mod slow_start;
mod violation;

pub use attempt::{AttemptSend, AttemptStart, RepeatRule};
pub use checker::InvariantChecker;
pub use report::Report;
pub use rule::Rule;
pub use slow_start::slow_start_limit;
pub use violation::Violation;

use std::time::Duration;

/// Tolerance by which the timeout that is forwarded to a backend may exceed the time left until the client's deadline.
pub const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Tolerance by which a response, or the close of a connection, may miss its deadline. The time for which the process
/// was suspended is allowed in addition.
pub const LATENESS_SLACK: Duration = Duration::from_millis(250);
