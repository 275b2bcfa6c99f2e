//! Slow-start budget: how much work all proxies together may send to a warming backend, and the
//! traffic by which `policy::slow_start` splits it.
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME_SECONDS;
use crate::ewma::DecayingCounter;
use crate::interface::Settings;
use crate::policy::load_reports::ReportSource;
use crate::rng::{Rng, hash_pair};
use std::cell::Cell;

/// Highest squared coefficient of variation assumed for the work of an RPC: the total of `count` RPCs
/// varies by two standard deviations, `2 * sqrt(count * WORK_VARIANCE)` times the mean.
const WORK_VARIANCE: f64 = 1.0;
/// Least rate of a warming backend, as a fraction of that of a warm one; it may start without any
/// capacity.
const MIN_CAPACITY_FRACTION: f64 = 0.05;
/// RPCs that are added to those offered. A new process has offered few, and would send attempts with too
/// high a probability.
const PRIOR_OFFERED_RPCS: f64 = 4.0;

/// The budget of a warming backend, and the rates that it is split by. Work is in seconds of a warm
/// backend of size 1.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// Time over which the load of a warming backend counts, in seconds.
    pub window: f64,
    /// Health checks that each RPC may cost, 1 at the least.
    pub health_checks_per_rpc: f64,
    /// Number of proxies.
    proxy_count: f64,
    /// Number of processes of this proxy; there are two while one replaces the other.
    process_count: f64,
    /// RPCs completed, as multiples of what one ready backend of size 1 completes for this proxy.
    completed: DecayingCounter,
    /// RPCs that may have gone to any backend: random choices, and reports of health checks as
    /// fractions of an RPC.
    offered: DecayingCounter,
    /// Time of the first endpoint list.
    first_list_at: Cell<Option<f64>>,
    /// Fraction of its capacity that a backend has when it starts.
    initial_fraction: f64,
    /// Time that a backend takes to warm up, in seconds.
    duration: f64,
    /// Multiple of its present capacity up to which a warming backend is loaded; includes `safety`.
    overload_multiple: f64,
    /// Fraction of the budget that is used.
    safety: f64,
}

impl SlowStartBudget {
    /// Adopts new settings; observations are kept. `safety` is the fraction of the budget that is used.
    pub(crate) fn apply_settings(
        &mut self,
        settings: &Settings,
        safety: f64,
        health_checks_per_rpc: f64,
    ) {
        self.window = settings.overload_window;
        self.initial_fraction = settings.slow_start_initial_fraction;
        self.duration = settings.slow_start_duration;
        self.overload_multiple = safety * settings.overload_multiple;
        self.safety = safety;
        self.health_checks_per_rpc = health_checks_per_rpc.max(1.0);
        self.proxy_count = settings.proxy_count as f64;
        self.process_count = self.process_count.max(1.0);
    }

    /// Sets the number of processes of this proxy.
    pub(crate) fn set_process_count(&mut self, processes: usize) {
        self.process_count = processes as f64;
    }

    /// Returns the number of processes of all proxies, which share the budget.
    pub(crate) fn process_total(&self) -> f64 {
        self.proxy_count * self.process_count
    }

    /// Records the arrival of an endpoint list.
    pub(crate) fn record_list(&self, now: f64) {
        let first_list_at = self.first_list_at.get().unwrap_or(now);
        self.first_list_at.set(Some(first_list_at));
    }

    /// Returns whether an earlier process of this proxy may have known a backend that started then.
    pub(crate) fn precedes_this_process(&self, started_at: Option<f64>) -> bool {
        let first_list_at = self.first_list_at.get();
        started_at.is_some_and(|started_at| first_list_at.is_some_and(|first| started_at < first))
    }

    /// Records that an RPC is about to choose a random backend. Returns the sample of that choice.
    pub(crate) fn record_random_choice(&self, rpc: u64, now: f64) -> f64 {
        self.offered.add(1.0, now, AVERAGING_TIME_SECONDS);
        hash_pair(rpc, now.to_bits())
    }

    /// Records a load report. A report by a health check offers part of an RPC and gives the backend a new
    /// sample; a report in a response belongs to an attempt that was already counted.
    pub(crate) fn record_report(
        &self,
        backend: &Backend,
        source: ReportSource,
        rng: &Rng,
        now: f64,
    ) {
        let (sample, offered) = match source {
            ReportSource::Response => (1.0, 0.0),
            ReportSource::HealthCheck => (rng.uniform(0.0..1.0), 1.0 / self.health_checks_per_rpc),
        };
        backend.slow_start_sample.set(sample);
        self.offered.add(offered, now, AVERAGING_TIME_SECONDS);
    }

    /// Returns the rate of RPCs that may have gone to any backend, per second.
    pub(crate) fn offered_rate(&self, now: f64) -> f64 {
        (self.offered.read(now, AVERAGING_TIME_SECONDS) + PRIOR_OFFERED_RPCS)
            / AVERAGING_TIME_SECONDS
    }

    /// Records a completed RPC at one of `ready_count` backends. It is divided by the capacity of all
    /// of these; otherwise the estimate would be wrong for backends of other sizes, and after many were
    /// removed. A warming backend counts by its present capacity.
    pub(crate) fn record_completion(&self, backend: &Backend, ready_count: usize, now: f64) {
        let work_limit = self.work_limit(backend, now);
        let capacity_fraction = work_limit.map_or(1.0, |limit| self.capacity_fraction(limit));
        let capacity = ready_count.max(1) as f64 * backend.relative_size.get() * capacity_fraction;
        self.completed
            .add(1.0 / capacity, now, AVERAGING_TIME_SECONDS);
    }

    /// Returns the relative capacity of a warming backend with this limit of work in a window.
    fn capacity_fraction(&self, work_limit: f64) -> f64 {
        (work_limit / self.safety / self.window).clamp(MIN_CAPACITY_FRACTION, 1.0)
    }

    /// Returns the RPCs per second that a warm backend of size 1 completes for this proxy.
    pub(crate) fn completion_rate(&self, now: f64) -> f64 {
        self.completed.read(now, AVERAGING_TIME_SECONDS) / AVERAGING_TIME_SECONDS
    }

    /// Returns the RPCs in flight that keep this many cores busy for a window.
    pub(crate) fn concurrency(&self, cores: f64) -> f64 {
        self.overload_multiple * cores
    }

    /// Returns the most work that a backend may get in a window from all proxies; `None` once it is warm.
    pub(crate) fn work_limit(&self, backend: &Backend, now: f64) -> Option<f64> {
        let age = now - backend.started_at.get()?;
        let warm_fraction = (age / self.duration).max(0.0);
        let capacity_fraction =
            self.initial_fraction + (1.0 - self.initial_fraction) * warm_fraction;
        let work_limit = self.overload_multiple * self.window * capacity_fraction;
        (age < self.duration).then_some(work_limit)
    }

    /// Returns whether one RPC from each process of all proxies fits with near certainty beside RPCs that
    /// use up this limit, given what the backend completes in the window.
    pub(crate) fn fits_one_from_each_proxy(&self, work_limit: f64, work_per_rpc: f64) -> bool {
        let full_limit = work_limit / self.safety;
        let completed = work_limit / self.overload_multiple;
        let left = full_limit - completed - guaranteed_work(work_limit, work_per_rpc);
        let required = self.process_total() * work_per_rpc;
        guaranteed_work(left.max(0.0), work_per_rpc) >= required
    }
}

/// Returns the mean work of as many RPCs as stay within `work` up to two standard deviations: long RPCs
/// that arrive together by chance must not overload a warming backend.
pub(crate) fn guaranteed_work(work: f64, work_per_rpc: f64) -> f64 {
    let rpcs = work / work_per_rpc;
    ((rpcs + WORK_VARIANCE).sqrt() - WORK_VARIANCE.sqrt()).powi(2) * work_per_rpc
}
