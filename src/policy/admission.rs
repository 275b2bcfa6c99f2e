//! Admission control of the fallback: whether an RPC may go to a random backend.
//!
//! If health checks are enabled or all methods have the same priority, RPCs are admitted by
//! deadline: the expected wait at a random backend must fit into the remaining time. Otherwise load
//! is shed by priority, as in DAGOR (Zhou et al., 2018): an RPC is admitted if its rank is within
//! the admission rate. Unlike in DAGOR, ranks are computed from the recent arrivals at this proxy,
//! and some RPCs get a random rank, so that no priority starves.
use super::admission_rate::AdmissionRate;
use crate::attempt::CompletedAttempt;
use crate::estimates::Estimates;
use crate::interface::{AttemptOutcome, CarriedOver, MethodSettings, Settings};
use crate::method::Method;
use crate::rng::hash_pair;
use crate::rpc_state::RpcState;
use std::rc::Rc;

/// Multiple of the expected wait that must fit into the remaining time of an RPC of the highest
/// priority. It is below 1 because some backends have less than the mean load.
const WAIT_MULTIPLE: f64 = 0.6;
/// Like [`WAIT_MULTIPLE`], but for methods whose late responses have weight. It is higher because
/// late RPCs continue to run and delay the RPCs queued behind them.
const WAIT_MULTIPLE_IF_LATE_COUNTS: f64 = 2.2;
/// Fraction of the RPCs that are ranked by priority; the others get a random rank.
const RANKED_FRACTION: f64 = 0.85;
/// Longest duration of a prompt response, as a fraction of the latency objective.
const PROMPT_FRACTION_OF_OBJECTIVE: f64 = 0.4;
/// Time without any attempt after which one RPC is admitted regardless of its rank, in seconds.
/// Without attempts the proxy would not notice that the backends have recovered.
const MAX_SECONDS_WITHOUT_ATTEMPT: f64 = 2.0;

/// State of admission control: the methods and the admission rate.
#[derive(Default)]
pub(crate) struct Admission {
    /// Methods by index in the settings.
    pub methods: Vec<Rc<Method>>,
    /// Whether load is shed by priority rather than by deadline.
    pub sheds_by_priority: bool,
    /// Time at which the last attempt was started.
    pub last_attempt_at: f64,
    /// Minimum of [`Method::wait_multiple`] over all methods.
    lowest_wait_multiple: f64,
    rate: AdmissionRate,
}

impl Admission {
    /// Creates the methods of new settings, and chooses whether load is shed by priority or by
    /// deadline.
    pub(crate) fn apply_settings(
        &mut self,
        settings: &Settings,
        carried: &CarriedOver,
        health_checks_enabled: bool,
    ) {
        let weights = settings.methods.iter().map(|m| m.priority_weight);
        let highest_weight = weights.clone().fold(0.0, f64::max);
        let priorities_differ = weights.clone().any(|weight| weight < highest_weight);
        self.sheds_by_priority = !health_checks_enabled && priorities_differ;

        let method = |(n, method): (usize, &MethodSettings)| {
            let previous_index = carried.methods.get(n).copied().flatten();
            let previous = previous_index.and_then(|index| self.methods.get(index));
            let wait_multiple = wait_multiple(method, highest_weight);
            Rc::new(Method::new(method, wait_multiple, previous))
        };
        self.methods = settings.methods.iter().enumerate().map(method).collect();
        let wait_multiples = self.methods.iter().map(|m| m.wait_multiple);
        self.lowest_wait_multiple = wait_multiples.fold(f64::INFINITY, f64::min);
    }

    /// Returns whether an RPC may go to a random backend.
    pub(crate) fn admits(&self, rpc: &RpcState, estimates: &Estimates, now: f64) -> bool {
        if self.sheds_by_priority {
            self.is_within_rate(rpc, now)
        } else {
            self.fits_deadline(rpc, estimates, now)
        }
    }

    /// Adapts the admission rate to the result of an attempt.
    pub(crate) fn record_attempt(&mut self, rpc: &RpcState, attempt: &CompletedAttempt, now: f64) {
        let max_prompt_duration =
            rpc.method.settings.latency_objective * PROMPT_FRACTION_OF_OBJECTIVE;
        let is_prompt = attempt.duration <= max_prompt_duration;
        if attempt.outcome == AttemptOutcome::Succeeded && is_prompt {
            self.rate.increase(now);
        } else if attempt.has_measured_duration() || attempt.was_rejected() {
            self.rate.decrease(now);
        }
    }

    /// Returns whether the rank of an RPC is within the admission rate. The random numbers of an
    /// RPC are the same in each call, so that repeated calls do not raise its chances.
    fn is_within_rate(&self, rpc: &RpcState, now: f64) -> bool {
        let rate = self.rate.read(now);
        let random_rank = hash_pair(rpc.id, 0);
        let is_ranked = rate < 1.0 && hash_pair(rpc.id, 1) < RANKED_FRACTION;
        let rank = if is_ranked {
            rpc.method.rank(&self.methods, random_rank, now)
        } else {
            random_rank
        };
        rank < rate || now > self.last_attempt_at + MAX_SECONDS_WITHOUT_ATTEMPT
    }

    /// Returns whether a random backend is expected to respond in time. In addition, the load must
    /// not exceed the lowest limit of any method; otherwise RPCs with long latency objectives would
    /// fill the backends until RPCs with short ones could no longer meet theirs.
    fn fits_deadline(&self, rpc: &RpcState, estimates: &Estimates, now: f64) -> bool {
        let time_constant = estimates.wait_time_constant();
        let time_per_rpc = |method: &Method| method.time_per_rpc.decayed(now, time_constant);
        let max_load = |method: &Rc<Method>| {
            method.settings.latency_objective / time_per_rpc(method) / self.lowest_wait_multiple
        };
        let lowest_max_load = self
            .methods
            .iter()
            .map(max_load)
            .fold(f64::INFINITY, f64::min);
        let load = estimates.recent_load(now) + 1.0;
        let expected_wait = load * time_per_rpc(&rpc.method);
        let required_time = expected_wait * rpc.method.wait_multiple;
        let time_left = rpc.useful_until - now;
        load <= lowest_max_load && required_time <= time_left
    }
}

/// Returns the multiple of the expected wait that must fit into the remaining time of an RPC of a
/// method.
fn wait_multiple(method: &MethodSettings, highest_weight: f64) -> f64 {
    let multiple = if method.late_weight_fraction > 0.0 {
        WAIT_MULTIPLE_IF_LATE_COUNTS
    } else {
        WAIT_MULTIPLE
    };
    let weight_ratio = (highest_weight / method.priority_weight).max(1.0);
    multiple * weight_ratio.sqrt()
}
