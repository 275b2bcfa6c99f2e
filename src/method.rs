//! State of one method: its settings and statistics of its RPCs.
use crate::estimates::Estimates;
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::{IncomingRpc, MethodSettings};
use std::cmp::Ordering;
use std::rc::Rc;

/// Time constant of the arrival counts used to rank methods, in seconds.
const ARRIVALS_TIME_CONSTANT_SECONDS: f64 = 3.0;
/// Upper bound of a sample of the time per RPC, as a multiple of the mean, because a lost response
/// is not a sign of load.
const MAX_SAMPLE_MULTIPLE: f64 = 4.0;

/// State of one method.
pub(crate) struct Method {
    /// Settings of the method.
    pub settings: MethodSettings,
    /// Multiple of the expected wait that must fit into the remaining time of an RPC. It is higher
    /// for methods with a lower priority weight.
    pub wait_multiple: f64,
    /// Mean duration of attempts at random backends per RPC at the backend, including the attempt
    /// itself, in seconds.
    pub time_per_rpc: Rc<Ewma>,
    /// Throttle of the method's RPCs; see `policy::throttle`.
    pub throttle: Rc<Ewma>,
    arrivals: Rc<DecayingCounter>,
}

impl Method {
    /// Creates the state of a method. Statistics are shared with the same method of the previous
    /// settings, if there was one, because RPCs in flight still update them.
    pub(crate) fn new(
        settings: &MethodSettings,
        wait_multiple: f64,
        previous: Option<&Rc<Self>>,
    ) -> Self {
        Self {
            settings: settings.clone(),
            wait_multiple,
            time_per_rpc: previous.map_or_else(Rc::default, |method| method.time_per_rpc.clone()),
            throttle: previous.map_or_else(Rc::default, |method| method.throttle.clone()),
            arrivals: previous.map_or_else(Rc::default, |method| method.arrivals.clone()),
        }
    }

    /// Records the arrival of an RPC of this method.
    pub(crate) fn record_arrival(&self, now: f64) {
        self.arrivals.add(1.0, now, ARRIVALS_TIME_CONSTANT_SECONDS);
    }

    /// Records the duration of an attempt at a random backend. `mean_load` is the mean load of the
    /// backends when the attempt was sent. A higher current load is used instead; otherwise the
    /// first RPCs of a burst would make the backends look slow.
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

    /// Returns the fraction of the recent RPCs of all methods that rank before an RPC of this
    /// method by priority weight. `rank_among_equals` is the RPC's rank among RPCs of the same
    /// weight, from 0 for the first to 1 for the last.
    pub(crate) fn rank(&self, methods: &[Rc<Self>], rank_among_equals: f64, now: f64) -> f64 {
        let own_weight = self.settings.priority_weight;
        let mut rpcs_before = 0.0;
        let mut all = 0.0;
        for method in methods {
            let arrivals = method.arrivals.read(now, ARRIVALS_TIME_CONSTANT_SECONDS);
            let fraction_before = match method.settings.priority_weight.total_cmp(&own_weight) {
                Ordering::Greater => 1.0,
                Ordering::Equal => rank_among_equals,
                Ordering::Less => 0.0,
            };
            rpcs_before += arrivals * fraction_before;
            all += arrivals;
        }
        if all > 0.0 {
            rpcs_before / all
        } else {
            rank_among_equals
        }
    }

    /// Returns the time until which a response to the RPC has any weight: the end of its latency
    /// objective, or its deadline if late responses have weight too.
    pub(crate) fn useful_until(&self, incoming: &IncomingRpc, now: f64) -> f64 {
        if self.settings.late_weight_fraction > 0.0 {
            return incoming.deadline;
        }
        let stretch = self.settings.objective_stretch * incoming.expected_work.unwrap_or(0.0);
        let objective = now + self.settings.latency_objective + stretch;
        objective.min(incoming.deadline)
    }
}
