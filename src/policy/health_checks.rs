//! Health checks of random backends that look for idle ones: as many as are worth their cost.
use super::load_reports::IdleSignal;
use super::{idle_queue::entry_lifetime, outlier_detection::is_healthy};
use crate::estimates::{CLOCK_TOLERANCE, Estimates};
use crate::interface::{LoadReportSource, Platform, Settings};
use crate::{backend::Backend, backend_index::Subset, check_tokens::CheckTokens, fleet::Fleet};
use std::rc::Rc;

const FIRST_CHECK_WORTH: f64 = 0.032; // points that an RPC's first check is worth: it saves late picks
const MISS_CHANCE: f64 = 0.6; // chance that a check finds no idle backend: the next is worth so much less
const MIN_COST: f64 = 1e-6; // points: checks may be free
const MAX_PER_RPC: f64 = 6.0; // checks an RPC where they are nearly free, for the backends' sake
const MIN_PER_RPC: f64 = 0.05; // checks an RPC where they are dear: without reports nothing is queued
pub(crate) const PER_ROUND: usize = 3; // checks at once: finds an idle backend more often than not
const SAVED_RPCS: f64 = 20.0; // RPCs whose checks may be saved up beside one round
const AHEAD_INTERVAL: f64 = 0.05; // s between checks ahead of RPCs if one surely comes: a service time
const ROUND_SERVICE_TIMES: f64 = 0.1; // between rounds for pending RPCs: some backend may be done

/// How many checks are worth their cost, and when they are sent.
#[derive(Default)]
pub(crate) struct HealthChecks {
    pub enabled: bool, // they tell something that responses do not
    pub affordable: bool,
    pub per_rpc: f64,
    pub next_round_at: f64,
    pub tokens: CheckTokens,
    last_ahead_at: f64, // of checks ahead of RPCs
}

impl HealthChecks {
    /// Where responses bring all that a check would tell, it tells nothing; else its report or its time does.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        let source = settings.load_report_source;
        let by_time = source == LoadReportSource::Responses && !settings.reports_include_queue;
        self.enabled =
            settings.can_health_check && (by_time || source == LoadReportSource::HealthChecks);
        let worth =
            (FIRST_CHECK_WORTH / settings.health_check_cost.max(MIN_COST)).log(1.0 / MISS_CHANCE);
        (self.affordable, self.per_rpc) = (worth >= 0.0, worth.clamp(MIN_PER_RPC, MAX_PER_RPC));
    }

    /// An RPC has come in and pays for checks: for few where responses fill the idle queue.
    pub(crate) fn record_arrival(&mut self, signal: IdleSignal) {
        let tokens = match signal {
            IdleSignal::LowLoad => self.per_rpc,
            IdleSignal::Response => MIN_PER_RPC,
        };
        self.tokens
            .add(tokens, tokens * SAVED_RPCS + PER_ROUND as f64);
    }

    /// Checks a few random backends, spread over these cells if there are any.
    pub(crate) fn start(
        &mut self,
        max: usize,
        cells: &[Subset],
        fleet: &Fleet,
        platform: &mut dyn Platform,
    ) {
        let now = platform.now();
        let unknown = |b: &Backend| b.health_check_sent_at.get().is_none() && !b.is_queued(now);
        let fits = |b: &Rc<Backend>| is_healthy(b, now) && unknown(b);
        for number in 0..max {
            let subset = cells
                .get(number * cells.len() / max)
                .copied()
                .unwrap_or(Subset::Ready);
            if !self.enabled || !self.tokens.can_pay() {
                return;
            }
            let Some(backend) = fleet.index.pick_random(subset, &fleet.rng, fits) else {
                continue;
            };
            self.tokens.start(&backend, now);
            platform.health_check(backend.id);
        }
    }

    /// Checks a backend ahead of RPCs, if it is time and an idle one is wanted.
    pub(crate) fn start_ahead(&mut self, wanted: bool, fleet: &Fleet, platform: &mut dyn Platform) {
        let now = platform.now();
        if now + CLOCK_TOLERANCE >= self.next_ahead_at(&fleet.estimates, now) {
            self.last_ahead_at = now;
            self.start(usize::from(wanted), &[], fleet, platform);
        }
    }

    /// A round for pending RPCs is due; the next one is later.
    pub(crate) fn take_due_round(&mut self, service_time: f64, now: f64) -> bool {
        let due = now >= self.next_round_at;
        self.next_round_at = if due {
            now + ROUND_SERVICE_TIMES * service_time
        } else {
            self.next_round_at
        };
        due
    }

    /// When to check ahead of RPCs: seldom if none may come while the entry is valid, lest many pay for few.
    pub(crate) fn next_ahead_at(&self, estimates: &Estimates, now: f64) -> f64 {
        let arrivals = estimates.completion_rate(now) * entry_lifetime(estimates);
        self.last_ahead_at + AHEAD_INTERVAL / (1.0 - (-arrivals).exp())
    }
}
