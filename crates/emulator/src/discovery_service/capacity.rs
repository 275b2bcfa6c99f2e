//! Limit on the capacity of the emulated discovery service.
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Number of calls that the discovery service processes concurrently, and the processing time of a call. Calls beyond that
/// number are rejected with status 503. A watch uses no capacity while it waits for a change.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    slots: Rc<Semaphore>,
    per_call: Duration,
    per_endpoint: Duration,
}

impl ServiceCapacity {
    /// Permits `calls` concurrent calls. Processing one takes `per_call`, and `per_endpoint` for each endpoint of the
    /// response.
    pub fn new(calls: usize, per_call: Duration, per_endpoint: Duration) -> Self {
        Self {
            slots: Rc::new(Semaphore::new(calls)),
            per_call,
            per_endpoint,
        }
    }

    /// Acquires a slot if one is free.
    pub(super) fn try_acquire(&self) -> Option<SemaphorePermit<'_>> {
        self.slots.try_acquire().ok()
    }

    /// Waits for a free slot and acquires it.
    pub(super) async fn acquire(&self) -> Option<SemaphorePermit<'_>> {
        self.slots.acquire().await.ok()
    }

    /// Processing time of a call whose response has this number of endpoints.
    pub(super) fn processing_time(&self, endpoints: u32) -> Duration {
        self.per_call + self.per_endpoint * endpoints
    }
}
