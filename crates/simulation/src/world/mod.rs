//! The world of a rehearsal in simulated time: every event handled in its order, and what happened noted as stand-ins do.
mod attempts;
mod backends;
mod clients;
mod commands;
mod discovery;
mod event;
mod faults;
mod list;
mod platform;
mod process;
mod proxies;
mod rpcs;

use crate::queue::Queue;
use attempts::Job;
use backends::{Host, host};
use birchhub::interface::Settings;
use birchhub_audit::event::End;
use birchhub_audit::{Answer, Entry, Event, Head, State};
use birchhub_model::{Repeats, Start};
use birchhub_rehearsal::plan::Plan;
use birchhub_rehearsal::scenario::Scenario;
use birchhub_rehearsal::settings;
use clients::Try;
use event::What;
use list::{Line, List};
use process::Proxy;
use proxies::{STARTS, STOPPING};
use std::collections::HashMap;

const WAY: f64 = 0.0002; // s from one machine to the next: what loopback and two event loops take
const LOOK: f64 = 0.01; // s between looks at what is to end
const TAIL: f64 = 1.0; // s after the last deadline

/// What came of a simulation.
pub struct Outcome {
    pub head: Head,
    pub entries: Vec<Entry>,
    /// Events handled.
    pub events: u64,
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
}
