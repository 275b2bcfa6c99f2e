//! What this proxy keeps of one method: its settings and what was measured of its RPCs.
use crate::estimates::Estimates;
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::{IncomingRpc, MethodSettings};
use std::cmp::Ordering;
use std::rc::Rc;

/// Time constant of the arrivals that rank methods by priority, s: some tens of RPCs.
const ARRIVALS_TIME_CONSTANT: f64 = 3.0;
/// Multiple of the expected wait that one attempt adds at the most: a lost response is no load.
const MAX_WAIT_MULTIPLE: f64 = 4.0;

/// One method.
pub(crate) struct Method {
    /// Its settings.
    pub settings: MethodSettings,
    /// Multiple of the expected wait that must fit into the time left; higher for a lower priority weight.
    pub latency_budget: f64,
    /// Time to a response after a random pick, for each RPC that was at the backend, this one included; s.
    pub time_per_rpc: Rc<Ewma>,
    /// Fraction of its RPCs that the throttle admits at the most, by how its last attempts went.
    pub throttle: Rc<Ewma>,
    arrivals: Rc<DecayingCounter>,
}

impl Method {
    /// A method; what was measured of it under earlier settings goes on, also by its RPCs in flight.
    pub(crate) fn new(
        settings: &MethodSettings,
        latency_budget: f64,
        before: Option<&Rc<Self>>,
    ) -> Self {
        let measured = before.map(|b| {
            (
                b.time_per_rpc.clone(),
                b.throttle.clone(),
                b.arrivals.clone(),
            )
        });
        let (time_per_rpc, throttle, arrivals) = measured.unwrap_or_default();
        Self {
            settings: settings.clone(),
            latency_budget,
            time_per_rpc,
            throttle,
            arrivals,
        }
    }

    /// One of its RPCs has come in.
    pub(crate) fn record_arrival(&self, now: f64) {
        self.arrivals.add(1.0, now, ARRIVALS_TIME_CONSTANT);
    }

    /// An attempt at a random backend took this time, while backends held this load on average when it was
    /// sent. The load may have grown since: a first rush must not look like slow backends.
    pub(crate) fn record_wait(&self, duration: f64, load: f64, estimates: &Estimates, now: f64) {
        let load = load.max(estimates.recent_load(now)) + 1.0;
        let most = self.time_per_rpc.value_or(f64::INFINITY) * MAX_WAIT_MULTIPLE;
        self.time_per_rpc.add(
            (duration / load).min(most),
            now,
            estimates.wait_time_constant(),
        );
    }

    /// Fraction of the recent RPCs of all methods that rank before one of this method by priority weight,
    /// where `among_equals` is the RPC's rank among those of the same weight: 0 before them all, 1 behind.
    pub(crate) fn rank(&self, methods: &[Rc<Self>], among_equals: f64, now: f64) -> f64 {
        let (mut before, mut all) = (0.0, 0.0);
        for method in methods {
            let arrivals = method.arrivals.read(now, ARRIVALS_TIME_CONSTANT);
            let ahead = match method
                .settings
                .priority_weight
                .total_cmp(&self.settings.priority_weight)
            {
                Ordering::Greater => 1.0,
                Ordering::Equal => among_equals,
                Ordering::Less => 0.0,
            };
            (before, all) = (before + arrivals * ahead, all + arrivals);
        }
        if all > 0.0 {
            before / all
        } else {
            among_equals
        }
    }

    /// Time until which a response to the RPC has weight: the latency objective, or the deadline where late
    /// responses count.
    pub(crate) fn useful_until(&self, incoming: &IncomingRpc, now: f64) -> f64 {
        let stretch = self.settings.objective_stretch * incoming.expected_work.unwrap_or(0.0);
        let objective = now + self.settings.latency_objective + stretch;
        let late_counts = self.settings.late_weight_fraction > 0.0;
        if late_counts {
            incoming.deadline
        } else {
            objective.min(incoming.deadline)
        }
    }
}
