//! What a proxy may never do, whatever fails around it, checked while it runs.
//!
//! [`Rule`] lists it. [`Guard`] is asked before each attempt starts and before each is sent, and refuses what would break
//! a rule; it is told of each answer and of each connection's end, and counts what was broken. Nothing here does I/O, reads
//! a clock or waits: callers pass times as spans.
mod guard;
mod rule;
mod violation;

pub use guard::{AttemptStart, Guard, RepeatRule, Report, SendFacts};
pub use rule::Rule;
pub use violation::Violation;

use std::time::Duration;

/// For an attempt to begin after its client has closed its connection or cancelled.
pub const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// By which the time that an attempt tells its backend may exceed what is left to the client.
pub const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// By which an answer or a connection's end may be late. Times that the process was stopped for come on top: no program
/// can act in them.
pub const LATENESS_SLACK: Duration = Duration::from_millis(250);

/// Most requests of mean work that all proxies together may send a warming backend in the overload window, if its
/// settings allow it `allowed` then.
pub fn slow_start_limit(allowed: f64) -> f64 {
    const FEW: f64 = 30.0;
    let spread = allowed.max(0.0).sqrt();
    if allowed < FEW {
        allowed + 3.0 * spread + 3.0
    } else {
        allowed + 2.0 * spread + 2.0
    }
}
