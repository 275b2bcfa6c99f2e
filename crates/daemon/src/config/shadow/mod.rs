//! Watching before a move: a second instance of the module, with the settings of the new shape, hears what the
//! first hears, and what it would have done otherwise is counted. It has no way to a socket or a client.
use birchhub::interface::{
    AttemptOutcome, CarriedOver, Endpoint, EndpointUpdateKind, IncomingRpc, LoadReport, PacedBy,
    Platform, Settings,
};
use birchhub::policy::{Balancer, RpcHandle};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

const LOG_INTERVAL: Duration = Duration::from_secs(60); // between lines with the counts so far

/// What the module asked for on an RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    Attempt(u32),
    Reject,
    Fail,
}

/// What an instance asked for in one call, by RPC and in order.
#[derive(Debug, Default)]
pub(crate) struct RecordedActions {
    by_rpc: BTreeMap<u64, Vec<Action>>,
    health_checks: u64,
}

impl RecordedActions {
    pub(crate) fn record(&mut self, rpc: u64, action: Action) {
        self.by_rpc.entry(rpc).or_default().push(action);
    }
    pub(crate) fn record_health_check(&mut self) {
        self.health_checks += 1;
    }
    fn of_rpc(&self, rpc: u64) -> &[Action] {
        self.by_rpc.get(&rpc).map_or(&[], Vec::as_slice)
    }
}

/// The watcher's door: notes and sends nothing.
#[derive(Default)]
struct ShadowPlatform {
    now: f64,
    recorded: RecordedActions,
    timer_at: Option<f64>,
}

impl Platform for ShadowPlatform {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, _time_out: f64) {
        self.recorded.record(rpc, Action::Attempt(backend));
    }
    fn cancel_attempt(&mut self, _rpc: u64, _attempt: usize) {}
    fn reject(&mut self, rpc: u64, _retry_after: f64) {
        self.recorded.record(rpc, Action::Reject);
    }
    fn fail(&mut self, rpc: u64) {
        self.recorded.record(rpc, Action::Fail);
    }
    fn health_check(&mut self, _backend: u32) {
        self.recorded.record_health_check();
    }
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, delay: f64) {
        let at = self.now + delay;
        self.timer_at = Some(self.timer_at.map_or(at, |earlier| earlier.min(at)));
    }
}

/// RPCs over which the two parted, by kind: what was done, and what the watcher would have done.
#[derive(Debug, Default)]
struct ShadowCounts {
    compared: u64,
    would_queue: u64,   // picked, where the watcher would have let it wait
    would_attempt: u64, // left waiting, where the watcher would have picked
    would_reject: u64, // picked or left waiting, where the watcher would have turned it away before any pick
    would_accept: u64, // turned away before any pick, where the watcher would have picked or let it wait
    would_give_up: u64, // picked a further time, where the watcher would have given up
    would_retry: u64,  // given up after a pick, where the watcher would have picked a further time
    would_respond_differently: u64, // pushed back where the watcher would have aborted, or the reverse
    other_backend: u64,             // to another backend, which may be chance and is no difference
    health_checks: u64,             // sent, of all
    shadow_health_checks: u64,
}

impl fmt::Display for ShadowCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let c = self;
        write!(
            f,
            "{} RPCs compared: held {}, picked {}, turned away {}, ",
            c.compared, c.would_queue, c.would_attempt, c.would_reject
        )?;
        write!(
            f,
            "taken {}, given up {}, tried again {}, ",
            c.would_accept, c.would_give_up, c.would_retry
        )?;
        write!(
            f,
            "answered otherwise {}; elsewhere {}; ",
            c.would_respond_differently, c.other_backend
        )?;
        write!(
            f,
            "probes {}, would be {}",
            c.health_checks, c.shadow_health_checks
        )
    }
}

/// An RPC that both still handle alike.
struct ComparedRpc {
    rpc: RpcHandle,
    attempts: usize,
}

pub(crate) struct ShadowEvaluator {
    balancer: Balancer,
    rpcs: HashMap<u64, ComparedRpc>,
    platform: ShadowPlatform,
    counts: ShadowCounts,
    next_log_at: Instant,
}

impl ShadowEvaluator {
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed);
        let (rpcs, platform, counts) = Default::default();
        Self {
            balancer,
            rpcs,
            platform,
            counts,
            next_log_at: Instant::now() + LOG_INTERVAL,
        }
    }

    /// Other settings are in force, for both.
    pub(crate) fn apply_settings(
        &mut self,
        now: f64,
        performed: RecordedActions,
        settings: &Settings,
        kept: &CarriedOver,
    ) {
        self.replay(now, performed, None, |shadow| {
            shadow
                .balancer
                .apply_settings(settings, kept, &mut shadow.platform)
        });
    }

    /// When it wants to be woken.
    pub(crate) fn timer_at(&self) -> Option<f64> {
        self.platform.timer_at
    }

    /// One of the two was woken; the watcher, if it asked for that by now.
    pub(crate) fn on_timer(&mut self, now: f64, performed: RecordedActions) {
        let due = self.platform.timer_at.take_if(|at| *at <= now).is_some();
        self.replay(now, performed, None, |shadow| {
            if due {
                shadow.balancer.on_timer(&mut shadow.platform);
            }
        });
    }

    pub(crate) fn update_endpoints(
        &mut self,
        now: f64,
        performed: RecordedActions,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
    ) {
        self.replay(now, performed, None, |shadow| {
            shadow
                .balancer
                .update_endpoints(kind, entries, &mut shadow.platform)
        });
    }

    pub(crate) fn on_discovery_failed(&mut self, now: f64, performed: RecordedActions) {
        self.replay(now, performed, None, |shadow| {
            shadow.balancer.list_failed(&mut shadow.platform)
        });
    }

    pub(crate) fn on_health_check(
        &mut self,
        now: f64,
        performed: RecordedActions,
        backend: u32,
        how: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.replay(now, performed, None, |shadow| {
            shadow
                .balancer
                .on_health_check(backend, how, report, &mut shadow.platform)
        });
    }

    pub(crate) fn accept(&mut self, now: f64, performed: RecordedActions, arrival: &IncomingRpc) {
        self.counts.compared += 1;
        self.replay(now, performed, Some(arrival.id), |shadow| {
            let rpc = shadow.balancer.accept(arrival, &mut shadow.platform);
            shadow
                .rpcs
                .insert(arrival.id, ComparedRpc { rpc, attempts: 0 });
        });
    }

    pub(crate) fn on_client_disconnected(&mut self, now: f64, performed: RecordedActions, id: u64) {
        self.on_rpc(now, performed, id, |rpc, platform| {
            rpc.on_client_disconnected(platform)
        });
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: f64,
        performed: RecordedActions,
        (id, attempt): (u64, usize),
        how: AttemptOutcome,
        over: bool,
        report: Option<LoadReport>,
    ) {
        self.on_rpc(now, performed, id, |rpc, platform| {
            rpc.on_attempt_ended(attempt, how, over, report, platform)
        });
    }

    pub(crate) fn on_request_sent(
        &mut self,
        now: f64,
        performed: RecordedActions,
        (id, attempt): (u64, usize),
    ) {
        self.on_rpc(now, performed, id, |rpc, platform| {
            rpc.on_request_sent(attempt, platform)
        });
    }

    pub(crate) fn on_response_started(
        &mut self,
        now: f64,
        performed: RecordedActions,
        (id, attempt): (u64, usize),
    ) {
        self.on_rpc(now, performed, id, |rpc, platform| {
            rpc.on_response_started(attempt, PacedBy::Client, platform)
        });
    }

    pub(crate) fn forbid_retry(&self, id: u64) {
        self.rpcs
            .get(&id)
            .into_iter()
            .for_each(|compared_rpc| compared_rpc.rpc.forbid_retry());
    }

    fn on_rpc(
        &mut self,
        now: f64,
        performed: RecordedActions,
        id: u64,
        action: impl FnOnce(&RpcHandle, &mut ShadowPlatform),
    ) {
        self.replay(now, performed, Some(id), |shadow| {
            if let Some(compared_rpc) = shadow.rpcs.get(&id) {
                action(&compared_rpc.rpc, &mut shadow.platform);
            }
        });
    }

    /// Lets the watcher hear what the first instance has just heard, of one RPC or of none, and compares what
    /// they asked for.
    fn replay(
        &mut self,
        now: f64,
        performed: RecordedActions,
        about: Option<u64>,
        action: impl FnOnce(&mut Self),
    ) {
        self.platform.now = now;
        action(self);
        let own = std::mem::take(&mut self.platform.recorded);
        self.counts.health_checks += performed.health_checks;
        self.counts.shadow_health_checks += own.health_checks;
        let touched: BTreeSet<u64> = performed
            .by_rpc
            .keys()
            .chain(own.by_rpc.keys())
            .copied()
            .chain(about)
            .collect();
        for id in touched {
            let (did, would) = (performed.of_rpc(id), own.of_rpc(id));
            // One that is not there they have parted over.
            let Some(compared_rpc) = self.rpcs.get_mut(&id) else {
                continue;
            };
            let before = compared_rpc.attempts;
            compared_rpc.attempts += would
                .iter()
                .filter(|action| matches!(action, Action::Attempt(_)))
                .count();
            if did != would {
                self.count_difference(did, would, before > 0);
                self.drop_diverged(id);
            } else if compared_rpc.rpc.is_finished() {
                self.rpcs.remove(&id);
            }
        }
        if Instant::now() >= self.next_log_at {
            self.next_log_at = Instant::now() + LOG_INTERVAL;
            log::info!("{}", self.counts);
        }
    }

    /// Counts the first thing in which they differ.
    fn count_difference(&mut self, performed: &[Action], would: &[Action], further: bool) {
        let same = performed
            .iter()
            .zip(would)
            .take_while(|(a, b)| a == b)
            .count();
        let further = further || same > 0;
        let counts = &mut self.counts;
        let kind = match (performed.get(same), would.get(same)) {
            (Some(Action::Attempt(_)), Some(Action::Attempt(_))) => &mut counts.other_backend,
            (Some(Action::Attempt(_)), Some(_)) if further => &mut counts.would_give_up,
            (Some(_), Some(Action::Attempt(_))) if further => &mut counts.would_retry,
            (Some(Action::Attempt(_)) | None, Some(Action::Reject | Action::Fail)) => {
                &mut counts.would_reject
            }
            (Some(Action::Reject | Action::Fail), Some(Action::Attempt(_)) | None) => {
                &mut counts.would_accept
            }
            (Some(Action::Attempt(_)), None) => &mut counts.would_queue,
            (None, Some(Action::Attempt(_))) => &mut counts.would_attempt,
            _ => &mut counts.would_respond_differently,
        };
        *kind += 1;
    }

    /// The watcher can't hear how this RPC would have gone on: it ends there as if the client had left. So do
    /// those that it would have sent to the places that come free: nobody decided on that difference. Such a
    /// pick is not counted yet, hence one number more.
    fn drop_diverged(&mut self, id: u64) {
        let mut parted = vec![id];
        while let Some(id) = parted.pop() {
            let Some(compared_rpc) = self.rpcs.remove(&id) else {
                continue;
            };
            compared_rpc.rpc.on_client_disconnected(&mut self.platform);
            for attempt in 0..=compared_rpc.attempts {
                compared_rpc.rpc.on_attempt_ended(
                    attempt,
                    AttemptOutcome::Cancelled,
                    true,
                    None,
                    &mut self.platform,
                );
            }
            parted.extend(
                std::mem::take(&mut self.platform.recorded)
                    .by_rpc
                    .into_keys(),
            );
        }
    }
}

impl Drop for ShadowEvaluator {
    fn drop(&mut self) {
        log::info!("ends: {}", self.counts);
    }
}
