//! Capacity of the emulated discovery service.
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};

/// How many calls the discovery service processes at a time, and how long each takes. Further calls are rejected with
/// status 503. A watch that waits for a change uses no capacity.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    slots: Rc<Semaphore>,
    per_call: Duration,
    per_endpoint: Duration,
}

impl ServiceCapacity {
    /// Processes `calls` calls at a time, each in `per_call` and `per_endpoint` more for each endpoint of the response.
    pub fn new(calls: usize, per_call: Duration, per_endpoint: Duration) -> Self {
        Self {
            slots: Rc::new(Semaphore::new(calls)),
            per_call,
            per_endpoint,
        }
    }

    /// Takes a slot if one is free.
    pub(super) fn try_acquire(&self) -> Option<SemaphorePermit<'_>> {
        self.slots.try_acquire().ok()
    }

    /// Waits for a slot.
    pub(super) async fn acquire(&self) -> Option<SemaphorePermit<'_>> {
        self.slots.acquire().await.ok()
    }

    /// Time to process a call whose response has so many endpoints.
    pub(super) fn processing_time(&self, endpoints: u32) -> Duration {
        self.per_call + self.per_endpoint * endpoints
    }
}
