//! What this proxy keeps of one backend: its entry in the endpoint list and what was observed of it.
use crate::attempt_window::AttemptWindow;
use crate::ewma::Ewma;
use crate::interface::{AttemptOutcome, Endpoint, Readiness};
use crate::report_quality::LoadLevel;
use std::cell::Cell;

/// Number of subsets of the backend index that one backend can be in at once.
pub(crate) const SUBSET_SLOTS: usize = 5;

/// What is kept of a load report.
#[derive(Clone, Copy)]
pub(crate) struct LastReport {
    /// The load that it tells.
    pub level: LoadLevel,
    /// When it arrived.
    pub received_at: f64,
}

/// State of one backend. Shared by the index, the idle queue and the attempts at it, hence the cells.
#[derive(Default)]
pub(crate) struct Backend {
    /// Number of the backend in the endpoint list.
    pub id: u32,
    /// Capacity relative to other backends.
    pub relative_size: Cell<f64>,
    /// Number of its cell.
    pub cell: Cell<u64>,
    /// Index of its zone.
    pub zone: Cell<usize>,
    /// Time of its latest start, if the list tells.
    pub started_at: Cell<Option<f64>>,
    /// The endpoint list says that it takes new RPCs.
    pub ready: Cell<bool>,
    /// Number of the update of the endpoint list that named it last.
    pub last_update: Cell<u64>,
    /// Attempts of this proxy in flight there.
    pub in_flight: Cell<usize>,
    /// Of these, attempts whose body is on its way from or to a client: no work for the backend now.
    pub client_paced: Cell<usize>,
    /// Average of `in_flight`.
    pub mean_in_flight: Ewma,
    /// Failures in a row, less what successes took back.
    pub consecutive_failures: Cell<f64>,
    /// End of its ejection.
    pub ejected_until: Cell<f64>,
    /// Time until which it counts as saturated, because it rejected an attempt.
    pub saturated_until: Cell<f64>,
    /// Time until which its entry in the idle queue is valid, while it has one.
    pub queued_until: Cell<Option<f64>>,
    /// Average time to a response, s.
    pub response_time: Ewma,
    /// Its last load report.
    pub last_report: Cell<Option<LastReport>>,
    /// When the health check in flight was sent.
    pub health_check_sent_at: Cell<Option<f64>>,
    /// Attempts sent in the overload window, for the slow start budget.
    pub recent_attempts: AttemptWindow,
    /// When an attempt that it may still work on last ended without success.
    pub last_unfinished_at: Cell<Option<f64>>,
    /// Random sample below 1, renewed with each report: a slow-start attempt's chance must exceed it.
    pub slow_start_sample: Cell<f64>,
    /// Its positions in the subsets of the backend index, by slot.
    pub index_positions: [Cell<Option<usize>>; SUBSET_SLOTS],
}

impl Backend {
    /// A backend of which nothing is known yet.
    pub(crate) fn new(id: u32) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Takes over what its entry in the endpoint list says, except for the start time.
    pub(crate) fn describe(&self, entry: &Endpoint) {
        self.ready.set(entry.readiness == Readiness::Ready);
        self.cell.set(entry.cell);
        self.zone.set(entry.zone);
        self.relative_size.set(entry.relative_size);
    }

    /// Whether it is indexed, and the entry would leave it in the subsets that it is in.
    pub(crate) fn is_indexed_as(&self, entry: &Endpoint) -> bool {
        let described = (entry.readiness == Readiness::Ready, entry.cell, entry.zone);
        let indexed = self.index_positions[0].get().is_some();
        indexed && (self.ready.get(), self.cell.get(), self.zone.get()) == described
    }

    /// It has restarted: earlier failures no longer count, nor does the load that its idle-queue entry tells
    /// of. If it started before this process did, an earlier process may have sent it a whole window of
    /// attempts.
    pub(crate) fn record_restart(&self, now: f64, before_this_process: bool) {
        if before_this_process {
            self.recent_attempts.assume_full(now);
            self.last_unfinished_at.set(Some(now));
        }
        self.slow_start_sample.set(1.0);
        self.invalidate_queue_entry();
        self.consecutive_failures.set(0.0);
        self.ejected_until.set(0.0);
        self.saturated_until.set(0.0);
    }

    /// An attempt has ended; unless it succeeded or never arrived, the backend may still work on it.
    pub(crate) fn record_outcome(&self, outcome: AttemptOutcome, now: f64) {
        if outcome != AttemptOutcome::Succeeded && !outcome.never_reached_backend() {
            self.last_unfinished_at.set(Some(now));
        }
    }

    /// Whether every attempt that ended within this time succeeded.
    pub(crate) fn has_completed_all(&self, now: f64, within: f64) -> bool {
        self.last_unfinished_at
            .get()
            .is_none_or(|at| now >= at + within)
    }

    /// Attempts in flight that are work for the backend now.
    pub(crate) fn executing(&self) -> usize {
        self.in_flight.get().saturating_sub(self.client_paced.get())
    }

    /// The number of attempts in flight has changed by this much.
    pub(crate) fn change_in_flight(&self, change: isize, now: f64, time_constant: f64) {
        self.in_flight
            .set(self.in_flight.get().saturating_add_signed(change));
        self.mean_in_flight
            .add(self.in_flight.get() as f64, now, time_constant);
    }

    /// Its idle-queue entry is valid until then at the least; true if it had none.
    pub(crate) fn extend_queue_entry(&self, until: f64) -> bool {
        let before = self.queued_until.get();
        self.queued_until
            .set(Some(before.map_or(until, |earlier| earlier.max(until))));
        before.is_none()
    }

    /// An entry that it has in the idle queue is valid no longer.
    pub(crate) fn invalidate_queue_entry(&self) {
        self.queued_until
            .set(self.queued_until.get().map(|_| f64::MIN));
    }

    /// Whether it has a valid entry in the idle queue and still takes RPCs.
    pub(crate) fn is_queued(&self, now: f64) -> bool {
        self.ready.get() && self.queued_until.get().is_some_and(|until| until >= now)
    }
}
