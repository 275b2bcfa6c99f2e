//! The process's [`Guard`], with what it needs from the daemon: the log, and what the process was stopped for.
use birchhub_invariants::{AttemptStart, Guard, Report, SendFacts, Violation};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Stops of the process that are kept.
const STOPS: usize = 64;
/// Between two heartbeats of a process that runs, at most.
const USUAL_BEAT: Duration = Duration::from_millis(20);

/// A time for which the process was stopped.
#[derive(Clone, Copy)]
struct Stop {
    ended_at: Instant,
    length: Duration,
}

/// The one guard through which every start, send, answer and close goes.
pub(crate) struct Invariants {
    guard: Guard,
    last_beat: Cell<Instant>,
    /// RPCs that have no answer yet.
    open_rpcs: Cell<u64>,
    /// The latest last.
    stops: RefCell<VecDeque<Stop>>,
}

impl Invariants {
    /// Of a process that starts now.
    pub(crate) fn new() -> Self {
        Self {
            guard: Guard::default(),
            last_beat: Cell::new(Instant::now()),
            open_rpcs: Cell::new(0),
            stops: RefCell::default(),
        }
    }

    /// The process runs, and was stopped before for so long, if it was.
    pub(crate) fn record_heartbeat(&self, stopped_for: Option<Duration>) {
        let now = Instant::now();
        self.last_beat.set(now);
        let Some(length) = stopped_for else { return };
        let mut stops = self.stops.borrow_mut();
        if stops.len() == STOPS {
            stops.pop_front();
        }
        stops.push_back(Stop {
            ended_at: now,
            length,
        });
    }

    /// For how long the process was stopped since then, also by what no heartbeat has told of yet.
    fn stopped_since(&self, since: Instant) -> Duration {
        let stops = self.stops.borrow();
        let recent = stops.iter().filter(|stop| stop.ended_at > since);
        let told: Duration = recent.map(|stop| stop.length).sum();
        told + self.last_beat.get().elapsed().saturating_sub(USUAL_BEAT)
    }

    /// Whether an attempt that the decisions ask for may start.
    pub(crate) fn may_start(&self, request: &str, facts: &AttemptStart) -> bool {
        let result = self.guard.check_start(facts);
        result
            .inspect_err(|violation| log_refusal(request, violation))
            .is_ok()
    }

    /// Whether the first byte of an attempt may be sent.
    pub(crate) fn may_send(&self, request: &str, facts: &SendFacts) -> bool {
        let result = self.guard.check_send(facts);
        result
            .inspect_err(|violation| log_refusal(request, violation))
            .is_ok()
    }

    /// An RPC was read: an answer is owed.
    pub(crate) fn record_rpc(&self) {
        self.open_rpcs.update(|open| open + 1);
    }

    /// The RPC has its answer, or its client has gone.
    pub(crate) fn record_rpc_end(&self) {
        self.open_rpcs.update(|open| open - 1);
    }

    /// The process exits now: no RPC may be left.
    pub(crate) fn check_exit(&self) {
        for _ in 0..self.open_rpcs.get() {
            self.violated("-", &Violation::Unanswered);
        }
    }

    /// An RPC with this deadline is answered now.
    pub(crate) fn check_answer(&self, request: &str, deadline: Instant) {
        let late = |late| Violation::LateAnswer { late };
        if let Err(violation) = self.check_lateness(deadline, late) {
            log_violation(request, &violation);
        }
    }

    /// A client's connection, of this number in the log, is closed now; it was to be by `deadline`.
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
        self.guard
            .check_lateness(late, self.stopped_since(deadline), violation)
    }

    /// This was seen to be broken.
    pub(crate) fn violated(&self, request: &str, violation: &Violation) {
        self.guard.count(violation);
        log_violation(request, violation);
    }

    /// What was broken and refused so far.
    pub(crate) fn report(&self) -> Report<'_> {
        self.guard.report()
    }
}

fn log_violation(request: &str, violation: &Violation) {
    log::error!(request:%, rule:% = violation.rule(); "invariant violated: {violation}");
}

/// What is refused is not sent; the guard counts whether it should never have been asked for.
fn log_refusal(request: &str, violation: &Violation) {
    log::debug!(request:%, rule:% = violation.rule(); "attempt refused: {violation}");
}
