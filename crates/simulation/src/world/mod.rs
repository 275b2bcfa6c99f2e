//! The simulated world of a rehearsal: its machines, proxies and clients, and the loop that handles one event after another.
mod attempts;
mod backends;
mod clients;
mod commands;
mod discovery;
mod endpoint_list;
mod event;
mod faults;
mod machine;
mod platform;
mod process;
mod proxies;
mod rpcs;

use crate::queue::Queue;
use attempts::ProxyAttempt;
use birchhub::interface::Settings;
use birchhub_audit::event::ProxyEnd;
use birchhub_audit::{Answer, EndpointState, Entry, Event, Head};
use birchhub_backend_model::{DeduplicationCache, Start};
use birchhub_rehearsal::plan::Plan;
use birchhub_rehearsal::scenario::Scenario;
use birchhub_rehearsal::settings;
use clients::ClientRequest;
use endpoint_list::{EndpointListService, ListEntry};
use event::SimulationEvent;
use machine::Machine;
use process::ProxyProcess;
use std::collections::HashMap;

/// s from one machine to the next: what loopback and two event loops take.
const NETWORK_DELAY: f64 = 0.0002;

/// s between looks at whether a process that is to end is idle.
const POLL_INTERVAL: f64 = 0.01;

/// s that a run goes on after the last deadline, for the answers on their way.
const RUN_TAIL: f64 = 1.0;

/// What came of a simulation.
pub struct Outcome {
    /// The ledger's head: the deployment and the plan.
    pub head: Head,
    /// The ledger's entries by time.
    pub entries: Vec<Entry>,
    /// How many simulated events were handled.
    pub events: u64,
}

/// The state of a simulation. Machines, proxies, methods and acts are known by their index in the plan or the scenario.
struct World<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    /// s since the simulation began.
    now: f64,
    queue: Queue<SimulationEvent>,
    /// The ledger so far.
    entries: Vec<Entry>,
    machines: Vec<Machine>,
    /// What groups of backends remember in order to drop repeats.
    deduplication: DeduplicationCache,
    /// By method: the factor that faults put on its work.
    method_slowdown: Vec<f64>,
    /// By proxy: the process that runs.
    proxies: Vec<Option<ProxyProcess>>,
    /// How many processes of proxies have been started.
    processes: u32,
    /// By proxy: whether the layer before the proxies gives it traffic.
    accepts_traffic: Vec<bool>,
    /// By proxy: what arrived during a pause.
    deferred_events: Vec<Vec<SimulationEvent>>,
    list: EndpointListService,
    /// s that faults add to the delay of the endpoint list service.
    list_delay: f64,
    /// By attempt id.
    proxy_attempts: HashMap<u64, ProxyAttempt>,
    /// By the attempt's number in the ledger.
    client_requests: HashMap<u64, ClientRequest>,
    next_attempt_id: u64,
    next_incarnation: u32,
    /// By proxy.
    settings: Vec<Settings>,
    /// s, of all methods.
    longest_deadline: f64,
}

/// Plays a plan in simulated time. An error is one of the scenario's settings.
pub fn simulate(scenario: &Scenario, plan: &Plan) -> Result<Outcome, String> {
    let mut world = World::new(scenario, plan)?;
    world.set_up();
    let events = world.run(plan.length + world.longest_deadline + RUN_TAIL);
    world.entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(Outcome {
        head: settings::head(scenario, plan),
        entries: world.entries,
        events,
    })
}

/// The settings of a proxy, which polls its endpoint list as the simulated service has it.
fn proxy_settings(scenario: &Scenario, proxy: u16) -> Result<Settings, String> {
    let file = settings::settings(scenario, proxy);
    let mut parsed = birchhub_settings::parse_value(&file).map_err(|error| error.to_string())?;
    parsed.settings.polls_endpoint_list = true;
    Ok(parsed.settings)
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, plan: &'a Plan) -> Result<Self, String> {
        let proxies = scenario.proxies.count;
        let settings = (0..proxies as u16).map(|proxy| proxy_settings(scenario, proxy));
        let machines = plan.nodes.iter().map(|node| Machine::new(scenario, node));
        let deadlines = scenario.method.iter().map(|method| method.deadline.0);
        Ok(World {
            scenario,
            plan,
            now: 0.0,
            queue: Queue::default(),
            entries: Vec::new(),
            machines: machines.collect(),
            deduplication: DeduplicationCache::default(),
            method_slowdown: vec![1.0; scenario.method.len()],
            proxies: (0..proxies).map(|_| None).collect(),
            processes: 0,
            accepts_traffic: vec![false; proxies],
            deferred_events: vec![Vec::new(); proxies],
            list: EndpointListService::new(proxies, scenario.list.calls),
            list_delay: 0.0,
            proxy_attempts: HashMap::new(),
            client_requests: HashMap::new(),
            next_attempt_id: 1,
            next_incarnation: 1,
            settings: settings.collect::<Result<_, _>>()?,
            longest_deadline: deadlines.fold(0.0, f64::max),
        })
    }
}

impl World<'_> {
    /// Adds an event to the ledger.
    fn record(&mut self, event: Event) {
        let at = self.now;
        self.entries.push(Entry { at, event });
    }

    /// Puts an event into the queue, `delay` s from now.
    fn schedule(&mut self, delay: f64, event: SimulationEvent) {
        self.queue.put(self.now + delay, event);
    }

    /// Starts the first backends and the proxies, and puts the plan into the queue.
    fn set_up(&mut self) {
        for node in 0..self.plan.first_nodes() as u32 {
            let list_entry = ListEntry {
                incarnation: self.start_backend(node, Start::Warm),
                state: EndpointState::Ready,
                started: None,
            };
            self.publish_endpoint(node, list_entry);
        }
        for proxy in 0..self.proxies.len() as u16 {
            self.start_proxy(proxy);
        }
        for (act, (at, _)) in self.plan.acts.iter().enumerate() {
            self.queue.put(*at, SimulationEvent::PlannedAct(act));
        }
        for (rpc, arrival) in (0..).zip(&self.plan.arrivals) {
            self.queue.put(arrival.due, SimulationEvent::RpcDue(rpc));
        }
    }

    /// Handles events up to `end`, s, and ends the proxies; returns the number of events.
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
                    how: ProxyEnd::Over,
                });
            }
        }
        events
    }

    /// Handles one event.
    fn dispatch(&mut self, event: SimulationEvent) {
        use SimulationEvent as Due;
        match event {
            Due::PlannedAct(act) => self.apply_planned_act(self.plan.acts[act].1.clone()),
            Due::RpcDue(rpc) => self.start_rpc(rpc),
            Due::SendClientRequest { rpc, number } => self.send_client_request(rpc, number),
            Due::RequestAtProxy { request_id, proxy } => {
                self.accept_client_request(request_id, proxy)
            }
            Due::ToProcess { process, event } => self.deliver_to_process(process, event),
            Due::AttemptAtBackend {
                attempt_id,
                first_byte_at,
            } => self.offer_to_backend(attempt_id, first_byte_at),
            Due::BackendDue { node, version } => self.advance_backend(node, version),
            Due::ConnectionClosed { attempt_id } => self.close_connection(attempt_id),
            Due::HealthCheckAtBackend { process, node } => self.answer_health_check(process, node),
            Due::AnswerAtClient { request_id, answer } => self.answer_client(request_id, answer),
            Due::ClientGivesUp { request_id } => self.answer_client(request_id, Answer::TimedOut),
            Due::ClientDisconnects { request_id } => self.disconnect_client(request_id),
            Due::PublishEndpoint { node, list_entry } => self.publish_endpoint(node, list_entry),
            Due::ListCallArrives(process) => self.start_list_call(process),
            Due::ListCallServed(process) => self.finish_list_call(process),
            Due::RetireBackend(retirement) => self.retire_backend(retirement),
            Due::StartBackend { node } => self.start_backend_cold(node),
            Due::FrontNoticesStop(process) => self.stop_traffic(process),
            Due::StopProxyWhenIdle(process) => self.stop_proxy_when_idle(process),
            Due::StartProxy { proxy, since } => self.replace_proxy(proxy, since),
        }
    }
}
