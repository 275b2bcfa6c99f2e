//! The arrivals of RPCs: a Poisson process with a varying rate, and the properties of each RPC.
use crate::scenario::{Phase, Scenario, Tenant};
use birchhub_backend_model::{WorkDistribution, work::seeded_rng};
use rand::Rng;
use rand_distr::{Distribution, Exp};
use serde::Serialize;

/// Stream of the random numbers for arrival times.
const TIME_STREAM: u64 = 1;
/// Stream of the random numbers for methods and tenants.
const METHOD_STREAM: u64 = 2;
/// Stream of the random numbers for zones and proxies.
const ZONE_STREAM: u64 = 3;
/// Stream of the random numbers for clients that cancel.
const CANCELLATION_STREAM: u64 = 4;

/// Time over which a tenant may save up its quota for a burst.
const QUOTA_BURST_SECONDS: f64 = 1.0;

/// An RPC that a client will send.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Arrival {
    /// Time of arrival, in seconds.
    pub due: f64,
    /// Index of its method.
    pub method: u8,
    /// Index of its tenant; 0 if there are none.
    pub tenant: u8,
    /// Index of the zone whose proxies receive it.
    pub zone: u32,
    /// Random number that assigns it to one of the zone's proxies.
    pub assignment: u64,
    /// Whether it is within its tenant's quota.
    pub within_quota: bool,
    /// Fraction of its timeout after which the client cancels the first attempt, if it does.
    pub cancel_after: Option<f64>,
    /// Work, in seconds of a standard core.
    pub work: f64,
}

/// Generates the arrivals by thinning: candidates at the highest rate are accepted in proportion to the current rate.
pub(super) fn generate(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let phases = &scenario.traffic.phases;
    let highest_factor: f64 = phases
        .iter()
        .map(|phase| phase.rate_factor.max(1.0))
        .product();
    let Ok(gap) = Exp::new(scenario.traffic.rate_per_second * highest_factor) else {
        return Vec::new();
    };
    let mut time_random = seeded_rng(seed, TIME_STREAM);
    let mut properties = ArrivalGenerator::new(scenario, seed);
    let mut arrivals = Vec::new();
    let mut due = 0.0;
    loop {
        due += gap.sample(&mut time_random);
        if due >= scenario.duration.0 {
            return arrivals;
        }
        if time_random.random::<f64>() * highest_factor >= rate_factor(phases, due) {
            continue;
        }
        let id = arrivals.len() as u64;
        arrivals.push(properties.arrival(id, due));
    }
}

/// Returns the factor of the base rate at a time.
fn rate_factor(phases: &[Phase], at: f64) -> f64 {
    let current = phases
        .iter()
        .filter(|phase| at >= phase.start.0 && at < phase.start.0 + phase.duration.0);
    let factor = |phase: &Phase| match phase.ramp {
        true => 1.0 + (phase.rate_factor - 1.0) * (at - phase.start.0) / phase.duration.0,
        false => phase.rate_factor,
    };
    current.map(factor).product()
}

/// Generates the properties of RPCs, in the order of their arrival.
struct ArrivalGenerator<'a, R> {
    scenario: &'a Scenario,
    seed: u64,
    method_weights: Vec<f64>,
    tenant_weights: Vec<f64>,
    quotas: Vec<TokenBucket>,
    method_random: R,
    zone_random: R,
    cancellation_random: R,
}

impl<'a> ArrivalGenerator<'a, rand_pcg::Pcg64Mcg> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let methods = scenario.methods.iter();
        let tenants = scenario.tenants.iter();
        Self {
            scenario,
            seed,
            method_weights: methods.map(|method| method.traffic_weight).collect(),
            tenant_weights: tenants
                .clone()
                .map(|tenant| tenant.traffic_weight)
                .collect(),
            quotas: tenants.map(TokenBucket::full).collect(),
            method_random: seeded_rng(seed, METHOD_STREAM),
            zone_random: seeded_rng(seed, ZONE_STREAM),
            cancellation_random: seeded_rng(seed, CANCELLATION_STREAM),
        }
    }
}

impl<R: Rng> ArrivalGenerator<'_, R> {
    /// Returns the next arrival. The numbers of each stream are drawn in a fixed order.
    fn arrival(&mut self, id: u64, due: f64) -> Arrival {
        let method_index = weighted_index(&self.method_weights, self.method_random.random());
        let tenant_position = self.method_random.random();
        let tenant_index = match self.tenant_weights.is_empty() {
            true => 0,
            false => weighted_index(&self.tenant_weights, tenant_position),
        };
        let within_quota = self
            .quotas
            .get_mut(tenant_index)
            .is_none_or(|quota| quota.take(due));
        let cancels =
            self.cancellation_random.random::<f64>() < self.scenario.clients.cancelling_fraction;
        let cancel_after = cancels.then(|| self.cancellation_random.random());
        let method = &self.scenario.methods[method_index];
        let work = WorkDistribution {
            mean: method.mean_work.0,
            spread: method.spread,
        };
        let zone = self
            .zone_random
            .random_range(0..self.scenario.fleet.zones.len());
        Arrival {
            due,
            method: method_index as u8,
            tenant: tenant_index as u8,
            zone: zone as u32,
            assignment: self.zone_random.random(),
            within_quota,
            cancel_after,
            work: work.sample(self.seed, id),
        }
    }
}

/// Token bucket of a tenant's quota.
struct TokenBucket {
    tokens_per_second: f64,
    tokens: f64,
    last_refill: f64,
}

impl TokenBucket {
    fn full(tenant: &Tenant) -> Self {
        Self {
            tokens_per_second: tenant.quota_per_second,
            tokens: tenant.quota_per_second * QUOTA_BURST_SECONDS,
            last_refill: 0.0,
        }
    }

    /// Takes one token at a time in seconds, and returns whether there was one.
    fn take(&mut self, now: f64) -> bool {
        let capacity = (self.tokens_per_second * QUOTA_BURST_SECONDS).max(1.0);
        let refill = (now - self.last_refill) * self.tokens_per_second;
        self.tokens = (self.tokens + refill).min(capacity);
        self.last_refill = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Returns the index of the weight that a position from 0 to 1 falls on.
fn weighted_index(weights: &[f64], position: f64) -> usize {
    let total: f64 = weights.iter().sum();
    let mut remaining = position * total;
    let contains_position = |weight: &f64| {
        remaining -= weight;
        remaining < 0.0
    };
    weights
        .iter()
        .position(contains_position)
        .unwrap_or(weights.len() - 1)
}
