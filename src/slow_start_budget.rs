//! Slow-start budget: how much work all proxies together may send to a warming backend, and the
//! traffic by which `policy::slow_start` splits it.
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME_SECONDS;
use crate::ewma::DecayingCounter;
use crate::interface::Settings;
use crate::policy::load_reports::ReportSource;
use crate::rng::{Rng, hash_pair};
use std::cell::Cell;

/// Upper bound assumed for the squared coefficient of variation of the work of an RPC. The total
/// work of `count` RPCs is then assumed to exceed its mean by at most two standard deviations,
/// which are `2 * sqrt(count * WORK_VARIANCE)` times the mean work of one RPC.
const WORK_VARIANCE: f64 = 1.0;
/// Lower bound of the capacity of a warming backend, as a fraction of its full capacity, because a
/// backend may start without any.
const MIN_CAPACITY_FRACTION: f64 = 0.05;
/// Constant added to the number of offered RPCs. A new process has offered only a few and would
/// otherwise send attempts with too high a probability.
const PRIOR_OFFERED_RPCS: f64 = 4.0;

/// Budget of a warming backend, and the rates by which it is split. Work is measured in seconds of
/// a warm backend of size 1.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// Window over which the load of a warming backend is averaged, in seconds.
    pub window: f64,
    /// Number of health checks per RPC, at least 1.
    pub health_checks_per_rpc: f64,
    /// Number of proxies.
    proxy_count: f64,
    /// Number of processes of this proxy, for example two while one replaces the other.
    process_count: f64,
    /// Completed RPCs, divided by the capacity of all ready backends.
    completed: DecayingCounter,
    /// RPCs that could have been sent to any backend: random choices, and responses to health
    /// checks, each of which counts as a fraction of an RPC.
    offered: DecayingCounter,
    /// Time at which this process received its first endpoint list.
    first_list_at: Cell<Option<f64>>,
    /// Fraction of its full capacity that a backend has when it starts.
    initial_fraction: f64,
    /// Time that a backend takes to warm up, in seconds.
    duration: f64,
    /// Multiple of its current capacity up to which a warming backend is loaded, already multiplied
    /// by `safety`.
    overload_multiple: f64,
    /// Fraction of the budget that is used.
    safety: f64,
}

impl SlowStartBudget {
    /// Applies new settings. Observations are kept. `safety` is the fraction of the budget that is
    /// used.
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

    /// Returns the total number of processes of all proxies, which share the budget.
    pub(crate) fn total_process_count(&self) -> f64 {
        self.proxy_count * self.process_count
    }

    /// Records the arrival of an endpoint list.
    pub(crate) fn record_endpoint_list(&self, now: f64) {
        let first_list_at = self.first_list_at.get().unwrap_or(now);
        self.first_list_at.set(Some(first_list_at));
    }

    /// Returns whether an earlier process of this proxy may have sent attempts to a backend that
    /// started at this time.
    pub(crate) fn precedes_this_process(&self, started_at: Option<f64>) -> bool {
        let first_list_at = self.first_list_at.get();
        started_at.is_some_and(|started_at| first_list_at.is_some_and(|first| started_at < first))
    }

    /// Records that a random backend is about to be chosen for an RPC. Returns the sample for that
    /// choice.
    pub(crate) fn record_random_choice(&self, rpc: u64, now: f64) -> f64 {
        self.offered.add(1.0, now, AVERAGING_TIME_SECONDS);
        hash_pair(rpc, now.to_bits())
    }

    /// Records a load report. A report from a health check counts as a fraction of an offered RPC,
    /// and draws a new sample for the backend. A report in a response belongs to an attempt that
    /// was already counted.
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

    /// Returns the number of RPCs per second that could have been sent to any backend.
    pub(crate) fn offered_rate(&self, now: f64) -> f64 {
        (self.offered.read(now, AVERAGING_TIME_SECONDS) + PRIOR_OFFERED_RPCS)
            / AVERAGING_TIME_SECONDS
    }

    /// Records an RPC completed at one of `ready_count` ready backends. The RPC is divided by the
    /// number of backends and the size of this one; otherwise the estimate would be wrong for
    /// backends of other sizes and after the removal of many. A warming backend counts with its
    /// current capacity.
    pub(crate) fn record_completion(&self, backend: &Backend, ready_count: usize, now: f64) {
        let work_limit = self.work_limit(backend, now);
        let capacity_fraction = work_limit.map_or(1.0, |limit| self.capacity_fraction(limit));
        let capacity = ready_count.max(1) as f64 * backend.relative_size.get() * capacity_fraction;
        self.completed
            .add(1.0 / capacity, now, AVERAGING_TIME_SECONDS);
    }

    /// Returns the capacity of a warming backend, as a fraction of its full capacity, from its
    /// limit of work per window.
    fn capacity_fraction(&self, work_limit: f64) -> f64 {
        (work_limit / self.safety / self.window).clamp(MIN_CAPACITY_FRACTION, 1.0)
    }

    /// Returns the number of RPCs per second that a warm backend of size 1 completes for this
    /// proxy.
    pub(crate) fn completion_rate(&self, now: f64) -> f64 {
        self.completed.read(now, AVERAGING_TIME_SECONDS) / AVERAGING_TIME_SECONDS
    }

    /// Returns the maximum number of RPCs in flight that use `cores` cores, increased by the
    /// permitted overload.
    pub(crate) fn max_in_flight(&self, cores: f64) -> f64 {
        self.overload_multiple * cores
    }

    /// Returns the maximum work per window that a backend may get from all proxies; `None` once it
    /// is warm.
    pub(crate) fn work_limit(&self, backend: &Backend, now: f64) -> Option<f64> {
        let age = now - backend.started_at.get()?;
        let warm_fraction = (age / self.duration).max(0.0);
        let capacity_fraction =
            self.initial_fraction + (1.0 - self.initial_fraction) * warm_fraction;
        let work_limit = self.overload_multiple * self.window * capacity_fraction;
        (age < self.duration).then_some(work_limit)
    }

    /// Returns whether one RPC from each process of all proxies stays within the budget with near
    /// certainty, in addition to RPCs that use up `work_limit`, given the work that the backend
    /// completes in the window.
    pub(crate) fn fits_one_from_each_proxy(&self, work_limit: f64, work_per_rpc: f64) -> bool {
        let full_limit = work_limit / self.safety;
        let completed = work_limit / self.overload_multiple;
        let left = full_limit - completed - guaranteed_work(work_limit, work_per_rpc);
        let required = self.total_process_count() * work_per_rpc;
        guaranteed_work(left.max(0.0), work_per_rpc) >= required
    }
}

/// Returns the mean work of the largest number of RPCs whose total work stays within `work` up to
/// two standard deviations, so that long RPCs that happen to arrive together do not overload a
/// warming backend.
pub(crate) fn guaranteed_work(work: f64, work_per_rpc: f64) -> f64 {
    let rpcs = work / work_per_rpc;
    ((rpcs + WORK_VARIANCE).sqrt() - WORK_VARIANCE.sqrt()).powi(2) * work_per_rpc
}
