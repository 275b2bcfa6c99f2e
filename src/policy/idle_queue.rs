//! The idle queue of Join-Idle-Queue (Lu et al., 2011): backends that are assumed to be idle.
//!
//! Each backend is queued at most once, and an RPC takes the first one that it may be sent to.
//! Three things differ from the paper. Entries expire soon, because several proxies may have queued
//! the same backend. If responses rather than reports fill the queue, the backends with the
//! shortest response times come first, so that not every proxy uses every backend. And the queue is
//! not used while attempts through it are slow, because reports may be out of date.
use super::idle_signal::IdleSignal;
use super::outlier_detection::is_healthy;
use crate::attempt::CompletedAttempt;
use crate::backend::Backend;
use crate::estimates::Estimates;
use crate::ewma::Ewma;
use crate::fleet::Fleet;
use crate::rpc_state::RpcState;
use std::collections::VecDeque;
use std::rc::Rc;

/// Lifetime of an entry created by a load report, in mean service times.
const ENTRY_LIFETIME_SERVICE_TIMES: f64 = 0.3;
/// Maximum lifetime of an entry created by a load report, in seconds. Also the lifetime of an entry
/// created by a response, because the capacity that it released was used by this proxy.
const MAX_ENTRY_LIFETIME_SECONDS: f64 = 4.0;
/// Maximum fraction of the allowed time that an attempt through the queue may be expected to use.
const MAX_EXPECTED_TIME_FRACTION: f64 = 0.7;
/// Weight of the prior, as a number of attempts that used no time: a few slow attempts prove
/// little.
const PRIOR_ATTEMPTS: f64 = 4.0;
/// Maximum number of entries scanned per RPC, and of RPCs passed over per event.
pub(crate) const SCAN_LIMIT: usize = 32;

/// Queue of idle backends, and statistics of the attempts sent to them.
#[derive(Default)]
pub(crate) struct IdleQueue {
    entries: VecDeque<Rc<Backend>>,
    /// Mean fraction of the allowed time that attempts through the queue used.
    used_time_fraction: Ewma,
}

/// Returns the lifetime of an entry created by a load report, in seconds.
pub(crate) fn entry_lifetime(estimates: &Estimates) -> f64 {
    (estimates.service_time() * ENTRY_LIFETIME_SERVICE_TIMES).min(MAX_ENTRY_LIFETIME_SECONDS)
}

impl IdleQueue {
    /// Returns whether there are no entries, including expired ones.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a backend if it is ready and healthy, or extends the lifetime of its entry.
    pub(crate) fn enqueue(
        &mut self,
        backend: &Rc<Backend>,
        signal: IdleSignal,
        fleet: &Fleet,
        now: f64,
    ) {
        let lifetime = match signal {
            IdleSignal::LowLoad => entry_lifetime(&fleet.estimates),
            IdleSignal::Response => MAX_ENTRY_LIFETIME_SECONDS,
        };
        if !backend.ready.get() || !is_healthy(backend, now) {
            return;
        }
        if backend.extend_queue_entry(now + lifetime) {
            let position = self.insert_position(backend, signal);
            self.entries.insert(position, backend.clone());
        }
    }

    /// Returns the position at which a backend is inserted: at the end if a load report created the
    /// entry, otherwise in order of mean response time.
    fn insert_position(&self, backend: &Backend, signal: IdleSignal) -> usize {
        if signal == IdleSignal::LowLoad {
            return self.entries.len();
        }
        let response_time = |backend: &Backend| backend.response_time.value_or(0.0);
        let own_response_time = response_time(backend);
        self.entries
            .partition_point(|other| response_time(other) <= own_response_time)
    }

    /// Removes and returns the first backend that the RPC prefers and may be sent to. Removes
    /// expired entries that precede it.
    pub(crate) fn dequeue(
        &mut self,
        rpc: &RpcState,
        estimates: &Estimates,
        now: f64,
        may_attempt: impl Fn(&Rc<Backend>) -> bool,
    ) -> Option<Rc<Backend>> {
        let is_too_slow = self.is_too_slow_for(rpc, estimates, now);
        let mut position = 0;
        while position < self.entries.len().min(SCAN_LIMIT) {
            let backend = self.entries[position].clone();
            if !backend.is_queued(now) {
                self.remove_entry(position, &backend);
            } else if is_too_slow {
                return None;
            } else if rpc.prefers(&backend) && may_attempt(&backend) {
                self.remove_entry(position, &backend);
                return Some(backend);
            } else {
                position += 1;
            }
        }
        None
    }

    /// Removes the entry of a backend.
    fn remove_entry(&mut self, position: usize, backend: &Backend) {
        self.entries.remove(position);
        backend.queued_until.set(None);
    }

    /// Returns whether recent attempts through the queue used too much of their allowed time for an
    /// RPC of this priority. The lower the priority, the higher is the wait multiple of its method.
    fn is_too_slow_for(&self, rpc: &RpcState, estimates: &Estimates, now: f64) -> bool {
        let time_constant = estimates.wait_time_constant();
        let expected_fraction =
            self.used_time_fraction
                .with_prior(now, time_constant, PRIOR_ATTEMPTS, 0.0);
        expected_fraction * rpc.method.wait_multiple > MAX_EXPECTED_TIME_FRACTION
    }

    /// Records the result of an attempt through the queue.
    pub(crate) fn record_attempt(
        &self,
        attempt: &CompletedAttempt,
        estimates: &Estimates,
        now: f64,
    ) {
        let time_constant = estimates.wait_time_constant();
        self.used_time_fraction
            .add(attempt.used_time_fraction(), now, time_constant);
    }
}
