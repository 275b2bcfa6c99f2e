//! Health checks that look for idle backends, as many as are worth their cost.
//!
//! Where responses do not tell the queue of a backend, a few random backends are checked for a pending
//! RPC, as in the power of d choices; whichever reports idle first joins the idle queue. What differs: the number
//! of checks follows from their cost by a token bucket, and a backend is also checked proactively
//! while no RPC is pending, so that the next one finds the queue filled.
use super::idle_queue::entry_lifetime;
use super::idle_signal::IdleSignal;
use super::outlier_detection::is_healthy;
use crate::backend::Backend;
use crate::backend_index::Subset;
use crate::estimates::{CLOCK_TOLERANCE_SECONDS, Estimates};
use crate::fleet::Fleet;
use crate::health_check_tokens::HealthCheckTokens;
use crate::interface::{LoadReportSource, Platform, Settings};
use std::rc::Rc;

/// Value of an RPC's first health check, in points of service: it saves late responses.
const FIRST_CHECK_VALUE_POINTS: f64 = 0.032;
/// Probability that a health check finds no idle backend. Each further check of an RPC has this fraction
/// of the value of the one before.
const MISS_PROBABILITY: f64 = 0.6;
/// Least cost of a health check, in points of service; settings may say 0.
const MIN_CHECK_COST_POINTS: f64 = 1e-6;
/// Most health checks for each RPC, to spare the backends where checks are almost free.
const MAX_CHECKS_PER_RPC: f64 = 6.0;
/// Fewest health checks for each RPC: without reports no backend joins the idle queue.
const MIN_CHECKS_PER_RPC: f64 = 0.05;
/// Health checks sent at once for a pending RPC; more often than not one finds an idle backend.
pub(crate) const CHECKS_PER_ROUND: usize = 3;
/// Number of RPCs whose tokens can be saved up, in addition to those for one round.
const MAX_SAVED_RPCS: f64 = 20.0;
/// Time between two proactive health checks if an RPC is certain to arrive, in seconds.
const PROACTIVE_INTERVAL_SECONDS: f64 = 0.05;
/// Time between two rounds for pending RPCs, in mean service times.
const ROUND_INTERVAL_SERVICE_TIMES: f64 = 0.1;

/// Whether health checks are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthCheckUse {
    /// They are impossible, or tell nothing that responses do not.
    #[default]
    Disabled,
    /// Even one for each RPC costs more than it is worth. Few are sent.
    TooExpensive,
    /// At least one for each RPC is worth its cost.
    Affordable,
}

impl HealthCheckUse {
    /// Returns whether health checks are sent at all.
    pub(crate) fn is_enabled(self) -> bool {
        self != Self::Disabled
    }
}

/// The budget and the schedule of health checks.
#[derive(Default)]
pub(crate) struct HealthChecks {
    /// Whether health checks are sent.
    pub usage: HealthCheckUse,
    /// Health checks that each RPC pays for.
    pub per_rpc: f64,
    /// Time of the next round for pending RPCs.
    pub next_round_at: f64,
    /// Tokens that pay for health checks.
    pub tokens: HealthCheckTokens,
    last_proactive_at: f64,
}

impl HealthChecks {
    /// Derives from new settings whether health checks are useful, and how many are worth their cost.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let tell_load = match settings.load_report_source {
            LoadReportSource::HealthChecks => true,
            // The duration of a check tells the queue that the reports in responses do not.
            LoadReportSource::Responses => !settings.reports_include_queue,
            LoadReportSource::None => false,
        };
        let cost = settings.health_check_cost.max(MIN_CHECK_COST_POINTS);
        let worthwhile_checks = (FIRST_CHECK_VALUE_POINTS / cost).log(1.0 / MISS_PROBABILITY);
        self.usage = if !settings.can_health_check || !tell_load {
            HealthCheckUse::Disabled
        } else if worthwhile_checks >= 0.0 {
            HealthCheckUse::Affordable
        } else {
            HealthCheckUse::TooExpensive
        };
        self.per_rpc = worthwhile_checks.clamp(MIN_CHECKS_PER_RPC, MAX_CHECKS_PER_RPC);
    }

    /// Adds the tokens that an arriving RPC pays; few where responses fill the idle queue.
    pub(crate) fn record_arrival(&mut self, signal: IdleSignal) {
        let tokens = match signal {
            IdleSignal::LowLoad => self.per_rpc,
            IdleSignal::Response => MIN_CHECKS_PER_RPC,
        };
        let max_tokens = tokens * MAX_SAVED_RPCS + CHECKS_PER_ROUND as f64;
        self.tokens.add(tokens, max_tokens);
    }

    /// Checks up to `max` random backends, spread over these cells if there are any.
    fn start(&mut self, max: usize, cells: &[Subset], fleet: &Fleet, platform: &mut dyn Platform) {
        let now = platform.now();
        let is_unknown = |backend: &Backend| {
            backend.health_check_sent_at.get().is_none() && !backend.is_queued(now)
        };
        let fits = |backend: &Rc<Backend>| is_healthy(backend, now) && is_unknown(backend);
        for number in 0..max {
            if !self.usage.is_enabled() || !self.tokens.has_token() {
                return;
            }
            let cell = cells.get(number * cells.len() / max);
            let subset = cell.copied().unwrap_or(Subset::Ready);
            if let Some(backend) = fleet.index.pick_random(subset, &fleet.rng, fits) {
                self.tokens.start_check(&backend, now);
                platform.health_check(backend.id);
            }
        }
    }

    /// Checks a round of backends for a pending RPC, if one is due.
    pub(crate) fn start_due_round(
        &mut self,
        cells: &[Subset],
        fleet: &Fleet,
        platform: &mut dyn Platform,
    ) {
        let now = platform.now();
        if now >= self.next_round_at {
            let interval = ROUND_INTERVAL_SERVICE_TIMES * fleet.estimates.service_time();
            self.next_round_at = now + interval;
            self.start(CHECKS_PER_ROUND, cells, fleet, platform);
        }
    }

    /// Checks one backend proactively, if it is time and an idle one is wanted.
    pub(crate) fn start_proactive(
        &mut self,
        is_wanted: bool,
        fleet: &Fleet,
        platform: &mut dyn Platform,
    ) {
        let now = platform.now();
        if now + CLOCK_TOLERANCE_SECONDS >= self.next_proactive_at(&fleet.estimates, now) {
            self.last_proactive_at = now;
            self.start(usize::from(is_wanted), &[], fleet, platform);
        }
    }

    /// Returns the time of the next proactive check. The interval grows with the probability that no
    /// RPC arrives while an entry in the idle queue is valid, as many checks would be wasted then.
    pub(crate) fn next_proactive_at(&self, estimates: &Estimates, now: f64) -> f64 {
        let expected_arrivals = estimates.completion_rate(now) * entry_lifetime(estimates);
        let arrival_probability = 1.0 - (-expected_arrivals).exp();
        self.last_proactive_at + PROACTIVE_INTERVAL_SECONDS / arrival_probability
    }
}
