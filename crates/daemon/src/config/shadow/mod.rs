//! Shadow evaluation of settings before they are activated.
//!
//! A second instance of the balancer, the shadow, runs with these settings and receives the same events as the active
//! instance. RPCs that it would have handled differently are counted. It has no access to sockets or clients.

mod actions;
mod counts;
mod platform;

pub(crate) use actions::{Action, RecordedActions, RecordedCall};

use crate::messages::AttemptId;
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::{
    AttemptOutcome, CarriedOver, Endpoint, EndpointUpdateKind, IncomingRpc, LoadReport, PacedBy,
    Settings,
};
use counts::ShadowCounts;
use platform::ShadowPlatform;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Interval of the log lines with the counts so far.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// An RPC that both instances have handled in the same way so far.
struct ComparedRpc {
    rpc: RpcHandle,
    /// Number of attempts that both have started.
    attempts: usize,
}

/// The shadow, and its comparison with the active instance.
pub(crate) struct ShadowEvaluator {
    balancer: Balancer,
    /// RPCs by id. An RPC is removed when the instances handle it differently.
    rpcs: HashMap<u64, ComparedRpc>,
    platform: ShadowPlatform,
    counts: ShadowCounts,
    next_log_at: Instant,
}

impl ShadowEvaluator {
    /// Creates a shadow with these settings.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        Self {
            balancer: Balancer::new(settings, seed),
            rpcs: HashMap::new(),
            platform: ShadowPlatform::default(),
            counts: ShadowCounts::default(),
            next_log_at: Instant::now() + LOG_INTERVAL,
        }
    }

    /// Returns the time of the shadow's next timer event, in seconds.
    pub(crate) fn timer_at(&self) -> Option<f64> {
        self.platform.timer_at
    }

    /// Handles a timer event that was due in either instance. Calls the shadow if its own timer event was due.
    pub(crate) fn on_timer(&mut self, call: RecordedCall) {
        let now = call.now;
        let is_due = self.platform.timer_at.take_if(|at| *at <= now).is_some();
        self.replay(call, None, |shadow| {
            if is_due {
                shadow.balancer.on_timer(&mut shadow.platform);
            }
        });
    }

    /// Replaces the settings of the shadow after those of the active instance were replaced.
    pub(crate) fn apply_settings(
        &mut self,
        call: RecordedCall,
        settings: &Settings,
        carried_over: &CarriedOver,
    ) {
        self.replay(call, None, |shadow| {
            let platform = &mut shadow.platform;
            shadow
                .balancer
                .apply_settings(settings, carried_over, platform);
        });
    }

    /// Replays an update of the endpoint list.
    pub(crate) fn update_endpoints(
        &mut self,
        call: RecordedCall,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
    ) {
        self.replay(call, None, |shadow| {
            let platform = &mut shadow.platform;
            shadow.balancer.update_endpoints(kind, endpoints, platform);
        });
    }

    /// Replays a failed poll of the discovery service.
    pub(crate) fn on_discovery_failed(&mut self, call: RecordedCall) {
        self.replay(call, None, |shadow| {
            shadow.balancer.on_discovery_failure(&mut shadow.platform);
        });
    }

    /// Replays the end of a health check.
    pub(crate) fn on_health_check(
        &mut self,
        call: RecordedCall,
        backend: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.replay(call, None, |shadow| {
            let platform = &mut shadow.platform;
            shadow
                .balancer
                .on_health_check(backend, outcome, report, platform);
        });
    }

    /// Replays the arrival of an RPC.
    pub(crate) fn accept(&mut self, call: RecordedCall, incoming: &IncomingRpc) {
        self.counts.compared += 1;
        self.replay(call, Some(incoming.id), |shadow| {
            let rpc = shadow.balancer.accept(incoming, &mut shadow.platform);
            let compared = ComparedRpc { rpc, attempts: 0 };
            shadow.rpcs.insert(incoming.id, compared);
        });
    }

    /// Replays the disconnect of an RPC's client.
    pub(crate) fn on_client_disconnected(&mut self, call: RecordedCall, id: u64) {
        self.replay_rpc(call, id, |rpc, platform| {
            rpc.on_client_disconnected(platform);
        });
    }

    /// Replays the end of an attempt. `is_over` tells whether the RPC ended with it.
    pub(crate) fn on_attempt_ended(
        &mut self,
        call: RecordedCall,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        is_over: bool,
        report: Option<LoadReport>,
    ) {
        self.replay_rpc(call, attempt.rpc, |rpc, platform| {
            rpc.on_attempt_ended(attempt.index, outcome, is_over, report, platform);
        });
    }

    /// Replays that the last byte of an attempt's streamed request was sent.
    pub(crate) fn on_request_sent(&mut self, call: RecordedCall, attempt: AttemptId) {
        self.replay_rpc(call, attempt.rpc, |rpc, platform| {
            rpc.on_request_sent(attempt.index, platform);
        });
    }

    /// Replays the start of a streamed response.
    pub(crate) fn on_response_started(&mut self, call: RecordedCall, attempt: AttemptId) {
        self.replay_rpc(call, attempt.rpc, |rpc, platform| {
            rpc.on_response_started(attempt.index, PacedBy::Client, platform);
        });
    }

    /// Marks an RPC as one that must not be retried.
    pub(crate) fn forbid_retry(&self, id: u64) {
        if let Some(compared) = self.rpcs.get(&id) {
            compared.rpc.forbid_retry();
        }
    }

    /// Replays a call about an RPC. If the instances already differ on that RPC, the shadow is not called for it.
    fn replay_rpc(
        &mut self,
        call: RecordedCall,
        id: u64,
        replay: impl FnOnce(&RpcHandle, &mut ShadowPlatform),
    ) {
        self.replay(call, Some(id), |shadow| {
            if let Some(compared) = shadow.rpcs.get(&id) {
                replay(&compared.rpc, &mut shadow.platform);
            }
        });
    }

    /// Replays a call, which is about one RPC or none, and compares the actions of the two instances.
    fn replay(&mut self, call: RecordedCall, about: Option<u64>, replay: impl FnOnce(&mut Self)) {
        self.platform.now = call.now;
        replay(self);
        let shadow_actions = std::mem::take(&mut self.platform.recorded);
        self.counts.health_checks += call.actions.health_checks();
        self.counts.shadow_health_checks += shadow_actions.health_checks();
        let affected: BTreeSet<u64> = call
            .actions
            .rpcs()
            .chain(shadow_actions.rpcs())
            .chain(about)
            .collect();
        for id in affected {
            self.compare(id, call.actions.for_rpc(id), shadow_actions.for_rpc(id));
        }
        self.log_counts_if_due();
    }

    /// Compares the actions of the two instances on an RPC.
    fn compare(&mut self, id: u64, performed: &[Action], shadow: &[Action]) {
        // An RPC that is missing here was removed when the instances handled it differently.
        let Some(compared) = self.rpcs.get_mut(&id) else {
            return;
        };
        let had_attempt = compared.attempts > 0;
        compared.attempts += shadow
            .iter()
            .filter(|action| matches!(action, Action::Attempt(_)))
            .count();
        if performed != shadow {
            self.counts.count_difference(performed, shadow, had_attempt);
            self.remove_diverged(id);
        } else if compared.rpc.is_finished() {
            self.rpcs.remove(&id);
        }
    }

    /// Ends an RPC that the instances handle differently, as if its client had disconnected: how it would have
    /// continued is unknown. RPCs that the shadow then attempts with the freed capacity end in the same way, since the
    /// active instance has not decided on them. Their new attempt is not counted yet, so the loop ends one more.
    fn remove_diverged(&mut self, id: u64) {
        let mut diverged = vec![id];
        while let Some(id) = diverged.pop() {
            let Some(compared) = self.rpcs.remove(&id) else {
                continue;
            };
            let platform = &mut self.platform;
            compared.rpc.on_client_disconnected(platform);
            for index in 0..=compared.attempts {
                let outcome = AttemptOutcome::Cancelled;
                compared
                    .rpc
                    .on_attempt_ended(index, outcome, true, None, platform);
            }
            diverged.extend(std::mem::take(&mut platform.recorded).rpcs());
        }
    }

    fn log_counts_if_due(&mut self) {
        if Instant::now() >= self.next_log_at {
            self.next_log_at = Instant::now() + LOG_INTERVAL;
            log::info!("{}", self.counts);
        }
    }
}

impl Drop for ShadowEvaluator {
    fn drop(&mut self) {
        log::info!("shadow evaluation ended: {}", self.counts);
    }
}
