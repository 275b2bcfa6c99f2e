//! Measurement of the load that all proxies together send to backends in slow start.
use crate::scenario::FleetScenario;

/// The load of the backends in slow start, compared with their budget: N is the number of RPCs of mean work that
/// the settings allow a backend in a window.
#[derive(Debug)]
pub(crate) struct SlowStartMeasurement {
    /// Largest number of RPCs in a window, minus N, as a multiple of sqrt(N).
    pub excess_rpcs: f64,
    /// Largest number of RPCs in a window, minus N + 2 sqrt(N) + 2; positive if the limit was exceeded.
    pub rpcs_over_limit: f64,
    /// Largest work in a window in RPCs of mean work, minus N, as a multiple of sqrt(N).
    pub excess_work: f64,
    /// Largest number of RPCs in a window, as a fraction of N.
    pub used_fraction: f64,
    /// Number of RPCs that arrived at backends in slow start.
    pub sent: usize,
    /// Of the RPCs that clients sent during slow start, the fraction that was answered within the latency
    /// objective.
    pub served_fraction: f64,
}

impl Default for SlowStartMeasurement {
    fn default() -> Self {
        Self {
            excess_rpcs: f64::MIN,
            rpcs_over_limit: f64::MIN,
            excess_work: f64::MIN,
            used_fraction: 0.0,
            sent: 0,
            served_fraction: 0.0,
        }
    }
}

impl SlowStartMeasurement {
    /// Records an arrival and the window that ends with it: the number of its RPCs, their work in RPCs of mean
    /// work, and the budget N.
    pub(crate) fn add_window(&mut self, rpcs: f64, work: f64, n: f64) {
        self.sent += 1;
        self.used_fraction = self.used_fraction.max(rpcs / n);
        self.excess_rpcs = self.excess_rpcs.max((rpcs - n) / n.sqrt());
        self.rpcs_over_limit = self.rpcs_over_limit.max(rpcs - n - 2.0 * n.sqrt() - 2.0);
        self.excess_work = self.excess_work.max((work - n) / n.sqrt());
    }

    /// Runs the fleet with the seeds from 0 on. Returns the largest excess and use of the budget of all runs, and
    /// the means of what was sent and served.
    pub(crate) fn worst_of(fleet: FleetScenario, seeds: u64) -> Self {
        let mut worst = Self::default();
        for measured in (0..seeds).map(|seed| fleet.run(seed)) {
            worst.excess_rpcs = worst.excess_rpcs.max(measured.excess_rpcs);
            worst.rpcs_over_limit = worst.rpcs_over_limit.max(measured.rpcs_over_limit);
            worst.excess_work = worst.excess_work.max(measured.excess_work);
            worst.used_fraction = worst.used_fraction.max(measured.used_fraction);
            worst.sent += measured.sent;
            worst.served_fraction += measured.served_fraction / seeds as f64;
        }
        worst.sent /= seeds as usize;
        worst
    }
}
