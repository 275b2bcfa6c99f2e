//! Public interface of the balancer: receives events and forwards them to the mechanisms.
//!
//! It makes no decisions itself; those are in `crate::policy`.
mod attempts;
mod endpoint_list;
mod outcomes;
mod rpc_handle;

use crate::estimates::CLOCK_TOLERANCE_SECONDS;
use crate::fleet::Fleet;
use crate::interface::{
    AttemptOutcome, CarriedOver, Endpoint, EndpointUpdateKind, IncomingRpc, LoadReport,
    OrderedRpcs, Platform, Settings,
};
use crate::limits::Limits;
use crate::policy::dispatch::Dispatcher;
use crate::policy::fallback::CELLS_PER_KEY;
use crate::policy::health_checks::CHECKS_PER_ROUND;
use crate::policy::{fairness, throttle};
use crate::rng::Rng;
use crate::rpc_state::RpcState;
use crate::tenant::QuotaClass;
use std::cell::RefCell;
use std::rc::Rc;

pub use rpc_handle::RpcHandle;

/// The load balancer of one proxy.
pub struct Balancer(Rc<RefCell<Dispatcher>>);

impl Balancer {
    /// Creates a balancer without backends. The seed determines all random numbers.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let fleet = Fleet {
            rng: Rng::new(seed),
            ..Fleet::default()
        };
        let mut dispatcher = Dispatcher {
            fleet,
            ..Dispatcher::default()
        };
        let first_round = CHECKS_PER_ROUND as f64;
        dispatcher
            .health_checks
            .tokens
            .add(first_round, first_round);
        dispatcher.apply_settings(settings, &CarriedOver::default(), 0.0);
        Self(Rc::new(RefCell::new(dispatcher)))
    }

    /// Applies new settings. RPCs that were accepted before keep the settings of their method.
    pub fn apply_settings(
        &self,
        settings: &Settings,
        carried: &CarriedOver,
        platform: &mut dyn Platform,
    ) {
        let mut dispatcher = self.0.borrow_mut();
        dispatcher.apply_settings(settings, carried, platform.now());
        dispatcher.serve(platform);
    }

    /// Sets the number of processes of this proxy, which divide its share of the slow-start budget.
    pub fn set_process_count(&self, processes: usize) {
        let mut dispatcher = self.0.borrow_mut();
        let budget = &mut dispatcher.rules.slow_start.budget;
        budget.set_process_count(processes);
    }

    /// Sets whether RPCs of methods that are ordered by key run in this process.
    pub fn set_ordered_rpcs(&self, ordered_rpcs: OrderedRpcs, platform: &mut dyn Platform) {
        let mut dispatcher = self.0.borrow_mut();
        if dispatcher.keyed.set_ordered_rpcs(ordered_rpcs) {
            dispatcher.serve(platform);
        }
    }

    /// Whether this process has RPCs of methods that are ordered by key, or a key in its cooldown.
    pub fn has_ordered_rpcs(&self) -> bool {
        !self.0.borrow().keyed.is_empty()
    }

    /// Handles a failed poll of the endpoint list or the end of the subscription. The current list
    /// is kept.
    pub fn on_discovery_failure(&self, platform: &mut dyn Platform) {
        let dispatcher = &mut *self.0.borrow_mut();
        dispatcher
            .discovery
            .record_failure(&dispatcher.fleet.rng, platform.now());
        dispatcher.schedule_timer(platform);
    }

    /// Handles an update of the endpoint list.
    pub fn update_endpoints(
        &self,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
        platform: &mut dyn Platform,
    ) {
        let dispatcher = &mut *self.0.borrow_mut();
        let now = platform.now();
        dispatcher
            .discovery
            .record_update(kind, &dispatcher.fleet.rng, now);
        dispatcher.apply_endpoint_list(kind, entries, now);
        dispatcher.serve(platform);
    }

    /// Handles the end of a health check.
    pub fn on_health_check(
        &self,
        backend: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        platform: &mut dyn Platform,
    ) {
        let mut dispatcher = self.0.borrow_mut();
        let now = platform.now();
        let Some(backend) = dispatcher.fleet.index.get(backend).cloned() else {
            return;
        };
        let sent_at = dispatcher.health_checks.tokens.finish_check(&backend);
        let duration = sent_at.map(|sent_at| now - sent_at);
        match outcome {
            AttemptOutcome::Succeeded => dispatcher.record_report(&backend, report, duration, now),
            // A health check that this proxy could not send is no failure of the backend.
            AttemptOutcome::NotSent => {}
            _ => dispatcher.record_failed_check(&backend, outcome, duration, now),
        }
        dispatcher.reindex(&backend, now);
        dispatcher.serve(platform);
    }

    /// Handles the timer set by [`Platform::schedule_timer`].
    pub fn on_timer(&self, platform: &mut dyn Platform) {
        let dispatcher = &mut *self.0.borrow_mut();
        let now = platform.now();
        // Only the latest timer schedules another one; otherwise the number of timers would grow.
        dispatcher
            .timer_at
            .take_if(|at| now + CLOCK_TOLERANCE_SECONDS >= *at);
        let poll_is_due = dispatcher
            .discovery
            .take_due_poll(&dispatcher.fleet.rng, now);
        if poll_is_due {
            platform.watch_endpoints();
        }
        let is_wanted = dispatcher.idle_queue.is_empty() && !dispatcher.rules.limits.key_affinity;
        dispatcher
            .health_checks
            .start_proactive(is_wanted, &dispatcher.fleet, platform);
        dispatcher.serve(platform);
    }

    /// Accepts an RPC. It is rejected if the throttle does not admit it; otherwise it is queued by
    /// quota class and priority until it is sent, rejected or failed.
    pub fn accept(&self, incoming: &IncomingRpc, platform: &mut dyn Platform) -> RpcHandle {
        let mut dispatcher = self.0.borrow_mut();
        let now = platform.now();
        let rpc = Rc::new(dispatcher.new_rpc(incoming, now));
        let idle_signal = dispatcher.load_reports.idle_signal(now);
        dispatcher.health_checks.record_arrival(idle_signal);
        if let Some(key) = incoming.key.filter(|_| rpc.method.settings.ordered_by_key) {
            dispatcher.keyed.push(&rpc, key);
        }
        let sheds_by_priority = dispatcher.admission.sheds_by_priority;
        if !dispatcher.keyed.rejects(&rpc)
            && throttle::admits(&rpc, sheds_by_priority, &dispatcher.fleet.rng, now)
        {
            dispatcher.enqueue_rpc(&rpc, now);
        } else {
            dispatcher.reject_or_fail(&rpc, platform);
        }
        dispatcher.serve(platform);
        RpcHandle::new(self.0.clone(), rpc)
    }
}

impl Dispatcher {
    /// Applies new settings to each mechanism. Observations and RPCs in flight are kept.
    fn apply_settings(&mut self, settings: &Settings, carried: &CarriedOver, now: f64) {
        self.health_checks.apply_settings(settings);
        let health_checks = self.health_checks.usage;
        self.load_reports.apply_settings(settings, health_checks);
        self.admission
            .apply_settings(settings, carried, health_checks.is_enabled());
        self.quotas.apply_settings(settings, carried, now);
        self.rules.limits = Limits::new(settings);
        let checks_per_rpc = self.health_checks.per_rpc;
        self.rules
            .slow_start
            .apply_settings(settings, checks_per_rpc);
        self.fallback.apply_settings(settings);
        self.discovery.apply_settings(settings);
        self.fleet.estimates.apply_settings(settings);
        self.fleet.index.own_zone = settings.own_zone;
    }

    /// Creates the state of an arriving RPC, and counts it for its method and against its tenant's
    /// quota.
    fn new_rpc(&self, incoming: &IncomingRpc, now: f64) -> RpcState {
        let method = self.admission.methods[incoming.method].clone();
        method.record_arrival(now);
        let tenant = self.quotas.tenant(incoming.tenant);
        let quota_class = tenant.map_or(QuotaClass::Within, |tenant| {
            fairness::quota_class(&self.quotas, tenant, incoming.client_retry, now)
        });
        if let Some(tenant) = tenant {
            self.quotas.record(tenant, quota_class, now);
        }
        // All proxies choose the same cells for a key; otherwise every cell would have to cache it.
        let key = incoming.key.filter(|_| self.rules.limits.key_affinity);
        let cells = key.map_or(Vec::new(), |key| {
            self.fleet.index.cells_of_key(key, CELLS_PER_KEY)
        });
        let tenant_throttle = tenant.map(|tenant| tenant.throttle.clone());
        let throttles = tenant_throttle
            .into_iter()
            .chain([method.throttle.clone()])
            .collect();
        RpcState::new(incoming, method, quota_class, cells, throttles, now)
    }
}
