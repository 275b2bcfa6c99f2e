//! State of one RPC and of its attempts. It records what happened; whether there is another attempt is
//! decided in `policy`.
use crate::backend::Backend;
use crate::backend_index::Subset;
use crate::estimates::NO_RESPONSE_FACTOR;
use crate::ewma::Ewma;
use crate::interface::{AttemptOutcome, IncomingRpc, PacedBy};
use crate::keyed_queue::KeyPosition;
use crate::method::Method;
use crate::pending_queue::PendingPosition;
use crate::tenant::QuotaClass;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// One attempt of an RPC.
pub(crate) struct AttemptState {
    /// Where it was sent.
    pub backend: Rc<Backend>,
    /// When its last byte was sent, as far as is known.
    pub sent_at: f64,
    /// Time that it had from then on, s.
    pub time_allowed: f64,
    /// Whether the backend's last load report was a light one, if there was a recent one.
    pub light_report: Option<bool>,
    /// RPCs that backends held on average by their reports, if it was picked at random.
    pub load_ahead: Option<f64>,
    /// How it ended.
    pub outcome: Option<AttemptOutcome>,
    response_started_at: Option<f64>, // of a response whose pace the client sets
    client_paced: bool,               // its body is on its way from or to a client
}

/// What an attempt that has ended tells.
pub(crate) struct CompletedAttempt {
    /// Where it was sent.
    pub backend: Rc<Backend>,
    /// Its number among the RPC's attempts.
    pub number: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time that it took at the least, s.
    pub duration: f64,
    /// Time that it had, s.
    pub time_allowed: f64,
    /// See [`AttemptState::light_report`].
    pub light_report: Option<bool>,
    /// See [`AttemptState::load_ahead`].
    pub load_ahead: Option<f64>,
}

impl CompletedAttempt {
    /// Whether a complete response came.
    pub(crate) fn succeeded(&self) -> bool {
        self.outcome == AttemptOutcome::Succeeded
    }

    /// It was answered or timed out: its duration is a measure.
    pub(crate) fn is_timed(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::TimedOut
        )
    }

    /// The backend rejected it.
    pub(crate) fn was_rejected(&self) -> bool {
        self.outcome == AttemptOutcome::Rejected
    }

    /// The backend may still be executing it.
    pub(crate) fn may_still_run(&self) -> bool {
        use AttemptOutcome::{Cancelled, Reset, TimedOut};
        matches!(self.outcome, TimedOut | Reset | Cancelled)
    }

    /// Part of the time allowed that it took.
    pub(crate) fn time_part(&self) -> f64 {
        if self.succeeded() {
            self.duration / self.time_allowed
        } else {
            NO_RESPONSE_FACTOR
        }
    }

    /// Time that the backend needed, or is taken to have needed where no response came; s.
    pub(crate) fn estimated_duration(&self) -> f64 {
        self.duration
            * if self.succeeded() {
                1.0
            } else {
                NO_RESPONSE_FACTOR
            }
    }
}

impl AttemptState {
    /// An attempt that starts now; with `streams_request` its body is still arriving.
    pub(crate) fn new(
        backend: Rc<Backend>,
        sent_at: f64,
        time_allowed: f64,
        load_ahead: Option<f64>,
        light_report: Option<bool>,
        streams_request: bool,
    ) -> Self {
        let (response_started_at, outcome, client_paced) = (None, None, false);
        let mut attempt = Self {
            backend,
            sent_at,
            time_allowed,
            load_ahead,
            light_report,
            response_started_at,
            outcome,
            client_paced,
        };
        attempt.set_client_paced(streams_request);
        attempt
    }

    fn set_client_paced(&mut self, client_paced: bool) {
        let before = std::mem::replace(&mut self.client_paced, client_paced);
        self.backend
            .client_paced
            .update(|all| all + usize::from(client_paced) - usize::from(before));
    }

    /// It has ended.
    pub(crate) fn end(&mut self, outcome: AttemptOutcome) {
        self.outcome = Some(outcome);
        self.set_client_paced(false);
    }

    /// Time to its response, or to the start of one that the client takes at its own pace: how long that
    /// takes says nothing of the backend.
    pub(crate) fn duration(&self, now: f64) -> f64 {
        self.response_started_at.unwrap_or(now) - self.sent_at
    }

    /// It may have been executed; one in flight may.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_ran)
    }
}

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
    /// How it stands to its tenant's quota.
    pub quota_class: QuotaClass,
    /// Its attempts, in the order in which they were started.
    pub attempts: RefCell<Vec<AttemptState>>,
    /// It has its final answer.
    pub answered: Cell<bool>,
    /// Its response has started.
    pub streaming: Cell<bool>,
    /// It can't be sent again.
    pub retry_forbidden: Cell<bool>,
    /// Its body is still arriving when an attempt starts.
    pub streams_request: bool,
    /// Cells that are likely to know its key, the likeliest first.
    pub preferred_cells: Vec<Subset>,
    /// Throttles of its tenant and its method.
    pub throttles: Vec<Rc<Ewma>>,
    /// Its position in the pending queue, while it is there.
    pub pending_position: Cell<Option<PendingPosition>>,
    /// Its position among the RPCs of its key, while it is there.
    pub key_position: Cell<Option<KeyPosition>>,
    /// No RPC of its key is before it, and the key's cooldown is over.
    pub key_ready: Cell<bool>,
}

impl RpcState {
    /// An RPC that has just come in.
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

    /// An attempt has ended; nothing if that was told before.
    pub(crate) fn end_attempt(
        &self,
        number: usize,
        outcome: AttemptOutcome,
        now: f64,
    ) -> Option<CompletedAttempt> {
        let mut attempts = self.attempts.borrow_mut();
        let attempt = attempts
            .get_mut(number)
            .filter(|attempt| attempt.outcome.is_none())?;
        attempt.end(outcome);
        // A rejected one would have waited for longer than the time it had.
        let rejected = outcome == AttemptOutcome::Rejected;
        Some(CompletedAttempt {
            backend: attempt.backend.clone(),
            number,
            outcome,
            duration: if rejected {
                attempt.time_allowed
            } else {
                attempt.duration(now)
            },
            time_allowed: attempt.time_allowed,
            light_report: attempt.light_report,
            load_ahead: attempt.load_ahead,
        })
    }

    /// The last byte of an attempt has been sent: its time counts from here.
    pub(crate) fn record_request_sent(&self, number: usize, now: f64) {
        let mut attempts = self.attempts.borrow_mut();
        if let Some(attempt) = attempts
            .get_mut(number)
            .filter(|attempt| attempt.outcome.is_none())
        {
            attempt.sent_at = now;
            attempt.set_client_paced(false);
        }
    }

    /// The response to an attempt has started.
    pub(crate) fn record_response_started(&self, number: usize, paced_by: PacedBy, now: f64) {
        self.streaming.set(true);
        let mut attempts = self.attempts.borrow_mut();
        let attempt = attempts
            .get_mut(number)
            .filter(|attempt| attempt.outcome.is_none());
        if let Some(attempt) = attempt.filter(|_| paced_by == PacedBy::Client) {
            attempt.response_started_at = Some(now);
            attempt.set_client_paced(true);
        }
    }

    /// Some attempt may have been executed.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts
            .borrow()
            .iter()
            .any(AttemptState::may_have_run)
    }

    /// It has been tried at this backend.
    pub(crate) fn was_tried_at(&self, backend: &Rc<Backend>) -> bool {
        self.attempts
            .borrow()
            .iter()
            .any(|attempt| Rc::ptr_eq(&attempt.backend, backend))
    }

    /// The backend is in a cell that it is kept to; any is if it is kept to none.
    pub(crate) fn prefers(&self, backend: &Backend) -> bool {
        let cells = &self.preferred_cells;
        cells.is_empty() || cells.contains(&Subset::Cell(backend.cell.get()))
    }

    /// The lowest rate that the throttles of its tenant and its method admit, 1 at the most.
    pub(crate) fn least_throttle(
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
    pub(crate) fn record_throttle(&self, rate: f64, now: f64, time_constant: f64) {
        self.throttles
            .iter()
            .for_each(|throttle| throttle.add(rate, now, time_constant));
    }

    /// Numbers of its attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> Vec<usize> {
        let attempts = self.attempts.borrow();
        (0..attempts.len())
            .filter(|number| attempts[*number].outcome.is_none())
            .collect()
    }

    /// Some attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .borrow()
            .iter()
            .any(|attempt| attempt.outcome.is_none())
    }

    /// It has its final answer and no attempt in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.answered.get() && !self.has_attempt_in_flight()
    }
}
