//! The decision actor's timers: the heartbeat, the timer events of the balancer and of the shadow evaluation, and the end of
//! the use of an endpoint list that is not confirmed.
use crate::decision::actor::DecisionActor;
use birchhub::interface::AttemptOutcome;
use tokio::time::Instant;

/// The requested timer events.
#[derive(Clone, Copy)]
pub(super) struct Timers {
    /// Due time of the balancer's timer event.
    balancer: Option<Instant>,
    /// Due time of the shadow evaluation's timer event.
    shadow: Option<Instant>,
    /// Time from which on the endpoint list must not be used.
    list_expiry: Option<Instant>,
}

impl Timers {
    /// Returns the due time of the earliest timer event.
    pub(super) fn next(self) -> Option<Instant> {
        let timer_events = self.balancer.into_iter().chain(self.shadow);
        timer_events.chain(self.list_expiry).min()
    }
}

impl DecisionActor {
    /// Returns the requested timer events and the expiry of the endpoint list.
    pub(super) fn timers(&self) -> Timers {
        let clock = &self.platform.clock;
        let shadow_seconds = self.shadow.as_ref().and_then(|shadow| shadow.timer_at());
        Timers {
            balancer: self.platform.timer_at.map(|at| clock.instant_at(at)),
            shadow: shadow_seconds.map(|at| clock.instant_at(at)),
            list_expiry: self.platform.endpoints.confirmation().expires_at(),
        }
    }

    /// Handles the timer events that are due. Returns whether any was due.
    pub(super) fn run_due_timers(&mut self, timers: Timers) -> bool {
        if !timers.next().is_some_and(is_due) {
            return false;
        }
        if timers.list_expiry.is_some_and(is_due) {
            self.stop_using_endpoints();
            return true;
        }
        if timers.balancer.is_some_and(is_due) {
            self.platform.timer_at = None;
            self.call_balancer(|actor| actor.balancer.on_timer(&mut actor.platform));
        } else {
            self.platform.update_now();
        }
        // The balancer and the shadow evaluation use the same clock reading for this event.
        self.replay_to_shadow(|shadow, call| shadow.on_timer(call));
        true
    }

    /// Records a heartbeat, and excludes the time for which the process was suspended from the balancer's clock. When
    /// the proxy is throttled by its CPU quota, this prevents backends from being classified as slow, and RPCs from
    /// being rejected because of that.
    pub(super) fn record_heartbeat(&mut self) {
        let delay = self.heartbeat.delay();
        self.work.monitor().record_heartbeat(delay);
        let suspended_for = self.heartbeat.record();
        self.invariants.record_heartbeat(suspended_for);
        if let Some(duration) = suspended_for {
            log::debug!("process was suspended for {duration:?}, excluded from measured times");
            self.platform.clock.skip(duration);
        }
    }

    /// Returns the outcome of an exchange, or `if_suspended` for a timeout right after a suspension of the process: the
    /// suspension may have caused the timeout, so it must not count against the backend.
    pub(super) fn outcome_after_suspension(
        &self,
        outcome: AttemptOutcome,
        if_suspended: AttemptOutcome,
    ) -> AttemptOutcome {
        if outcome == AttemptOutcome::TimedOut && self.heartbeat.has_just_resumed() {
            if_suspended
        } else {
            outcome
        }
    }
}

fn is_due(at: Instant) -> bool {
    at <= Instant::now()
}
