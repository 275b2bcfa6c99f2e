//! Test harness: a backend with its deduplication cache and its events.
use birchhub_backend_model::{
    AttemptId, Backend, BackendEvent, BackendParameters, DeduplicationCache, IncomingWork,
    RejectionReason, StartMode,
};

/// Returns the parameters of a backend with two cores and a queue of four, which warms up from a quarter of its capacity
/// in 8 s.
pub(crate) fn parameters() -> BackendParameters {
    BackendParameters {
        cores: 2,
        speed: 1.0,
        queue_capacity: 4,
        initial_capacity: 0.25,
        warm_up_seconds: 8.0,
        collapse_factor: 3.0,
        overload_window_seconds: 1.0,
        report_interval: 0.5,
        cancel_stops_execution: true,
        connections: 2,
        connection_work: 0.01,
    }
}

/// Returns an RPC without an idempotency key on a connection that was used before.
pub(crate) fn incoming(attempt_id: AttemptId, work: f64) -> IncomingWork {
    IncomingWork {
        attempt_id,
        work,
        idempotency_key: None,
        first_on_connection: false,
    }
}

/// The end of an execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Completion {
    pub(crate) attempt_id: AttemptId,
    /// In seconds.
    pub(crate) at: f64,
}

/// A backend with its deduplication cache and the events not yet returned.
pub(crate) struct TestBackend {
    pub(crate) backend: Backend,
    pub(crate) deduplication: DeduplicationCache,
    pub(crate) events: Vec<BackendEvent>,
}

impl TestBackend {
    pub(crate) fn new(parameters: BackendParameters, start: StartMode) -> Self {
        Self {
            backend: Backend::new(parameters, 0.0, start),
            deduplication: DeduplicationCache::default(),
            events: vec![],
        }
    }

    pub(crate) fn receive(
        &mut self,
        now: f64,
        attempt_id: AttemptId,
        work: f64,
    ) -> Result<(), RejectionReason> {
        self.receive_work(now, incoming(attempt_id, work))
    }

    pub(crate) fn receive_work(
        &mut self,
        now: f64,
        incoming: IncomingWork,
    ) -> Result<(), RejectionReason> {
        self.backend
            .receive(now, incoming, &mut self.deduplication, &mut self.events)
    }

    pub(crate) fn cancel(&mut self, now: f64, attempt_id: AttemptId) -> bool {
        self.backend
            .cancel(now, attempt_id, &mut self.deduplication, &mut self.events)
    }

    /// Processes the events up to `now`, and returns all since the last call.
    pub(crate) fn advance(&mut self, now: f64) -> Vec<BackendEvent> {
        self.backend
            .advance(now, &mut self.deduplication, &mut self.events);
        std::mem::take(&mut self.events)
    }

    pub(crate) fn stall(&mut self, now: f64, stalled: bool) {
        self.backend
            .stall(now, stalled, &mut self.deduplication, &mut self.events);
    }

    pub(crate) fn scale(&mut self, now: f64, factor: f64) {
        self.backend
            .scale(now, factor, &mut self.deduplication, &mut self.events);
    }

    /// Processes the events up to `now`, and returns the executions that ended.
    pub(crate) fn completions_until(&mut self, now: f64) -> Vec<Completion> {
        let mut completions = vec![];
        while let Some(at) = self.backend.next_event().filter(|at| *at <= now) {
            for event in self.advance(at) {
                if let BackendEvent::Finished(attempt_id) = event {
                    completions.push(Completion { attempt_id, at });
                }
            }
        }
        completions
    }

    /// Processes all events, and returns the executions that ended.
    pub(crate) fn completions(&mut self) -> Vec<Completion> {
        self.completions_until(f64::MAX)
    }
}
