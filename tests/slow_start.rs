//! Rule 4 over a whole fleet: what all proxies together send a backend that has just started, counted there.
mod common;
use birchhub::interface::*;
use birchhub::policy::{Balancer, RpcHandle};
use common::{Proxy, endpoint, settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};

const WAY: f64 = 0.0005; // s between any two machines
const TOLD: f64 = 0.1; // s at most until a proxy hears of a change
const QUEUE: usize = 40; // RPCs that wait at a backend at most
const RETURN: f64 = 6.0; // s from the start to the return of those that died

/// A fleet of which some backends come back cold at once.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    proxies: usize,
    backends: u32,
    cores: usize,
    work: f64,    // s, mean
    load: f64,    // of what all backends can do
    skewed: bool, // one proxy in twenty gets ten times as much as the others
    back: f64,    // part of the backends that die and come back
    gone: f64,    // s that they were away
    reports: LoadReportSource,
    probes: bool,
    restarted: f64, // part of the proxies that start anew while backends are cold
    known: bool,    // these have a list from before
    cold_from: f64,
    multiple: f64,
    window: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            proxies: 30,
            backends: 20,
            cores: 4,
            work: 0.05,
            load: 0.7,
            skewed: false,
            back: 0.5,
            gone: 2.0,
            reports: LoadReportSource::Responses,
            probes: false,
            restarted: 0.0,
            known: true,
            cold_from: 0.2,
            multiple: 3.0,
            window: 1.0,
        }
    }
}

const COLD_FOR: f64 = 5.0;

/// What came of it.
#[derive(Debug, Default)]
struct Found {
    excess: f64, // RPCs in a window beyond N, the most, in roots of N
    over: f64,   // RPCs in a window beyond N + 2 root N + 2, the most
    work: f64,   // the same in work
    used: f64,   // of N, the most
    sent: usize, // to cold ones
    served: f64, // of what came while they were cold
}

enum What {
    Arrives(usize),
    Wake(usize, u32),
    AtBackend(u64),
    Done(u64),
    Back(u64, AttemptOutcome, Option<f64>),
    TimedOut(u64),
    ProbeAt(usize, u32, u32),
    Probed(usize, u32, u32, AttemptOutcome, f64),
    Dies,
    Returns,
    Told(usize, u32, Readiness),
    Restarts(usize),
    Listed(usize, u32),
}

struct Host {
    started: Option<f64>,
    up: bool,
    running: usize,
    waiting: VecDeque<u64>,
    sent: VecDeque<(f64, f64)>,
}

struct Job {
    proxy: usize,
    process: u32,
    rpc: u64,
    pick: usize,
    backend: u32,
    started: Option<f64>, // of the backend's life that it runs in
    ended: bool,
}

#[derive(Default)]
struct Door {
    now: f64,
    rpc_picks: Vec<(u64, u32, f64)>,
    probes: Vec<u32>,
    wake: Option<f64>,
    cancelled: Vec<(u64, usize)>,
    over: Vec<u64>,
}

impl Platform for Door {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, time_out: f64) {
        self.rpc_picks.push((rpc, backend, time_out));
    }
    fn cancel_attempt(&mut self, rpc: u64, pick: usize) {
        self.cancelled.push((rpc, pick));
    }
    fn reject(&mut self, rpc: u64, _: f64) {
        self.over.push(rpc);
    }
    fn fail(&mut self, rpc: u64) {
        self.over.push(rpc);
    }
    fn health_check(&mut self, backend: u32) {
        self.probes.push(backend);
    }
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, delay: f64) {
        self.wake = Some(delay);
    }
}

struct Process {
    balancer: Balancer,
    number: u32,
    handles: HashMap<u64, (RpcHandle, usize, f64)>,
}

struct World {
    fleet: Fleet,
    conf: Settings,
    random: Pcg64,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, What>,
    next: u64,
    hosts: Vec<Host>,
    processes: Vec<Process>,
    jobs: HashMap<u64, Job>,
    rates: Vec<f64>,
    counted: HashSet<u64>,
    came: usize,
    ok: usize,
    found: Found,
}

impl World {
    #[expect(clippy::too_many_lines)]
    fn new(fleet: Fleet, seed: u64) -> Self {
        let conf = Settings {
            proxy_count: fleet.proxies,
            load_report_source: fleet.reports,
            can_health_check: fleet.probes,
            polls_endpoint_list: false,
            slow_start_initial_fraction: fleet.cold_from,
            slow_start_duration: COLD_FOR,
            overload_multiple: fleet.multiple,
            overload_window: fleet.window,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut random = Pcg64::seed_from_u64(seed);
        let weight = |n: usize| {
            if fleet.skewed && n.is_multiple_of(20) {
                10.0
            } else {
                1.0
            }
        };
        let all: f64 = (0..fleet.proxies).map(weight).sum();
        let rate = fleet.load * f64::from(fleet.backends) * fleet.cores as f64 / fleet.work;
        let rates = (0..fleet.proxies).map(|n| rate * weight(n) / all).collect();
        let host = |_| Host {
            started: None,
            up: true,
            running: 0,
            waiting: VecDeque::new(),
            sent: VecDeque::new(),
        };
        let process = |_| Process {
            balancer: Balancer::new(&conf, random.random()),
            number: 0,
            handles: HashMap::new(),
        };
        let processes = (0..fleet.proxies).map(process).collect();
        Self {
            hosts: (0..fleet.backends).map(host).collect(),
            processes,
            fleet,
            conf,
            random,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            jobs: HashMap::new(),
            rates,
            counted: HashSet::new(),
            came: 0,
            ok: 0,
            found: Found::default(),
        }
    }

    fn after(&mut self, delay: f64, what: What) {
        self.next += 1;
        self.queue
            .push(Reverse(((self.now + delay).to_bits(), self.next)));
        self.events.insert(self.next, what);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln() * mean
    }

    fn entries(&self) -> Vec<Endpoint> {
        let line = |b: u32| Endpoint {
            started_at: self.hosts[b as usize].started,
            ..endpoint(b)
        };
        (0..self.fleet.backends)
            .filter(|b| self.hosts[*b as usize].up)
            .map(line)
            .collect()
    }

    /// Calls a proxy's module, and does what it asks for.
    fn call(&mut self, proxy: usize, act: impl FnOnce(&mut Process, &mut Door)) {
        let mut door = Door {
            now: self.now,
            ..Door::default()
        };
        act(&mut self.processes[proxy], &mut door);
        let process = self.processes[proxy].number;
        for (rpc, backend, time_out) in door.rpc_picks {
            let Some(handle) = self.processes[proxy].handles.get_mut(&rpc) else {
                continue;
            };
            handle.1 += 1;
            let pick = handle.1 - 1;
            self.send(
                Job {
                    proxy,
                    process,
                    rpc,
                    pick,
                    backend,
                    started: None,
                    ended: false,
                },
                time_out,
            );
        }
        for backend in door.probes {
            self.after(WAY, What::ProbeAt(proxy, process, backend));
        }
        if let Some(delay) = door.wake {
            self.after(delay + 1e-6, What::Wake(proxy, process));
        }
        for rpc in door.over {
            self.processes[proxy].handles.remove(&rpc);
        }
    }

    fn send(&mut self, job: Job, time_out: f64) {
        let number = self.next + 1;
        self.after(WAY, What::AtBackend(number));
        self.jobs.insert(number, job);
        self.after(time_out, What::TimedOut(number));
    }

    /// N of the rules' page: what the settings allow it in a window at this age, RPCs of mean work.
    fn allowed(&self, started: f64) -> f64 {
        let share = (self.fleet.cold_from
            + (1.0 - self.fleet.cold_from) * (self.now - started) / COLD_FOR)
            .min(1.0);
        self.fleet.multiple * share * self.fleet.window * self.fleet.cores as f64 / self.fleet.work
    }

    /// Counts it at a cold backend.
    fn weigh(&mut self, backend: u32, work: f64) {
        let Some(started) = self.hosts[backend as usize]
            .started
            .filter(|at| self.now < at + COLD_FOR)
        else {
            return;
        };
        let (n, now, window, mean) = (
            self.allowed(started),
            self.now,
            self.fleet.window,
            self.fleet.work,
        );
        let sent = &mut self.hosts[backend as usize].sent;
        sent.push_back((now, work / mean));
        while sent.front().is_some_and(|(at, _)| *at <= now - window) {
            sent.pop_front();
        }
        let (count, work) = (
            sent.len() as f64,
            sent.iter().map(|(_, work)| work).sum::<f64>(),
        );
        let found = &mut self.found;
        found.sent += 1;
        found.used = found.used.max(count / n);
        found.excess = if found.sent == 1 {
            f64::MIN
        } else {
            found.excess
        }
        .max((count - n) / n.sqrt());
        found.over = if found.sent == 1 {
            f64::MIN
        } else {
            found.over
        }
        .max(count - n - 2.0 * n.sqrt() - 2.0);
        found.work = if found.sent == 1 {
            f64::MIN
        } else {
            found.work
        }
        .max((work - n) / n.sqrt());
    }

    fn begin(&mut self, backend: u32) {
        let (now, cores) = (self.now, self.fleet.cores);
        while self.hosts[backend as usize].running < cores {
            let Some(number) = self.hosts[backend as usize].waiting.pop_front() else {
                return;
            };
            if self.jobs[&number].ended {
                continue;
            }
            let host = &mut self.hosts[backend as usize];
            host.running += 1;
            let age = host.started.map_or(COLD_FOR, |at| now - at);
            let pace =
                (self.fleet.cold_from + (1.0 - self.fleet.cold_from) * age / COLD_FOR).min(1.0);
            let work = self.exponential(self.fleet.work);
            self.after(work / pace, What::Done(number));
        }
    }

    fn back(&mut self, number: u64, how: AttemptOutcome, held: Option<f64>) {
        let Some(job) = self.jobs.get_mut(&number).filter(|job| !job.ended) else {
            return;
        };
        job.ended = true;
        let (proxy, rpc, pick) = (job.proxy, job.rpc, job.pick);
        let (now, process) = (self.now, job.process);
        if self.processes[proxy].number != process {
            return;
        }
        let Some((handle, picks, due)) = self.processes[proxy].handles.remove(&rpc) else {
            return;
        };
        let counted = self.counted.contains(&rpc);
        self.ok += usize::from(how == AttemptOutcome::Succeeded && now <= due && counted);
        self.processes[proxy]
            .handles
            .insert(rpc, (handle, picks, due));
        let report = held.filter(|_| self.fleet.reports == LoadReportSource::Responses);
        let report = report.map(|held| LoadReport {
            in_flight: Some(held),
            ..LoadReport::default()
        });
        self.call(proxy, |process, door| {
            let (handle, ..) = &process.handles[&rpc];
            handle.on_attempt_ended(pick, how, how == AttemptOutcome::Succeeded, report, door);
        });
        if how == AttemptOutcome::Succeeded {
            self.processes[proxy].handles.remove(&rpc);
        }
    }

    #[expect(clippy::too_many_lines)]
    fn happen(&mut self, what: What) {
        match what {
            What::Arrives(proxy) => {
                let gap = self.exponential(1.0 / self.rates[proxy]);
                self.after(gap, What::Arrives(proxy));
                let (rpc, now) = (self.next + 1_000_000_000, self.now);
                self.next += 1;
                if (RETURN..RETURN + COLD_FOR).contains(&now) {
                    self.came += 1;
                    self.counted.insert(rpc);
                }
                let asked = IncomingRpc {
                    id: rpc,
                    deadline: now + 0.5,
                    ..IncomingRpc::default()
                };
                self.call(proxy, |process, door| {
                    let handle = process.balancer.accept(&asked, door);
                    process.handles.insert(rpc, (handle, 0, now + 0.2));
                });
            }
            What::Wake(proxy, number) => {
                if self.processes[proxy].number == number {
                    self.call(proxy, |process, door| process.balancer.on_timer(door));
                }
            }
            What::AtBackend(number) => {
                let backend = self.jobs[&number].backend;
                if !self.hosts[backend as usize].up {
                    return self
                        .after(WAY, What::Back(number, AttemptOutcome::ConnectFailed, None));
                }
                let work = self.exponential(1.0) * self.fleet.work;
                self.weigh(backend, work);
                let host = &mut self.hosts[backend as usize];
                self.jobs.get_mut(&number).expect("sent").started = host.started;
                if host.waiting.len() >= QUEUE {
                    return self.after(WAY, What::Back(number, AttemptOutcome::Rejected, None));
                }
                host.waiting.push_back(number);
                self.begin(backend);
            }
            What::Done(number) => {
                let (backend, started) = (self.jobs[&number].backend, self.jobs[&number].started);
                let host = &mut self.hosts[backend as usize];
                if !host.up || host.started != started {
                    return;
                }
                host.running -= 1;
                let held = (host.running + host.waiting.len()) as f64;
                self.after(
                    WAY,
                    What::Back(number, AttemptOutcome::Succeeded, Some(held)),
                );
                self.begin(backend);
            }
            What::Back(number, how, held) => self.back(number, how, held),
            What::TimedOut(number) => self.back(number, AttemptOutcome::TimedOut, None),
            What::ProbeAt(proxy, process, backend) => {
                let host = &self.hosts[backend as usize];
                let how = if host.up {
                    AttemptOutcome::Succeeded
                } else {
                    AttemptOutcome::ConnectFailed
                };
                let held = (host.running + host.waiting.len()) as f64;
                self.after(WAY, What::Probed(proxy, process, backend, how, held));
            }
            What::Probed(proxy, number, backend, how, held) => {
                if self.processes[proxy].number == number {
                    let report = LoadReport {
                        in_flight: Some(held),
                        ..LoadReport::default()
                    };
                    let report = Some(report).filter(|_| how == AttemptOutcome::Succeeded);
                    self.call(proxy, |process, door| {
                        process.balancer.on_health_check(backend, how, report, door)
                    });
                }
            }
            What::Dies | What::Returns => {
                let dies = matches!(what, What::Dies);
                for backend in 0..(f64::from(self.fleet.backends) * self.fleet.back) as u32 {
                    let host = &mut self.hosts[backend as usize];
                    host.up = !dies;
                    host.started = Some(self.now);
                    host.running = 0;
                    for number in std::mem::take(&mut host.waiting) {
                        self.after(WAY, What::Back(number, AttemptOutcome::Reset, None));
                    }
                    for proxy in 0..self.fleet.proxies {
                        let delay = self.random.random_range(0.0..TOLD);
                        let readiness = if dies {
                            Readiness::Removed
                        } else {
                            Readiness::Ready
                        };
                        self.after(delay, What::Told(proxy, backend, readiness));
                    }
                }
            }
            What::Told(proxy, backend, readiness) => {
                let started = self.hosts[backend as usize].started;
                let line = Endpoint {
                    readiness,
                    started_at: started,
                    ..endpoint(backend)
                };
                self.call(proxy, |process, door| {
                    process.balancer.update_endpoints(
                        EndpointUpdateKind::Incremental,
                        &[line],
                        door,
                    )
                });
            }
            What::Restarts(proxy) => {
                let fresh = Balancer::new(&self.conf, self.random.random());
                let process = &mut self.processes[proxy];
                (process.balancer, process.number) = (fresh, process.number + 1);
                process.handles.clear();
                let number = process.number;
                if self.fleet.known {
                    let lines = self.entries();
                    self.call(proxy, |process, door| {
                        process.balancer.update_endpoints(
                            EndpointUpdateKind::StaleSnapshot,
                            &lines,
                            door,
                        )
                    });
                }
                self.after(0.02, What::Listed(proxy, number));
            }
            What::Listed(proxy, number) => {
                if self.processes[proxy].number == number {
                    let lines = self.entries();
                    self.call(proxy, |process, door| {
                        process.balancer.update_endpoints(
                            EndpointUpdateKind::Snapshot,
                            &lines,
                            door,
                        )
                    });
                }
            }
        }
    }

    fn run(mut self) -> Found {
        for proxy in 0..self.fleet.proxies {
            self.after(0.0, What::Listed(proxy, 0));
            let gap = self.exponential(1.0 / self.rates[proxy]);
            self.after(gap, What::Arrives(proxy));
            if self.random.random::<f64>() < self.fleet.restarted {
                let at = self.random.random_range(RETURN + 0.2..RETURN + 1.5);
                self.after(at, What::Restarts(proxy));
            }
        }
        self.after(RETURN - self.fleet.gone, What::Dies);
        self.after(RETURN, What::Returns);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = f64::from_bits(at);
            if self.now > RETURN + COLD_FOR + 0.3 {
                break;
            }
            let what = self
                .events
                .remove(&number)
                .expect("an event for each number");
            self.happen(what);
        }
        self.found.served = self.ok as f64 / self.came as f64;
        self.found
    }
}

/// The sweep that docs/acceptance.md tells of: `cargo test --release --test slow_start -- --ignored --nocapture`.
#[test]
#[ignore = "minutes: the figures of docs/acceptance.md"]
#[expect(clippy::too_many_lines)]
fn sweep() {
    let seeds: u64 = std::env::var("SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(3);
    let only: Option<usize> = std::env::var("PROXIES").ok().and_then(|n| n.parse().ok());
    println!(
        "proxies load skew probes restart mult*from win cores | excess/rootN over(2r+2) work used sent served"
    );
    for (proxies, backends, cores) in [
        (4, 8, 1),
        (4, 8, 4),
        (20, 20, 2),
        (30, 20, 8),
        (300, 60, 4),
        (850, 100, 4),
    ] {
        if only.is_some_and(|only| only != proxies) {
            continue;
        }
        for (load, skewed, probes, restarted, multiple, cold_from, window, known) in [
            (0.7, false, false, 0.0, 3.0, 0.2, 1.0, true),
            (0.7, true, false, 0.0, 3.0, 0.2, 1.0, true),
            (0.7, true, true, 0.0, 3.0, 0.2, 1.0, true),
            (0.7, false, true, 0.0, 3.0, 0.2, 1.0, true),
            (1.3, true, false, 0.0, 3.0, 0.2, 1.0, true),
            (1.3, false, false, 0.0, 3.0, 0.12, 3.0, true),
            (1.3, true, true, 0.0, 3.0, 0.12, 3.0, true),
            (0.7, true, false, 0.0, 3.0, 0.12, 0.5, true),
            (0.7, true, false, 0.5, 3.0, 0.2, 1.0, true),
            (0.7, true, false, 0.5, 3.0, 0.2, 1.0, false),
            (0.7, false, true, 0.5, 3.0, 0.2, 1.0, false),
        ] {
            let reports = if probes {
                LoadReportSource::HealthChecks
            } else {
                LoadReportSource::Responses
            };
            let base = Fleet {
                proxies,
                backends,
                cores,
                load,
                skewed,
                probes,
                reports,
                restarted,
                known,
                ..Fleet::default()
            };
            let fleet = Fleet {
                multiple,
                cold_from,
                window,
                ..base
            };
            let (mut worst, mut served) = (
                Found {
                    excess: f64::MIN,
                    over: f64::MIN,
                    work: f64::MIN,
                    ..Found::default()
                },
                0.0,
            );
            for seed in 0..seeds {
                let found = World::new(fleet, seed).run();
                worst.excess = worst.excess.max(found.excess);
                worst.over = worst.over.max(found.over);
                worst.work = worst.work.max(found.work);
                worst.used = worst.used.max(found.used);
                worst.sent += found.sent;
                served += found.served / seeds as f64;
            }
            println!(
                "{proxies:3} {load} {skewed:5} {probes:5} {restarted} {known:5} {multiple}*{cold_from} {window} {cores} | {:6.2} {:7.1} {:6.2} {:5.2} {:7} {served:.3}",
                worst.excess,
                worst.over,
                worst.work,
                worst.used,
                worst.sent / seeds as usize
            );
        }
    }
}

/// By RPCs counted at the backend, the terms of the deployments: N + 2 root N + 2 in any window, from all proxies.
#[test]
fn a_fleet_that_comes_back_cold_as_a_whole_is_not_pushed_over() {
    let small = Fleet {
        cores: 1,
        work: 0.1,
        cold_from: 0.12,
        back: 1.0,
        load: 1.5,
        gone: 1.0,
        window: 0.5,
        skewed: true,
        ..Fleet::default()
    };
    for (proxies, probes) in [
        (30, true),
        (300, false),
        (300, true),
        (850, false),
        (850, true),
    ] {
        let reports = if probes {
            LoadReportSource::HealthChecks
        } else {
            LoadReportSource::Responses
        };
        for seed in 0..2 {
            let found = World::new(
                Fleet {
                    proxies,
                    probes,
                    reports,
                    ..small
                },
                seed,
            )
            .run();
            assert!(
                found.over <= 0.0 && found.sent > 0,
                "{proxies} proxies, probes {probes}, seed {seed}: {found:?}"
            );
        }
    }
}

/// What is counted sums to N and not to N and chance, however traffic is spread and whoever starts anew; and it is used.
#[test]
fn the_parts_of_few_proxies_sum_to_the_budget() {
    for proxies in [1, 2, 3, 4, 7] {
        for (cores, skewed, restarted) in [
            (1, false, 0.0),
            (1, true, 0.5),
            (4, true, 0.0),
            (8, false, 0.5),
        ] {
            let fleet = Fleet {
                proxies,
                backends: 8,
                cores,
                skewed,
                restarted,
                load: 1.5,
                known: false,
                ..Fleet::default()
            };
            let found = World::new(fleet, 1).run();
            assert!(found.used <= 1.0, "{fleet:?}: {found:?}");
            assert!(
                found.sent > 60,
                "cold backends stand idle before {fleet:?}: {found:?}"
            );
        }
    }
}

/// A process that starts with no list from before knows no more of what was sent than one that has it.
#[test]
fn a_new_process_counts_what_one_before_it_may_have_sent() {
    for kind in [
        EndpointUpdateKind::StaleSnapshot,
        EndpointUpdateKind::Snapshot,
    ] {
        let conf = Settings {
            can_health_check: false,
            proxy_count: 2,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = Proxy::new(conf, 7, &[]);
        proxy.advance(1.0);
        let started = proxy.platform.now - 0.5;
        proxy.balancer = Balancer::new(&proxy.platform.settings, 8);
        proxy.update_endpoints(
            kind,
            &[Endpoint {
                started_at: Some(started),
                ..endpoint(0)
            }],
        );
        let (from, mut first) = (proxy.platform.now, None);
        while first.is_none() && proxy.platform.now < from + 4.0 {
            proxy.accept(0, 0.5);
            first = proxy
                .attempts_in_flight()
                .first()
                .map(|_| proxy.platform.now - from);
            proxy.advance(0.01);
        }
        assert!(
            first.is_some_and(|after| (1.0..2.0).contains(&after)),
            "{kind:?}: the first went there after {first:?}"
        );
    }
}

/// While most of a fleet goes, those who stay have not done its work: what each answered is counted as it was then.
#[test]
fn what_a_fleet_answered_is_not_what_its_rest_can_do() {
    let conf = Settings {
        can_health_check: false,
        ..settings(&[Idempotency::Idempotent])
    };
    let listed: Vec<_> = (0..30).map(endpoint).collect();
    let mut proxy = Proxy::new(conf, 7, &listed);
    let drive = |proxy: &mut Proxy, rounds| {
        for _ in 0..rounds {
            for _ in 0..20 {
                proxy.accept(0, 0.5);
            }
            proxy.advance(0.05);
            // Each backend does one in that time.
            let mut done = BTreeSet::new();
            for (rpc, n, backend) in proxy.attempts_in_flight() {
                if done.insert(backend) {
                    proxy.end_attempt(rpc, n, AttemptOutcome::Succeeded, Some(0.0));
                }
            }
        }
    };
    drive(&mut proxy, 120);
    let now = proxy.platform.now;
    proxy.update_endpoints(
        EndpointUpdateKind::Snapshot,
        &[
            endpoint(0),
            Endpoint {
                started_at: Some(now),
                ..endpoint(30)
            },
        ],
    );
    drive(&mut proxy, 20);
    // Each of the thirty answered 13 RPCs a second, two thirds of what a core does.
    let n: f64 = 3.0 * (0.3 + 0.7 / 8.0) / 0.05;
    let sent = proxy
        .platform
        .rpcs
        .values()
        .flat_map(|r| &r.attempts)
        .filter(|s| s.backend == 30 && s.started_at < now + 1.0)
        .count();
    assert!(
        sent > 2 && sent as f64 <= n + 2.0 * n.sqrt() + 2.0,
        "{sent} in the first window, of {n:.0}"
    );
}

#[test]
#[ignore = "a minute: the figures of docs/acceptance.md"]
#[expect(clippy::too_many_lines)]
fn extremes() {
    let base = Fleet {
        skewed: true,
        ..Fleet::default()
    };
    for (name, fleet) in [
        (
            "2 of 32 cores",
            Fleet {
                proxies: 2,
                backends: 4,
                cores: 32,
                work: 0.01,
                skewed: false,
                ..base
            },
        ),
        (
            "4 of 32 cores",
            Fleet {
                proxies: 4,
                backends: 4,
                cores: 32,
                work: 0.01,
                ..base
            },
        ),
        (
            "1 of 4",
            Fleet {
                proxies: 1,
                backends: 4,
                cores: 4,
                skewed: false,
                ..base
            },
        ),
        (
            "0.8 back after 0.3 s, 4",
            Fleet {
                proxies: 4,
                backends: 10,
                back: 0.8,
                gone: 0.3,
                skewed: false,
                ..base
            },
        ),
        (
            "0.8 back after 0.3 s, 4 32c",
            Fleet {
                proxies: 4,
                backends: 10,
                cores: 32,
                work: 0.02,
                back: 0.8,
                gone: 0.3,
                skewed: false,
                ..base
            },
        ),
        (
            "0.9 back after 0.3 s, 20",
            Fleet {
                proxies: 20,
                backends: 10,
                cores: 16,
                work: 0.02,
                back: 0.9,
                gone: 0.3,
                ..base
            },
        ),
        (
            "0.9 back after 1 s, 20",
            Fleet {
                proxies: 20,
                backends: 20,
                cores: 16,
                work: 0.02,
                back: 0.95,
                gone: 1.0,
                ..base
            },
        ),
        (
            "1.0 back after 0.3 s, 20",
            Fleet {
                proxies: 20,
                backends: 10,
                cores: 16,
                work: 0.02,
                back: 1.0,
                gone: 0.3,
                ..base
            },
        ),
        (
            "0.9 back after 1 s, 300",
            Fleet {
                proxies: 300,
                backends: 20,
                back: 0.9,
                gone: 1.0,
                ..base
            },
        ),
        (
            "1.0 back after 1 s, 300",
            Fleet {
                proxies: 300,
                backends: 20,
                back: 1.0,
                gone: 1.0,
                ..base
            },
        ),
        (
            "0.05 back, overload 300",
            Fleet {
                proxies: 300,
                backends: 20,
                back: 0.05,
                load: 2.0,
                gone: 1.0,
                ..base
            },
        ),
        (
            "0.05 back, overload 300 long",
            Fleet {
                proxies: 300,
                backends: 20,
                cores: 1,
                work: 0.1,
                cold_from: 0.12,
                back: 0.05,
                load: 2.0,
                gone: 1.0,
                ..base
            },
        ),
        (
            "0.05 back, overload 30",
            Fleet {
                proxies: 30,
                backends: 20,
                cores: 1,
                work: 0.1,
                cold_from: 0.12,
                back: 0.05,
                load: 2.0,
                gone: 1.0,
                ..base
            },
        ),
        (
            "0.5 back, small N 300",
            Fleet {
                proxies: 300,
                backends: 20,
                cores: 1,
                work: 0.1,
                cold_from: 0.12,
                back: 0.5,
                load: 1.5,
                gone: 1.0,
                window: 0.5,
                ..base
            },
        ),
        (
            "0.5 back, small N 30",
            Fleet {
                proxies: 30,
                backends: 20,
                cores: 1,
                work: 0.1,
                cold_from: 0.12,
                back: 0.5,
                load: 1.5,
                gone: 1.0,
                window: 0.5,
                ..base
            },
        ),
        (
            "1.0 back, small N 30",
            Fleet {
                proxies: 30,
                backends: 20,
                cores: 1,
                work: 0.1,
                cold_from: 0.12,
                back: 1.0,
                load: 1.5,
                gone: 1.0,
                window: 0.5,
                ..base
            },
        ),
        (
            "1.0 back, small N 300",
            Fleet {
                proxies: 300,
                backends: 20,
                cores: 1,
                work: 0.1,
                cold_from: 0.12,
                back: 1.0,
                load: 1.5,
                gone: 1.0,
                window: 0.5,
                ..base
            },
        ),
        (
            "1.0 back, small N 850",
            Fleet {
                proxies: 850,
                backends: 20,
                cores: 1,
                work: 0.1,
                cold_from: 0.12,
                back: 1.0,
                load: 1.5,
                gone: 1.0,
                window: 0.5,
                ..base
            },
        ),
    ] {
        for probes in [false, true] {
            let reports = if probes {
                LoadReportSource::HealthChecks
            } else {
                LoadReportSource::Responses
            };
            let mut worst = Found {
                excess: f64::MIN,
                over: f64::MIN,
                work: f64::MIN,
                ..Found::default()
            };
            for seed in 0..3 {
                let found = World::new(
                    Fleet {
                        probes,
                        reports,
                        ..fleet
                    },
                    seed,
                )
                .run();
                worst.excess = worst.excess.max(found.excess);
                worst.over = worst.over.max(found.over);
                worst.work = worst.work.max(found.work);
                worst.used = worst.used.max(found.used);
                worst.sent += found.sent / 3;
                worst.served += found.served / 3.0;
            }
            println!(
                "{name:30} {probes:5} | {:6.2} {:7.1} {:6.2} {:5.2} {:7} {:.3}",
                worst.excess, worst.over, worst.work, worst.used, worst.sent, worst.served
            );
        }
    }
}
