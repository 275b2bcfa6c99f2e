//! Runtime checks of the rules that a proxy must keep whatever fails around it.
//!
//! [`Rule`] lists the rules. The [`InvariantChecker`] judges each attempt before it starts and again before it is sent,
//! so that an attempt that would break a rule is not sent. It also judges each response and each closed connection, and
//! counts what was violated. Nothing here performs I/O, reads a clock or waits: callers pass durations.
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

/// Time by which the timeout that is forwarded to a backend may exceed the time that the client has left.
pub const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Time after its deadline until which a response, or the close of a connection, is still in time. The time for which
/// the process was suspended is allowed in addition.
pub const LATENESS_SLACK: Duration = Duration::from_millis(250);
