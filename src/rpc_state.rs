//! State of one RPC from its arrival until it is finished.
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

/// State of one RPC.
pub(crate) struct RpcState {
    /// Identifier in calls to the platform.
    pub id: u64,
    /// Method of the RPC.
    pub method: Rc<Method>,
    /// Time by which the client needs the final response.
    pub deadline: f64,
    /// Time until which a response has any weight.
    pub useful_until: f64,
    /// Time at which the wait in the pending queue ends.
    pub pending_until: Cell<f64>,
    /// Class by the tenant's use of its quota.
    pub quota_class: QuotaClass,
    /// Attempts in the order in which they were started.
    pub attempts: RefCell<Vec<AttemptState>>,
    /// Whether the final response was sent or the client has disconnected.
    pub answered: Cell<bool>,
    /// Whether a response has started.
    pub response_started: Cell<bool>,
    /// Whether retries are forbidden because the body cannot be sent again.
    pub retry_forbidden: Cell<bool>,
    /// Whether the body is still arriving when an attempt starts.
    pub streams_request: bool,
    /// Cells that are likely to have data for the key cached, in order of preference.
    pub preferred_cells: Vec<Subset>,
    /// Throttles of the tenant and the method.
    pub throttles: Vec<Rc<Ewma>>,
    /// Position in the pending queue; `None` if the RPC is not queued.
    pub pending_position: Cell<Option<PendingPosition>>,
    /// Position in the queue of the key; `None` if the RPC is not queued.
    pub key_position: Cell<Option<KeyPosition>>,
    /// Whether no RPC with the same key is ahead and the cooldown of the key has ended.
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
            response_started: Cell::default(),
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

    /// Ends an attempt. Returns its result, or `None` if it had already ended.
    pub(crate) fn end_attempt(
        &self,
        number: usize,
        outcome: AttemptOutcome,
        now: f64,
    ) -> Option<CompletedAttempt> {
        let mut attempt = self.attempt_in_flight(number)?;
        Some(attempt.end(number, outcome, now))
    }

    /// Records that the last byte of an attempt's request was sent.
    pub(crate) fn record_request_sent(&self, number: usize, now: f64) {
        if let Some(mut attempt) = self.attempt_in_flight(number) {
            attempt.record_request_sent(now);
        }
    }

    /// Records that the response to an attempt has started.
    pub(crate) fn record_response_started(&self, number: usize, paced_by: PacedBy, now: f64) {
        self.response_started.set(true);
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

    /// Returns whether an attempt was sent to this backend.
    pub(crate) fn was_tried_at(&self, backend: &Rc<Backend>) -> bool {
        let attempts = self.attempts.borrow();
        let mut backends = attempts.iter().map(|attempt| &attempt.backend);
        backends.any(|tried| Rc::ptr_eq(tried, backend))
    }

    /// Returns whether the backend is in a preferred cell. Without preferred cells, every backend
    /// is.
    pub(crate) fn prefers(&self, backend: &Backend) -> bool {
        let cells = &self.preferred_cells;
        cells.is_empty() || cells.contains(&Subset::Cell(backend.cell.get()))
    }

    /// Returns the lowest admission rate of the throttles of the tenant and the method, at most 1.
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

    /// Adds a sample to the throttles of the tenant and the method.
    pub(crate) fn record_throttle_rate(&self, rate: f64, now: f64, time_constant: f64) {
        for throttle in &self.throttles {
            throttle.add(rate, now, time_constant);
        }
    }

    /// Returns the numbers of the attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> Vec<usize> {
        let attempts = self.attempts.borrow();
        (0..attempts.len())
            .filter(|number| attempts[*number].is_in_flight())
            .collect()
    }

    /// Returns whether any attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        let attempts = self.attempts.borrow();
        attempts.iter().any(AttemptState::is_in_flight)
    }

    /// Returns whether the RPC has its final response and no attempt in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.answered.get() && !self.has_attempt_in_flight()
    }
}
