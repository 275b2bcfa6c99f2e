//! The world of a rehearsal in simulated time: every event handled in its order, and what happened noted as stand-ins do.
use crate::list::{Line, List};
use crate::proxy::{Care, Proxy, Wish};
use crate::queue::Queue;
use birchhub::balancer::Balancer;
use birchhub::interface::{
    AttemptOutcome as PickEnd, Endpoint as Listed, EndpointUpdateKind, IncomingRpc, LoadReport,
    Readiness, Settings,
};
use birchhub_audit::event::{End, Left, Taken};
use birchhub_audit::{Answer, Entry, Event, Head, Kind, State};
use birchhub_model::work::generator;
use birchhub_model::{Happening, Mark, Node, Offer, Repeats, Spec, Start, Why};
use birchhub_rehearsal::plan::{Act, Plan, Trick};
use birchhub_rehearsal::scenario::{Reports, Scenario};
use birchhub_rehearsal::{clients, proxies::deal, settings};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const WAY: f64 = 0.0002; // s from one machine to the next: what loopback and two event loops take
const MARGIN: f64 = 0.005; // s of a client's wait that the proxy keeps for itself
const LINGER: f64 = 0.25; // s that a client listens on after its patience
const NOTICED: f64 = 0.3; // s until the layer before the proxies knows of a planned end
const GO_ON: f64 = 0.5; // s after SIGTERM for which connections still come
const STOPPING: f64 = 0.7; // s beyond the longest deadline that a proxy has after SIGTERM
const STARTS: f64 = 0.02; // s from a proxy's start until it is ready
const LOOK: f64 = 0.01; // s between looks at what is to end
const GAP: f64 = 0.02; // s between the list calls of a proxy
const FAILS: f64 = 0.05; // s until a list call to a service that is down has failed
const TICK: f64 = 1e-6; // s, the least time until a wake-up: no timer is finer
const STOOD: f64 = 0.02; // s of a pause from which on a proxy notices that it stood still
const TAIL: f64 = 1.0; // s after the last deadline

/// What came of a simulation.
pub struct Outcome {
    pub head: Head,
    pub entries: Vec<Entry>,
    /// Events handled.
    pub events: u64,
}

#[derive(Clone, Debug)]
enum What {
    Act(usize),
    Due(u32),
    Try {
        rpc: u32,
        number: u8,
    },
    AtProxy {
        attempt: u64,
        proxy: u16,
    },
    ToProxy {
        proxy: u16,
        process: u32,
        what: Call,
    },
    AtNode {
        job: u64,
        begun: f64,
    },
    NodeDue {
        node: u32,
        version: u64,
    },
    /// The proxy has closed the connection of this pick.
    Closed {
        job: u64,
    },
    ProbeAt {
        proxy: u16,
        process: u32,
        node: u32,
    },
    Answer {
        attempt: u64,
        answer: Answer,
    },
    GiveUp {
        attempt: u64,
    },
    HangUp {
        attempt: u64,
    },
    Publish {
        node: u32,
        line: Line,
    },
    ListAsked {
        proxy: u16,
        process: u32,
    },
    /// The list service, which takes only so many calls at a time, has worked on one.
    ListDone {
        proxy: u16,
        process: u32,
    },
    Retire {
        node: u32,
        by: f64,
        successor: u32,
        after: f64,
    },
    Begin {
        node: u32,
    },
    Notice {
        proxy: u16,
        process: u32,
    },
    MayEnd {
        proxy: u16,
        process: u32,
    },
    StartProxy {
        proxy: u16,
        since: f64,
    },
}

/// What reaches a proxy's process.
#[derive(Clone, Debug)]
enum Call {
    Wake,
    Deadline(u64),
    HungUp(u64),
    Back {
        job: u64,
        how: PickEnd,
        report: Option<LoadReport>,
    },
    TimeOut {
        job: u64,
    },
    Probed {
        node: u32,
        how: PickEnd,
        report: Option<LoadReport>,
    },
    News(Vec<(u32, Line)>),
    ListFailed,
}

/// One node's machine, and the life on it.
struct Host {
    spec: Spec,
    zone: u32,
    rack: u32,
    node: Option<(u32, Node)>,
    born: Option<f64>,
    machine: f64,
    stalls: BTreeSet<u64>,
    /// What came while it stood still.
    parked: Vec<What>,
    faults: Vec<(u64, Trick)>,
    held: BTreeSet<u64>,
    version: u64,
    retiring: bool,
}

struct Job {
    proxy: u16,
    process: u32,
    attempt: u64,
    pick: usize,
    node: u32,
    /// Set when it has come to the node and is held there.
    life: Option<u32>,
    trick: Option<Trick>,
}

struct Try {
    rpc: u32,
    number: u8,
    proxy: u16,
    answered: bool,
    patience: f64,
}

struct World<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    now: f64,
    queue: Queue<What>,
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    repeats: Repeats,
    slow: Vec<f64>,
    proxies: Vec<Option<Proxy>>,
    processes: u32,
    taken_in: Vec<bool>,
    parked: Vec<Vec<What>>,
    list: List,
    late: f64,
    jobs: HashMap<u64, Job>,
    tries: HashMap<u64, Try>,
    next_job: u64,
    next_life: u32,
    set: Vec<Settings>,
    longest: f64,
}

/// Plays a plan in simulated time. An error is one of the scenario's settings.
pub fn simulate(scenario: &Scenario, plan: &Plan) -> Result<Outcome, String> {
    let count = scenario.proxies.count;
    let read = |proxy: u16| {
        let mut conf = birchhub_settings::parse_value(&settings::settings(scenario, proxy))
            .map_err(|error| error.to_string())?;
        conf.settings.polls_endpoint_list = true;
        Ok::<_, String>(conf.settings)
    };
    let longest = scenario
        .method
        .iter()
        .map(|m| m.deadline.0)
        .fold(0.0, f64::max);
    let mut world = World {
        scenario,
        plan,
        now: 0.0,
        queue: Queue::default(),
        entries: Vec::new(),
        hosts: plan.nodes.iter().map(|n| host(scenario, n)).collect(),
        repeats: Repeats::default(),
        slow: vec![1.0; scenario.method.len()],
        proxies: (0..count).map(|_| None).collect(),
        processes: 0,
        taken_in: vec![false; count],
        parked: vec![Vec::new(); count],
        list: List::new(count, scenario.list.calls),
        late: 0.0,
        jobs: HashMap::new(),
        tries: HashMap::new(),
        next_job: 1,
        next_life: 1,
        set: (0..count as u16).map(read).collect::<Result<_, _>>()?,
        longest,
    };
    world.set_up();
    let events = world.run(plan.length + longest + TAIL);
    world.entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(Outcome {
        head: settings::head(scenario, plan),
        entries: world.entries,
        events,
    })
}

fn host(scenario: &Scenario, planned: &birchhub_rehearsal::plan::PlannedNode) -> Host {
    Host {
        spec: settings::spec(scenario, planned),
        zone: planned.zone,
        rack: planned.rack,
        node: None,
        born: None,
        machine: 1.0,
        stalls: BTreeSet::new(),
        parked: Vec::new(),
        faults: Vec::new(),
        held: BTreeSet::new(),
        version: 0,
        retiring: false,
    }
}

impl World<'_> {
    fn tell(&mut self, event: Event) {
        self.entries.push(Entry {
            at: self.now,
            event,
        });
    }

    fn after(&mut self, delay: f64, what: What) {
        self.queue.put(self.now + delay, what);
    }

    fn set_up(&mut self) {
        for node in 0..self.plan.first_nodes() as u32 {
            let life = self.start(node, Start::Warm);
            self.publish(
                node,
                Line {
                    life,
                    state: State::Ready,
                    started: None,
                },
            );
        }
        for proxy in 0..self.proxies.len() as u16 {
            self.start_proxy(proxy);
        }
        for (n, (at, _)) in self.plan.acts.iter().enumerate() {
            self.queue.put(*at, What::Act(n));
        }
        for (rpc, arrival) in self.plan.arrivals.iter().enumerate() {
            self.queue.put(arrival.due, What::Due(rpc as u32));
        }
    }

    fn run(&mut self, end: f64) -> u64 {
        let mut events = 0;
        while let Some((at, what)) = self.queue.take().filter(|(at, _)| *at <= end) {
            self.now = at;
            events += 1;
            self.happen(what);
        }
        self.now = end;
        for proxy in 0..self.proxies.len() as u16 {
            if self.proxies[proxy as usize].take().is_some() {
                self.tell(Event::ProxyEnded {
                    proxy,
                    how: End::Over,
                });
            }
        }
        events
    }

    #[expect(clippy::too_many_lines)]
    fn happen(&mut self, what: What) {
        match what {
            What::Act(n) => self.act(self.plan.acts[n].1.clone()),
            What::Due(rpc) => {
                let arrival = &self.plan.arrivals[rpc as usize];
                let (method, tenant, within) = (arrival.method, arrival.tenant, arrival.within);
                self.tell(Event::Asked {
                    rpc,
                    method,
                    tenant,
                    within,
                });
                self.send(rpc, 0);
            }
            What::Try { rpc, number } => self.send(rpc, number),
            What::AtProxy { attempt, proxy } => self.at_proxy(attempt, proxy),
            What::ToProxy {
                proxy,
                process,
                what,
            } => self.reach(proxy, process, what),
            What::AtNode { job, begun } => self.at_node(job, begun),
            What::NodeDue { node, version } => self.node_due(node, version),
            What::Closed { job } => self.closed(job),
            What::ProbeAt {
                proxy,
                process,
                node,
            } => self.probe_at(proxy, process, node),
            What::Answer { attempt, answer } => self.answer(attempt, answer),
            What::GiveUp { attempt } => self.answer(attempt, Answer::Silence),
            What::HangUp { attempt } => self.hang_up(attempt),
            What::Publish { node, line } => self.publish(node, line),
            What::ListAsked { proxy, process } => self.list_asked(proxy, process),
            What::ListDone { proxy, process } => self.list_done(proxy, process),
            What::Retire {
                node,
                by,
                successor,
                after,
            } => self.retire(node, by, successor, after),
            What::Begin { node } => self.begin(node),
            What::Notice { proxy, process } => {
                let same = self.proxies[proxy as usize].as_ref();
                if same.is_none_or(|p| p.process == process && p.stopping) {
                    self.taken_in[proxy as usize] = false;
                }
            }
            What::MayEnd { proxy, process } => self.may_end(proxy, process),
            What::StartProxy { proxy, since } => {
                if self.proxies[proxy as usize].is_none() {
                    self.start_proxy(proxy);
                } else if self.now > since + self.longest + STOPPING {
                    self.kill_proxy(proxy, End::Forced);
                    self.after(STARTS, What::StartProxy { proxy, since });
                } else {
                    self.after(LOOK, What::StartProxy { proxy, since });
                }
            }
        }
    }

    // Clients.

    fn send(&mut self, rpc: u32, number: u8) {
        let (scenario, arrival) = (self.scenario, &self.plan.arrivals[rpc as usize]);
        let method = &scenario.method[arrival.method as usize];
        let left = arrival.due + method.deadline.0 - self.now;
        let Some(patience) = clients::patience(&scenario.clients, method, left) else {
            return;
        };
        let chance = arrival.deal.rotate_left(u32::from(number) * 8);
        let open = |proxy: &usize| self.taken_in[*proxy];
        let proxy = deal(
            self.proxies.len(),
            scenario.fleet.zones.len(),
            arrival.zone,
            chance,
            open,
        ) as u16;
        let attempt = u64::from(rpc) << 8 | u64::from(number);
        self.tries.insert(
            attempt,
            Try {
                rpc,
                number,
                proxy,
                answered: false,
                patience,
            },
        );
        self.tell(Event::Sent {
            attempt,
            rpc,
            proxy,
            patience: patience as f32,
        });
        self.after(WAY, What::AtProxy { attempt, proxy });
        self.after(patience + LINGER, What::GiveUp { attempt });
        if let Some(part) = arrival.leaves.filter(|_| number == 0) {
            self.after(part * patience, What::HangUp { attempt });
        }
    }

    fn answer(&mut self, attempt: u64, answer: Answer) {
        let Some(entry) = self.tries.remove(&attempt) else {
            return;
        };
        if entry.answered {
            return;
        }
        self.tell(Event::Answered { attempt, answer });
        let (rpc, number) = (entry.rpc, entry.number);
        let (scenario, arrival) = (self.scenario, &self.plan.arrivals[rpc as usize]);
        let (set, method) = (&scenario.clients, &scenario.method[arrival.method as usize]);
        if number >= set.retries || !clients::tries_again(answer, method, self.now - arrival.due) {
            return;
        }
        let asked = match answer {
            Answer::PushedBack(Some(after)) if set.obey_retry_after => f64::from(after),
            _ => 0.0,
        };
        let wait = set.wait.0
            * if set.backoff {
                f64::from(1 << number.min(16))
            } else {
                1.0
            };
        self.after(
            wait.max(asked),
            What::Try {
                rpc,
                number: number + 1,
            },
        );
    }

    fn hang_up(&mut self, attempt: u64) {
        let Some(entry) = self.tries.get(&attempt) else {
            return;
        };
        let proxy = entry.proxy;
        self.answer(attempt, Answer::HungUp);
        self.to(proxy, WAY, Call::HungUp(attempt));
    }

    // Proxies.

    /// Something is on its way to the process that runs now.
    fn to(&mut self, proxy: u16, delay: f64, what: Call) {
        if let Some(process) = self.proxies[proxy as usize].as_ref().map(|p| p.process) {
            self.after(
                delay,
                What::ToProxy {
                    proxy,
                    process,
                    what,
                },
            );
        }
    }

    #[expect(clippy::too_many_lines)]
    fn at_proxy(&mut self, attempt: u64, proxy: u16) {
        let place = proxy as usize;
        if self.proxies[place]
            .as_ref()
            .is_some_and(|p| p.paused.is_some())
        {
            return self.parked[place].push(What::AtProxy { attempt, proxy });
        }
        let Some(entry) = self.tries.get(&attempt) else {
            return;
        };
        let (rpc, number, patience) = (entry.rpc, entry.number, entry.patience);
        let Some(running) = self.proxies[place].as_ref() else {
            return self.after(
                WAY,
                What::Answer {
                    attempt,
                    answer: Answer::Unreachable,
                },
            );
        };
        let (arrival, behind) = (&self.plan.arrivals[rpc as usize], running.behind);
        let until = self.now + patience - WAY;
        let asked = IncomingRpc {
            id: attempt,
            method: arrival.method as usize,
            tenant: (!self.scenario.tenant.is_empty()).then_some(arrival.tenant as usize),
            deadline: until - MARGIN - behind,
            expected_work: None,
            streams_request: false,
            client_retry: number > 0 && self.scenario.clients.marks_retries,
            key: None,
        };
        let care = Care {
            rpc: None,
            deadline: until - MARGIN,
            answered: false,
            picks: Vec::new(),
        };
        self.to(proxy, until - self.now, Call::Deadline(attempt));
        self.call(proxy, |balancer, cares, door| {
            cares.insert(attempt, care);
            let rpc = balancer.accept(&asked, door);
            if let Some(care) = cares.get_mut(&attempt) {
                care.rpc = Some(rpc);
            }
        });
    }

    /// Calls the module of a proxy and does what it asks for.
    fn call(
        &mut self,
        proxy: u16,
        act: impl FnOnce(&Balancer, &mut BTreeMap<u64, Care>, &mut crate::proxy::Door),
    ) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let process = running.process;
        let wishes = running.call(now, act);
        for wish in wishes {
            self.wish(proxy, process, wish);
        }
    }

    #[expect(clippy::too_many_lines)]
    fn wish(&mut self, proxy: u16, process: u32, wish: Wish) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        match wish {
            Wish::Pick {
                attempt,
                backend,
                time_out,
            } => {
                let Some(care) = running.cares.get_mut(&attempt) else {
                    return;
                };
                let (job, pick, until) = (
                    self.next_job,
                    care.picks.len(),
                    (now + time_out).min(care.deadline),
                );
                self.next_job += 1;
                care.picks.push(Some(job));
                let entry = Job {
                    proxy,
                    process,
                    attempt,
                    pick,
                    node: backend,
                    life: None,
                    trick: None,
                };
                self.jobs.insert(job, entry);
                self.after(
                    WAY,
                    What::AtNode {
                        job,
                        begun: now + WAY,
                    },
                );
                self.to(proxy, (until - now).max(0.0), Call::TimeOut { job });
            }
            Wish::Cancel { attempt, pick } => {
                let out = running
                    .cares
                    .get(&attempt)
                    .and_then(|care| care.picks.get(pick).copied().flatten());
                if let Some(out) = out {
                    self.after(WAY, What::Closed { job: out });
                    self.to(
                        proxy,
                        0.0,
                        Call::Back {
                            job: out,
                            how: PickEnd::Cancelled,
                            report: None,
                        },
                    );
                }
            }
            Wish::PushBack { attempt, come_back } => {
                let after = (come_back > 0.0).then_some(come_back as f32);
                self.final_answer(proxy, attempt, Answer::PushedBack(after));
            }
            Wish::Abort { attempt } => self.final_answer(proxy, attempt, Answer::Aborted(502)),
            Wish::Probe { backend } => self.after(
                WAY,
                What::ProbeAt {
                    proxy,
                    process,
                    node: backend,
                },
            ),
            Wish::Watch => self.after(WAY, What::ListAsked { proxy, process }),
            Wish::Wake { delay } => {
                // A time that its clock can't tell from now would wake it for ever.
                let at = now + delay.max(TICK);
                if running.wake.is_none_or(|earlier| at < earlier) {
                    running.wake = Some(at);
                    self.queue.put(
                        at,
                        What::ToProxy {
                            proxy,
                            process,
                            what: Call::Wake,
                        },
                    );
                }
            }
        }
    }

    fn final_answer(&mut self, proxy: u16, attempt: u64, answer: Answer) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        if let Some(care) = running.cares.get_mut(&attempt)
            && !std::mem::replace(&mut care.answered, true)
        {
            self.after(WAY, What::Answer { attempt, answer });
        }
    }

    #[expect(clippy::too_many_lines)]
    fn reach(&mut self, proxy: u16, process: u32, what: Call) {
        let place = proxy as usize;
        let Some(running) = self.proxies[place]
            .as_mut()
            .filter(|p| p.process == process)
        else {
            return;
        };
        if running.paused.is_some() {
            return self.parked[place].push(What::ToProxy {
                proxy,
                process,
                what,
            });
        }
        match what {
            Call::Wake => {
                // Only the latest one set counts.
                if running.wake.is_some_and(|at| at <= self.now) {
                    running.wake = None;
                    self.call(proxy, |balancer, _, door| balancer.on_timer(door));
                }
            }
            Call::Deadline(attempt) => {
                if running
                    .cares
                    .get(&attempt)
                    .is_some_and(|care| !care.answered)
                {
                    self.final_answer(proxy, attempt, Answer::Aborted(502));
                    self.on_rpc(proxy, attempt, |rpc, door| rpc.on_client_disconnected(door));
                }
            }
            Call::HungUp(attempt) => {
                if let Some(care) = running.cares.get_mut(&attempt) {
                    care.answered = true;
                }
                self.on_rpc(proxy, attempt, |rpc, door| rpc.on_client_disconnected(door));
            }
            Call::Back { job, how, report } => self.pick_ended(job, how, report),
            Call::TimeOut { job } => {
                if self.is_out(job) {
                    self.after(WAY, What::Closed { job });
                    self.pick_ended(job, PickEnd::TimedOut, None);
                }
            }
            Call::Probed { node, how, report } => {
                self.call(proxy, |balancer, _, door| {
                    balancer.on_health_check(node, how, report, door)
                });
            }
            Call::News(lines) => {
                let entries = self.listed(proxy, &lines);
                self.call(proxy, |balancer, _, door| {
                    balancer.update_endpoints(EndpointUpdateKind::Incremental, &entries, door)
                });
                self.ready(proxy);
            }
            Call::ListFailed => self.call(proxy, |balancer, _, door| balancer.list_failed(door)),
        }
    }

    fn on_rpc(
        &mut self,
        proxy: u16,
        attempt: u64,
        act: impl FnOnce(&birchhub::balancer::RpcHandle, &mut crate::proxy::Door),
    ) {
        self.call(proxy, |_, cares, door| {
            if let Some(rpc) = cares.get(&attempt).and_then(|care| care.rpc.as_ref()) {
                act(rpc, door);
            }
        });
        self.let_go(proxy, attempt);
    }

    /// An RPC that is over is held no longer; a proxy that was to end may do so with its last one.
    fn let_go(&mut self, proxy: u16, attempt: u64) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let over =
            |care: &Care| care.answered && care.rpc.as_ref().is_none_or(|rpc| rpc.is_finished());
        if running.cares.get(&attempt).is_some_and(over) {
            running.cares.remove(&attempt);
        }
    }

    fn is_out(&self, job: u64) -> bool {
        let Some(entry) = self.jobs.get(&job) else {
            return false;
        };
        let running = self.proxies[entry.proxy as usize]
            .as_ref()
            .filter(|p| p.process == entry.process);
        let care = running.and_then(|p| p.cares.get(&entry.attempt));
        care.is_some_and(|care| care.picks.get(entry.pick).is_some_and(Option::is_some))
    }

    fn pick_ended(&mut self, job: u64, how: PickEnd, report: Option<LoadReport>) {
        if !self.is_out(job) {
            return;
        }
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let (proxy, attempt, pick) = (entry.proxy, entry.attempt, entry.pick);
        if entry.life.is_none() {
            self.jobs.remove(&job);
        }
        if how == PickEnd::Succeeded {
            self.final_answer(proxy, attempt, Answer::Ok);
        }
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let Some(care) = running.cares.get_mut(&attempt) else {
            return;
        };
        care.picks[pick] = None;
        let over = care.answered;
        self.on_rpc(proxy, attempt, |rpc, door| {
            rpc.on_attempt_ended(pick, how, over, report, door)
        });
    }

    fn listed(&self, proxy: u16, lines: &[(u32, Line)]) -> Vec<Listed> {
        let behind = self.proxies[proxy as usize]
            .as_ref()
            .map_or(0.0, |p| p.behind);
        let entry = |(node, line): &(u32, Line)| {
            let host = &self.hosts[*node as usize];
            let readiness = match line.state {
                State::Ready => Readiness::Ready,
                State::Draining => Readiness::Draining,
                State::Gone => Readiness::Removed,
            };
            let cell = u64::from(host.zone) << 16 | u64::from(host.rack);
            let started = line.started.map(|at| at - behind);
            Listed {
                backend: *node,
                relative_size: 1.0,
                started_at: started,
                cell,
                zone: host.zone as usize,
                readiness,
            }
        };
        lines.iter().map(entry).collect()
    }

    fn start_proxy(&mut self, proxy: u16) {
        self.processes += 1;
        let start = (self.now * 1e3) as u64;
        let seed: u64 = generator(self.plan.seed, u64::from(proxy) << 48 | start).random();
        let balancer = Balancer::new(&self.set[proxy as usize], seed);
        self.proxies[proxy as usize] = Some(Proxy::new(balancer, self.processes));
        self.tell(Event::ProxyStarted { proxy });
        let known = if self.scenario.list.known {
            self.list.known(proxy)
        } else {
            Vec::new()
        };
        if !self.scenario.list.known {
            self.list.forget(proxy);
        }
        for (node, line) in &known {
            self.tell(Event::Told {
                proxy,
                node: *node,
                life: line.life,
                state: line.state,
            });
        }
        let entries = self.listed(proxy, &known);
        self.call(proxy, |balancer, _, door| {
            balancer.update_endpoints(EndpointUpdateKind::StaleSnapshot, &entries, door)
        });
        if self.scenario.list.known {
            self.ready(proxy);
        }
    }

    /// It has a list, and is taken in by the layer before it.
    fn ready(&mut self, proxy: u16) {
        if let Some(running) = self.proxies[proxy as usize]
            .as_mut()
            .filter(|running| !running.ready)
        {
            (running.ready, self.taken_in[proxy as usize]) = (true, true);
            self.tell(Event::ProxyReady { proxy });
        }
    }

    fn kill_proxy(&mut self, proxy: u16, how: End) {
        let Some(running) = self.proxies[proxy as usize].take() else {
            return;
        };
        self.tell(Event::ProxyEnded { proxy, how });
        for (attempt, care) in &running.cares {
            if !care.answered {
                self.after(
                    WAY,
                    What::Answer {
                        attempt: *attempt,
                        answer: Answer::Lost,
                    },
                );
            }
            for job in care.picks.iter().flatten() {
                self.after(WAY, What::Closed { job: *job });
            }
        }
        // What had come and was not read is lost with it.
        for what in std::mem::take(&mut self.parked[proxy as usize]) {
            if let What::AtProxy { attempt, .. } = what {
                self.after(
                    WAY,
                    What::Answer {
                        attempt,
                        answer: Answer::Lost,
                    },
                );
            }
        }
        let notices = self.scenario.proxies.front_notices.0;
        self.after(
            notices,
            What::Notice {
                proxy,
                process: running.process,
            },
        );
    }

    fn may_end(&mut self, proxy: u16, process: u32) {
        let Some(running) = self.proxies[proxy as usize]
            .as_ref()
            .filter(|p| p.process == process)
        else {
            return;
        };
        if running.cares.is_empty() {
            self.kill_proxy(proxy, End::Stopped);
        } else {
            self.after(LOOK, What::MayEnd { proxy, process });
        }
    }

    // The list.

    fn publish(&mut self, node: u32, line: Line) {
        self.tell(Event::Changed {
            node,
            life: line.life,
            state: line.state,
        });
        for proxy in self.list.change(node, line) {
            self.tell_news(proxy);
        }
    }

    fn tell_news(&mut self, proxy: u16) {
        let news = self.list.news(proxy);
        for (node, line) in &news {
            self.tell(Event::Told {
                proxy,
                node: *node,
                life: line.life,
                state: line.state,
            });
        }
        self.to(proxy, WAY, Call::News(news));
    }

    fn list_asked(&mut self, proxy: u16, process: u32) {
        if self.proxies[proxy as usize]
            .as_ref()
            .is_none_or(|p| p.process != process)
        {
            return;
        }
        if self.list.is_limited() {
            match self.list.begin(proxy) {
                Some(lines) => self.after(
                    self.scenario.list.takes(lines),
                    What::ListDone { proxy, process },
                ),
                None => self.to(proxy, WAY, Call::ListFailed),
            }
        } else if !self.list.watch(proxy) {
            self.to(proxy, FAILS, Call::ListFailed);
        } else if self.list.tells(proxy) {
            self.tell_news(proxy);
        }
    }

    /// What there is is told, and the next call begins; where there is nothing new the call waits, and costs nothing.
    fn list_done(&mut self, proxy: u16, process: u32) {
        self.list.done();
        if self.proxies[proxy as usize]
            .as_ref()
            .is_none_or(|p| p.process != process)
        {
            return;
        }
        if !self.list.watch(proxy) {
            self.to(proxy, WAY, Call::ListFailed);
        } else if self.list.tells(proxy) {
            let again = self.list.has_news(proxy);
            self.tell_news(proxy);
            if again {
                self.after(GAP, What::ListAsked { proxy, process });
            }
        }
    }

    /// The list service knows it after so long.
    fn known(&mut self, node: u32, line: Line, after: f64) {
        self.after(after + self.late.max(0.0), What::Publish { node, line });
    }

    // Nodes.

    fn start(&mut self, place: u32, how: Start) -> u32 {
        let (now, life) = (self.now, self.next_life);
        self.next_life += 1;
        let host = &mut self.hosts[place as usize];
        let mut node = Node::new(host.spec.clone(), now, how);
        node.scale(now, host.machine, &mut self.repeats, &mut Vec::new());
        let able = (host.spec.cores as f64 * host.spec.speed) as f32;
        host.node = Some((life, node));
        host.born = (how == Start::Cold).then_some(now);
        host.stalls.clear();
        self.tell(Event::Born {
            life,
            node: place,
            cold: how == Start::Cold,
            able,
        });
        life
    }

    fn begin(&mut self, node: u32) {
        if self.hosts[node as usize].node.is_none() {
            let life = self.start(node, Start::Cold);
            let started = Some(self.now);
            self.known(
                node,
                Line {
                    life,
                    state: State::Ready,
                    started,
                },
                self.scenario.list.lag.0,
            );
        }
    }

    /// Ends a life: what it held is lost to its proxies.
    fn end(&mut self, place: u32) -> Option<u32> {
        let host = &mut self.hosts[place as usize];
        let (life, _) = host.node.take()?;
        let held = std::mem::take(&mut host.held);
        let parked = std::mem::take(&mut host.parked);
        host.stalls.clear();
        host.version += 1;
        self.tell(Event::Died { life });
        for job in held {
            self.tell(Event::Left {
                job,
                how: Left::Broken,
            });
            self.back(job, PickEnd::Reset, 0.0);
        }
        for what in parked {
            if let What::AtNode { job, .. } = what {
                self.back(job, PickEnd::Reset, 0.0);
            }
        }
        Some(life)
    }

    /// The end of a pick on its way to its proxy, unless nothing passes.
    fn back(&mut self, job: u64, how: PickEnd, more: f64) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.life = None;
        let (proxy, process, node) = (entry.proxy, entry.process, entry.node);
        if self.cut_off(node, proxy) {
            return;
        }
        let seen = self.scenario.fleet.reports == Reports::Answers && how != PickEnd::Reset;
        let report = if seen && how != PickEnd::ConnectFailed {
            self.report(node)
        } else {
            None
        };
        self.after(
            WAY + more,
            What::ToProxy {
                proxy,
                process,
                what: Call::Back { job, how, report },
            },
        );
    }

    fn report(&mut self, node: u32) -> Option<LoadReport> {
        let now = self.now;
        let (_, node) = self.hosts[node as usize].node.as_mut()?;
        let load = node.report(now);
        Some(LoadReport {
            in_flight: Some(load.in_flight as f64),
            queued: Some(load.queued as f64),
            utilisation: Some(load.utilisation),
        })
    }

    fn cut_off(&self, node: u32, proxy: u16) -> bool {
        let cuts = |(_, trick): &(u64, Trick)| match trick {
            Trick::Partition(from) => from.is_none_or(|from| from == proxy),
            _ => false,
        };
        self.hosts[node as usize].faults.iter().any(cuts)
    }

    /// The fault whose share this pick hits, by the same chance as on sockets.
    fn trick(&self, node: u32, attempt: u64) -> Option<Trick> {
        let hit = |(number, trick): &&(u64, Trick)| {
            let share = match trick {
                Trick::Reset(share) | Trick::Half(share) | Trick::Garbage(share) => *share,
                Trick::Mute(share) | Trick::Error(share) | Trick::Trickle(share, _) => *share,
                Trick::Partition(_) => 0.0,
            };
            share > 0.0 && generator(self.plan.seed ^ number, attempt).random::<f64>() < share
        };
        self.hosts[node as usize]
            .faults
            .iter()
            .find(hit)
            .map(|(_, trick)| trick.clone())
    }

    #[expect(clippy::too_many_lines)]
    fn at_node(&mut self, job: u64, begun: f64) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let (proxy, attempt, place) = (entry.proxy, entry.attempt, entry.node);
        if self.cut_off(place, proxy) || !self.is_out(job) {
            return;
        }
        let host = &mut self.hosts[place as usize];
        if host.node.is_some() && !host.stalls.is_empty() {
            return host.parked.push(What::AtNode { job, begun });
        }
        let Some(life) = host.node.as_ref().map(|(life, _)| *life) else {
            return self.back(job, PickEnd::ConnectFailed, 0.0);
        };
        let rpc = (attempt >> 8) as u32;
        let arrival = &self.plan.arrivals[rpc as usize];
        let method = &self.scenario.method[arrival.method as usize];
        let work = arrival.work * self.slow[arrival.method as usize];
        let got = |taken, pushed: f64| {
            let (work, pushed) = (work as f32, pushed as f32);
            Event::Got {
                life,
                job,
                attempt,
                proxy,
                begun,
                work,
                pushed,
                taken,
            }
        };
        let trick = self.trick(place, attempt);
        match &trick {
            Some(Trick::Mute(_)) => {
                self.hosts[place as usize].held.insert(job);
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.life = Some(life);
                }
                return self.tell(got(Taken::Swallowed, 0.0));
            }
            Some(Trick::Error(_)) => {
                self.tell(got(Taken::Error, 0.0));
                self.tell(Event::Left {
                    job,
                    how: Left::Replied,
                });
                return self.back(job, PickEnd::Failed, 0.0);
            }
            _ => {}
        }
        let host = &mut self.hosts[place as usize];
        let mark = match method.effect() {
            Kind::Deduplicated { group, window } => {
                let group = group.number(host.zone, host.rack);
                Some(Mark {
                    group,
                    key: u64::from(rpc),
                    window,
                })
            }
            _ => None,
        };
        let offer = Offer {
            job,
            work,
            mark,
            fresh: false,
        };
        let (now, mut out) = (self.now, Vec::new());
        let Some((_, node)) = host.node.as_mut() else {
            return;
        };
        let taken = node.offer(now, offer, &mut self.repeats, &mut out);
        let pushed = node.pushed();
        if taken.is_ok() {
            host.held.insert(job);
            if let Some(entry) = self.jobs.get_mut(&job) {
                (entry.life, entry.trick) = (Some(life), trick);
            }
        }
        let kind = match taken {
            Ok(()) => Taken::Held,
            Err(Why::Down) => Taken::Swallowed,
            Err(_) => Taken::TurnedAway,
        };
        self.tell(got(kind, pushed));
        if taken.is_err() {
            let down = kind == Taken::Swallowed;
            let how = if down { Left::Broken } else { Left::Replied };
            self.tell(Event::Left { job, how });
            self.back(
                job,
                if down {
                    PickEnd::Reset
                } else {
                    PickEnd::Rejected
                },
                0.0,
            );
        }
        self.happened(place, out);
    }

    fn node_due(&mut self, place: u32, version: u64) {
        let host = &mut self.hosts[place as usize];
        let Some((_, node)) = host.node.as_mut().filter(|_| host.version == version) else {
            return;
        };
        let mut out = Vec::new();
        node.advance(self.now, &mut self.repeats, &mut out);
        self.happened(place, out);
    }

    /// What happened by itself at a node, and when something will again.
    fn happened(&mut self, place: u32, out: Vec<Happening>) {
        for happening in out {
            match happening {
                Happening::Started(job) => self.tell(Event::Started { job }),
                Happening::Finished(job) => {
                    self.tell(Event::Finished { job });
                    self.replied(place, job);
                }
                Happening::Repeated(job) => {
                    self.tell(Event::Repeated { job });
                    self.replied(place, job);
                }
                Happening::Fell => {
                    if let Some((life, _)) = self.hosts[place as usize].node.as_ref() {
                        let life = *life;
                        self.tell(Event::Fell { life });
                        self.end(place);
                    }
                }
            }
        }
        let host = &mut self.hosts[place as usize];
        host.version += 1;
        let version = host.version;
        if let Some(at) = host.node.as_ref().and_then(|(_, node)| node.next_event()) {
            self.queue.put(
                at.max(self.now),
                What::NodeDue {
                    node: place,
                    version,
                },
            );
        }
    }

    /// A run is over and its answer leaves, as the fault that it met will have it.
    fn replied(&mut self, place: u32, job: u64) {
        if !self.hosts[place as usize].held.remove(&job) {
            return;
        }
        let trick = self.jobs.get(&job).and_then(|entry| entry.trick.clone());
        let (how, left, more) = match trick {
            Some(Trick::Reset(_) | Trick::Half(_) | Trick::Garbage(_)) => {
                (PickEnd::Reset, Left::Broken, 0.0)
            }
            Some(Trick::Trickle(_, over)) => (PickEnd::Succeeded, Left::Replied, over),
            _ => (PickEnd::Succeeded, Left::Replied, 0.0),
        };
        self.tell(Event::Left { job, how: left });
        self.back(job, how, more);
    }

    fn closed(&mut self, job: u64) {
        let Some(entry) = self.jobs.remove(&job) else {
            return;
        };
        let host = &mut self.hosts[entry.node as usize];
        if entry.life.is_none() || !host.held.remove(&job) {
            return;
        }
        let mut out = Vec::new();
        if let Some((_, node)) = host.node.as_mut() {
            node.cancel(self.now, job, &mut self.repeats, &mut out);
        }
        self.tell(Event::Left {
            job,
            how: Left::Withdrawn,
        });
        self.happened(entry.node, out);
    }

    fn probe_at(&mut self, proxy: u16, process: u32, node: u32) {
        if self.cut_off(node, proxy) {
            // Told as a time-out by the proxy's own clock.
            let what = Call::Probed {
                node,
                how: PickEnd::TimedOut,
                report: None,
            };
            return self.after(
                0.1,
                What::ToProxy {
                    proxy,
                    process,
                    what,
                },
            );
        }
        let host = &mut self.hosts[node as usize];
        if host.node.is_some() && !host.stalls.is_empty() {
            return host.parked.push(What::ProbeAt {
                proxy,
                process,
                node,
            });
        }
        let report = self.report(node);
        let how = if report.is_some() {
            PickEnd::Succeeded
        } else {
            PickEnd::ConnectFailed
        };
        self.after(
            WAY,
            What::ToProxy {
                proxy,
                process,
                what: Call::Probed { node, how, report },
            },
        );
    }

    /// Changes the node of a host, if it has one.
    fn change(
        &mut self,
        place: u32,
        act: impl FnOnce(&mut Node, f64, &mut Repeats, &mut Vec<Happening>),
    ) {
        let mut out = Vec::new();
        if let Some((_, node)) = self.hosts[place as usize].node.as_mut() {
            act(node, self.now, &mut self.repeats, &mut out);
            self.happened(place, out);
        }
    }

    fn retire(&mut self, place: u32, by: f64, successor: u32, after: f64) {
        let host = &mut self.hosts[place as usize];
        let busy = host
            .node
            .as_ref()
            .is_some_and(|(_, node)| node.in_flight() > 0);
        if busy && self.now < by {
            return self.after(
                LOOK,
                What::Retire {
                    node: place,
                    by,
                    successor,
                    after,
                },
            );
        }
        if let Some(life) = self.end(place) {
            self.known(
                place,
                Line {
                    life,
                    state: State::Gone,
                    started: None,
                },
                self.scenario.list.lag.0,
            );
        }
        self.after(after, What::Begin { node: successor });
    }

    // Troubles.

    #[expect(clippy::too_many_lines)]
    fn act(&mut self, act: Act) {
        match act {
            Act::Begin { trouble } => self.tell(Event::Trouble {
                number: trouble,
                begins: true,
            }),
            Act::End { trouble } => self.tell(Event::Trouble {
                number: trouble,
                begins: false,
            }),
            Act::Stall { node, number, on } => self.stall(node, number, on),
            Act::Scale { node, factor } => {
                self.hosts[node as usize].machine *= factor;
                self.change(node, |n, now, repeats, out| {
                    n.scale(now, factor, repeats, out)
                });
            }
            Act::Slow { method, factor } => self.slow[method] *= factor,
            Act::Crash { node } => {
                if let Some(life) = self.end(node) {
                    let line = Line {
                        life,
                        state: State::Gone,
                        started: None,
                    };
                    self.known(node, line, self.scenario.list.notices.0);
                }
            }
            Act::Return { node } => self.begin(node),
            Act::Announce { node } => {
                let host = &mut self.hosts[node as usize];
                if let Some((life, _)) = host.node.as_ref() {
                    let line = Line {
                        life: *life,
                        state: State::Draining,
                        started: host.born,
                    };
                    self.known(node, line, self.scenario.list.lag.0);
                }
            }
            Act::Drain { node } => {
                if let Some((life, n)) = self.hosts[node as usize].node.as_mut() {
                    let life = *life;
                    n.drain();
                    self.tell(Event::Drained { life });
                }
            }
            Act::Retire {
                node,
                by,
                successor,
                after,
            } => {
                if !std::mem::replace(&mut self.hosts[node as usize].retiring, true) {
                    self.retire(node, by, successor, after);
                }
            }
            Act::Faulty {
                node,
                number,
                fault,
                on: true,
            } => {
                self.hosts[node as usize].faults.push((number, fault));
            }
            Act::Faulty {
                node,
                number,
                on: false,
                ..
            } => {
                self.hosts[node as usize]
                    .faults
                    .retain(|(n, _)| *n != number);
            }
            Act::ListLate { by } => self.late += by,
            Act::ListDown { down } => {
                for proxy in self.list.set_down(down) {
                    self.to(proxy, WAY, Call::ListFailed);
                }
            }
            Act::ListStale { proxy, stale } => {
                if self.list.set_stale(proxy, stale) {
                    self.tell_news(proxy);
                }
            }
            Act::KillProxy { proxy } => self.kill_proxy(proxy, End::Killed),
            Act::TermProxy { proxy } => {
                if let Some(running) = self.proxies[proxy as usize].as_mut() {
                    running.stopping = true;
                    let process = running.process;
                    self.after(NOTICED, What::Notice { proxy, process });
                    self.after(GO_ON, What::MayEnd { proxy, process });
                }
            }
            Act::StartProxy { proxy } => self.after(
                STARTS,
                What::StartProxy {
                    proxy,
                    since: self.now,
                },
            ),
            Act::PauseProxy { proxy, on } => self.pause(proxy, on),
        }
    }

    fn stall(&mut self, place: u32, number: u64, on: bool) {
        let host = &mut self.hosts[place as usize];
        if host.node.is_none() {
            return;
        }
        let before = host.stalls.is_empty();
        if on {
            host.stalls.insert(number);
        } else {
            host.stalls.remove(&number);
        }
        let stands = !host.stalls.is_empty();
        if stands == before {
            self.change(place, |n, now, repeats, out| {
                n.stall(now, stands, repeats, out)
            });
        }
        if !stands {
            let parked = std::mem::take(&mut self.hosts[place as usize].parked);
            parked.into_iter().for_each(|what| self.happen(what));
        }
    }

    fn pause(&mut self, proxy: u16, on: bool) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        if on {
            running.paused.get_or_insert(now);
            return;
        }
        let Some(since) = running.paused.take() else {
            return;
        };
        let stood = now - since > STOOD;
        if stood {
            running.behind += now - since;
            // Its wake-up moves with its clock: one that comes early is passed over, and none would follow.
            let process = running.process;
            running.wake = running.wake.map(|at| at + (now - since));
            if let Some(at) = running.wake {
                self.queue.put(
                    at,
                    What::ToProxy {
                        proxy,
                        process,
                        what: Call::Wake,
                    },
                );
            }
        }
        for what in std::mem::take(&mut self.parked[proxy as usize]) {
            // What ran out while it stood still says nothing of the node.
            match what {
                What::ToProxy {
                    what: Call::TimeOut { job },
                    ..
                } if stood => {
                    if self.is_out(job) {
                        self.after(WAY, What::Closed { job });
                        self.pick_ended(job, PickEnd::Cancelled, None);
                    }
                }
                what => self.happen(what),
            }
        }
    }
}
