//! State of one RPC from its arrival to its end.
use crate::attempt::{AttemptState, CompletedAttempt};
use crate::backend::Backend;
use crate::backend_index::Subset;
use crate::ewma::Ewma;
use crate::interface::{AttemptOutcome, IncomingRpc, PacedBy};
use crate::method::Method;
use crate::queue_position::{KeyPosition, PendingPosition};
use crate::tenant::QuotaClass;
use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;

/// One RPC.
pub(crate) struct RpcState {
    /// Number by which the platform knows it.
    pub id: u64,
    /// Its method.
    pub method: Rc<Method>,
    /// Time by which it needs its final answer.
    pub deadline: f64,
    /// Time until which a response has weight.
    pub useful_until: f64,
    /// End of its wait in the pending queue.
    pub pending_until: Cell<f64>,
    /// Its class by its tenant's use of the quota.
    pub quota_class: QuotaClass,
    /// Its attempts, in the order in which they were started.
    pub attempts: RefCell<Vec<AttemptState>>,
    /// It has its final answer.
    pub answered: Cell<bool>,
    /// Its response has started.
    pub streaming: Cell<bool>,
    /// It can not be sent again.
    pub retry_forbidden: Cell<bool>,
    /// Its body is still arriving when an attempt starts.
    pub streams_request: bool,
    /// Cells that are likely to have its key cached, the likeliest first.
    pub preferred_cells: Vec<Subset>,
    /// Throttles of its tenant and its method.
    pub throttles: Vec<Rc<Ewma>>,
    /// Its position in the pending queue, while it is there.
    pub pending_position: Cell<Option<PendingPosition>>,
    /// Its position among the RPCs of its key, while it is there.
    pub key_position: Cell<Option<KeyPosition>>,
    /// No RPC of its key is ahead of it, and the key's cooldown is over.
    pub key_ready: Cell<bool>,
}

impl RpcState {
    /// Creates the state of an RPC that has just arrived.
    pub(crate) fn new(
        incoming: &IncomingRpc,
        method: Rc<Method>,
        quota_class: QuotaClass,
        preferred_cells: Vec<Subset>,
        throttles: Vec<Rc<Ewma>>,
        now: f64,
    ) -> Self {
        Self {
            id: incoming.id,
            useful_until: method.useful_until(incoming, now),
            method,
            deadline: incoming.deadline,
            pending_until: Cell::default(),
            quota_class,
            attempts: RefCell::default(),
            answered: Cell::default(),
            streaming: Cell::default(),
            retry_forbidden: Cell::default(),
            streams_request: incoming.streams_request,
            preferred_cells,
            throttles,
            pending_position: Cell::default(),
            key_position: Cell::default(),
            key_ready: Cell::new(true),
        }
    }

    /// Returns the attempt with this number if it is in flight.
    fn attempt_in_flight(&self, number: usize) -> Option<RefMut<'_, AttemptState>> {
        RefMut::filter_map(self.attempts.borrow_mut(), |attempts| {
            let attempt = attempts.get_mut(number);
            attempt.filter(|attempt| attempt.is_in_flight())
        })
        .ok()
    }

    /// Ends an attempt. Returns what it tells, or `None` if it had ended before.
    pub(crate) fn end_attempt(
        &self,
        number: usize,
        outcome: AttemptOutcome,
        now: f64,
    ) -> Option<CompletedAttempt> {
        let mut attempt = self.attempt_in_flight(number)?;
        Some(attempt.end(number, outcome, now))
    }

    /// Records that the last byte of an attempt was sent.
    pub(crate) fn record_request_sent(&self, number: usize, now: f64) {
        if let Some(mut attempt) = self.attempt_in_flight(number) {
            attempt.record_request_sent(now);
        }
    }

    /// Records that the response to an attempt has started.
    pub(crate) fn record_response_started(&self, number: usize, paced_by: PacedBy, now: f64) {
        self.streaming.set(true);
        if paced_by == PacedBy::Client
            && let Some(mut attempt) = self.attempt_in_flight(number)
        {
            attempt.record_client_paced_response(now);
        }
    }

    /// Returns whether any attempt may have been executed.
    pub(crate) fn may_have_run(&self) -> bool {
        let attempts = self.attempts.borrow();
        attempts.iter().any(AttemptState::may_have_run)
    }

    /// Returns whether it was tried at this backend.
    pub(crate) fn was_tried_at(&self, backend: &Rc<Backend>) -> bool {
        let attempts = self.attempts.borrow();
        let mut backends = attempts.iter().map(|attempt| &attempt.backend);
        backends.any(|tried| Rc::ptr_eq(tried, backend))
    }

    /// Returns whether the backend is in one of its preferred cells, or it prefers none.
    pub(crate) fn prefers(&self, backend: &Backend) -> bool {
        let cells = &self.preferred_cells;
        cells.is_empty() || cells.contains(&Subset::Cell(backend.cell.get()))
    }

    /// Returns the lowest admission rate of the throttles of its tenant and its method, at most 1.
    /// Each throttle is averaged with `prior_count` samples of `prior`.
    pub(crate) fn lowest_throttle_rate(
        &self,
        now: f64,
        time_constant: f64,
        prior_count: f64,
        prior: f64,
    ) -> f64 {
        let rate =
            |throttle: &Rc<Ewma>| throttle.with_prior(now, time_constant, prior_count, prior);
        self.throttles.iter().map(rate).fold(1.0, f64::min)
    }

    /// Adds a sample to the throttles of its tenant and its method.
    pub(crate) fn record_throttle_rate(&self, rate: f64, now: f64, time_constant: f64) {
        for throttle in &self.throttles {
            throttle.add(rate, now, time_constant);
        }
    }

    /// Returns the numbers of its attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> Vec<usize> {
        let attempts = self.attempts.borrow();
        (0..attempts.len())
            .filter(|number| attempts[*number].is_in_flight())
            .collect()
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        let attempts = self.attempts.borrow();
        attempts.iter().any(AttemptState::is_in_flight)
    }

    /// Returns whether it has its final answer and no attempt in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.answered.get() && !self.has_attempt_in_flight()
    }
}
