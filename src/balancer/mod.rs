//! The balancer as its platform sees it: takes events, keeps the books and tells each mechanism what concerns
//! it. It decides nothing; `crate::policy` does.
mod attempts;
mod endpoint_list;
mod rpc_handle;

use crate::interface::*;
use crate::policy::dispatch::Dispatcher;
use crate::policy::fallback::CELLS_PER_KEY;
use crate::policy::health_checks::CHECKS_PER_ROUND;
use crate::policy::{fairness, throttle};
use crate::tenant::QuotaClass;
use crate::{
    estimates::CLOCK_TOLERANCE, fleet::Fleet, limits::Limits, rng::Rng, rpc_state::RpcState,
};
use std::cell::RefCell;
use std::rc::Rc;

pub use rpc_handle::RpcHandle;

/// The decisions of one proxy.
pub struct Balancer(Rc<RefCell<Dispatcher>>);

impl Balancer {
    /// A balancer that knows no backend yet.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let fleet = Fleet {
            rng: Rng::new(seed),
            ..Fleet::default()
        };
        let mut dispatcher = Dispatcher {
            fleet,
            ..Dispatcher::default()
        };
        dispatcher
            .health_checks
            .tokens
            .add(CHECKS_PER_ROUND as f64, CHECKS_PER_ROUND as f64);
        dispatcher.apply_settings(settings, &CarriedOver::default(), 0.0);
        Self(Rc::new(RefCell::new(dispatcher)))
    }

    /// Puts other settings in force. RPCs that were accepted keep the terms of their method.
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

    /// So many processes are this proxy, and keep to its part of a slow start budget together.
    pub fn set_process_count(&self, processes: usize) {
        self.0
            .borrow_mut()
            .rules
            .slow_start
            .budget
            .set_process_count(processes);
    }

    /// A poll of the endpoint list failed or the subscription ended; the old list stays.
    pub fn on_discovery_failure(&self, platform: &mut dyn Platform) {
        let dispatcher = &mut *self.0.borrow_mut();
        dispatcher
            .discovery
            .record_failure(&dispatcher.fleet.rng, platform.now());
        dispatcher.schedule_timer(platform);
    }

    /// The endpoint list has changed.
    pub fn update_endpoints(
        &self,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
        platform: &mut dyn Platform,
    ) {
        let (dispatcher, now) = (&mut *self.0.borrow_mut(), platform.now());
        dispatcher
            .discovery
            .record_update(kind, &dispatcher.fleet.rng, now);
        dispatcher.apply_endpoint_list(kind, entries, now);
        dispatcher.serve(platform);
    }

    /// A health check has ended.
    pub fn on_health_check(
        &self,
        backend: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        platform: &mut dyn Platform,
    ) {
        let (mut dispatcher, now) = (self.0.borrow_mut(), platform.now());
        let Some(backend) = dispatcher.fleet.index.get(backend).cloned() else {
            return;
        };
        let duration = dispatcher
            .health_checks
            .tokens
            .finish(&backend)
            .map(|sent_at| now - sent_at);
        match outcome {
            AttemptOutcome::Succeeded => dispatcher.record_report(&backend, report, duration, now),
            AttemptOutcome::NotSent => {} // no backend is to blame for what this proxy could not send
            _ => dispatcher.record_failed_check(&backend, outcome, duration, now),
        }
        dispatcher.reindex(&backend, now);
        dispatcher.serve(platform);
    }

    /// The time asked for by [`Platform::schedule_timer`] has come.
    pub fn on_timer(&self, platform: &mut dyn Platform) {
        let (dispatcher, now) = (&mut *self.0.borrow_mut(), platform.now());
        // Only the latest timer asks for the next one: otherwise their number would grow.
        dispatcher
            .timer_at
            .take_if(|at| now + CLOCK_TOLERANCE >= *at);
        if dispatcher
            .discovery
            .take_due_poll(&dispatcher.fleet.rng, now)
        {
            platform.watch_endpoints();
        }
        let wanted = dispatcher.idle_queue.is_empty() && !dispatcher.rules.limits.key_affinity;
        dispatcher
            .health_checks
            .start_proactive(wanted, &dispatcher.fleet, platform);
        dispatcher.serve(platform);
    }

    /// An RPC has come in. Unless it is throttled it waits, in the order of quota class and priority.
    pub fn accept(&self, incoming: &IncomingRpc, platform: &mut dyn Platform) -> RpcHandle {
        let (mut dispatcher, now) = (self.0.borrow_mut(), platform.now());
        let rpc = Rc::new(dispatcher.new_rpc(incoming, now));
        let idle_signal = dispatcher.load_reports.idle_signal(now);
        dispatcher.health_checks.record_arrival(idle_signal);
        if let Some(key) = incoming.key.filter(|_| rpc.method.settings.ordered_by_key) {
            dispatcher.keyed.push(&rpc, key);
        }
        let sheds_by_priority = dispatcher.admission.sheds_by_priority;
        if throttle::admits(&rpc, sheds_by_priority, &dispatcher.fleet.rng, now) {
            dispatcher.enqueue_rpc(&rpc, now);
        } else {
            dispatcher.give_up(&rpc, platform);
        }
        dispatcher.serve(platform);
        RpcHandle::new(self.0.clone(), rpc)
    }
}

impl Dispatcher {
    /// Hands settings to each mechanism; what was measured and is in flight goes on.
    fn apply_settings(&mut self, settings: &Settings, carried: &CarriedOver, now: f64) {
        self.health_checks.apply_settings(settings);
        let (enabled, affordable) = (self.health_checks.enabled, self.health_checks.affordable);
        self.load_reports
            .apply_settings(settings, enabled, affordable);
        self.admission.apply_settings(settings, carried, enabled);
        self.quotas.apply_settings(settings, carried, now);
        self.rules.limits = Limits::new(settings);
        self.rules
            .slow_start
            .apply_settings(settings, self.health_checks.per_rpc);
        self.fallback.apply_settings(settings);
        self.discovery.apply_settings(settings);
        self.fleet.estimates.apply_settings(settings);
        self.fleet.index.own_zone = settings.own_zone;
    }

    /// The state of an RPC that comes in; its arrival and the use of its tenant's quota are counted.
    fn new_rpc(&self, incoming: &IncomingRpc, now: f64) -> RpcState {
        let method = self.admission.methods[incoming.method].clone();
        method.record_arrival(now);
        let tenant = self.quotas.tenant(incoming.tenant);
        let quota_class =
            |tenant| fairness::quota_class(&self.quotas, tenant, incoming.client_retry, now);
        let quota_class = tenant.map_or(QuotaClass::Within, quota_class);
        if let Some(tenant) = tenant {
            self.quotas.record(tenant, quota_class, now);
        }
        // Cells that know its key, the same at every proxy: otherwise keys would go round the fleet.
        let key = incoming.key.filter(|_| self.rules.limits.key_affinity);
        let cells = key.map_or(Vec::new(), |key| {
            self.fleet.index.cells_of_key(key, CELLS_PER_KEY)
        });
        let throttles = tenant
            .iter()
            .map(|t| &t.throttle)
            .chain([&method.throttle])
            .cloned()
            .collect();
        RpcState::new(incoming, method, quota_class, cells, throttles, now)
    }
}
