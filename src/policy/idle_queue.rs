//! The idle queue of Join-Idle-Queue: backends that are taken to be idle, each at most once.
use super::outlier_detection::is_healthy;
use crate::rpc_state::{CompletedAttempt, RpcState};
use crate::{backend::Backend, estimates::Estimates, ewma::Ewma, fleet::Fleet};
use std::{collections::VecDeque, rc::Rc};

const ENTRY_SERVICE_TIMES: f64 = 0.3; // that an entry lasts: other proxies see the same idle backend
const MAX_ENTRY_LIFETIME: f64 = 4.0; // s; and of one by a response: that place is this proxy's own
const MAX_TIME_PART: f64 = 0.7; // of its time that an attempt by the queue may be expected to take
const PRIOR_ATTEMPTS: f64 = 4.0; // by the queue that prove nothing yet, counted beside those measured as 0
pub(crate) const SCAN_LIMIT: usize = 32; // entries that one RPC, and RPCs that one event, may pass over

/// The entries, and what attempts by them took.
#[derive(Default)]
pub(crate) struct IdleQueue {
    entries: VecDeque<Rc<Backend>>,
    time_part: Ewma, // of the time allowed
}

/// Time that an entry by a report lasts, s.
pub(crate) fn entry_lifetime(estimates: &Estimates) -> f64 {
    (estimates.service_time() * ENTRY_SERVICE_TIMES).min(MAX_ENTRY_LIFETIME)
}

impl IdleQueue {
    /// No backend is queued, not even with an entry that has ended.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a backend, or extends its entry. Where responses fill the queue, the quickest backend is first,
    /// or all proxies would go round all they know; and entries last, or the queue would always be empty.
    pub(crate) fn enqueue(
        &mut self,
        backend: &Rc<Backend>,
        by_responses: bool,
        fleet: &Fleet,
        now: f64,
    ) {
        let lifetime = if by_responses {
            MAX_ENTRY_LIFETIME
        } else {
            entry_lifetime(&fleet.estimates)
        };
        if backend.ready.get()
            && is_healthy(backend, now)
            && backend.extend_queue_entry(now + lifetime)
        {
            let response_time = |b: &Backend| b.response_time.value_or(0.0);
            let ahead =
                |b: &Rc<Backend>| !by_responses || response_time(b) <= response_time(backend);
            self.entries
                .insert(self.entries.partition_point(ahead), backend.clone());
        }
    }

    /// Takes the first backend with a valid entry that the RPC may go to, and drops entries that have ended.
    pub(crate) fn dequeue(
        &mut self,
        rpc: &RpcState,
        estimates: &Estimates,
        now: f64,
        may_attempt: impl Fn(&Rc<Backend>) -> bool,
    ) -> Option<Rc<Backend>> {
        // Reports may stand still: entries must fit by what attempts by earlier ones took.
        let expected =
            self.time_part
                .with_prior(now, estimates.wait_time_constant(), PRIOR_ATTEMPTS, 0.0);
        let doubted = expected * rpc.method.latency_budget > MAX_TIME_PART;
        let mut position = 0;
        while position < self.entries.len().min(SCAN_LIMIT) {
            let backend = self.entries[position].clone();
            let valid = backend.is_queued(now);
            if valid && doubted {
                return None;
            }
            if valid && !(rpc.prefers(&backend) && may_attempt(&backend)) {
                position += 1;
                continue;
            }
            self.entries.remove(position);
            backend.queued_until.set(None);
            if valid {
                return Some(backend);
            }
        }
        None
    }

    /// An attempt by the queue has ended.
    pub(crate) fn record_attempt(
        &self,
        attempt: &CompletedAttempt,
        estimates: &Estimates,
        now: f64,
    ) {
        self.time_part
            .add(attempt.time_part(), now, estimates.wait_time_constant());
    }
}
