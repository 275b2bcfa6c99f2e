//! The test environment: a thread with all emulated backends and the discovery service, on which the planned actions
//! that concern them are executed at their times.
mod actions;
mod addresses;
#[cfg(test)]
mod tests;

pub(crate) use addresses::AddressBlock;

use crate::duration::ScenarioDuration;
use crate::error::RehearsalError;
use crate::hooks::Hooks;
use crate::plan::{Action, Plan, PlannedNode};
use crate::scenario::{LoadReports, Scenario};
use crate::settings;
use birchhub_audit::{EndpointState, Event};
use birchhub_backend_model::{StartMode, WorkDistribution};
use birchhub_emulator::discovery_service::{Endpoint, ServiceCapacity};
use birchhub_emulator::relay::{FaultWindow, Relay};
use birchhub_emulator::{
    BackendSpec, Clock, DiscoveryService, EmulatedBackend, EventLog, Fleet, MethodCost,
};
use serde_json::Value;
use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};

/// Number of requests to the environment that may wait.
const REQUEST_QUEUE: usize = 64;

/// A request of another thread to the environment.
enum EnvironmentRequest {
    /// A proxy starts and needs its discovery service.
    StartProxy {
        proxy: u16,
        reply: oneshot::Sender<ProxyDiscovery>,
    },
    /// The rehearsal has ended.
    Stop,
}

/// Discovery service of a proxy that starts.
pub struct ProxyDiscovery {
    /// Address of the discovery service for this proxy.
    pub address: SocketAddr,
    /// Endpoint list that the platform hands to the proxy with its configuration.
    pub initial_snapshot: Value,
}

/// Sends requests to the thread of the environment.
#[derive(Clone)]
pub struct EnvironmentHandle(mpsc::Sender<EnvironmentRequest>);

impl EnvironmentHandle {
    /// Records the start of a proxy and returns its discovery service, or `None` when the environment has ended.
    pub async fn start_proxy(&self, proxy: u16) -> Option<ProxyDiscovery> {
        let (reply, answer) = oneshot::channel();
        let request = EnvironmentRequest::StartProxy { proxy, reply };
        self.0.send(request).await.ok()?;
        answer.await.ok()
    }

    /// Ends the environment.
    pub async fn stop(&self) {
        let _ = self.0.send(EnvironmentRequest::Stop).await;
    }
}

/// Starts the thread; returns once every backend listens.
pub(crate) fn start(
    scenario: Scenario,
    plan: Plan,
    hooks: Hooks,
    event_log: EventLog,
    block: AddressBlock,
) -> Result<(EnvironmentHandle, JoinHandle<()>), RehearsalError> {
    let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE);
    let (ready, started) = channel();
    let body = move || run_thread(scenario, plan, hooks, event_log, block, ready, requests);
    let thread = std::thread::Builder::new()
        .name("environment".into())
        .spawn(body)
        .map_err(RehearsalError::SpawnThread)?;
    started
        .recv()
        .map_err(|_| RehearsalError::EnvironmentNotReady)??;
    Ok((EnvironmentHandle(request_sender), thread))
}

/// Body of the thread: reports on `ready` whether the environment was built, and runs it until its end.
fn run_thread(
    scenario: Scenario,
    plan: Plan,
    hooks: Hooks,
    event_log: EventLog,
    block: AddressBlock,
    ready: Sender<Result<(), RehearsalError>>,
    requests: mpsc::Receiver<EnvironmentRequest>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return drop(ready.send(Err(RehearsalError::EventLoop(error)))),
    };
    LocalSet::new().block_on(&runtime, async move {
        match Environment::new(&scenario, &plan, &hooks, event_log, block) {
            Ok(environment) => {
                let _ = ready.send(Ok(()));
                environment.run(plan.actions, requests).await;
            }
            Err(error) => drop(ready.send(Err(RehearsalError::EmulatorListen(error)))),
        }
    });
}

/// Returns where the proxies reach a backend: at its own addresses, or at those of the relays before them.
fn reachable_addresses(
    backend: &EmulatedBackend,
    ips: &[IpAddr],
    windows: Option<&Vec<FaultWindow>>,
    clock: Clock,
) -> io::Result<Vec<SocketAddr>> {
    let own = (0..ips.len() as u16).filter_map(|proxy| backend.address(proxy));
    let Some(windows) = windows else {
        return Ok(own.collect());
    };
    own.zip(ips)
        .map(|(address, ip)| Relay::start(clock, *ip, address, windows.clone()))
        .collect()
}

/// Builds the properties that all backends share.
fn build_fleet(scenario: &Scenario, plan: &Plan, event_log: EventLog) -> Fleet {
    let costs = scenario.methods.iter().map(|method| MethodCost {
        name: method.name.clone(),
        work: WorkDistribution {
            mean: method.mean_work.0,
            spread: method.spread,
        },
        idempotency: method.idempotency(),
    });
    let mut fleet = Fleet::new(event_log, plan.seed, costs.collect());
    fleet.health_check_work_seconds = scenario.fleet.health_check_work.0;
    fleet.reports_in_responses = scenario.fleet.load_reports == LoadReports::Responses;
    fleet.answers_health_checks = scenario.rules.health_checks_allowed;
    fleet
}

/// Starts the discovery service, with its capacity limit where the scenario has one.
fn start_discovery(
    scenario: &Scenario,
    event_log: EventLog,
    block: AddressBlock,
) -> io::Result<Rc<DiscoveryService>> {
    let proxies = scenario.proxies.count as u16;
    let addresses: Vec<_> = (0..proxies).map(|proxy| block.discovery(proxy)).collect();
    let discovery = DiscoveryService::start(event_log, &addresses)?;
    if let Some(calls) = scenario.discovery.max_concurrent_calls {
        let time = |duration: ScenarioDuration| Duration::from_secs_f64(duration.0);
        discovery.set_capacity(ServiceCapacity::new(
            calls,
            time(scenario.discovery.call_duration),
            time(scenario.discovery.duration_per_endpoint),
        ));
    }
    Ok(discovery)
}

/// The emulated backends and the discovery service of a rehearsal.
struct Environment {
    event_log: EventLog,
    fleet: Rc<Fleet>,
    backends: Vec<Rc<EmulatedBackend>>,
    discovery: Rc<DiscoveryService>,
    /// For each backend, the endpoint that is published for it when it is ready.
    endpoints: Vec<Endpoint>,
    /// Delay until the discovery service publishes a planned change, in seconds.
    discovery_lag_seconds: f64,
    /// Delay until the discovery service publishes a crash, in seconds.
    crash_detection_seconds: f64,
    /// Additional delay of all changes while a fault lasts, in seconds.
    extra_discovery_lag_seconds: Cell<f64>,
}

impl Environment {
    /// Creates all backends and starts those that run from the beginning.
    fn new(
        scenario: &Scenario,
        plan: &Plan,
        hooks: &Hooks,
        event_log: EventLog,
        block: AddressBlock,
    ) -> io::Result<Rc<Self>> {
        let fleet = Rc::new(build_fleet(scenario, plan, event_log.clone()));
        let mut backends = Vec::new();
        let mut endpoints = Vec::new();
        for (index, planned) in (0..).zip(&plan.nodes) {
            let ips: Vec<_> = (0..scenario.proxies.count as u16)
                .map(|proxy| block.backend(proxy, index))
                .collect();
            let spec = backend_spec(scenario, planned, index);
            let backend = EmulatedBackend::new(spec, fleet.clone(), &ips)?;
            let windows = hooks.links.get(&index);
            let addresses = reachable_addresses(&backend, &ips, windows, event_log.clock)?;
            endpoints.push(endpoint(scenario, planned, addresses));
            backends.push(backend);
        }
        let discovery = start_discovery(scenario, event_log.clone(), block)?;
        let environment = Self {
            event_log,
            fleet,
            backends,
            discovery,
            endpoints,
            discovery_lag_seconds: scenario.discovery.update_delay.0,
            crash_detection_seconds: scenario.discovery.failure_detection_delay.0,
            extra_discovery_lag_seconds: Cell::new(0.0),
        };
        environment.start_first_backends(plan.first_nodes())?;
        Ok(Rc::new(environment))
    }

    /// Starts the first `count` backends warm and publishes them at once.
    fn start_first_backends(&self, count: usize) -> io::Result<()> {
        for index in 0..count {
            let incarnation = self.backends[index].start(StartMode::Warm)?;
            let endpoint = Endpoint {
                incarnation,
                ..self.endpoints[index].clone()
            };
            self.discovery.update_endpoint(index as u32, endpoint);
        }
        Ok(())
    }

    /// Executes the actions and serves requests until the environment is stopped.
    async fn run(
        self: Rc<Self>,
        actions: Vec<(f64, Action)>,
        mut requests: mpsc::Receiver<EnvironmentRequest>,
    ) {
        let executor = spawn_local(self.clone().execute_all(actions));
        while let Some(request) = requests.recv().await {
            match request {
                EnvironmentRequest::StartProxy { proxy, reply } => self.start_proxy(proxy, reply),
                EnvironmentRequest::Stop => break,
            }
        }
        executor.abort();
    }

    fn start_proxy(&self, proxy: u16, reply: oneshot::Sender<ProxyDiscovery>) {
        self.discovery.forget_proxy(proxy);
        self.event_log.record(Event::ProxyStarted { proxy });
        if let Some(address) = self.discovery.address(proxy) {
            let initial_snapshot = self.discovery.initial_snapshot(proxy);
            let _ = reply.send(ProxyDiscovery {
                address,
                initial_snapshot,
            });
        }
    }

    fn backend(&self, node: u32) -> Option<&Rc<EmulatedBackend>> {
        self.backends.get(node as usize)
    }
}

fn backend_spec(scenario: &Scenario, planned: &PlannedNode, index: u32) -> BackendSpec {
    BackendSpec {
        index,
        name: planned.name.clone(),
        zone: planned.zone,
        rack: planned.rack,
        model: settings::spec(scenario, planned),
        idle_timeout_seconds: scenario.fleet.idle_timeout.0,
    }
}

/// Returns what the discovery service publishes of a ready backend; its incarnation and start are added with each start.
fn endpoint(scenario: &Scenario, planned: &PlannedNode, addresses: Vec<SocketAddr>) -> Endpoint {
    Endpoint {
        name: planned.name.clone(),
        zone: scenario.fleet.zones[planned.zone as usize].clone(),
        rack: u64::from(planned.zone) << 16 | u64::from(planned.rack),
        machine: scenario.fleet.machines[planned.machine].name.clone(),
        capacity: 1.0,
        addresses,
        state: EndpointState::Ready,
        incarnation: 0,
        boot_ms: 0.0,
    }
}
