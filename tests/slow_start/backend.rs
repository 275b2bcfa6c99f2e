//! A simulated backend: a bounded queue before its cores, and the arrivals of a sliding window.
use std::collections::VecDeque;

/// State of a simulated backend.
pub(crate) struct SimulatedBackend {
    /// Time of its last start, if it has restarted.
    pub started_at: Option<f64>,
    /// It accepts connections.
    pub is_up: bool,
    /// Number of attempts that it executes.
    pub running: usize,
    /// Attempts that wait for a core.
    pub queue: VecDeque<u64>,
    /// Arrivals in the last window of its slow start.
    arrivals: VecDeque<Arrival>,
}

/// An RPC that arrived during slow start.
struct Arrival {
    at: f64,
    /// Its work in RPCs of mean work.
    work: f64,
}

impl SimulatedBackend {
    /// Creates a warm backend without load.
    pub(crate) fn new() -> Self {
        Self {
            started_at: None,
            is_up: true,
            running: 0,
            queue: VecDeque::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Returns the number of attempts that it executes or has queued.
    pub(crate) fn in_flight(&self) -> f64 {
        (self.running + self.queue.len()) as f64
    }

    /// Adds an arrival and forgets those before the window.
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

    /// Returns the work that arrived in the window, in RPCs of mean work.
    pub(crate) fn arrived_work(&self) -> f64 {
        self.arrivals
            .iter()
            .map(|arrival| arrival.work)
            .sum::<f64>()
    }
}
