//! Slow start: this proxy's part of what all proxies may send a backend that started lately. The parts sum to
//! the budget or less: a new backend must not be sent all traffic at once.
use crate::slow_start_budget::{SlowStartBudget, sure_work};
use crate::{backend::Backend, fleet::Fleet, interface::Settings};
use birchhub_invariants::{Violation, slow_start_limit};

const SAFETY: f64 = 0.7; // part of the budget that is used: the work of one RPC is known only roughly
const TRAFFIC_PART: f64 = 0.8; // of it split by traffic, the rest evenly: few completions earn few attempts

/// The budget, and the rule by which this proxy keeps to its part.
#[derive(Default)]
pub(crate) struct SlowStart {
    pub budget: SlowStartBudget,
}

impl SlowStart {
    /// Takes over the budget.
    pub(crate) fn apply_settings(&mut self, settings: &Settings, health_checks_per_rpc: f64) {
        self.budget
            .apply_settings(settings, SAFETY, health_checks_per_rpc);
    }

    /// Whether this proxy's part has room for one more attempt. `sample` is that of a random pick, the same
    /// for all backends: otherwise picks would go on until a lucky one is found.
    pub(crate) fn has_room(
        &self,
        to: &Backend,
        sample: Option<f64>,
        fleet: &Fleet,
        now: f64,
    ) -> bool {
        let (budget, work_per_rpc) = (&self.budget, fleet.estimates.service_time());
        let Some(work) = to.started_at.get().and_then(|at| budget.work(now - at)) else {
            return true;
        };
        let (proxies, rate) = (budget.proxies(), budget.completion_rate(now));
        let by_traffic = TRAFFIC_PART * rate * to.relative_size.get();
        let part = by_traffic + (1.0 - TRAFFIC_PART) / (work_per_rpc * proxies); // RPCs per second
        let (sure, most) = (sure_work(work, work_per_rpc) * part, (work * part).max(1.0));
        // The last attempt goes by chance: of picks that may lead to any backend, no more than complete.
        // Otherwise hundreds of proxies would each send their one.
        let completed_part = rate * fleet.index.ready_count() as f64 / budget.offered_rate(now);
        let chance = (work / SAFETY / budget.window * completed_part).max(sure);
        let sample = sample.unwrap_or(to.slow_start_sample.get() * budget.health_checks_per_rpc);
        let sent = to.recent_attempts.count(now, budget.window) + 1.0;
        let in_flight = to.in_flight.get() as f64 + 1.0;
        // Few proxies would leave it idle until it is warm; one that fails is not always tried again.
        let only_one = in_flight <= 1.0 && to.has_completed_all(now, budget.window);
        only_one && budget.fits_one_from_each_proxy(work, work_per_rpc, proxies)
            || in_flight <= budget.concurrency(part * work_per_rpc).max(1.0)
                && (sent <= sure || sent <= most && sample < chance)
    }

    /// That this proxy alone has sent a warming backend more than all proxies may, if it has: its part is far less.
    pub(crate) fn violation(&self, to: &Backend, fleet: &Fleet, now: f64) -> Option<Violation> {
        let budget = &self.budget;
        let work = budget.work(now - to.started_at.get()?)?;
        let sent = to.recent_attempts.count(now, budget.window);
        let limit = slow_start_limit(work / SAFETY / fleet.estimates.service_time());
        let is_counted = sent.is_finite() && sent > limit;
        is_counted.then_some(Violation::SlowStart {
            sent: sent as u32,
            limit,
        })
    }
}
