//! Health checks that search for idle backends, limited to those that are worth their cost.
//!
//! If responses do not contain the queue length of a backend, a few random backends are checked for
//! a pending RPC, as with the power of d choices, and backends that turn out to be idle join the
//! idle queue. Two things differ: a token bucket limits the number of checks according to their
//! cost, and backends are also checked proactively while no RPC is pending, so that the next RPC
//! finds an idle backend.
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

/// Value of the first health check of an RPC, in points of the service score: it prevents late
/// responses.
const FIRST_CHECK_VALUE_POINTS: f64 = 0.032;
/// Probability that a health check finds no idle backend. The value of each further check of an RPC
/// is this fraction of the value of the previous one.
const MISS_PROBABILITY: f64 = 0.6;
/// Lower bound of the cost of a health check, in points of the service score; the settings may
/// contain 0.
const MIN_CHECK_COST_POINTS: f64 = 1e-6;
/// Maximum number of health checks per RPC, to limit the load on the backends if checks cost almost
/// nothing.
const MAX_CHECKS_PER_RPC: f64 = 6.0;
/// Minimum number of health checks per RPC: without reports no backend would join the idle queue.
const MIN_CHECKS_PER_RPC: f64 = 0.05;
/// Number of health checks sent together for a pending RPC. More often than not one of them finds
/// an idle backend.
pub(crate) const CHECKS_PER_ROUND: usize = 3;
/// Number of RPCs whose tokens the bucket holds, in addition to the tokens for one round.
const BUCKET_SIZE_RPCS: f64 = 20.0;
/// Interval between proactive health checks if an RPC is certain to arrive, in seconds.
const PROACTIVE_INTERVAL_SECONDS: f64 = 0.05;
/// Interval between rounds for pending RPCs, in mean service times.
const ROUND_INTERVAL_SERVICE_TIMES: f64 = 0.1;

/// Whether health checks are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthCheckUse {
    /// They are impossible, or provide no information beyond that in responses.
    #[default]
    Disabled,
    /// Even one per RPC costs more than it is worth. Only a few are sent.
    TooExpensive,
    /// At least one per RPC is worth its cost.
    Affordable,
}

impl HealthCheckUse {
    /// Returns whether health checks are sent at all.
    pub(crate) fn is_enabled(self) -> bool {
        self != Self::Disabled
    }
}

/// Budget and schedule of health checks.
#[derive(Default)]
pub(crate) struct HealthChecks {
    /// Whether health checks are sent.
    pub usage: HealthCheckUse,
    /// Number of health checks per RPC that are worth their cost.
    pub per_rpc: f64,
    /// Time of the next round for pending RPCs.
    pub next_round_at: f64,
    /// Token bucket of the health checks.
    pub tokens: HealthCheckTokens,
    last_proactive_at: f64,
}

impl HealthChecks {
    /// Derives from new settings whether health checks are useful, and how many are worth their
    /// cost.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let checks_measure_load = match settings.load_report_source {
            LoadReportSource::HealthChecks => true,
            // The duration of a check depends on the queue length, which the reports do not
            // contain.
            LoadReportSource::Responses => !settings.reports_include_queue,
            LoadReportSource::None => false,
        };
        let cost = settings.health_check_cost.max(MIN_CHECK_COST_POINTS);
        let worthwhile_checks = (FIRST_CHECK_VALUE_POINTS / cost).log(1.0 / MISS_PROBABILITY);
        self.usage = if !settings.can_health_check || !checks_measure_load {
            HealthCheckUse::Disabled
        } else if worthwhile_checks >= 0.0 {
            HealthCheckUse::Affordable
        } else {
            HealthCheckUse::TooExpensive
        };
        self.per_rpc = worthwhile_checks.clamp(MIN_CHECKS_PER_RPC, MAX_CHECKS_PER_RPC);
    }

    /// Adds the tokens for an arriving RPC; only a few if responses fill the idle queue.
    pub(crate) fn record_arrival(&mut self, signal: IdleSignal) {
        let tokens = match signal {
            IdleSignal::LowLoad => self.per_rpc,
            IdleSignal::Response => MIN_CHECKS_PER_RPC,
        };
        let max_tokens = tokens * BUCKET_SIZE_RPCS + CHECKS_PER_ROUND as f64;
        self.tokens.add(tokens, max_tokens);
    }

    /// Checks up to `max` random backends, distributed over `cells` unless that is empty.
    fn start(&mut self, max: usize, cells: &[Subset], fleet: &Fleet, platform: &mut dyn Platform) {
        let now = platform.now();
        let needs_check = |backend: &Backend| {
            backend.health_check_sent_at.get().is_none() && !backend.is_queued(now)
        };
        let fits = |backend: &Rc<Backend>| is_healthy(backend, now) && needs_check(backend);
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

    /// Starts a round of health checks for a pending RPC, if one is due.
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

    /// Starts a proactive health check, if one is due and an idle backend is wanted.
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

    /// Returns the time of the next proactive check. The interval grows with the probability that
    /// no RPC arrives during the lifetime of an entry in the idle queue, because the check would
    /// then be wasted.
    pub(crate) fn next_proactive_at(&self, estimates: &Estimates, now: f64) -> f64 {
        let expected_arrivals = estimates.completion_rate(now) * entry_lifetime(estimates);
        let arrival_probability = 1.0 - (-expected_arrivals).exp();
        self.last_proactive_at + PROACTIVE_INTERVAL_SECONDS / arrival_probability
    }
}
