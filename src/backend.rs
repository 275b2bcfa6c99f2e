//! State of one backend: its entry in the endpoint list and the observations of this proxy.
use crate::attempt_window::AttemptWindow;
use crate::ewma::Ewma;
use crate::interface::{AttemptOutcome, Endpoint, Readiness};
use crate::load_level::LoadLevel;
use std::cell::Cell;

/// Maximum number of subsets of the backend index that contain the same backend.
pub(crate) const SUBSET_SLOTS: usize = 5;

/// Last load report of a backend, reduced to its level.
#[derive(Clone, Copy)]
pub(crate) struct LastReport {
    /// Reported load level.
    pub level: LoadLevel,
    /// Time at which the report arrived.
    pub received_at: f64,
}

/// State of one backend. The index, the idle queue and the attempts share it, so its fields have
/// interior mutability.
#[derive(Default)]
pub(crate) struct Backend {
    /// Number of the backend in the endpoint list.
    pub id: u32,
    /// Capacity relative to other backends.
    pub relative_size: Cell<f64>,
    /// Number of the backend's cell.
    pub cell: Cell<u64>,
    /// Index of the backend's zone.
    pub zone: Cell<usize>,
    /// Time of the last start, if the endpoint list contains it.
    pub started_at: Cell<Option<f64>>,
    /// Whether the backend accepts new RPCs according to the endpoint list.
    pub ready: Cell<bool>,
    /// Number of the last update of the endpoint list that contained the backend.
    pub last_update: Cell<u64>,
    /// Number of this proxy's attempts in flight at the backend.
    pub in_flight: Cell<usize>,
    /// Number of these attempts whose progress depends on the client; the backend is not working on
    /// them.
    pub client_paced: Cell<usize>,
    /// Moving average of `in_flight`.
    pub mean_in_flight: Ewma,
    /// Consecutive failures, reduced with each success.
    pub consecutive_failures: Cell<f64>,
    /// Time until which the backend is ejected.
    pub ejected_until: Cell<f64>,
    /// Time until which the backend counts as saturated because it rejected an attempt.
    pub saturated_until: Cell<f64>,
    /// Time until which the backend's entry in the idle queue is valid; `None` if there is no
    /// entry.
    pub queued_until: Cell<Option<f64>>,
    /// Moving average of the response time in seconds.
    pub response_time: Ewma,
    /// Last load report.
    pub last_report: Cell<Option<LastReport>>,
    /// Time at which the health check in flight was sent.
    pub health_check_sent_at: Cell<Option<f64>>,
    /// Attempts sent within the overload window; limited by the slow-start budget.
    pub recent_attempts: AttemptWindow,
    /// Time at which an attempt last ended without success although it had reached the backend,
    /// which may still be working on it.
    pub last_unfinished_at: Cell<Option<f64>>,
    /// Random number between 0 and 1, drawn anew with each report from a health check. During slow
    /// start an attempt is sent if its probability exceeds this number.
    pub slow_start_sample: Cell<f64>,
    /// Positions in the subsets of the backend index, by slot.
    pub index_positions: [Cell<Option<usize>>; SUBSET_SLOTS],
}

impl Backend {
    /// Creates a backend without any observations.
    pub(crate) fn new(id: u32) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Stores the backend's entry in the endpoint list, except for the start time.
    pub(crate) fn apply_entry(&self, entry: &Endpoint) {
        self.ready.set(entry.readiness == Readiness::Ready);
        self.cell.set(entry.cell);
        self.zone.set(entry.zone);
        self.relative_size.set(entry.relative_size);
    }

    /// Returns whether the backend is indexed and stays in the same subsets with this entry.
    pub(crate) fn is_indexed_as(&self, entry: &Endpoint) -> bool {
        let is_indexed = self.index_positions[0].get().is_some();
        is_indexed
            && self.ready.get() == (entry.readiness == Readiness::Ready)
            && self.cell.get() == entry.cell
            && self.zone.get() == entry.zone
    }

    /// Resets the state after a restart of the backend: earlier failures and its entry in the idle
    /// queue no longer count. If the backend started before this process, an earlier process of
    /// this proxy may have sent it a whole window of attempts, so the window is assumed to be full.
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

    /// Records the end of an attempt. The backend may still be working on it unless it succeeded or
    /// never reached the backend.
    pub(crate) fn record_outcome(&self, outcome: AttemptOutcome, now: f64) {
        if outcome != AttemptOutcome::Succeeded && !outcome.never_reached_backend() {
            self.last_unfinished_at.set(Some(now));
        }
    }

    /// Returns whether each attempt that reached the backend and ended in the last `window` seconds
    /// succeeded.
    pub(crate) fn has_completed_all(&self, now: f64, window: f64) -> bool {
        let last_unfinished_at = self.last_unfinished_at.get();
        last_unfinished_at.is_none_or(|at| now >= at + window)
    }

    /// Returns the number of attempts in flight that the backend is working on.
    pub(crate) fn executing(&self) -> usize {
        self.in_flight.get().saturating_sub(self.client_paced.get())
    }

    /// Changes the number of attempts in flight.
    pub(crate) fn change_in_flight(&self, change: isize, now: f64, time_constant: f64) {
        let in_flight = self.in_flight.get().saturating_add_signed(change);
        self.in_flight.set(in_flight);
        self.mean_in_flight
            .add(in_flight as f64, now, time_constant);
    }

    /// Extends the validity of the backend's entry in the idle queue. Returns whether there was no
    /// entry.
    pub(crate) fn extend_queue_entry(&self, until: f64) -> bool {
        let previous = self.queued_until.get();
        let extended = previous.map_or(until, |earlier| earlier.max(until));
        self.queued_until.set(Some(extended));
        previous.is_none()
    }

    /// Invalidates the backend's entry in the idle queue, if there is one.
    pub(crate) fn invalidate_queue_entry(&self) {
        let invalidated = self.queued_until.get().map(|_| f64::MIN);
        self.queued_until.set(invalidated);
    }

    /// Returns whether the backend has a valid entry in the idle queue and accepts new RPCs.
    pub(crate) fn is_queued(&self, now: f64) -> bool {
        self.ready.get() && self.queued_until.get().is_some_and(|until| until >= now)
    }
}
