//! Events of the simulation, and the event queue, which is ordered by time.
use birchhub::interface::{AttemptOutcome, Readiness};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// An event of the simulation.
pub(crate) enum Event {
    /// A client sends an RPC to a proxy.
    RpcArrives(usize),
    /// The attempt with this number arrives at its backend.
    AttemptArrives(u64),
    /// A backend has executed the attempt with this number.
    AttemptExecuted(u64),
    /// A proxy learns how an attempt has ended.
    AttemptEnds(AttemptEnd),
    /// A health check arrives at its backend.
    HealthCheckArrives(HealthCheck),
    /// The scenario's fraction of the backends fails.
    BackendsFail,
    /// The failed backends return, in slow start.
    BackendsReturn,
    /// A proxy learns that an entry of the endpoint list has changed.
    EndpointChanges {
        /// The proxy.
        proxy: usize,
        /// The backend whose entry has changed.
        backend: u32,
        /// The new readiness.
        readiness: Readiness,
    },
    /// A proxy is replaced by a new process.
    ProxyRestarts(usize),
    /// An event for one process of a proxy; it is dropped if the process has been replaced by then.
    ForProcess {
        /// The proxy.
        proxy: usize,
        /// The process for which the event was scheduled.
        process: u32,
        /// The event.
        event: ProcessEvent,
    },
}

/// An event for one process of a proxy.
pub(crate) enum ProcessEvent {
    /// A timer is due.
    TimerFires,
    /// A complete endpoint list arrives.
    ListArrives,
    /// A health check has ended.
    HealthCheckEnds(HealthCheckEnd),
}

/// A health check on its way to a backend.
pub(crate) struct HealthCheck {
    pub proxy: usize,
    pub process: u32,
    pub backend: u32,
}

/// The outcome of a health check.
pub(crate) struct HealthCheckEnd {
    pub backend: u32,
    pub outcome: AttemptOutcome,
    /// Number of RPCs in flight at the backend.
    pub in_flight: f64,
}

/// The outcome of an attempt.
pub(crate) struct AttemptEnd {
    pub attempt: u64,
    pub outcome: AttemptOutcome,
    /// Number of RPCs in flight at the backend, if it responded.
    pub in_flight: Option<f64>,
}

impl AttemptEnd {
    /// Returns the event for an attempt that ends without a response from its backend.
    pub(crate) fn without_response(attempt: u64, outcome: AttemptOutcome) -> Event {
        Event::AttemptEnds(Self {
            attempt,
            outcome,
            in_flight: None,
        })
    }
}

/// The scheduled events.
#[derive(Default)]
pub(crate) struct EventQueue {
    /// The time of each event as the bits of an `f64`, and its number. Bits of non-negative times sort like the
    /// times.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_number: u64,
}

impl EventQueue {
    /// Returns a number that is unique among events and calls of this function.
    pub(crate) fn take_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the number that the next event will have.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Schedules an event. Events with the same time are returned in the order in which they were scheduled.
    pub(crate) fn schedule(&mut self, at: f64, event: Event) {
        let number = self.take_number();
        self.order.push(Reverse((at.to_bits(), number)));
        self.events.insert(number, event);
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(f64, Event)> {
        let Reverse((at, number)) = self.order.pop()?;
        let event = self.events.remove(&number);
        Some((f64::from_bits(at), event.expect("an event for each number")))
    }
}
