//! Runtime checks of the invariants: an [`InvariantChecker`] whose results are logged, and which does not count
//! suspensions of the process as lateness.

mod suspensions;

use birchhub_invariants::{AttemptSend, AttemptStart, InvariantChecker, Report, Violation};
use std::cell::Cell;
use std::time::Duration;
use suspensions::Suspensions;
use tokio::time::Instant;

/// Logged in place of the request id if a violation does not concern a single RPC.
pub(crate) const NO_REQUEST_ID: &str = "-";

/// Checks every attempt, response and closed connection of a process.
pub(crate) struct Invariants {
    checker: InvariantChecker,
    suspensions: Suspensions,
    /// Number of RPCs that have no response yet and whose client is connected.
    open_rpcs: Cell<u64>,
}

impl Invariants {
    /// Creates the checks of a process that starts now.
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

    /// Returns whether an attempt that the balancer requests may start.
    pub(crate) fn may_start(&self, request: &str, start: &AttemptStart) -> bool {
        let result = self.checker.check_start(start);
        is_allowed(request, result)
    }

    /// Returns whether the first byte of an attempt may be sent.
    pub(crate) fn may_send(&self, request: &str, send: &AttemptSend) -> bool {
        let result = self.checker.check_send(send);
        is_allowed(request, result)
    }

    /// Records an RPC that was received and requires a response.
    pub(crate) fn record_rpc(&self) {
        self.open_rpcs.update(|open| open + 1);
    }

    /// Records that an RPC has its response, or that its client has disconnected.
    pub(crate) fn record_rpc_end(&self) {
        self.open_rpcs.update(|open| open - 1);
    }

    /// Checks, when the process exits, that no RPC lacks its response.
    pub(crate) fn check_exit(&self) {
        for _ in 0..self.open_rpcs.get() {
            self.record_violation(NO_REQUEST_ID, &Violation::NoResponse);
        }
    }

    /// Checks that a response that is sent now meets the RPC's deadline.
    pub(crate) fn check_response(&self, request: &str, deadline: Instant) {
        let late = |late| Violation::LateResponse { late };
        if let Err(violation) = self.check_lateness(deadline, late) {
            log_violation(request, &violation);
        }
    }

    /// Checks that a client connection that is closed now meets its deadline. `connection` is its id in the log.
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

/// Returns whether an attempt is allowed, and logs the reason if it is not. The checker has already counted it.
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
