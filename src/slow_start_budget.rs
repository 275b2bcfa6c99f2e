//! What all proxies together may send a backend that started lately, and the traffic that this proxy's part
//! of it is derived from. The part itself is decided in `policy::slow_start`.
use crate::backend::Backend;
use crate::estimates::AVERAGING_TIME;
use crate::ewma::DecayingCounter;
use crate::interface::Settings;
use crate::policy::load_reports::ReportSource;
use crate::rng::{Rng, pair_sample};
use std::cell::Cell;

/// Variance of an RPC's work over the square of its mean, taken to be no higher than this: so many RPCs vary
/// by 2 sigma as `2 * sqrt(count * WORK_VARIANCE)`.
const WORK_VARIANCE: f64 = 1.0;
/// Fraction of a warm backend's rate that a warming one has at the least: a backend may start with no
/// capacity at all.
const MIN_CAPACITY_FRACTION: f64 = 0.05;
/// RPCs counted beside those offered: a new process has offered few, which would prove a high chance.
const PRIOR_OFFERED: f64 = 4.0;

/// The budget of a warming backend, and the rates that it is split by.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// Time over which a warming backend's load counts, s.
    pub window: f64,
    /// Health checks that each RPC may cost, 1 at the least.
    pub health_checks_per_rpc: f64,
    proxy_count: f64,
    process_count: f64, // that are this proxy: while one replaces another there are two
    completed: DecayingCounter, // in shares of a warm backend of size 1
    offered: DecayingCounter, // random picks, and reports of health checks as fractions of an RPC's
    first_list_at: Cell<Option<f64>>,
    initial_fraction: f64,
    duration: f64,
    overload_multiple: f64, // with the safety factor
    safety: f64,
}

impl SlowStartBudget {
    /// Takes over what settings say; what was measured stays.
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

    /// So many processes are this proxy.
    pub(crate) fn set_process_count(&mut self, processes: usize) {
        self.process_count = processes as f64;
    }

    /// Number of processes that share the budget.
    pub(crate) fn proxies(&self) -> f64 {
        self.proxy_count * self.process_count
    }

    /// An endpoint list has come.
    pub(crate) fn record_list(&self, now: f64) {
        self.first_list_at
            .set(self.first_list_at.get().or(Some(now)));
    }

    /// Whether an earlier process of this proxy may have known a backend that started then.
    pub(crate) fn precedes_this_process(&self, started_at: Option<f64>) -> bool {
        started_at.is_some_and(|at| self.first_list_at.get().is_some_and(|first| at < first))
    }

    /// An RPC is about to pick a random backend. Returns the random sample of that pick.
    pub(crate) fn record_random_pick(&self, rpc: u64, now: f64) -> f64 {
        self.offered.add(1.0, now, AVERAGING_TIME);
        pair_sample(rpc, now.to_bits())
    }

    /// A load report has come. That of a health check offers a part of an RPC, and gives the backend another
    /// random sample; one with a response stands for an attempt that was sent already.
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
        self.offered.add(offered, now, AVERAGING_TIME);
    }

    /// RPCs per second that may have led to any backend.
    pub(crate) fn offered_rate(&self, now: f64) -> f64 {
        (self.offered.read(now, AVERAGING_TIME) + PRIOR_OFFERED) / AVERAGING_TIME
    }

    /// One of `ready` backends has answered. Its size, and the number that are ready now, are counted in:
    /// otherwise the answers of a small one, and of many that have gone since, would be taken for what each
    /// does. Those of a warming one count for as many as it could have been sent.
    pub(crate) fn record_completion(&self, backend: &Backend, ready: usize, now: f64) {
        let work = backend.started_at.get().and_then(|at| self.work(now - at));
        let fraction =
            |work: f64| (work / self.safety / self.window).clamp(MIN_CAPACITY_FRACTION, 1.0);
        let capacity =
            ready.max(1) as f64 * backend.relative_size.get() * work.map_or(1.0, fraction);
        self.completed.add(1.0 / capacity, now, AVERAGING_TIME);
    }

    /// RPCs per second that a warm backend of size 1 answers to this proxy.
    pub(crate) fn completion_rate(&self, now: f64) -> f64 {
        self.completed.read(now, AVERAGING_TIME) / AVERAGING_TIME
    }

    /// RPCs in flight that keep this many cores busy for a window.
    pub(crate) fn concurrency(&self, cores: f64) -> f64 {
        self.overload_multiple * cores
    }

    /// Seconds of a warm backend's work that one of this age may get in a window; none once it is warm.
    pub(crate) fn work(&self, age: f64) -> Option<f64> {
        let fraction =
            self.initial_fraction + (1.0 - self.initial_fraction) * (age / self.duration).max(0.0);
        (age < self.duration).then_some(self.overload_multiple * self.window * fraction)
    }

    /// Whether one RPC of every proxy surely fits beside this work and what the backend completes in the
    /// window.
    pub(crate) fn fits_one_from_each_proxy(
        &self,
        work: f64,
        work_per_rpc: f64,
        proxies: f64,
    ) -> bool {
        let left =
            work / self.safety - work / self.overload_multiple - sure_work(work, work_per_rpc);
        sure_work(left.max(0.0), work_per_rpc) >= proxies * work_per_rpc
    }
}

/// The part of this work up to which RPCs of this mean, and twice their standard deviation, surely fit: long
/// ones may come together by chance and overload a warming backend.
pub(crate) fn sure_work(work: f64, work_per_rpc: f64) -> f64 {
    ((work / work_per_rpc + WORK_VARIANCE).sqrt() - WORK_VARIANCE.sqrt()).powi(2) * work_per_rpc
}
