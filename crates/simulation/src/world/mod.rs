//! The world of a rehearsal in simulated time: every event handled in its order, and what happened noted as stand-ins do.
mod attempts;
mod backends;
mod clients;
mod commands;
mod discovery;
mod endpoint_list;
mod event;
mod faults;
mod platform;
mod process;
mod proxies;
mod rpcs;

use crate::queue::Queue;
use attempts::ProxyAttempt;
use backends::{Machine, machine};
use birchhub::interface::Settings;
use birchhub_audit::event::End;
use birchhub_audit::{Answer, Entry, Event, Head, State};
use birchhub_model::{Repeats, Start};
use birchhub_rehearsal::plan::Plan;
use birchhub_rehearsal::scenario::Scenario;
use birchhub_rehearsal::settings;
use clients::ClientAttempt;
use endpoint_list::{EndpointListService, ListEntry};
use event::SimulationEvent;
use process::ProxyProcess;
use proxies::{PROXY_START_DELAY, SHUTDOWN_MARGIN};
use std::collections::HashMap;

const NETWORK_DELAY: f64 = 0.0002; // s from one machine to the next: what loopback and two event loops take
const POLL_INTERVAL: f64 = 0.01; // s between looks at what is to end
const RUN_TAIL: f64 = 1.0; // s after the last deadline

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
    queue: Queue<SimulationEvent>,
    entries: Vec<Entry>,
    machines: Vec<Machine>,
    repeats: Repeats,
    method_slowdown: Vec<f64>,
    proxies: Vec<Option<ProxyProcess>>,
    processes: u32,
    accepts_traffic: Vec<bool>,
    deferred_events: Vec<Vec<SimulationEvent>>,
    list: EndpointListService,
    list_delay: f64,
    proxy_attempts: HashMap<u64, ProxyAttempt>,
    client_attempts: HashMap<u64, ClientAttempt>,
    next_job: u64,
    next_life: u32,
    settings: Vec<Settings>,
    longest_deadline: f64,
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
    let longest_deadline = scenario
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
        machines: plan.nodes.iter().map(|n| machine(scenario, n)).collect(),
        repeats: Repeats::default(),
        method_slowdown: vec![1.0; scenario.method.len()],
        proxies: (0..count).map(|_| None).collect(),
        processes: 0,
        accepts_traffic: vec![false; count],
        deferred_events: vec![Vec::new(); count],
        list: EndpointListService::new(count, scenario.list.calls),
        list_delay: 0.0,
        proxy_attempts: HashMap::new(),
        client_attempts: HashMap::new(),
        next_job: 1,
        next_life: 1,
        settings: (0..count as u16).map(read).collect::<Result<_, _>>()?,
        longest_deadline,
    };
    world.set_up();
    let events = world.run(plan.length + longest_deadline + RUN_TAIL);
    world.entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(Outcome {
        head: settings::head(scenario, plan),
        entries: world.entries,
        events,
    })
}

impl World<'_> {
    fn record(&mut self, event: Event) {
        self.entries.push(Entry {
            at: self.now,
            event,
        });
    }

    fn schedule(&mut self, delay: f64, event: SimulationEvent) {
        self.queue.put(self.now + delay, event);
    }

    fn set_up(&mut self) {
        for node in 0..self.plan.first_nodes() as u32 {
            let life = self.start_backend(node, Start::Warm);
            self.publish_endpoint(
                node,
                ListEntry {
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
            self.queue.put(*at, SimulationEvent::PlannedAct(n));
        }
        for (rpc, arrival) in self.plan.arrivals.iter().enumerate() {
            self.queue
                .put(arrival.due, SimulationEvent::RpcDue(rpc as u32));
        }
    }

    fn run(&mut self, end: f64) -> u64 {
        let mut events = 0;
        while let Some((at, event)) = self.queue.take().filter(|(at, _)| *at <= end) {
            self.now = at;
            events += 1;
            self.dispatch(event);
        }
        self.now = end;
        for proxy in 0..self.proxies.len() as u16 {
            if self.proxies[proxy as usize].take().is_some() {
                self.record(Event::ProxyEnded {
                    proxy,
                    how: End::Over,
                });
            }
        }
        events
    }

    #[expect(clippy::too_many_lines)]
    fn dispatch(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::PlannedAct(n) => self.apply_planned_act(self.plan.acts[n].1.clone()),
            SimulationEvent::RpcDue(rpc) => {
                let arrival = &self.plan.arrivals[rpc as usize];
                let (method, tenant, within) = (arrival.method, arrival.tenant, arrival.within);
                self.record(Event::Asked {
                    rpc,
                    method,
                    tenant,
                    within,
                });
                self.send_client_attempt(rpc, 0);
            }
            SimulationEvent::SendClientAttempt { rpc, number } => {
                self.send_client_attempt(rpc, number)
            }
            SimulationEvent::AttemptAtProxy { attempt, proxy } => {
                self.accept_client_attempt(attempt, proxy)
            }
            SimulationEvent::ToProcess {
                proxy,
                process,
                event,
            } => self.deliver_to_process(proxy, process, event),
            SimulationEvent::AttemptAtBackend { job, begun } => self.offer_to_backend(job, begun),
            SimulationEvent::BackendDue { node, version } => self.advance_backend(node, version),
            SimulationEvent::ConnectionClosed { job } => self.close_connection(job),
            SimulationEvent::HealthCheckAtBackend {
                proxy,
                process,
                node,
            } => self.answer_health_check(proxy, process, node),
            SimulationEvent::AnswerAtClient { attempt, answer } => {
                self.answer_client(attempt, answer)
            }
            SimulationEvent::ClientGivesUp { attempt } => {
                self.answer_client(attempt, Answer::Silence)
            }
            SimulationEvent::ClientDisconnects { attempt } => self.disconnect_client(attempt),
            SimulationEvent::PublishEndpoint { node, list_entry } => {
                self.publish_endpoint(node, list_entry)
            }
            SimulationEvent::ListCallArrives { proxy, process } => {
                self.start_list_call(proxy, process)
            }
            SimulationEvent::ListCallServed { proxy, process } => {
                self.serve_list_call(proxy, process)
            }
            SimulationEvent::RetireBackend {
                node,
                by,
                successor,
                after,
            } => self.retire_backend(node, by, successor, after),
            SimulationEvent::StartBackend { node } => self.start_backend_cold(node),
            SimulationEvent::FrontNoticesStop { proxy, process } => {
                let same = self.proxies[proxy as usize].as_ref();
                if same.is_none_or(|p| p.process == process && p.stopping) {
                    self.accepts_traffic[proxy as usize] = false;
                }
            }
            SimulationEvent::StopProxyWhenIdle { proxy, process } => {
                self.stop_proxy_when_idle(proxy, process)
            }
            SimulationEvent::StartProxy { proxy, since } => {
                if self.proxies[proxy as usize].is_none() {
                    self.start_proxy(proxy);
                } else if self.now > since + self.longest_deadline + SHUTDOWN_MARGIN {
                    self.kill_proxy(proxy, End::Forced);
                    self.schedule(
                        PROXY_START_DELAY,
                        SimulationEvent::StartProxy { proxy, since },
                    );
                } else {
                    self.schedule(POLL_INTERVAL, SimulationEvent::StartProxy { proxy, since });
                }
            }
        }
    }
}
