//! The actor around the decision module: every call on it is made here, in the order in which things
//! happened, and what it asks for leaves through `Door` without waiting.
use crate::clock::{Clock, until};
use crate::config::active::ActiveNames;
use crate::config::file::Config;
use crate::config::reload::ConfigUpdate;
use crate::config::shadow::{Action, RecordedActions, ShadowEvaluator};
use crate::discovery::update::{EndpointUpdate, ListedEndpoint};
use crate::downstream::listener::RequestIdGuard;
use crate::downstream::request::{ParsedRequest, ReceivedRpc};
use crate::downstream::response::ProxyResponse;
use crate::lifecycle::state::ProxyState;
use crate::lifecycle::state_store::StateStore;
use crate::messages::{AttemptId, Event};
use crate::net::sockets::{ClientLiveness, SocketBudget};
use crate::upstream::endpoint::{ConnectionLimits, EndpointHandle, EndpointInfo};
use crate::upstream::exchange::{
    CompletionGuard, Deadlines, Exchange, ExchangeKind, ExchangeRequest, ExchangeResult,
};
use birchhub::interface::{
    AttemptOutcome, Endpoint, EndpointUpdateKind, Idempotency, IncomingRpc, MethodSettings,
    PacedBy, Platform, Readiness,
};
use birchhub::policy::{Balancer, RpcHandle};
use std::collections::{HashMap, HashSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

pub(crate) const MAILBOX: usize = 8192; // messages: one kept free for the end of each RPC, pick and probe
const CLIENT_MARGIN: Duration = Duration::from_millis(5); // of a client's wait, for this machine's own delays
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(100); // for a probe; a slower answer tells nothing of now
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10); // the core is busy at least this often ...
const MAX_SCHEDULING_LAG: Duration = Duration::from_millis(10); // ... or was stopped, if later by more than this
const FORGET_AFTER: Duration = Duration::from_secs(2); // after a backend went: one that flaps stays the same
const PANIC_RECOVERY: f64 = 0.01; // s until the module is woken after it failed in a call

/// An RPC on its way: what its picks need, and who waits for its answer.
struct InFlightRpc {
    message: ParsedRequest,
    client: ClientLiveness,
    deadline: Instant,
    answer: Option<oneshot::Sender<ProxyResponse>>,
    attempts: Vec<Option<oneshot::Sender<()>>>, // of those that can still be stopped
    /// How long after the first pick that may have run another may be sent, where that is limited.
    deduplication_window: Option<Duration>,
    may_have_run_since: Vec<Option<Instant>>, // when each pick was made; none for one that never ran
    /// Guards against a second RPC of this name, sent while a pick of this one is still out.
    _request_id: RequestIdGuard,
}

impl InFlightRpc {
    /// By when another pick has to be sent. The module judged by its own clock, before a connection was opened and
    /// perhaps before this process stood still: guards against repeats that come too late to be dropped.
    fn send_by(&self) -> Option<Instant> {
        Some(*self.may_have_run_since.iter().flatten().min()? + self.deduplication_window?)
    }
}

/// The module's door outward.
struct DaemonPlatform {
    now: f64,
    clock: Clock,
    in_flight: HashMap<u64, InFlightRpc>,
    backends: HashMap<u32, EndpointHandle>,
    events: mpsc::Sender<Event>,
    watch_wanted: Rc<Notify>,
    timer_at: Option<f64>,
    unsent: Vec<ExchangeKind>, // found no place in the core's mailbox for their end
    answered: Vec<u64>,        // in the call at hand
    recorded: Option<RecordedActions>, // in the call at hand, while somebody watches
}

impl DaemonPlatform {
    fn respond(&mut self, rpc: u64, answer: ProxyResponse) {
        log::trace!("RPC {rpc}: {answer}");
        self.answered.push(rpc);
        if let Some(sender) = self
            .in_flight
            .get_mut(&rpc)
            .and_then(|in_flight| in_flight.answer.take())
        {
            // Where the client has gone there is nobody to tell.
            let _ = sender.send(answer);
        }
    }

    fn record(&mut self, rpc: u64, action: Action) {
        self.recorded
            .iter_mut()
            .for_each(|recorded| recorded.record(rpc, action));
    }

    /// Hands a job to a backend. Where that can't be done its ticket, dropped, says so.
    fn run(&mut self, kind: ExchangeKind, backend: u32, request: ExchangeRequest) {
        let Ok(permit) = self.events.clone().try_reserve_owned() else {
            log::error!("the core's mailbox is full");
            return self.unsent.push(kind);
        };
        let exchange = Exchange {
            request,
            completion: CompletionGuard::new(kind, self.events.clone(), permit),
        };
        if let Some(backend) = self.backends.get(&backend) {
            let _ = backend.mailbox.try_send(Box::new(exchange));
        }
    }
}

impl Platform for DaemonPlatform {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, time_out: f64) {
        let Some(in_flight) = self.in_flight.get_mut(&rpc) else {
            return;
        };
        let (sender, cancel) = oneshot::channel();
        let attempt = in_flight.attempts.len();
        in_flight.attempts.push(Some(sender));
        let send_by = in_flight.send_by();
        in_flight.may_have_run_since.push(Some(Instant::now()));
        let until = self
            .clock
            .instant_at(self.now + time_out)
            .min(in_flight.deadline);
        let (message, client) = (in_flight.message.clone(), Some(in_flight.client.clone()));
        log::trace!("RPC {rpc}: attempt {attempt} to {backend} for {time_out:.3} s");
        let request = ExchangeRequest {
            request: message,
            client,
            deadlines: Deadlines { until, send_by },
            cancel: Some(cancel),
        };
        let attempt = AttemptId {
            rpc,
            index: attempt,
        };
        self.run(ExchangeKind::Attempt(attempt), backend, request);
        self.record(rpc, Action::Attempt(backend));
    }
    fn cancel_attempt(&mut self, rpc: u64, attempt: usize) {
        let attempts = self
            .in_flight
            .get_mut(&rpc)
            .map(|in_flight| &mut in_flight.attempts);
        drop(
            attempts
                .and_then(|attempts| attempts.get_mut(attempt))
                .and_then(Option::take),
        );
    }
    fn reject(&mut self, rpc: u64, retry_after: f64) {
        self.respond(rpc, ProxyResponse::Rejected { retry_after });
        self.record(rpc, Action::Reject);
    }
    fn fail(&mut self, rpc: u64) {
        self.respond(rpc, ProxyResponse::Failed);
        self.record(rpc, Action::Fail);
    }
    fn health_check(&mut self, backend: u32) {
        self.recorded
            .iter_mut()
            .for_each(RecordedActions::record_health_check);
        let deadlines = Deadlines {
            until: Instant::now() + HEALTH_CHECK_TIMEOUT,
            send_by: None,
        };
        log::trace!("probe to {backend}");
        let request = ExchangeRequest {
            request: ParsedRequest::health_check(),
            client: None,
            deadlines,
            cancel: None,
        };
        self.run(ExchangeKind::HealthCheck { backend }, backend, request);
    }
    fn watch_endpoints(&mut self) {
        self.watch_wanted.notify_one();
    }
    fn schedule_timer(&mut self, delay: f64) {
        let at = self.now + delay;
        self.timer_at = Some(self.timer_at.map_or(at, |earlier| earlier.min(at)));
    }
}

fn deduplication_window(method: &MethodSettings) -> Option<Duration> {
    match method.idempotency {
        Idempotency::Deduplicated { window, .. } => Some(Duration::from_secs_f64(window)),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    }
}

pub(crate) struct DecisionActor {
    balancer: Balancer,
    rpcs: HashMap<u64, RpcHandle>,
    platform: DaemonPlatform,
    shadow: Option<ShadowEvaluator>,
    numbers: HashMap<String, (u32, Instant)>, // of backends, by uid, and when they were last heard of
    removed: HashSet<String>, // those of `numbers` that are not in the list, to be forgotten in time
    next_number: u32,
    zones: Vec<String>,
    names: ActiveNames,
    deduplication_windows: Vec<Option<Duration>>, // by method, in which its repeats are dropped
    uses_relative_size: bool,
    limits: ConnectionLimits,
    budget: Rc<SocketBudget>,
    state_store: Rc<StateStore>,
    state: watch::Receiver<ProxyState>,
    listed: HashMap<String, ListedEndpoint>, // the last line of each backend that is not gone
    heartbeat_due: Instant,                  // by when the core is busy again
    resumed: Instant,                        // until when it was not, the last time
}

impl DecisionActor {
    #[expect(clippy::too_many_lines)]
    pub(crate) fn new(
        config: &Config,
        clock: Clock,
        budget: Rc<SocketBudget>,
        core: mpsc::Sender<Event>,
        watch_wanted: Rc<Notify>,
        state_store: Rc<StateStore>,
        names: ActiveNames,
    ) -> Self {
        let conf = &config.parsed_settings;
        let platform = DaemonPlatform {
            now: clock.now(),
            clock,
            in_flight: HashMap::new(),
            backends: HashMap::new(),
            events: core,
            watch_wanted,
            timer_at: None,
            unsent: Vec::new(),
            answered: Vec::new(),
            recorded: config
                .shadow_settings
                .as_ref()
                .map(|_| RecordedActions::default()),
        };
        let mut actor = Self {
            balancer: Balancer::new(&conf.settings, config.seed),
            rpcs: HashMap::new(),
            platform,
            shadow: config
                .shadow_settings
                .as_ref()
                .map(|settings| ShadowEvaluator::new(settings, config.seed)),
            numbers: HashMap::new(),
            removed: HashSet::new(),
            next_number: 0,
            zones: conf.zones.clone(),
            names,
            deduplication_windows: conf
                .settings
                .methods
                .iter()
                .map(deduplication_window)
                .collect(),
            uses_relative_size: conf.lists_endpoint_sizes,
            limits: ConnectionLimits {
                connect: Duration::from_secs_f64(conf.connect_timeout),
                idle: Duration::from_secs_f64(conf.idle_timeout),
            },
            budget,
            state: state_store.subscribe(),
            state_store,
            listed: HashMap::new(),
            heartbeat_due: Instant::now() + HEARTBEAT_INTERVAL,
            resumed: Instant::now(),
        };
        let known = config.cached_endpoints.clone().unwrap_or(EndpointUpdate {
            version: 0,
            kind: EndpointUpdateKind::StaleSnapshot,
            listed: vec![],
        });
        actor.update_endpoints(&EndpointUpdate {
            kind: EndpointUpdateKind::StaleSnapshot,
            ..known
        });
        actor.apply_admin_state();
        actor
    }

    pub(crate) async fn run(mut self, mut mailbox: mpsc::Receiver<Event>) {
        loop {
            self.check_heartbeat();
            let own = self
                .platform
                .timer_at
                .map(|at| self.platform.clock.instant_at(at));
            let shadow = self
                .shadow
                .as_ref()
                .and_then(ShadowEvaluator::timer_at)
                .map(|at| self.platform.clock.instant_at(at));
            let wake = own.into_iter().chain(shadow).min();
            if wake.is_some_and(|at| at <= Instant::now()) {
                self.wake(own.is_some_and(|at| at <= Instant::now()));
                continue;
            }
            select! {
                biased;
                Ok(()) = self.state.changed() => self.apply_admin_state(),
                message = mailbox.recv() => match message {
                    Some(message) => self.dispatch(message),
                    None => return,
                },
                () = until(wake) => {}
                () = sleep_until(self.heartbeat_due) => {}
            }
        }
    }

    /// Wakes those who asked for it by now. Both are held to one reading of the clock.
    fn wake(&mut self, first: bool) {
        if first {
            self.platform.timer_at = None;
            self.call_balancer(|actor| actor.balancer.on_timer(&mut actor.platform));
        } else {
            self.platform.now = self.platform.clock.now();
        }
        self.replay_to_shadow(|shadow, now, recorded| shadow.on_timer(now, recorded));
    }

    /// Lets the watcher hear what the first instance heard in the last call, if there is one.
    fn replay_to_shadow(
        &mut self,
        action: impl FnOnce(&mut ShadowEvaluator, f64, RecordedActions),
    ) {
        let (Some(shadow), now) = (&mut self.shadow, self.platform.now) else {
            return;
        };
        let recorded = self
            .platform
            .recorded
            .replace(RecordedActions::default())
            .unwrap_or_default();
        if catch_unwind(AssertUnwindSafe(|| action(shadow, now, recorded))).is_err() {
            log::error!("the watching module panicked: it watches no more");
            (self.shadow, self.platform.recorded) = (None, None);
        }
    }

    #[expect(clippy::too_many_lines)]
    fn dispatch(&mut self, message: Event) {
        self.check_heartbeat();
        match message {
            Event::RpcReceived {
                id,
                rpc,
                opened,
                client,
                answer,
            } => self.accept_rpc(id, *rpc, opened, client, answer),
            Event::ClientDisconnected(id) => self.on_client_disconnected(id),
            Event::AttemptEnded { attempt, result } => self.on_attempt_ended(attempt, result),
            Event::RequestSent { attempt } => {
                self.on_rpc(attempt.rpc, |rpc, platform| {
                    rpc.on_request_sent(attempt.index, platform);
                });
                self.replay_to_shadow(|shadow, now, recorded| {
                    shadow.on_request_sent(now, recorded, (attempt.rpc, attempt.index))
                });
            }
            Event::ResponseStarted { attempt, body } => {
                self.on_rpc(attempt.rpc, |rpc, platform| {
                    platform.respond(attempt.rpc, ProxyResponse::Streamed(body));
                    rpc.on_response_started(attempt.index, PacedBy::Client, platform);
                });
                self.replay_to_shadow(|shadow, now, recorded| {
                    shadow.on_response_started(now, recorded, (attempt.rpc, attempt.index))
                });
            }
            Event::HealthChecked {
                backend,
                outcome,
                report,
            } => {
                log::trace!("probe of {backend}: {outcome:?} {report:?}");
                let outcome = self.reliable_outcome(outcome, AttemptOutcome::NotSent);
                self.call_balancer(|actor| {
                    actor
                        .balancer
                        .on_health_check(backend, outcome, report, &mut actor.platform)
                });
                self.replay_to_shadow(|shadow, now, recorded| {
                    shadow.on_health_check(now, recorded, backend, outcome, report)
                });
            }
            Event::EndpointsChanged(update) => self.update_endpoints(&update),
            Event::SettingsChanged(update) => self.apply_update(*update),
            Event::DiscoveryFailed => {
                self.call_balancer(|actor| actor.balancer.list_failed(&mut actor.platform));
                self.replay_to_shadow(|shadow, now, recorded| {
                    shadow.on_discovery_failed(now, recorded)
                });
            }
        }
        while let Some(kind) = self.platform.unsent.pop() {
            self.dispatch(kind.completion_event(AttemptOutcome::NotSent.into()));
        }
    }

    /// The module's time stands still while this process does. Guards against backends that are taken for slow,
    /// and what waits for them refused, because the proxy had used up its part of a core. Done before a wake-up
    /// is found due, never after: the module would take it for an early one, and set no other.
    fn check_heartbeat(&mut self) {
        let now = Instant::now();
        if now > self.heartbeat_due + MAX_SCHEDULING_LAG {
            log::debug!("stopped for {:?}", now - self.heartbeat_due);
            self.platform.clock.skip(now - self.heartbeat_due);
            self.resumed = now;
        }
        self.heartbeat_due = now + HEARTBEAT_INTERVAL;
    }

    /// What a pick or probe that was out while this process stood still tells of its backend.
    fn reliable_outcome(&self, outcome: AttemptOutcome, unknown: AttemptOutcome) -> AttemptOutcome {
        let late = outcome == AttemptOutcome::TimedOut
            && Instant::now() < self.resumed + MAX_SCHEDULING_LAG;
        if late { unknown } else { outcome }
    }

    /// Calls the module. A panic in there ends neither the proxy nor what others wait for: the front answers
    /// what the module no longer knows of.
    fn call_balancer(&mut self, action: impl FnOnce(&mut Self)) {
        self.platform.now = self.platform.clock.now();
        if catch_unwind(AssertUnwindSafe(|| action(self))).is_err() {
            log::error!("the decision module panicked");
            self.platform.schedule_timer(PANIC_RECOVERY);
        }
        // Those that waited may be answered in a call that is about another RPC or about none.
        while let Some(id) = self.platform.answered.pop() {
            self.release(id);
        }
    }

    fn on_rpc(&mut self, id: u64, action: impl FnOnce(&RpcHandle, &mut DaemonPlatform)) {
        self.call_balancer(|actor| {
            let Some(rpc) = actor.rpcs.get(&id) else {
                return;
            };
            action(rpc, &mut actor.platform);
            actor.release(id);
        });
    }

    /// Withdraws what was not yet sent for an RPC that is over, also where the settings allow no cancelling,
    /// and gives back what it held once all its picks have ended.
    fn release(&mut self, id: u64) {
        if let Some(in_flight) = self
            .platform
            .in_flight
            .get_mut(&id)
            .filter(|in_flight| in_flight.answer.is_none())
        {
            in_flight
                .attempts
                .iter_mut()
                .filter_map(Option::take)
                .for_each(|cancel| _ = cancel.send(()));
        }
        if self.rpcs.get(&id).is_some_and(RpcHandle::is_finished) {
            self.rpcs.remove(&id);
            self.platform.in_flight.remove(&id);
        }
    }

    /// Puts other settings in force, all in this turn.
    fn apply_update(&mut self, update: ConfigUpdate) {
        let started = Instant::now();
        let ConfigUpdate {
            settings,
            carried_over: kept,
            names,
            shadow_settings: watch,
            applied,
        } = update;
        self.deduplication_windows = settings.methods.iter().map(deduplication_window).collect();
        let before = self.names.replace(names.into());
        self.call_balancer(|actor| {
            actor
                .balancer
                .apply_settings(&settings, &kept, &mut actor.platform)
        });
        match watch {
            Some(settings) => self.replay_to_shadow(|shadow, now, recorded| {
                shadow.apply_settings(now, recorded, &settings, &kept)
            }),
            None => (self.shadow, self.platform.recorded) = (None, None),
        }
        let _ = applied.send((before, started.elapsed()));
    }

    fn accept_rpc(
        &mut self,
        id: u64,
        mut rpc: ReceivedRpc,
        opened: RequestIdGuard,
        client: ClientLiveness,
        answer: oneshot::Sender<ProxyResponse>,
    ) {
        if let Err(told) = rpc.apply_names(&self.names.borrow()) {
            let _ = answer.send(told);
            return;
        }
        log::trace!("RPC {id}: method {}, {:?}", rpc.method, rpc.timeout);
        let deadline = rpc.received_at + rpc.timeout.saturating_sub(CLIENT_MARGIN);
        let arrival = IncomingRpc {
            id,
            method: rpc.method,
            tenant: rpc.tenant,
            deadline: self.platform.clock.seconds_at(deadline),
            expected_work: rpc.expected_work,
            client_retry: rpc.is_client_retry,
            streams_request: rpc.request.upload().is_some(),
            key: rpc.key,
        };
        let (attempts, may_have_run_since, deduplication_window) = (
            Vec::new(),
            Vec::new(),
            self.deduplication_windows[rpc.method],
        );
        let (message, answer, _request_id) = (rpc.request, Some(answer), opened);
        self.platform.in_flight.insert(
            id,
            InFlightRpc {
                message,
                client,
                deadline,
                answer,
                attempts,
                deduplication_window,
                may_have_run_since,
                _request_id,
            },
        );
        self.call_balancer(|actor| {
            let rpc = actor.balancer.accept(&arrival, &mut actor.platform);
            actor.rpcs.insert(id, rpc);
        });
        self.replay_to_shadow(|shadow, now, recorded| shadow.accept(now, recorded, &arrival));
    }

    fn on_client_disconnected(&mut self, id: u64) {
        log::trace!("RPC {id}: hung up");
        if !self.rpcs.contains_key(&id) {
            self.platform.in_flight.remove(&id); // One that the module lost when it panicked.
        }
        self.on_rpc(id, |rpc, platform| {
            platform
                .in_flight
                .get_mut(&id)
                .map(|in_flight| in_flight.answer.take());
            rpc.on_client_disconnected(platform);
        });
        self.replay_to_shadow(|shadow, now, recorded| {
            shadow.on_client_disconnected(now, recorded, id)
        });
    }

    fn on_attempt_ended(&mut self, attempt: AttemptId, result: ExchangeResult) {
        let AttemptId {
            rpc: id,
            index: attempt,
        } = attempt;
        let ExchangeResult {
            outcome,
            report,
            body,
        } = result;
        log::trace!("RPC {id}: attempt {attempt} {outcome:?}");
        let outcome = self.reliable_outcome(outcome, AttemptOutcome::Cancelled);
        // An answer that is ok ends it; it goes to the client below.
        let in_flight = self.platform.in_flight.get(&id);
        let over = outcome == AttemptOutcome::Succeeded
            || in_flight.is_none_or(|in_flight| in_flight.answer.is_none());
        let spent = in_flight
            .and_then(|in_flight| in_flight.message.upload())
            .is_some_and(|upload| upload.is_consumed());
        self.on_rpc(id, |rpc, platform| {
            if let Some(in_flight) = platform.in_flight.get_mut(&id) {
                in_flight.attempts[attempt] = None;
                if outcome.never_ran() {
                    in_flight.may_have_run_since[attempt] = None;
                }
            }
            if spent {
                rpc.forbid_retry();
            }
            if outcome == AttemptOutcome::Succeeded {
                platform.respond(id, ProxyResponse::Ok(body));
            }
            rpc.on_attempt_ended(attempt, outcome, over, report, platform);
        });
        if let Some(shadow) = self.shadow.as_ref().filter(|_| spent) {
            shadow.forbid_retry(id);
        }
        self.replay_to_shadow(|shadow, now, recorded| {
            shadow.on_attempt_ended(now, recorded, (id, attempt), outcome, over, report)
        });
    }

    /// Tells the module anew of the backends whose bans have changed, and then that it is done.
    fn apply_admin_state(&mut self) {
        self.check_heartbeat();
        let (turn, bans, others) = {
            let now = self.state.borrow_and_update();
            (
                now.admin_generation,
                now.admin_state.maintenance.clone(),
                now.siblings.alive,
            )
        };
        self.balancer.set_process_count(others + 1);
        let listed: Vec<_> = bans
            .keys()
            .filter_map(|name| self.listed.get(name))
            .cloned()
            .collect();
        if !listed.is_empty() {
            self.update_endpoints(&EndpointUpdate {
                version: 0,
                kind: EndpointUpdateKind::Administrative,
                listed,
            });
        }
        self.state_store.confirm_applied(turn);
    }

    /// Gives up the numbers of backends that went some time ago. Looks at these only: guards against a walk over the fleet
    /// with every change.
    fn forget_removed(&mut self, now: Instant) {
        let (numbers, backends) = (&mut self.numbers, &self.platform.backends);
        self.removed.retain(|uid| {
            let Some((number, heard)) = numbers.get(uid) else {
                return false;
            };
            let (back, fresh) = (backends.contains_key(number), now < *heard + FORGET_AFTER);
            if !back && !fresh {
                numbers.remove(uid);
            }
            !back && fresh
        });
    }

    #[expect(clippy::too_many_lines)]
    fn update_endpoints(&mut self, update: &EndpointUpdate) {
        if update.kind.is_snapshot() {
            let named: HashSet<_> = update.listed.iter().map(|l| l.uid.as_str()).collect();
            self.listed.retain(|name, _| named.contains(name.as_str()));
            let known = update
                .listed
                .iter()
                .filter_map(|l| self.numbers.get(&l.uid));
            let listed: HashSet<_> = known.map(|(number, _)| *number).collect();
            self.platform
                .backends
                .retain(|number, _| listed.contains(number));
        }
        let (mut entries, now) = (Vec::new(), Instant::now());
        for listed in &update.listed {
            match listed.readiness {
                Readiness::Removed => drop(self.listed.remove(&listed.uid)),
                _ => drop(self.listed.insert(listed.uid.clone(), listed.clone())),
            }
            // The one place where a ban counts: all that follows takes the backend for what this says.
            let (readiness, boot_ms) = self.state.borrow().admin_state.effective_readiness(
                &listed.uid,
                listed.readiness,
                listed.boot_ms,
            );
            let number = || {
                self.next_number += 1;
                (self.next_number - 1, now)
            };
            let (backend, heard) = self
                .numbers
                .entry(listed.uid.clone())
                .or_insert_with(number);
            *heard = now;
            let backend = *backend;
            let info = EndpointInfo {
                address: listed.endpoint,
                ready: readiness == Readiness::Ready,
            };
            if readiness == Readiness::Removed {
                self.platform.backends.remove(&backend);
                self.removed.insert(listed.uid.clone());
            } else if let Some(known) = self.platform.backends.get(&backend) {
                known.info.send_replace(info);
            } else {
                self.platform.backends.insert(
                    backend,
                    EndpointHandle::start(info, self.limits, self.budget.clone()),
                );
            }
            let size = if self.uses_relative_size {
                listed.size
            } else {
                1.0
            };
            let started = self.platform.clock.seconds_at_unix_ms(boot_ms);
            // One of no known zone or cell shares it with nobody: it may not drop another's repeats.
            let zone = self.zones.iter().position(|z| *z == listed.zone);
            let zone = zone.unwrap_or(self.zones.len() + backend as usize);
            let cell = listed.cell.unwrap_or(u64::MAX - u64::from(backend));
            entries.push(Endpoint {
                backend,
                relative_size: size,
                started_at: started,
                cell,
                zone,
                readiness,
            });
        }
        if update.kind.is_snapshot() {
            let left_out = self
                .numbers
                .iter()
                .filter(|(_, (number, _))| !self.platform.backends.contains_key(number));
            self.removed = left_out.map(|(uid, _)| uid.clone()).collect();
        }
        self.forget_removed(now);
        if !update.listed.is_empty() && update.kind != EndpointUpdateKind::Administrative {
            log::info!(
                "list version {}: {} lines, {:?}",
                update.version,
                update.listed.len(),
                update.kind
            );
        }
        self.call_balancer(|actor| {
            actor
                .balancer
                .update_endpoints(update.kind, &entries, &mut actor.platform)
        });
        self.replay_to_shadow(|shadow, now, recorded| {
            shadow.update_endpoints(now, recorded, update.kind, &entries)
        });
    }
}
