//! The actor around the decision module: every call on it is made here, in the order in which things
//! happened, and what it asks for leaves through `Door` without waiting.
use crate::clock::{Clock, until};
use crate::config::active::ActiveNames;
use crate::config::file::Config;
use crate::config::reload::ConfigUpdate;
use crate::config::shadow::{Action, RecordedActions, ShadowEvaluator};
use crate::discovery::client::{EndpointUpdate, ListedEndpoint};
use crate::downstream::listener::RequestIdGuard;
use crate::downstream::request::{ParsedRequest, ReceivedRpc};
use crate::downstream::response::ProxyResponse;
use crate::lifecycle::state::{ProxyState, StateStore};
use crate::messages::Event;
use crate::net::sockets::{ClientLiveness, SocketBudget};
use crate::upstream::endpoint::{
    CancelSignal, CompletionGuard, ConnectionLimits, EndpointHandle, EndpointInfo, Exchange,
    ExchangeKind, Times,
};
use birchhub::interface::{
    AttemptOutcome, Endpoint, EndpointUpdateKind, Idempotency, IncomingRpc, LoadReport,
    MethodSettings, PacedBy, Platform, Readiness,
};
use birchhub::policy::{Balancer, RpcHandle};
use bytes::Bytes;
use std::collections::{HashMap, HashSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

pub(crate) const MAILBOX: usize = 8192; // messages: one kept free for the end of each RPC, pick and probe
const MARGIN: Duration = Duration::from_millis(5); // of a client's wait, for this machine's own delays
const PROBE_WAITS: Duration = Duration::from_millis(100); // for a probe; a slower answer tells nothing of now
const BEAT: Duration = Duration::from_millis(10); // the core is busy at least this often ...
const LAG: Duration = Duration::from_millis(10); // ... or was stopped, if later by more than this
const FORGET: Duration = Duration::from_secs(2); // after a backend went: one that flaps stays the same
const RECOVER: f64 = 0.01; // s until the module is woken after it failed in a call

/// An RPC on its way: what its picks need, and who waits for its answer.
struct InFlightRpc {
    message: ParsedRequest,
    client: ClientLiveness,
    deadline: Instant,
    answer: Option<oneshot::Sender<ProxyResponse>>,
    attempts: Vec<Option<oneshot::Sender<()>>>, // of those that can still be stopped
    /// How long after the first pick that may have run another may be sent, where that is limited.
    window: Option<Duration>,
    may_have_run: Vec<Option<Instant>>, // when each pick was made; none for one that never ran
    /// Guards against a second RPC of this name, sent while a pick of this one is still out.
    _opened: RequestIdGuard,
}

impl InFlightRpc {
    /// By when another pick has to be sent. The module judged by its own clock, before a connection was opened and
    /// perhaps before this process stood still: guards against repeats that come too late to be dropped.
    fn send_by(&self) -> Option<Instant> {
        Some(*self.may_have_run.iter().flatten().min()? + self.window?)
    }
}

/// The module's door outward.
struct DaemonPlatform {
    now: f64,
    clock: Clock,
    held: HashMap<u64, InFlightRpc>,
    backends: HashMap<u32, EndpointHandle>,
    core: mpsc::Sender<Event>,
    wanted: Rc<Notify>,
    wake_at: Option<f64>,
    unsent: Vec<ExchangeKind>, // found no place in the core's mailbox for their end
    answered: Vec<u64>,        // in the call at hand
    asked: Option<RecordedActions>, // in the call at hand, while somebody watches
}

impl DaemonPlatform {
    fn give(&mut self, rpc: u64, answer: ProxyResponse) {
        log::trace!("RPC {rpc}: {answer}");
        self.answered.push(rpc);
        if let Some(sender) = self.held.get_mut(&rpc).and_then(|held| held.answer.take()) {
            // Where the client has gone there is nobody to tell.
            let _ = sender.send(answer);
        }
    }

    fn note(&mut self, rpc: u64, act: Action) {
        self.asked.iter_mut().for_each(|asked| asked.act(rpc, act));
    }

    /// Hands a job to a backend. Where that can't be done its ticket, dropped, says so.
    fn run(
        &mut self,
        errand: ExchangeKind,
        backend: u32,
        message: ParsedRequest,
        client: Option<ClientLiveness>,
        times: Times,
        stop: CancelSignal,
    ) {
        let Ok(permit) = self.core.clone().try_reserve_owned() else {
            log::error!("the core's mailbox is full");
            return self.unsent.push(errand);
        };
        let job = Exchange {
            message,
            client,
            times,
            stop,
            ticket: CompletionGuard::new(errand, self.core.clone(), permit),
        };
        if let Some(backend) = self.backends.get(&backend) {
            let _ = backend.mailbox.try_send(Box::new(job));
        }
    }
}

impl Platform for DaemonPlatform {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, time_out: f64) {
        let Some(held) = self.held.get_mut(&rpc) else {
            return;
        };
        let (sender, stop) = oneshot::channel();
        let attempt = held.attempts.len();
        held.attempts.push(Some(sender));
        let send_by = held.send_by();
        held.may_have_run.push(Some(Instant::now()));
        let until = self.clock.instant(self.now + time_out).min(held.deadline);
        let (message, client) = (held.message.clone(), Some(held.client.clone()));
        log::trace!("RPC {rpc}: attempt {attempt} to {backend} for {time_out:.3} s");
        let times = Times { until, send_by };
        self.run(
            ExchangeKind::Attempt { rpc, attempt },
            backend,
            message,
            client,
            times,
            Some(stop),
        );
        self.note(rpc, Action::Attempt(backend));
    }
    fn cancel_attempt(&mut self, rpc: u64, attempt: usize) {
        let attempts = self.held.get_mut(&rpc).map(|held| &mut held.attempts);
        drop(
            attempts
                .and_then(|attempts| attempts.get_mut(attempt))
                .and_then(Option::take),
        );
    }
    fn reject(&mut self, rpc: u64, come_back: f64) {
        self.give(rpc, ProxyResponse::PushedBack { come_back });
        self.note(rpc, Action::PushBack);
    }
    fn fail(&mut self, rpc: u64) {
        self.give(rpc, ProxyResponse::Aborted);
        self.note(rpc, Action::Abort);
    }
    fn health_check(&mut self, backend: u32) {
        self.asked.iter_mut().for_each(RecordedActions::probe);
        let times = Times {
            until: Instant::now() + PROBE_WAITS,
            send_by: None,
        };
        log::trace!("probe to {backend}");
        self.run(
            ExchangeKind::HealthCheck { backend },
            backend,
            ParsedRequest::probe(),
            None,
            times,
            None,
        );
    }
    fn watch_endpoints(&mut self) {
        self.wanted.notify_one();
    }
    fn schedule_timer(&mut self, delay: f64) {
        let at = self.now + delay;
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }
}

fn window(method: &MethodSettings) -> Option<Duration> {
    match method.idempotency {
        Idempotency::Deduplicated { window, .. } => Some(Duration::from_secs_f64(window)),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    }
}

pub(crate) struct DecisionActor {
    balancer: Balancer,
    rpcs: HashMap<u64, RpcHandle>,
    door: DaemonPlatform,
    watch: Option<ShadowEvaluator>,
    numbers: HashMap<String, (u32, Instant)>, // of backends, by uid, and when they were last heard of
    leaving: HashSet<String>, // those of `numbers` that are not in the list, to be forgotten in time
    next: u32,
    zones: Vec<String>,
    names: ActiveNames,
    windows: Vec<Option<Duration>>, // by method, in which its repeats are dropped
    sized: bool,
    limits: ConnectionLimits,
    budget: Rc<SocketBudget>,
    standings: Rc<StateStore>,
    standing: watch::Receiver<ProxyState>,
    listed: HashMap<String, ListedEndpoint>, // the last line of each backend that is not gone
    beat: Instant,                           // by when the core is busy again
    stopped: Instant,                        // until when it was not, the last time
}

impl DecisionActor {
    #[expect(clippy::too_many_lines)]
    pub(crate) fn new(
        config: &Config,
        clock: Clock,
        budget: Rc<SocketBudget>,
        core: mpsc::Sender<Event>,
        wanted: Rc<Notify>,
        standings: Rc<StateStore>,
        names: ActiveNames,
    ) -> Self {
        let conf = &config.parsed_settings;
        let door = DaemonPlatform {
            now: clock.now(),
            clock,
            held: HashMap::new(),
            backends: HashMap::new(),
            core,
            wanted,
            wake_at: None,
            unsent: Vec::new(),
            answered: Vec::new(),
            asked: config
                .shadow_settings
                .as_ref()
                .map(|_| RecordedActions::default()),
        };
        let mut core = Self {
            balancer: Balancer::new(&conf.settings, config.seed),
            rpcs: HashMap::new(),
            door,
            watch: config
                .shadow_settings
                .as_ref()
                .map(|settings| ShadowEvaluator::new(settings, config.seed)),
            numbers: HashMap::new(),
            leaving: HashSet::new(),
            next: 0,
            zones: conf.zones.clone(),
            names,
            windows: conf.settings.methods.iter().map(window).collect(),
            sized: conf.lists_endpoint_sizes,
            limits: ConnectionLimits {
                connect: Duration::from_secs_f64(conf.connect_timeout),
                idle: Duration::from_secs_f64(conf.idle_timeout),
            },
            budget,
            standing: standings.reader(),
            standings,
            listed: HashMap::new(),
            beat: Instant::now() + BEAT,
            stopped: Instant::now(),
        };
        let known = config.cached_endpoints.clone().unwrap_or(EndpointUpdate {
            version: 0,
            kind: EndpointUpdateKind::StaleSnapshot,
            listed: vec![],
        });
        core.news(&EndpointUpdate {
            kind: EndpointUpdateKind::StaleSnapshot,
            ..known
        });
        core.ordered();
        core
    }

    pub(crate) async fn run(mut self, mut mailbox: mpsc::Receiver<Event>) {
        loop {
            self.keep_time();
            let own = self.door.wake_at.map(|at| self.door.clock.instant(at));
            let watcher = self
                .watch
                .as_ref()
                .and_then(ShadowEvaluator::wake_at)
                .map(|at| self.door.clock.instant(at));
            let wake = own.into_iter().chain(watcher).min();
            if wake.is_some_and(|at| at <= Instant::now()) {
                self.wake(own.is_some_and(|at| at <= Instant::now()));
                continue;
            }
            select! {
                biased;
                Ok(()) = self.standing.changed() => self.ordered(),
                message = mailbox.recv() => match message {
                    Some(message) => self.hear(message),
                    None => return,
                },
                () = until(wake) => {}
                () = sleep_until(self.beat) => {}
            }
        }
    }

    /// Wakes those who asked for it by now. Both are held to one reading of the clock.
    fn wake(&mut self, first: bool) {
        if first {
            self.door.wake_at = None;
            self.call(|core| core.balancer.on_timer(&mut core.door));
        } else {
            self.door.now = self.door.clock.now();
        }
        self.watch(|watch, now, asked| watch.wake(now, asked));
    }

    /// Lets the watcher hear what the first instance heard in the last call, if there is one.
    fn watch(&mut self, act: impl FnOnce(&mut ShadowEvaluator, f64, RecordedActions)) {
        let (Some(watch), now) = (&mut self.watch, self.door.now) else {
            return;
        };
        let asked = self
            .door
            .asked
            .replace(RecordedActions::default())
            .unwrap_or_default();
        if catch_unwind(AssertUnwindSafe(|| act(watch, now, asked))).is_err() {
            log::error!("the watching module panicked: it watches no more");
            (self.watch, self.door.asked) = (None, None);
        }
    }

    #[expect(clippy::too_many_lines)]
    fn hear(&mut self, message: Event) {
        self.keep_time();
        match message {
            Event::RpcReceived {
                id,
                rpc,
                opened,
                client,
                answer,
            } => self.take(id, *rpc, opened, client, answer),
            Event::ClientDisconnected(id) => self.hung_up(id),
            Event::AttemptEnded {
                rpc,
                attempt,
                outcome,
                report,
                body,
            } => self.ended(rpc, attempt, outcome, report, body),
            Event::RequestSent { rpc, attempt } => {
                self.on_rpc(rpc, |rpc, door| rpc.on_request_sent(attempt, door));
                self.watch(|watch, now, asked| watch.whole(now, asked, (rpc, attempt)));
            }
            Event::ResponseStarted { rpc, attempt, flow } => {
                self.on_rpc(rpc, |handle, door| {
                    door.give(rpc, ProxyResponse::Long(flow));
                    handle.on_response_started(attempt, PacedBy::Client, door);
                });
                self.watch(|watch, now, asked| watch.begun(now, asked, (rpc, attempt)));
            }
            Event::HealthChecked {
                backend,
                outcome,
                report,
            } => {
                log::trace!("probe of {backend}: {outcome:?} {report:?}");
                let outcome = self.told(outcome, AttemptOutcome::NotSent);
                self.call(|core| {
                    core.balancer
                        .on_health_check(backend, outcome, report, &mut core.door)
                });
                self.watch(|watch, now, asked| watch.probed(now, asked, backend, outcome, report));
            }
            Event::EndpointsChanged(news) => self.news(&news),
            Event::SettingsChanged(update) => self.adopt(*update),
            Event::DiscoveryFailed => {
                self.call(|core| core.balancer.list_failed(&mut core.door));
                self.watch(|watch, now, asked| watch.list_failed(now, asked));
            }
        }
        while let Some(errand) = self.door.unsent.pop() {
            self.hear(errand.end((AttemptOutcome::NotSent, None, Bytes::new())));
        }
    }

    /// The module's time stands still while this process does. Guards against backends that are taken for slow,
    /// and what waits for them refused, because the proxy had used up its part of a core. Done before a wake-up
    /// is found due, never after: the module would take it for an early one, and set no other.
    fn keep_time(&mut self) {
        let now = Instant::now();
        if now > self.beat + LAG {
            log::debug!("stopped for {:?}", now - self.beat);
            self.door.clock.stand_still(now - self.beat);
            self.stopped = now;
        }
        self.beat = now + BEAT;
    }

    /// What a pick or probe that was out while this process stood still tells of its backend.
    fn told(&self, outcome: AttemptOutcome, unknown: AttemptOutcome) -> AttemptOutcome {
        let late = outcome == AttemptOutcome::TimedOut && Instant::now() < self.stopped + LAG;
        if late { unknown } else { outcome }
    }

    /// Calls the module. A panic in there ends neither the proxy nor what others wait for: the front answers
    /// what the module no longer knows of.
    fn call(&mut self, act: impl FnOnce(&mut Self)) {
        self.door.now = self.door.clock.now();
        if catch_unwind(AssertUnwindSafe(|| act(self))).is_err() {
            log::error!("the decision module panicked");
            self.door.schedule_timer(RECOVER);
        }
        // Those that waited may be answered in a call that is about another RPC or about none.
        while let Some(id) = self.door.answered.pop() {
            self.let_go(id);
        }
    }

    fn on_rpc(&mut self, id: u64, act: impl FnOnce(&RpcHandle, &mut DaemonPlatform)) {
        self.call(|core| {
            let Some(rpc) = core.rpcs.get(&id) else {
                return;
            };
            act(rpc, &mut core.door);
            core.let_go(id);
        });
    }

    /// Withdraws what was not yet sent for an RPC that is over, also where the settings allow no cancelling,
    /// and gives back what it held once all its picks have ended.
    fn let_go(&mut self, id: u64) {
        if let Some(held) = self
            .door
            .held
            .get_mut(&id)
            .filter(|held| held.answer.is_none())
        {
            held.attempts
                .iter_mut()
                .filter_map(Option::take)
                .for_each(|stop| _ = stop.send(()));
        }
        if self.rpcs.get(&id).is_some_and(RpcHandle::is_finished) {
            self.rpcs.remove(&id);
            self.door.held.remove(&id);
        }
    }

    /// Puts other settings in force, all in this turn.
    fn adopt(&mut self, update: ConfigUpdate) {
        let begun = Instant::now();
        let ConfigUpdate {
            settings,
            carried_over: kept,
            names,
            shadow_settings: watch,
            applied,
        } = update;
        self.windows = settings.methods.iter().map(window).collect();
        let before = self.names.replace(names.into());
        self.call(|core| {
            core.balancer
                .apply_settings(&settings, &kept, &mut core.door)
        });
        match watch {
            Some(settings) => {
                self.watch(|watch, now, asked| watch.adopt(now, asked, &settings, &kept))
            }
            None => (self.watch, self.door.asked) = (None, None),
        }
        let _ = applied.send((before, begun.elapsed()));
    }

    fn take(
        &mut self,
        id: u64,
        mut rpc: ReceivedRpc,
        opened: RequestIdGuard,
        client: ClientLiveness,
        answer: oneshot::Sender<ProxyResponse>,
    ) {
        if let Err(told) = rpc.by(&self.names.borrow()) {
            let _ = answer.send(told);
            return;
        }
        log::trace!("RPC {id}: method {}, {:?}", rpc.method, rpc.waits);
        let deadline = rpc.at + rpc.waits.saturating_sub(MARGIN);
        let arrival = IncomingRpc {
            id,
            method: rpc.method,
            tenant: rpc.tenant,
            deadline: self.door.clock.seconds(deadline),
            expected_work: rpc.expected_work,
            client_retry: rpc.client_repeat,
            streams_request: rpc.message.upload().is_some(),
            key: rpc.key,
        };
        let (attempts, may_have_run, window) = (Vec::new(), Vec::new(), self.windows[rpc.method]);
        let (message, answer, _opened) = (rpc.message, Some(answer), opened);
        self.door.held.insert(
            id,
            InFlightRpc {
                message,
                client,
                deadline,
                answer,
                attempts,
                window,
                may_have_run,
                _opened,
            },
        );
        self.call(|core| {
            let rpc = core.balancer.accept(&arrival, &mut core.door);
            core.rpcs.insert(id, rpc);
        });
        self.watch(|watch, now, asked| watch.take(now, asked, &arrival));
    }

    fn hung_up(&mut self, id: u64) {
        log::trace!("RPC {id}: hung up");
        if !self.rpcs.contains_key(&id) {
            self.door.held.remove(&id); // One that the module lost when it panicked.
        }
        self.on_rpc(id, |rpc, door| {
            door.held.get_mut(&id).map(|held| held.answer.take());
            rpc.on_client_disconnected(door);
        });
        self.watch(|watch, now, asked| watch.hung_up(now, asked, id));
    }

    fn ended(
        &mut self,
        id: u64,
        attempt: usize,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        body: Bytes,
    ) {
        log::trace!("RPC {id}: attempt {attempt} {outcome:?}");
        let outcome = self.told(outcome, AttemptOutcome::Cancelled);
        // An answer that is ok ends it; it goes to the client below.
        let held = self.door.held.get(&id);
        let over =
            outcome == AttemptOutcome::Succeeded || held.is_none_or(|held| held.answer.is_none());
        let spent = held
            .and_then(|held| held.message.upload())
            .is_some_and(|upload| upload.is_spent());
        self.on_rpc(id, |rpc, door| {
            if let Some(held) = door.held.get_mut(&id) {
                held.attempts[attempt] = None;
                if outcome.never_ran() {
                    held.may_have_run[attempt] = None;
                }
            }
            if spent {
                rpc.forbid_retry();
            }
            if outcome == AttemptOutcome::Succeeded {
                door.give(id, ProxyResponse::Ok(body));
            }
            rpc.on_attempt_ended(attempt, outcome, over, report, door);
        });
        if let Some(watch) = self.watch.as_ref().filter(|_| spent) {
            watch.unrepeatable(id);
        }
        self.watch(|watch, now, asked| {
            watch.ended(now, asked, (id, attempt), outcome, over, report)
        });
    }

    /// Tells the module anew of the backends whose bans have changed, and then that it is done.
    fn ordered(&mut self) {
        self.keep_time();
        let (turn, bans, others) = {
            let now = self.standing.borrow_and_update();
            (now.turn, now.orders.bans.clone(), now.others.living)
        };
        self.balancer.set_process_count(others + 1);
        let listed: Vec<_> = bans
            .keys()
            .filter_map(|name| self.listed.get(name))
            .cloned()
            .collect();
        if !listed.is_empty() {
            self.news(&EndpointUpdate {
                version: 0,
                kind: EndpointUpdateKind::Administrative,
                listed,
            });
        }
        self.standings.carried_out(turn);
    }

    /// Gives up the numbers of backends that went some time ago. Looks at these only: guards against a walk over the fleet
    /// with every change.
    fn forget(&mut self, now: Instant) {
        let (numbers, backends) = (&mut self.numbers, &self.door.backends);
        self.leaving.retain(|uid| {
            let Some((number, heard)) = numbers.get(uid) else {
                return false;
            };
            let (back, fresh) = (backends.contains_key(number), now < *heard + FORGET);
            if !back && !fresh {
                numbers.remove(uid);
            }
            !back && fresh
        });
    }

    #[expect(clippy::too_many_lines)]
    fn news(&mut self, news: &EndpointUpdate) {
        if news.kind.is_snapshot() {
            let named: HashSet<_> = news.listed.iter().map(|l| l.uid.as_str()).collect();
            self.listed.retain(|name, _| named.contains(name.as_str()));
            let known = news.listed.iter().filter_map(|l| self.numbers.get(&l.uid));
            let listed: HashSet<_> = known.map(|(number, _)| *number).collect();
            self.door
                .backends
                .retain(|number, _| listed.contains(number));
        }
        let (mut entries, now) = (Vec::new(), Instant::now());
        for listed in &news.listed {
            match listed.readiness {
                Readiness::Removed => drop(self.listed.remove(&listed.uid)),
                _ => drop(self.listed.insert(listed.uid.clone(), listed.clone())),
            }
            // The one place where a ban counts: all that follows takes the backend for what this says.
            let (readiness, boot_ms) =
                self.standing
                    .borrow()
                    .orders
                    .tells(&listed.uid, listed.readiness, listed.boot_ms);
            let number = || {
                self.next += 1;
                (self.next - 1, now)
            };
            let (backend, heard) = self
                .numbers
                .entry(listed.uid.clone())
                .or_insert_with(number);
            *heard = now;
            let backend = *backend;
            let facts = EndpointInfo {
                endpoint: listed.endpoint,
                ready: readiness == Readiness::Ready,
            };
            if readiness == Readiness::Removed {
                self.door.backends.remove(&backend);
                self.leaving.insert(listed.uid.clone());
            } else if let Some(known) = self.door.backends.get(&backend) {
                known.facts.send_replace(facts);
            } else {
                self.door.backends.insert(
                    backend,
                    EndpointHandle::start(facts, self.limits, self.budget.clone()),
                );
            }
            let size = if self.sized { listed.size } else { 1.0 };
            let started = self.door.clock.unix_ms(boot_ms);
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
        if news.kind.is_snapshot() {
            let left_out = self
                .numbers
                .iter()
                .filter(|(_, (number, _))| !self.door.backends.contains_key(number));
            self.leaving = left_out.map(|(uid, _)| uid.clone()).collect();
        }
        self.forget(now);
        if !news.listed.is_empty() && news.kind != EndpointUpdateKind::Administrative {
            log::info!(
                "list version {}: {} lines, {:?}",
                news.version,
                news.listed.len(),
                news.kind
            );
        }
        self.call(|core| {
            core.balancer
                .update_endpoints(news.kind, &entries, &mut core.door)
        });
        self.watch(|watch, now, asked| watch.list(now, asked, news.kind, &entries));
    }
}
