//! State of one backend: its entry in the endpoint list and what was observed of it.
use crate::attempt_window::AttemptWindow;
use crate::ewma::Ewma;
use crate::interface::{AttemptOutcome, Endpoint, Readiness};
use crate::load_level::LoadLevel;
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

/// State of one backend. The index, the idle queue and the attempts share it, hence the cells.
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
    /// Time of its latest start, if the endpoint list says it.
    pub started_at: Cell<Option<f64>>,
    /// The endpoint list says that it takes new RPCs.
    pub ready: Cell<bool>,
    /// Number of the last update of the endpoint list that named it.
    pub last_update: Cell<u64>,
    /// Number of this proxy's attempts in flight there.
    pub in_flight: Cell<usize>,
    /// Number of these attempts whose body is on its way from or to a client; the backend has no work
    /// with them meanwhile.
    pub client_paced: Cell<usize>,
    /// Average of `in_flight`.
    pub mean_in_flight: Ewma,
    /// Consecutive failures, less what successes took back.
    pub consecutive_failures: Cell<f64>,
    /// End of its ejection.
    pub ejected_until: Cell<f64>,
    /// Time until which it counts as saturated, because it rejected an attempt.
    pub saturated_until: Cell<f64>,
    /// Time until which its entry in the idle queue is valid, while it has one.
    pub queued_until: Cell<Option<f64>>,
    /// Average response time in seconds.
    pub response_time: Ewma,
    /// Its last load report.
    pub last_report: Cell<Option<LastReport>>,
    /// When the health check in flight was sent.
    pub health_check_sent_at: Cell<Option<f64>>,
    /// Attempts sent in the overload window, which the slow-start budget limits.
    pub recent_attempts: AttemptWindow,
    /// When the last attempt ended without success that it may still work on.
    pub last_unfinished_at: Cell<Option<f64>>,
    /// Random sample up to 1, renewed with each health check's report. An attempt during slow start is
    /// sent if its probability exceeds the sample.
    pub slow_start_sample: Cell<f64>,
    /// Its positions in the subsets of the backend index, by slot.
    pub index_positions: [Cell<Option<usize>>; SUBSET_SLOTS],
}

impl Backend {
    /// Creates a backend of which nothing is known yet.
    pub(crate) fn new(id: u32) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Adopts its entry in the endpoint list, except for the start time.
    pub(crate) fn apply_entry(&self, entry: &Endpoint) {
        self.ready.set(entry.readiness == Readiness::Ready);
        self.cell.set(entry.cell);
        self.zone.set(entry.zone);
        self.relative_size.set(entry.relative_size);
    }

    /// Returns whether it is indexed and the entry would not move it to other subsets.
    pub(crate) fn is_indexed_as(&self, entry: &Endpoint) -> bool {
        let is_indexed = self.index_positions[0].get().is_some();
        is_indexed
            && self.ready.get() == (entry.readiness == Readiness::Ready)
            && self.cell.get() == entry.cell
            && self.zone.get() == entry.zone
    }

    /// Resets it after a restart: earlier failures no longer count, nor does its entry in the idle
    /// queue. If it started before this process, an earlier process of the proxy may have sent it a
    /// whole window of attempts.
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

    /// Records the end of an attempt. Unless it succeeded or never arrived, the backend may still work
    /// on it.
    pub(crate) fn record_outcome(&self, outcome: AttemptOutcome, now: f64) {
        if outcome != AttemptOutcome::Succeeded && !outcome.never_reached_backend() {
            self.last_unfinished_at.set(Some(now));
        }
    }

    /// Returns whether every attempt that ended in the last `window` seconds has succeeded.
    pub(crate) fn has_completed_all(&self, now: f64, window: f64) -> bool {
        let last_unfinished_at = self.last_unfinished_at.get();
        last_unfinished_at.is_none_or(|at| now >= at + window)
    }

    /// Returns the number of attempts in flight that the backend works on now.
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

    /// Extends the validity of its entry in the idle queue. Returns whether it had none.
    pub(crate) fn extend_queue_entry(&self, until: f64) -> bool {
        let before = self.queued_until.get();
        let extended = before.map_or(until, |earlier| earlier.max(until));
        self.queued_until.set(Some(extended));
        before.is_none()
    }

    /// Invalidates its entry in the idle queue, if it has one.
    pub(crate) fn invalidate_queue_entry(&self) {
        let invalidated = self.queued_until.get().map(|_| f64::MIN);
        self.queued_until.set(invalidated);
    }

    /// Returns whether it has a valid entry in the idle queue and still takes new RPCs.
    pub(crate) fn is_queued(&self, now: f64) -> bool {
        self.ready.get() && self.queued_until.get().is_some_and(|until| until >= now)
    }
}
