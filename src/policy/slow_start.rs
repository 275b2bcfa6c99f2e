//! Slow start: how much of a warming backend's budget this proxy may use.
//!
//! The slow start of other proxies, such as Envoy, ramps up the weight of a new backend. Here the
//! capacity of the backend is known, and all proxies together must stay below the load at which it
//! fails, without communicating with each other. Each proxy therefore uses a share of the budget,
//! and the sum of the shares does not exceed the budget: most of it is split in proportion to the
//! traffic of each proxy, the rest evenly. A share below one RPC is used with a probability;
//! otherwise hundreds of proxies might send one RPC each.
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::interface::Settings;
use crate::slow_start_budget::{SlowStartBudget, guaranteed_work};
use birchhub_invariants::{Violation, slow_start_limit};

/// Fraction of the budget that is used, because the work of an RPC is known only approximately.
const SAFETY_FRACTION: f64 = 0.7;
/// Fraction of the budget that is split by traffic. The rest is split evenly, because a proxy that
/// completes few RPCs would otherwise be allowed hardly any attempts.
const TRAFFIC_FRACTION: f64 = 0.8;

/// Limits this proxy to its share of the slow-start budget.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Budget of a warming backend, and the traffic by which it is split.
    pub budget: SlowStartBudget,
}

/// Random sample that decides whether an attempt is sent to a warming backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SlowStartSample {
    /// Sample of a random choice. It is the same for all backends; with a new sample for each of
    /// them, the choice would eventually find a backend that passes.
    RandomChoice(f64),
    /// Sample stored with the last load report of the backend.
    LastReport,
}

/// Share of a warming backend's budget that this proxy may use.
struct Allowance {
    /// Attempts per window that stay within the share with near certainty.
    guaranteed_attempts: f64,
    /// Attempts per window that stay within the share on average. Those beyond the guaranteed ones
    /// are sent with a probability.
    maximum_attempts: f64,
    /// Maximum number of attempts in flight.
    maximum_in_flight: f64,
}

impl SlowStart {
    /// Applies the budget of new settings.
    pub(crate) fn apply_settings(&mut self, settings: &Settings, health_checks_per_rpc: f64) {
        self.budget
            .apply_settings(settings, SAFETY_FRACTION, health_checks_per_rpc);
    }

    /// Returns whether this proxy's share of the backend's budget has room for another attempt. A
    /// warm backend always has.
    pub(crate) fn has_room(
        &self,
        to: &Backend,
        sample: SlowStartSample,
        fleet: &Fleet,
        now: f64,
    ) -> bool {
        let budget = &self.budget;
        let Some(work_limit) = budget.work_limit(to, now) else {
            return true;
        };
        let work_per_rpc = fleet.estimates.service_time();
        // With few proxies, their shares alone would leave the backend idle until it is warm.
        if is_idle_and_reliable(to, budget, now)
            && budget.fits_one_from_each_proxy(work_limit, work_per_rpc)
        {
            return true;
        }
        let allowance = self.allowance(to, work_limit, work_per_rpc, now);
        let in_flight = to.in_flight.get() as f64 + 1.0;
        if in_flight > allowance.maximum_in_flight {
            return false;
        }
        let sent = to.recent_attempts.count(now, budget.window) + 1.0;
        if sent <= allowance.guaranteed_attempts {
            return true;
        }
        let sample = match sample {
            SlowStartSample::RandomChoice(sample) => sample,
            // Each health check draws a new sample. Scaling by the number of checks per RPC keeps
            // the probability per RPC the same.
            SlowStartSample::LastReport => {
                to.slow_start_sample.get() * budget.health_checks_per_rpc
            }
        };
        // If less than one attempt per window is guaranteed, that number is the probability of one.
        let probability = self
            .attempt_probability(work_limit, fleet, now)
            .max(allowance.guaranteed_attempts);
        sent <= allowance.maximum_attempts && sample < probability
    }

    /// Returns this proxy's allowance for a backend that may get `work_limit` seconds of work per
    /// window from all proxies.
    fn allowance(&self, to: &Backend, work_limit: f64, work_per_rpc: f64, now: f64) -> Allowance {
        let budget = &self.budget;
        let completion_rate = budget.completion_rate(now);
        let traffic_share = TRAFFIC_FRACTION * completion_rate * to.relative_size.get();
        let even_share = (1.0 - TRAFFIC_FRACTION) / (work_per_rpc * budget.total_process_count());
        // In RPCs per second of work in the limit.
        let share = traffic_share + even_share;
        Allowance {
            guaranteed_attempts: guaranteed_work(work_limit, work_per_rpc) * share,
            maximum_attempts: (work_limit * share).max(1.0),
            maximum_in_flight: budget.max_in_flight(share * work_per_rpc).max(1.0),
        }
    }

    /// Returns the probability with which an RPC that may go to any backend is sent to a warming
    /// one, so that this proxy does not exceed its share on average: the backend's relative
    /// capacity times the ratio of completed to offered RPCs at this proxy.
    fn attempt_probability(&self, work_limit: f64, fleet: &Fleet, now: f64) -> f64 {
        let budget = &self.budget;
        let ready_count = fleet.index.ready_count() as f64;
        let completed_fraction =
            budget.completion_rate(now) * ready_count / budget.offered_rate(now);
        let relative_capacity = work_limit / SAFETY_FRACTION / budget.window;
        relative_capacity * completed_fraction
    }

    /// Returns a violation of the slow-start rule if this proxy alone has sent a warming backend
    /// more attempts than all proxies together may send. Its own share is far smaller.
    pub(crate) fn violation(&self, to: &Backend, fleet: &Fleet, now: f64) -> Option<Violation> {
        let budget = &self.budget;
        let work_limit = budget.work_limit(to, now)?;
        let sent = to.recent_attempts.count(now, budget.window);
        let full_work_limit = work_limit / SAFETY_FRACTION;
        let limit = slow_start_limit(full_work_limit / fleet.estimates.service_time());
        // The count is infinite while the window is assumed to be full because of another process.
        let is_violated = sent.is_finite() && sent > limit;
        is_violated.then_some(Violation::SlowStartLimitExceeded {
            sent: sent as u32,
            limit,
        })
    }
}

/// Returns whether the backend has no attempt of this proxy in flight, and all of its attempts that
/// ended within the window succeeded.
fn is_idle_and_reliable(to: &Backend, budget: &SlowStartBudget, now: f64) -> bool {
    to.in_flight.get() == 0 && to.has_completed_all(now, budget.window)
}
