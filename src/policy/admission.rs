//! Admission to the fallback: by priority where nothing tells of loads, else by whether there is time.
use crate::interface::{AttemptOutcome, CarriedOver, MethodSettings, Settings};
use crate::rpc_state::{CompletedAttempt, RpcState};
use crate::{estimates::Estimates, method::Method, rng::pair_sample};
use std::rc::Rc;

const LATENCY_BUDGET: f64 = 0.6; // of the expected wait must fit: loads vary, and some picks meet a light one
const LATE_LATENCY_BUDGET: f64 = 2.2; // ... or over twice, where late responses count: late RPCs run on
const RANKED_PART: f64 = 0.85; // of RPCs are ranked by priority; the others take any rank: none starves
const PROMPT_PART: f64 = 0.4; // of its latency objective within which an attempt is answered in good time
const RATE_INCREASE: f64 = 0.015; // of all RPCs, by which a response in good time raises the rate ...
const RATE_DECREASE: f64 = 0.15; // ... of the rate, by which any other end cuts it: one in eleven is borne
const RATE_RECOVERY: f64 = 0.04; // of all RPCs a second that come back by themselves: a fault ends unseen
const MAX_PAUSE: f64 = 2.0; // s without any attempt after which one is admitted: else nothing would be learnt

/// The methods and the admission rate.
#[derive(Default)]
pub(crate) struct Admission {
    pub methods: Vec<Rc<Method>>,
    pub by_priority: bool, // no health check tells of loads, and RPCs differ in priority
    least_budget: f64,
    rate: Option<(f64, f64)>, // of RPCs, and when it was set; all of them before
    pub last_attempt_at: f64,
}

impl Admission {
    /// Derives the methods and their latency budgets: the higher the priority, the lower the budget.
    pub(crate) fn apply_settings(
        &mut self,
        settings: &Settings,
        carried: &CarriedOver,
        can_check: bool,
    ) {
        let highest = settings
            .methods
            .iter()
            .map(|m| m.priority_weight)
            .fold(0.0, f64::max);
        let method = |(n, method): (usize, &MethodSettings)| {
            let budget = if method.late_weight_fraction > 0.0 {
                LATE_LATENCY_BUDGET
            } else {
                LATENCY_BUDGET
            };
            let before = carried
                .methods
                .get(n)
                .and_then(|index| self.methods.get((*index)?));
            Rc::new(Method::new(
                method,
                budget * (highest / method.priority_weight).max(1.0).sqrt(),
                before,
            ))
        };
        self.methods = settings.methods.iter().enumerate().map(method).collect();
        self.by_priority =
            !can_check && settings.methods.iter().any(|m| m.priority_weight < highest);
        self.least_budget = self
            .methods
            .iter()
            .map(|m| m.latency_budget)
            .fold(f64::INFINITY, f64::min);
    }

    /// Whether an RPC may pick a random backend.
    pub(crate) fn admits(&self, rpc: &RpcState, estimates: &Estimates, now: f64) -> bool {
        if self.by_priority {
            self.is_in_rank(rpc, now)
        } else {
            self.fits_deadline(rpc, estimates, now)
        }
    }

    /// Additive increase, multiplicative decrease, by whether an attempt was answered in good time.
    pub(crate) fn record_attempt(&mut self, rpc: &RpcState, attempt: &CompletedAttempt, now: f64) {
        let prompt = attempt.duration <= rpc.method.settings.latency_objective * PROMPT_PART;
        let rate = match attempt.outcome {
            AttemptOutcome::Succeeded if prompt => self.rate(now) + RATE_INCREASE,
            _ if attempt.is_timed() || attempt.was_rejected() => {
                self.rate(now) * (1.0 - RATE_DECREASE)
            }
            _ => return,
        };
        self.rate = Some((rate, now));
    }

    /// Part of RPCs admitted by now.
    fn rate(&self, now: f64) -> f64 {
        self.rate.map_or(1.0, |(rate, since)| {
            (rate + (now - since).max(0.0) * RATE_RECOVERY).min(1.0)
        })
    }

    /// Whether an RPC ranks within the rate. Otherwise all backends would fill until little is in time, and a
    /// shortage would fall on the highest priority as on the lowest.
    fn is_in_rank(&self, rpc: &RpcState, now: f64) -> bool {
        let (rate, sample) = (self.rate(now), pair_sample(rpc.id, 0));
        let ranked = rate < 1.0 && pair_sample(rpc.id, 1) < RANKED_PART;
        let rank = if ranked {
            rpc.method.rank(&self.methods, sample, now)
        } else {
            sample
        };
        rank < rate || now > self.last_attempt_at + MAX_PAUSE
    }

    /// Whether a random pick would answer in time, as far as is known: otherwise all wait beyond use behind
    /// all. RPCs with long objectives must not fill the backends until short ones are shut out.
    fn fits_deadline(&self, rpc: &RpcState, estimates: &Estimates, now: f64) -> bool {
        let (load, time_constant) = (
            estimates.recent_load(now) + 1.0,
            estimates.wait_time_constant(),
        );
        let time_per_rpc = |method: &Method| method.time_per_rpc.decayed(now, time_constant);
        let most =
            |m: &Rc<Method>| m.settings.latency_objective / time_per_rpc(m) / self.least_budget;
        let tightest = self.methods.iter().map(most).fold(f64::INFINITY, f64::min);
        let wait = load * time_per_rpc(&rpc.method) * rpc.method.latency_budget;
        load <= tightest && wait <= rpc.useful_until - now
    }
}
