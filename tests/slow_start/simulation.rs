//! A fleet of proxies and backends in simulated time, of which some backends die and come back in slow start; what all
//! proxies together send these is counted at the backend.
use crate::common::{endpoint, load_report, settings};
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};

const NETWORK_DELAY: f64 = 0.0005; // s between any two machines
const WATCH_DELAY: f64 = 0.1; // s at most until a proxy knows of a change
const FIRST_LIST_DELAY: f64 = 0.02; // s until a restarted proxy has the endpoint list
const QUEUE_CAPACITY: usize = 40; // RPCs that wait at a backend at most
const RETURN: f64 = 6.0; // s from the start until the backends that died come back
const SLOW_START: f64 = 5.0; // s
const DEADLINE: f64 = 0.5; // s
const LATENCY_OBJECTIVE: f64 = 0.2; // s
const FIRST_RPC_ID: u64 = 1_000_000_000; // above all numbers of events

/// A fleet of which some backends come back in slow start at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub proxies: usize,
    pub backends: u32,
    pub cores: usize,
    pub work: f64,               // s, mean
    pub load: f64,               // of what all backends can do
    pub skewed: bool,            // one proxy in twenty gets ten times as much as the others
    pub restarted_backends: f64, // part of the backends that die and come back
    pub downtime: f64,           // s
    pub reports: LoadReportSource,
    pub health_checks: bool,
    pub restarted_proxies: f64, // part of the proxies that restart during the slow start
    pub cached_list: bool,      // restarted proxies have a list from before
    pub initial_fraction: f64,
    pub overload_multiple: f64,
    pub window: f64, // s
}

impl Fleet {
    pub(crate) const DEFAULT: Self = Self {
        proxies: 30,
        backends: 20,
        cores: 4,
        work: 0.05,
        load: 0.7,
        skewed: false,
        restarted_backends: 0.5,
        downtime: 2.0,
        reports: LoadReportSource::Responses,
        health_checks: false,
        restarted_proxies: 0.0,
        cached_list: true,
        initial_fraction: 0.2,
        overload_multiple: 3.0,
        window: 1.0,
    };

    /// The same fleet, with the reports of loads in health checks or in responses.
    pub(crate) const fn with_health_checks(self, health_checks: bool) -> Self {
        let reports = if health_checks {
            LoadReportSource::HealthChecks
        } else {
            LoadReportSource::Responses
        };
        Self {
            health_checks,
            reports,
            ..self
        }
    }

    pub(crate) const fn with_skewed_traffic(self) -> Self {
        Self {
            skewed: true,
            ..self
        }
    }

    pub(crate) fn run(self, seed: u64) -> Measured {
        Simulation::new(self, seed).run()
    }

    fn settings(&self) -> Settings {
        Settings {
            proxy_count: self.proxies,
            load_report_source: self.reports,
            can_health_check: self.health_checks,
            polls_endpoint_list: false,
            slow_start_initial_fraction: self.initial_fraction,
            slow_start_duration: SLOW_START,
            overload_multiple: self.overload_multiple,
            overload_window: self.window,
            ..settings(&[Idempotency::Idempotent])
        }
    }

    /// RPCs a second at each proxy.
    fn rates(&self) -> Vec<f64> {
        let weight = |n: usize| {
            if self.skewed && n.is_multiple_of(20) {
                10.0
            } else {
                1.0
            }
        };
        let all: f64 = (0..self.proxies).map(weight).sum();
        let rate = self.load * f64::from(self.backends) * self.cores as f64 / self.work;
        (0..self.proxies).map(|n| rate * weight(n) / all).collect()
    }

    /// What a backend of this age can do, of what it does when warm.
    fn warmth(&self, age: f64) -> f64 {
        (self.initial_fraction + (1.0 - self.initial_fraction) * age / SLOW_START).min(1.0)
    }

    /// N, the RPCs of mean work that the settings allow a backend of this age in a window.
    fn budget(&self, age: f64) -> f64 {
        self.overload_multiple * self.warmth(age) * self.window * self.cores as f64 / self.work
    }
}

/// What was measured at the backends in slow start.
#[derive(Debug)]
pub(crate) struct Measured {
    pub excess: f64, // RPCs in a window beyond N, the most, in roots of N
    pub over: f64,   // RPCs in a window beyond N + 2 root N + 2, the most
    pub work: f64,   // excess by work in place of RPCs
    pub used: f64,   // RPCs in a window as a part of N, the most
    pub sent: usize, // RPCs in all
    pub served: f64, // part of the RPCs that arrived meanwhile
}

impl Default for Measured {
    fn default() -> Self {
        Self {
            excess: f64::MIN,
            over: f64::MIN,
            work: f64::MIN,
            used: 0.0,
            sent: 0,
            served: 0.0,
        }
    }
}

impl Measured {
    /// Adds a window with so many RPCs, of so much work in mean ones, against a budget of N.
    fn add_window(&mut self, rpcs: f64, work: f64, n: f64) {
        self.sent += 1;
        self.used = self.used.max(rpcs / n);
        self.excess = self.excess.max((rpcs - n) / n.sqrt());
        self.over = self.over.max(rpcs - n - 2.0 * n.sqrt() - 2.0);
        self.work = self.work.max((work - n) / n.sqrt());
    }

    /// The worst of the seeds from 0 on; what was sent and served is their mean.
    pub(crate) fn worst_of(fleet: Fleet, seeds: u64) -> Self {
        let mut worst = Self::default();
        for measured in (0..seeds).map(|seed| fleet.run(seed)) {
            worst.excess = worst.excess.max(measured.excess);
            worst.over = worst.over.max(measured.over);
            worst.work = worst.work.max(measured.work);
            worst.used = worst.used.max(measured.used);
            worst.sent += measured.sent;
            worst.served += measured.served / seeds as f64;
        }
        worst.sent /= seeds as usize;
        worst
    }
}

enum Event {
    RpcArrives(usize),
    AttemptArrives(u64),
    AttemptDone(u64),
    AttemptEnds(AttemptEnd),
    HealthCheckArrives(HealthCheck),
    BackendsDie,
    BackendsReturn,
    EndpointChanges(usize, u32, Readiness),
    ProxyRestarts(usize),
    /// For a process of a proxy; lost if it has ended by then.
    ForProcess(usize, u32, ProcessEvent),
}

enum ProcessEvent {
    TimerFires,
    ListArrives,
    HealthCheckEnds(HealthCheckEnd),
}

struct HealthCheck {
    proxy: usize,
    process: u32,
    backend: u32,
}

struct HealthCheckEnd {
    backend: u32,
    outcome: AttemptOutcome,
    in_flight: f64,
}

struct AttemptEnd {
    attempt: u64,
    outcome: AttemptOutcome,
    in_flight: Option<f64>,
}

struct Backend {
    started_at: Option<f64>,
    is_up: bool,
    running: usize,
    queue: VecDeque<u64>,
    window: VecDeque<(f64, f64)>, // arrivals in slow start: when, and work in mean RPCs
}

impl Backend {
    fn new() -> Self {
        Self {
            started_at: None,
            is_up: true,
            running: 0,
            queue: VecDeque::new(),
            window: VecDeque::new(),
        }
    }

    fn in_flight(&self) -> f64 {
        (self.running + self.queue.len()) as f64
    }
}

struct Attempt {
    proxy: usize,
    process: u32,
    rpc: u64,
    number: usize,
    backend: u32,
    backend_started_at: Option<f64>,
    has_ended: bool,
}

/// What the decisions asked for in one call.
#[derive(Default)]
struct Effects {
    now: f64,
    attempts: Vec<(u64, u32, f64)>,
    health_checks: Vec<u32>,
    timer: Option<f64>,
    finished: Vec<u64>,
}

impl Platform for Effects {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, time_out: f64) {
        self.attempts.push((rpc, backend, time_out));
    }
    fn cancel_attempt(&mut self, _: u64, _: usize) {}
    fn reject(&mut self, rpc: u64, _: f64) {
        self.finished.push(rpc);
    }
    fn fail(&mut self, rpc: u64) {
        self.finished.push(rpc);
    }
    fn health_check(&mut self, backend: u32) {
        self.health_checks.push(backend);
    }
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, delay: f64) {
        self.timer = Some(delay);
    }
}

struct OpenRpc {
    handle: RpcHandle,
    attempts: usize,
    objective_at: f64,
}

/// A proxy; `process` grows with each restart.
struct Proxy {
    balancer: Balancer,
    process: u32,
    rpcs: HashMap<u64, OpenRpc>,
}

struct Simulation {
    fleet: Fleet,
    settings: Settings,
    random: Pcg64,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>, // bits of the time, and number of the event
    events: HashMap<u64, Event>,
    last_event: u64,
    backends: Vec<Backend>,
    proxies: Vec<Proxy>,
    attempts: HashMap<u64, Attempt>,
    rates: Vec<f64>,
    counted: HashSet<u64>, // RPCs that arrived during the slow start
    served: usize,
    measured: Measured,
}

impl Simulation {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let settings = fleet.settings();
        let mut random = Pcg64::seed_from_u64(seed);
        let proxy = |_| Proxy {
            balancer: Balancer::new(&settings, random.random()),
            process: 0,
            rpcs: HashMap::new(),
        };
        let proxies = (0..fleet.proxies).map(proxy).collect();
        Self {
            backends: (0..fleet.backends).map(|_| Backend::new()).collect(),
            proxies,
            rates: fleet.rates(),
            fleet,
            settings,
            random,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            attempts: HashMap::new(),
            counted: HashSet::new(),
            served: 0,
            measured: Measured::default(),
        }
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        self.last_event += 1;
        let at = (self.now + delay).to_bits();
        self.queue.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    /// Schedules an event for the process that the proxy has now.
    fn schedule_for(&mut self, proxy: usize, delay: f64, event: ProcessEvent) {
        let process = self.proxies[proxy].process;
        self.schedule(delay, Event::ForProcess(proxy, process, event));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln() * mean
    }

    fn backend(&mut self, backend: u32) -> &mut Backend {
        &mut self.backends[backend as usize]
    }

    fn endpoint(&self, backend: u32, readiness: Readiness) -> Endpoint {
        Endpoint {
            readiness,
            started_at: self.backends[backend as usize].started_at,
            ..endpoint(backend)
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        (0..self.fleet.backends)
            .filter(|backend| self.backends[*backend as usize].is_up)
            .map(|backend| self.endpoint(backend, Readiness::Ready))
            .collect()
    }

    /// Calls a proxy's decisions, and does what they ask for.
    fn call(&mut self, proxy: usize, act: impl FnOnce(&mut Proxy, &mut Effects)) {
        let mut effects = Effects {
            now: self.now,
            ..Effects::default()
        };
        act(&mut self.proxies[proxy], &mut effects);
        for (rpc, backend, time_out) in effects.attempts {
            self.start_attempt(proxy, rpc, backend, time_out);
        }
        let process = self.proxies[proxy].process;
        for backend in effects.health_checks {
            let event = Event::HealthCheckArrives(HealthCheck {
                proxy,
                process,
                backend,
            });
            self.schedule(NETWORK_DELAY, event);
        }
        if let Some(delay) = effects.timer {
            self.schedule_for(proxy, delay + 1e-6, ProcessEvent::TimerFires);
        }
        for rpc in effects.finished {
            self.proxies[proxy].rpcs.remove(&rpc);
        }
    }

    fn start_attempt(&mut self, proxy: usize, rpc: u64, backend: u32, time_out: f64) {
        let process = self.proxies[proxy].process;
        let Some(open) = self.proxies[proxy].rpcs.get_mut(&rpc) else {
            return;
        };
        open.attempts += 1;
        let record = Attempt {
            proxy,
            process,
            rpc,
            number: open.attempts - 1,
            backend,
            backend_started_at: None,
            has_ended: false,
        };
        let attempt = self.last_event + 1;
        self.schedule(NETWORK_DELAY, Event::AttemptArrives(attempt));
        self.attempts.insert(attempt, record);
        let timed_out = Event::AttemptEnds(AttemptEnd {
            attempt,
            outcome: AttemptOutcome::TimedOut,
            in_flight: None,
        });
        self.schedule(time_out, timed_out);
    }

    /// Counts an RPC that arrives at a backend in slow start.
    fn measure(&mut self, backend: u32, work: f64) {
        let (now, window, mean) = (self.now, self.fleet.window, self.fleet.work);
        let Some(started_at) = self.backend(backend).started_at else {
            return;
        };
        if now >= started_at + SLOW_START {
            return;
        }
        let arrivals = &mut self.backend(backend).window;
        arrivals.push_back((now, work / mean));
        while arrivals.front().is_some_and(|(at, _)| *at <= now - window) {
            arrivals.pop_front();
        }
        let rpcs = arrivals.len() as f64;
        let work = arrivals.iter().map(|(_, work)| work).sum::<f64>();
        let budget = self.fleet.budget(now - started_at);
        self.measured.add_window(rpcs, work, budget);
    }

    /// Runs what is queued, as far as cores are free.
    fn run_queued(&mut self, backend: u32) {
        let (now, cores) = (self.now, self.fleet.cores);
        while self.backend(backend).running < cores {
            let Some(attempt) = self.backend(backend).queue.pop_front() else {
                return;
            };
            if self.attempts[&attempt].has_ended {
                continue;
            }
            let backend = self.backend(backend);
            backend.running += 1;
            let age = backend.started_at.map_or(SLOW_START, |at| now - at);
            let work = self.exponential(self.fleet.work);
            let duration = work / self.fleet.warmth(age);
            self.schedule(duration, Event::AttemptDone(attempt));
        }
    }

    fn rpc_arrives(&mut self, proxy: usize) {
        let gap = self.exponential(1.0 / self.rates[proxy]);
        self.schedule(gap, Event::RpcArrives(proxy));
        let (id, now) = (self.last_event + FIRST_RPC_ID, self.now);
        self.last_event += 1;
        if (RETURN..RETURN + SLOW_START).contains(&now) {
            self.counted.insert(id);
        }
        let incoming = IncomingRpc {
            id,
            deadline: now + DEADLINE,
            ..IncomingRpc::default()
        };
        self.call(proxy, |proxy, effects| {
            let open = OpenRpc {
                handle: proxy.balancer.accept(&incoming, effects),
                attempts: 0,
                objective_at: now + LATENCY_OBJECTIVE,
            };
            proxy.rpcs.insert(id, open);
        });
    }

    fn attempt_arrives(&mut self, attempt: u64) {
        let backend = self.attempts[&attempt].backend;
        let ends = |outcome| {
            Event::AttemptEnds(AttemptEnd {
                attempt,
                outcome,
                in_flight: None,
            })
        };
        if !self.backend(backend).is_up {
            return self.schedule(NETWORK_DELAY, ends(AttemptOutcome::ConnectFailed));
        }
        let work = self.exponential(1.0) * self.fleet.work;
        self.measure(backend, work);
        let started_at = self.backend(backend).started_at;
        let record = self.attempts.get_mut(&attempt).expect("an attempt");
        record.backend_started_at = started_at;
        if self.backend(backend).queue.len() >= QUEUE_CAPACITY {
            return self.schedule(NETWORK_DELAY, ends(AttemptOutcome::Rejected));
        }
        self.backend(backend).queue.push_back(attempt);
        self.run_queued(backend);
    }

    fn attempt_done(&mut self, attempt: u64) {
        let Attempt {
            backend,
            backend_started_at,
            ..
        } = self.attempts[&attempt];
        let state = self.backend(backend);
        if !state.is_up || state.started_at != backend_started_at {
            return;
        }
        state.running -= 1;
        let ends = Event::AttemptEnds(AttemptEnd {
            attempt,
            outcome: AttemptOutcome::Succeeded,
            in_flight: Some(state.in_flight()),
        });
        self.schedule(NETWORK_DELAY, ends);
        self.run_queued(backend);
    }

    fn attempt_ends(&mut self, end: AttemptEnd) {
        let AttemptEnd {
            attempt,
            outcome,
            in_flight,
        } = end;
        let record = self.attempts.get_mut(&attempt).expect("an attempt");
        if std::mem::replace(&mut record.has_ended, true) {
            return;
        }
        let (proxy, process, rpc, number) =
            (record.proxy, record.process, record.rpc, record.number);
        if self.proxies[proxy].process != process {
            return;
        }
        let Some(open) = self.proxies[proxy].rpcs.get(&rpc) else {
            return;
        };
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let is_in_time = self.now <= open.objective_at;
        self.served += usize::from(succeeded && is_in_time && self.counted.contains(&rpc));
        let reports = self.fleet.reports == LoadReportSource::Responses;
        let report = in_flight.filter(|_| reports).map(load_report);
        self.call(proxy, |proxy, effects| {
            let handle = &proxy.rpcs[&rpc].handle;
            handle.on_attempt_ended(number, outcome, succeeded, report, effects);
        });
        if succeeded {
            self.proxies[proxy].rpcs.remove(&rpc);
        }
    }

    fn health_check_arrives(&mut self, health_check: HealthCheck) {
        let HealthCheck {
            proxy,
            process,
            backend,
        } = health_check;
        let state = self.backend(backend);
        let outcome = if state.is_up {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::ConnectFailed
        };
        let end = ProcessEvent::HealthCheckEnds(HealthCheckEnd {
            backend,
            outcome,
            in_flight: state.in_flight(),
        });
        self.schedule(NETWORK_DELAY, Event::ForProcess(proxy, process, end));
    }

    fn backends_change(&mut self, is_up: bool) {
        let affected = f64::from(self.fleet.backends) * self.fleet.restarted_backends;
        let readiness = if is_up {
            Readiness::Ready
        } else {
            Readiness::Removed
        };
        for backend in 0..affected as u32 {
            let now = self.now;
            let state = self.backend(backend);
            (state.is_up, state.started_at, state.running) = (is_up, Some(now), 0);
            for attempt in std::mem::take(&mut state.queue) {
                let reset = Event::AttemptEnds(AttemptEnd {
                    attempt,
                    outcome: AttemptOutcome::Reset,
                    in_flight: None,
                });
                self.schedule(NETWORK_DELAY, reset);
            }
            for proxy in 0..self.fleet.proxies {
                let delay = self.random.random_range(0.0..WATCH_DELAY);
                let event = Event::EndpointChanges(proxy, backend, readiness);
                self.schedule(delay, event);
            }
        }
    }

    fn update_endpoints(&mut self, proxy: usize, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        self.call(proxy, |proxy, effects| {
            proxy.balancer.update_endpoints(kind, endpoints, effects);
        });
    }

    fn proxy_restarts(&mut self, proxy: usize) {
        let balancer = Balancer::new(&self.settings, self.random.random());
        let state = &mut self.proxies[proxy];
        state.balancer = balancer;
        state.process += 1;
        state.rpcs.clear();
        if self.fleet.cached_list {
            let cached = self.endpoints();
            self.update_endpoints(proxy, EndpointUpdateKind::StaleSnapshot, &cached);
        }
        self.schedule_for(proxy, FIRST_LIST_DELAY, ProcessEvent::ListArrives);
    }

    fn process_event(&mut self, proxy: usize, event: ProcessEvent) {
        match event {
            ProcessEvent::TimerFires => {
                self.call(proxy, |proxy, effects| proxy.balancer.on_timer(effects));
            }
            ProcessEvent::ListArrives => {
                let listed = self.endpoints();
                self.update_endpoints(proxy, EndpointUpdateKind::Snapshot, &listed);
            }
            ProcessEvent::HealthCheckEnds(HealthCheckEnd {
                backend,
                outcome,
                in_flight,
            }) => {
                let succeeded = outcome == AttemptOutcome::Succeeded;
                let report = Some(load_report(in_flight)).filter(|_| succeeded);
                self.call(proxy, |proxy, effects| {
                    let balancer = &mut proxy.balancer;
                    balancer.on_health_check(backend, outcome, report, effects);
                });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RpcArrives(proxy) => self.rpc_arrives(proxy),
            Event::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            Event::AttemptDone(attempt) => self.attempt_done(attempt),
            Event::AttemptEnds(end) => self.attempt_ends(end),
            Event::HealthCheckArrives(health_check) => self.health_check_arrives(health_check),
            Event::BackendsDie => self.backends_change(false),
            Event::BackendsReturn => self.backends_change(true),
            Event::EndpointChanges(proxy, backend, readiness) => {
                let changed = self.endpoint(backend, readiness);
                self.update_endpoints(proxy, EndpointUpdateKind::Incremental, &[changed]);
            }
            Event::ProxyRestarts(proxy) => self.proxy_restarts(proxy),
            Event::ForProcess(proxy, process, event) => {
                if self.proxies[proxy].process == process {
                    self.process_event(proxy, event);
                }
            }
        }
    }

    fn schedule_scenario(&mut self) {
        for proxy in 0..self.fleet.proxies {
            self.schedule_for(proxy, 0.0, ProcessEvent::ListArrives);
            let gap = self.exponential(1.0 / self.rates[proxy]);
            self.schedule(gap, Event::RpcArrives(proxy));
            if self.random.random::<f64>() < self.fleet.restarted_proxies {
                let at = self.random.random_range(RETURN + 0.2..RETURN + 1.5);
                self.schedule(at, Event::ProxyRestarts(proxy));
            }
        }
        self.schedule(RETURN - self.fleet.downtime, Event::BackendsDie);
        self.schedule(RETURN, Event::BackendsReturn);
    }

    fn run(mut self) -> Measured {
        self.schedule_scenario();
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = f64::from_bits(at);
            if self.now > RETURN + SLOW_START + 0.3 {
                break;
            }
            let event = self.events.remove(&number);
            self.handle(event.expect("an event for each number"));
        }
        self.measured.served = self.served as f64 / self.counted.len() as f64;
        self.measured
    }
}
