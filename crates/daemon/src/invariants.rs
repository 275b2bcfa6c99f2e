//! The invariants of the process: an [`InvariantChecker`] with the log and the suspensions that it needs.

mod suspensions;

use birchhub_invariants::{AttemptSend, AttemptStart, InvariantChecker, Report, Violation};
use std::cell::Cell;
use std::time::Duration;
use suspensions::Suspensions;
use tokio::time::Instant;

/// Logged in place of the request id for a violation that concerns no single RPC.
pub(crate) const NO_REQUEST_ID: &str = "-";

/// The one checker of a process, which judges every attempt, response and closed connection.
pub(crate) struct Invariants {
    checker: InvariantChecker,
    suspensions: Suspensions,
    /// Number of RPCs that have no response yet and whose client is connected.
    open_rpcs: Cell<u64>,
}

impl Invariants {
    /// Creates the checker of a process that starts now.
    pub(crate) fn new() -> Self {
        Self {
            checker: InvariantChecker::default(),
            suspensions: Suspensions::new(),
            open_rpcs: Cell::new(0),
        }
    }

    /// Records a heartbeat, and the duration of the suspension that preceded it, if there was one.
    pub(crate) fn record_heartbeat(&self, suspended_for: Option<Duration>) {
        self.suspensions.record_heartbeat(suspended_for);
    }

    /// Returns whether an attempt that the decisions request may start.
    pub(crate) fn may_start(&self, request: &str, start: &AttemptStart) -> bool {
        let result = self.checker.check_start(start);
        is_allowed(request, result)
    }

    /// Returns whether the first byte of an attempt may be sent.
    pub(crate) fn may_send(&self, request: &str, send: &AttemptSend) -> bool {
        let result = self.checker.check_send(send);
        is_allowed(request, result)
    }

    /// Records an RPC that was received and must have a response.
    pub(crate) fn record_rpc(&self) {
        self.open_rpcs.update(|open| open + 1);
    }

    /// Records that an RPC has its response, or that its client has disconnected.
    pub(crate) fn record_rpc_end(&self) {
        self.open_rpcs.update(|open| open - 1);
    }

    /// Checks that no RPC is left without a response when the process exits.
    pub(crate) fn check_exit(&self) {
        for _ in 0..self.open_rpcs.get() {
            self.record_violation(NO_REQUEST_ID, &Violation::NoResponse);
        }
    }

    /// Checks that the response to an RPC with this deadline is in time if it is sent now.
    pub(crate) fn check_response(&self, request: &str, deadline: Instant) {
        let late = |late| Violation::LateResponse { late };
        if let Err(violation) = self.check_lateness(deadline, late) {
            log_violation(request, &violation);
        }
    }

    /// Checks that a client's connection, with this id in the log, is closed in time if it is closed now.
    pub(crate) fn check_close(&self, connection: u64, deadline: Instant) {
        let late = |late| Violation::LateClose { late };
        if let Err(violation) = self.check_lateness(deadline, late) {
            log::error!(connection, rule:% = violation.rule(); "invariant violated: {violation}");
        }
    }

    fn check_lateness(
        &self,
        deadline: Instant,
        violation: fn(Duration) -> Violation,
    ) -> Result<(), Violation> {
        let late = deadline.elapsed();
        let suspended = self.suspensions.total_since(deadline);
        self.checker.check_lateness(late, suspended, violation)
    }

    /// Counts and logs a violation.
    pub(crate) fn record_violation(&self, request: &str, violation: &Violation) {
        self.checker.count(violation);
        log_violation(request, violation);
    }

    /// Returns the counts of violations and refusals so far.
    pub(crate) fn report(&self) -> Report<'_> {
        self.checker.report()
    }
}

/// Returns whether an attempt is allowed, and logs why it is not. The checker has counted a violation, if it is one.
fn is_allowed(request: &str, result: Result<(), Violation>) -> bool {
    let Err(violation) = result else {
        return true;
    };
    log::debug!(request:%, rule:% = violation.rule(); "attempt refused: {violation}");
    false
}

fn log_violation(request: &str, violation: &Violation) {
    log::error!(request:%, rule:% = violation.rule(); "invariant violated: {violation}");
}
