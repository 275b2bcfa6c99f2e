//! A simulated backend: a queue, the number of busy cores, and the RPCs that arrived in a sliding window.
use std::collections::VecDeque;

/// State of a simulated backend.
pub(crate) struct SimulatedBackend {
    /// Time of its last start; `None` if it has not restarted in the simulation.
    pub started_at: Option<f64>,
    /// Whether it accepts connections.
    pub is_up: bool,
    /// Number of attempts that are executed, each on one core.
    pub running: usize,
    /// Attempts that wait for a core.
    pub queue: VecDeque<u64>,
    /// Arrivals during slow start, without those that have left the window.
    arrivals: VecDeque<Arrival>,
}

/// An RPC that arrived during slow start.
struct Arrival {
    at: f64,
    /// Its work as a multiple of the mean work of an RPC.
    work: f64,
}

impl SimulatedBackend {
    /// Creates a warm backend that is idle.
    pub(crate) fn new() -> Self {
        Self {
            started_at: None,
            is_up: true,
            running: 0,
            queue: VecDeque::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Returns the number of attempts that are executed or queued.
    pub(crate) fn in_flight(&self) -> f64 {
        (self.running + self.queue.len()) as f64
    }

    /// Adds an arrival and drops those that have left the window.
    pub(crate) fn record_arrival(&mut self, work: f64, now: f64, window: f64) {
        self.arrivals.push_back(Arrival { at: now, work });
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| arrival.at <= now - window)
        {
            self.arrivals.pop_front();
        }
    }

    /// Returns the number of arrivals in the window.
    pub(crate) fn arrived_rpcs(&self) -> f64 {
        self.arrivals.len() as f64
    }

    /// Returns the work that arrived in the window, as a multiple of the mean work of an RPC.
    pub(crate) fn arrived_work(&self) -> f64 {
        self.arrivals
            .iter()
            .map(|arrival| arrival.work)
            .sum::<f64>()
    }
}
