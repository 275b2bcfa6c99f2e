//! Shadow evaluation of other settings before they are put in force: a second instance of the decision package
//! with these settings gets the same events as the first, and the RPCs that it would have handled otherwise are
//! counted. It has no way to a socket or a client.

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

/// Between log lines with the counts so far.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// An RPC that both instances have handled alike so far.
struct ComparedRpc {
    rpc: RpcHandle,
    /// Attempts that both have started.
    attempts: usize,
}

/// The second instance and what it is compared by.
pub(crate) struct ShadowEvaluator {
    balancer: Balancer,
    rpcs: HashMap<u64, ComparedRpc>,
    platform: ShadowPlatform,
    counts: ShadowCounts,
    next_log_at: Instant,
}

impl ShadowEvaluator {
    /// A shadow with these settings.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        Self {
            balancer: Balancer::new(settings, seed),
            rpcs: HashMap::new(),
            platform: ShadowPlatform::default(),
            counts: ShadowCounts::default(),
            next_log_at: Instant::now() + LOG_INTERVAL,
        }
    }

    /// When it wants its timer event, s.
    pub(crate) fn timer_at(&self) -> Option<f64> {
        self.platform.timer_at
    }

    /// One of the two had a timer that was due; the shadow gets the event if its own was.
    pub(crate) fn on_timer(&mut self, call: RecordedCall) {
        let now = call.now;
        let is_due = self.platform.timer_at.take_if(|at| *at <= now).is_some();
        self.replay(call, None, |shadow| {
            if is_due {
                shadow.balancer.on_timer(&mut shadow.platform);
            }
        });
    }

    /// Other settings are in force, for both.
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

    /// The endpoint list has changed.
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

    /// A call to the list service failed.
    pub(crate) fn on_discovery_failed(&mut self, call: RecordedCall) {
        self.replay(call, None, |shadow| {
            shadow.balancer.on_discovery_failure(&mut shadow.platform);
        });
    }

    /// A health check ended.
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

    /// An RPC came.
    pub(crate) fn accept(&mut self, call: RecordedCall, incoming: &IncomingRpc) {
        self.counts.compared += 1;
        self.replay(call, Some(incoming.id), |shadow| {
            let rpc = shadow.balancer.accept(incoming, &mut shadow.platform);
            let compared = ComparedRpc { rpc, attempts: 0 };
            shadow.rpcs.insert(incoming.id, compared);
        });
    }

    /// The client of an RPC disconnected.
    pub(crate) fn on_client_disconnected(&mut self, call: RecordedCall, id: u64) {
        self.replay_rpc(call, id, |rpc, platform| {
            rpc.on_client_disconnected(platform);
        });
    }

    /// An attempt ended; `is_over` if the RPC is over with it.
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

    /// The last byte of an attempt's request was taken to be sent.
    pub(crate) fn on_request_sent(&mut self, call: RecordedCall, attempt: AttemptId) {
        self.replay_rpc(call, attempt.rpc, |rpc, platform| {
            rpc.on_request_sent(attempt.index, platform);
        });
    }

    /// A streamed response starts.
    pub(crate) fn on_response_started(&mut self, call: RecordedCall, attempt: AttemptId) {
        self.replay_rpc(call, attempt.rpc, |rpc, platform| {
            rpc.on_response_started(attempt.index, PacedBy::Client, platform);
        });
    }

    /// An RPC can't be retried.
    pub(crate) fn forbid_retry(&self, id: u64) {
        if let Some(compared) = self.rpcs.get(&id) {
            compared.rpc.forbid_retry();
        }
    }

    /// Replays a call about an RPC that both still handle alike; of others only the actions are compared.
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

    /// Replays a call, about one RPC or about none, and compares what the two instances asked for.
    fn replay(&mut self, call: RecordedCall, about: Option<u64>, replay: impl FnOnce(&mut Self)) {
        self.platform.now = call.now;
        replay(self);
        let would = std::mem::take(&mut self.platform.recorded);
        self.counts.health_checks += call.actions.health_checks();
        self.counts.shadow_health_checks += would.health_checks();
        let touched: BTreeSet<u64> = call
            .actions
            .rpcs()
            .chain(would.rpcs())
            .chain(about)
            .collect();
        for id in touched {
            self.compare(id, call.actions.of_rpc(id), would.of_rpc(id));
        }
        self.log_counts_if_due();
    }

    /// Compares what was done on an RPC in a call with what the shadow would have done.
    fn compare(&mut self, id: u64, performed: &[Action], would: &[Action]) {
        // The two have differed on an RPC that is not there.
        let Some(compared) = self.rpcs.get_mut(&id) else {
            return;
        };
        let had_attempt = compared.attempts > 0;
        compared.attempts += would
            .iter()
            .filter(|action| matches!(action, Action::Attempt(_)))
            .count();
        if performed != would {
            self.counts.count_difference(performed, would, had_attempt);
            self.drop_diverged(id);
        } else if compared.rpc.is_finished() {
            self.rpcs.remove(&id);
        }
    }

    /// Ends an RPC on which the two differ, as if its client had disconnected: the shadow can't see how it would
    /// have gone on. So end those that the shadow would have attempted on the capacity that this frees: nobody
    /// decided on that difference. Such an attempt is not counted yet, hence one index more.
    fn drop_diverged(&mut self, id: u64) {
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
        log::info!("ends: {}", self.counts);
    }
}
