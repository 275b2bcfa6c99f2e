//! State of one method: its settings and what was observed of its RPCs.
use crate::estimates::Estimates;
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::{IncomingRpc, MethodSettings};
use std::cmp::Ordering;
use std::rc::Rc;

/// Time constant of the arrivals by which methods are ranked, in seconds.
const ARRIVALS_TIME_CONSTANT_SECONDS: f64 = 3.0;
/// Largest sample of the time per RPC, as a multiple of its mean: a lost response is no load.
const MAX_SAMPLE_MULTIPLE: f64 = 4.0;

/// One method.
pub(crate) struct Method {
    /// Its settings.
    pub settings: MethodSettings,
    /// Multiple of an expected wait that must fit into the time left of an RPC; the lower the priority
    /// weight, the higher.
    pub wait_multiple: f64,
    /// Duration of attempts at random backends, divided by the number of RPCs that were there, the
    /// attempt included; in seconds.
    pub time_per_rpc: Rc<Ewma>,
    /// The throttle of the method's RPCs; see `policy::throttle`.
    pub throttle: Rc<Ewma>,
    arrivals: Rc<DecayingCounter>,
}

impl Method {
    /// Creates a method. It shares its observations with the same method of the former settings, as
    /// RPCs in flight still add to those.
    pub(crate) fn new(
        settings: &MethodSettings,
        wait_multiple: f64,
        before: Option<&Rc<Self>>,
    ) -> Self {
        Self {
            settings: settings.clone(),
            wait_multiple,
            time_per_rpc: before.map_or_else(Rc::default, |method| method.time_per_rpc.clone()),
            throttle: before.map_or_else(Rc::default, |method| method.throttle.clone()),
            arrivals: before.map_or_else(Rc::default, |method| method.arrivals.clone()),
        }
    }

    /// Records the arrival of one of its RPCs.
    pub(crate) fn record_arrival(&self, now: f64) {
        self.arrivals.add(1.0, now, ARRIVALS_TIME_CONSTANT_SECONDS);
    }

    /// Records the duration of an attempt at a random backend. `mean_load` is the mean load of the
    /// backends when it was sent; it may have grown since, and the first RPCs of a burst must not make
    /// the backends look slow.
    pub(crate) fn record_wait(
        &self,
        duration: f64,
        mean_load: f64,
        estimates: &Estimates,
        now: f64,
    ) {
        let load = mean_load.max(estimates.recent_load(now)) + 1.0;
        let max_sample = self.time_per_rpc.value_or(f64::INFINITY) * MAX_SAMPLE_MULTIPLE;
        let sample = (duration / load).min(max_sample);
        self.time_per_rpc
            .add(sample, now, estimates.wait_time_constant());
    }

    /// Returns the fraction of the recent RPCs of all methods that rank before an RPC of this method
    /// by priority weight. `rank_among_equals` is its rank among those of the same weight, from 0 for
    /// the first to 1 for the last.
    pub(crate) fn rank(&self, methods: &[Rc<Self>], rank_among_equals: f64, now: f64) -> f64 {
        let own_weight = self.settings.priority_weight;
        let mut before = 0.0;
        let mut all = 0.0;
        for method in methods {
            let arrivals = method.arrivals.read(now, ARRIVALS_TIME_CONSTANT_SECONDS);
            let fraction_before = match method.settings.priority_weight.total_cmp(&own_weight) {
                Ordering::Greater => 1.0,
                Ordering::Equal => rank_among_equals,
                Ordering::Less => 0.0,
            };
            before += arrivals * fraction_before;
            all += arrivals;
        }
        if all > 0.0 {
            before / all
        } else {
            rank_among_equals
        }
    }

    /// Returns the time until which a response to the RPC has weight: the end of its latency
    /// objective, or its deadline where late responses have some weight too.
    pub(crate) fn useful_until(&self, incoming: &IncomingRpc, now: f64) -> f64 {
        if self.settings.late_weight_fraction > 0.0 {
            return incoming.deadline;
        }
        let stretch = self.settings.objective_stretch * incoming.expected_work.unwrap_or(0.0);
        let objective = now + self.settings.latency_objective + stretch;
        objective.min(incoming.deadline)
    }
}
