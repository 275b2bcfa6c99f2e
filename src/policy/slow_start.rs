//! Slow start: how much of a warming backend's budget this proxy may use.
//!
//! Other proxies ramp up the weight of a new backend, as Envoy's slow start does. Here its capacity is
//! known, and all proxies together must stay below the load at which it fails, without talking to each
//! other. Each therefore takes a share of the budget, and the shares sum to the budget or less: most of
//! it is split by the traffic that each proxy carries, the rest evenly. A share below one RPC is used
//! with a probability, so that hundreds of proxies do not send one RPC each.
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::interface::Settings;
use crate::slow_start_budget::{SlowStartBudget, guaranteed_work};
use birchhub_invariants::{Violation, slow_start_limit};

/// Fraction of the budget that is used: the work of one RPC is known only roughly.
const SAFETY_FRACTION: f64 = 0.7;
/// Fraction of the budget that is split by traffic; the rest is split evenly, since a proxy that
/// completes few RPCs would earn few attempts.
const TRAFFIC_FRACTION: f64 = 0.8;

/// The budget, and the rule that limits this proxy to its share.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// The budget of a warming backend, and the traffic by which it is split.
    pub budget: SlowStartBudget,
}

/// Random sample that decides on an attempt at a warming backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SlowStartSample {
    /// The sample of a random choice. It is the same for all backends: a choice that draws one for each
    /// of them would find a backend in the end.
    RandomChoice(f64),
    /// The sample that the backend got with its last load report.
    LastReport,
}

/// What this proxy may send to a warming backend.
struct Allowance {
    /// Attempts per window that fit with near certainty.
    guaranteed_attempts: f64,
    /// Attempts per window that fit on average. Those beyond the guaranteed ones are sent with a
    /// probability.
    maximum_attempts: f64,
    /// Attempts in flight at once.
    maximum_in_flight: f64,
}

impl SlowStart {
    /// Adopts the budget of new settings.
    pub(crate) fn apply_settings(&mut self, settings: &Settings, health_checks_per_rpc: f64) {
        self.budget
            .apply_settings(settings, SAFETY_FRACTION, health_checks_per_rpc);
    }

    /// Returns whether this proxy's share of the backend's budget has room for one more attempt; it
    /// has if the backend is warm.
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
        // If there are few proxies, their shares alone would leave the backend idle until it is warm.
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
            // Each health check brings a new sample. Scaling by their number for each RPC keeps the
            // probability for an RPC the same.
            SlowStartSample::LastReport => {
                to.slow_start_sample.get() * budget.health_checks_per_rpc
            }
        };
        // Below one attempt in a window, the guaranteed number is the probability of one.
        let probability = self
            .attempt_probability(work_limit, fleet, now)
            .max(allowance.guaranteed_attempts);
        sent <= allowance.maximum_attempts && sample < probability
    }

    /// Returns this proxy's allowance for a backend that may get this much work in a window from all
    /// proxies, in seconds.
    fn allowance(&self, to: &Backend, work_limit: f64, work_per_rpc: f64, now: f64) -> Allowance {
        let budget = &self.budget;
        let completion_rate = budget.completion_rate(now);
        let traffic_share = TRAFFIC_FRACTION * completion_rate * to.relative_size.get();
        let even_share = (1.0 - TRAFFIC_FRACTION) / (work_per_rpc * budget.process_total());
        // In RPCs for each second of work in the limit.
        let share = traffic_share + even_share;
        Allowance {
            guaranteed_attempts: guaranteed_work(work_limit, work_per_rpc) * share,
            maximum_attempts: (work_limit * share).max(1.0),
            maximum_in_flight: budget.concurrency(share * work_per_rpc).max(1.0),
        }
    }

    /// Returns the probability with which an RPC that may go to any backend goes to a warming one, so
    /// that on average this proxy sends it no more than its share: the backend's relative capacity times
    /// the RPCs that this proxy completes for each that it offers.
    fn attempt_probability(&self, work_limit: f64, fleet: &Fleet, now: f64) -> f64 {
        let budget = &self.budget;
        let ready_count = fleet.index.ready_count() as f64;
        let completed_fraction =
            budget.completion_rate(now) * ready_count / budget.offered_rate(now);
        let relative_capacity = work_limit / SAFETY_FRACTION / budget.window;
        relative_capacity * completed_fraction
    }

    /// Returns the violation of the slow-start rule if this proxy alone has sent a warming backend more
    /// than all proxies together may; its own share is far less.
    pub(crate) fn violation(&self, to: &Backend, fleet: &Fleet, now: f64) -> Option<Violation> {
        let budget = &self.budget;
        let work_limit = budget.work_limit(to, now)?;
        let sent = to.recent_attempts.count(now, budget.window);
        let full_work_limit = work_limit / SAFETY_FRACTION;
        let limit = slow_start_limit(full_work_limit / fleet.estimates.service_time());
        // The count is infinite while another process of this proxy may have filled the window.
        let is_violated = sent.is_finite() && sent > limit;
        is_violated.then_some(Violation::SlowStartLimitExceeded {
            sent: sent as u32,
            limit,
        })
    }
}

/// Returns whether the backend has no attempt of this proxy in flight and has completed all that ended
/// within the window.
fn is_idle_and_reliable(to: &Backend, budget: &SlowStartBudget, now: f64) -> bool {
    to.in_flight.get() == 0 && to.has_completed_all(now, budget.window)
}
