//! The state of a simulated rehearsal (machines, proxies, clients, discovery) and its event loop.
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
mod retirement;
mod rpcs;

use crate::queue::EventQueue;
use attempts::ProxyAttempt;
use birchhub::interface::Settings;
use birchhub_audit::event::ProxyEnd;
use birchhub_audit::{EndpointState, Entry, Event, Header, RequestOutcome};
use birchhub_backend_model::{DeduplicationCache, StartMode};
use birchhub_rehearsal::plan::Plan;
use birchhub_rehearsal::scenario::Scenario;
use birchhub_rehearsal::settings;
use birchhub_settings::SettingsError;
use clients::ClientRequest;
use endpoint_list::{EndpointListService, ListEntry};
use event::SimulationEvent;
use machine::Machine;
use process::ProxyProcess;
use std::collections::HashMap;

/// Network delay between two machines in seconds, about that of loopback and two event loops.
const NETWORK_DELAY_SECONDS: f64 = 0.0002;

/// Interval in seconds at which a draining process or backend is checked for being idle.
const DRAIN_CHECK_SECONDS: f64 = 0.01;

/// Time in seconds that a run continues after the last deadline, so that responses in transit arrive.
const RUN_TAIL_SECONDS: f64 = 1.0;

/// The result of a simulation.
pub struct Outcome {
    /// The ledger's header, which describes the deployment and the plan.
    pub header: Header,
    /// The ledger's entries, in order of time.
    pub entries: Vec<Entry>,
    /// Number of simulated events that were handled.
    pub events: u64,
}

/// The state of a simulation. Machines, proxies, methods and planned actions are identified by their index in the plan or
/// the scenario.
struct World<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    /// Seconds since the simulation began.
    now: f64,
    queue: EventQueue<SimulationEvent>,
    /// The ledger so far.
    entries: Vec<Entry>,
    machines: Vec<Machine>,
    /// The idempotency keys that groups of backends remember, to drop duplicates.
    deduplication: DeduplicationCache,
    /// By method: the factor by which faults multiply its work.
    method_slowdown: Vec<f64>,
    /// By proxy: its running process.
    proxies: Vec<Option<ProxyProcess>>,
    /// Number of proxy processes started so far.
    processes: u32,
    /// By proxy: whether the load balancer in front of the proxies sends it traffic.
    accepts_traffic: Vec<bool>,
    /// By proxy: the events that arrived while it was paused.
    deferred_events: Vec<Vec<SimulationEvent>>,
    list: EndpointListService,
    /// Seconds that faults add to the delay of the endpoint list service.
    list_delay: f64,
    /// The attempts at backends that have not ended on both sides, by attempt id.
    proxy_attempts: HashMap<u64, ProxyAttempt>,
    /// The clients' requests that have not ended, by request id.
    client_requests: HashMap<u64, ClientRequest>,
    next_attempt_id: u64,
    next_incarnation: u32,
    /// By proxy: its settings.
    settings: Vec<Settings>,
    /// Longest deadline of all methods, in seconds.
    longest_deadline: f64,
}

/// Runs a plan in simulated time.
///
/// # Errors
/// The settings that the scenario describes are invalid.
pub fn simulate(scenario: &Scenario, plan: &Plan) -> Result<Outcome, SettingsError> {
    let mut world = World::new(scenario, plan)?;
    world.initialize();
    let events = world.run(plan.length + world.longest_deadline + RUN_TAIL_SECONDS);
    world.entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(Outcome {
        header: settings::header(scenario, plan),
        entries: world.entries,
        events,
    })
}

/// Returns the settings of a proxy, set to poll the endpoint list, as the simulated service requires.
fn proxy_settings(scenario: &Scenario, proxy: u16) -> Result<Settings, SettingsError> {
    let file = settings::settings(scenario, proxy);
    let mut parsed = birchhub_settings::parse_value(&file)?;
    parsed.settings.polls_endpoint_list = true;
    Ok(parsed.settings)
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, plan: &'a Plan) -> Result<Self, SettingsError> {
        let proxies = scenario.proxies.count;
        let settings = (0..proxies as u16).map(|proxy| proxy_settings(scenario, proxy));
        let machines = plan.nodes.iter().map(|node| Machine::new(scenario, node));
        let deadlines = scenario.methods.iter().map(|method| method.deadline.0);
        Ok(World {
            scenario,
            plan,
            now: 0.0,
            queue: EventQueue::default(),
            entries: Vec::new(),
            machines: machines.collect(),
            deduplication: DeduplicationCache::default(),
            method_slowdown: vec![1.0; scenario.methods.len()],
            proxies: (0..proxies).map(|_| None).collect(),
            processes: 0,
            accepts_traffic: vec![false; proxies],
            deferred_events: vec![Vec::new(); proxies],
            list: EndpointListService::new(proxies, scenario.discovery.max_concurrent_calls),
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
    /// Records an event in the ledger, at the current time.
    fn record(&mut self, event: Event) {
        let at = self.now;
        self.entries.push(Entry { at, event });
    }

    /// Schedules an event `delay` seconds from now.
    fn schedule(&mut self, delay: f64, event: SimulationEvent) {
        self.queue.push(self.now + delay, event);
    }

    /// Starts the initial backends and the proxies, and schedules the planned actions and RPCs.
    fn initialize(&mut self) {
        for node in 0..self.plan.first_nodes() as u32 {
            let list_entry = ListEntry {
                incarnation: self.start_backend(node, StartMode::Warm),
                state: EndpointState::Ready,
                started: None,
            };
            self.publish_endpoint(node, list_entry);
        }
        for proxy in 0..self.proxies.len() as u16 {
            self.start_proxy(proxy);
        }
        for (action, (at, _)) in self.plan.actions.iter().enumerate() {
            self.queue.push(*at, SimulationEvent::PlannedAction(action));
        }
        for (rpc, arrival) in (0..).zip(&self.plan.arrivals) {
            self.queue.push(arrival.due, SimulationEvent::RpcDue(rpc));
        }
    }

    /// Handles the events up to the time `end` in seconds, then ends the proxies. Returns the number of events.
    fn run(&mut self, end: f64) -> u64 {
        let mut events = 0;
        while let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= end) {
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
        match event {
            SimulationEvent::PlannedAction(action) => {
                self.apply_planned_action(self.plan.actions[action].1.clone())
            }
            SimulationEvent::RpcDue(rpc) => self.start_rpc(rpc),
            SimulationEvent::SendClientRequest { rpc, number } => {
                self.send_client_request(rpc, number)
            }
            SimulationEvent::RequestAtProxy { request_id, proxy } => {
                self.accept_client_request(request_id, proxy)
            }
            SimulationEvent::ToProcess { process, event } => {
                self.deliver_to_process(process, event)
            }
            SimulationEvent::AttemptAtBackend {
                attempt_id,
                first_byte_at,
            } => self.deliver_attempt(attempt_id, first_byte_at),
            SimulationEvent::BackendDue { node, version } => self.advance_backend(node, version),
            SimulationEvent::ConnectionClosed { attempt_id } => self.close_connection(attempt_id),
            SimulationEvent::HealthCheckAtBackend { process, node } => {
                self.deliver_health_check(process, node)
            }
            SimulationEvent::ResponseAtClient {
                request_id,
                outcome,
            } => self.end_client_request(request_id, outcome),
            SimulationEvent::ClientTimeout { request_id } => {
                self.end_client_request(request_id, RequestOutcome::TimedOut)
            }
            SimulationEvent::ClientDisconnects { request_id } => self.disconnect_client(request_id),
            SimulationEvent::PublishEndpoint { node, list_entry } => {
                self.publish_endpoint(node, list_entry)
            }
            SimulationEvent::ListCallArrives(process) => self.start_list_call(process),
            SimulationEvent::ListCallServed(process) => self.finish_list_call(process),
            SimulationEvent::RetireBackend(retirement) => self.retire_backend(retirement),
            SimulationEvent::StartBackend { node } => self.start_backend_cold(node),
            SimulationEvent::LoadBalancerNoticesStop(process) => self.stop_traffic(process),
            SimulationEvent::StopProxyWhenIdle(process) => self.stop_proxy_when_idle(process),
            SimulationEvent::StartProxy { proxy, since } => self.replace_proxy(proxy, since),
        }
    }
}
