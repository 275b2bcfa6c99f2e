//! Discrete-event simulation of a fleet of proxies and backends. Some backends fail and return in slow start; the
//! load that all proxies together send them is measured at these backends.
use crate::backend::SimulatedBackend;
use crate::event::{Event, EventQueue, HealthCheck, ProcessEvent};
use crate::measurement::SlowStartMeasurement;
use crate::proxy::{RequestedActions, SimulatedProxy};
use crate::rpcs::Attempt;
use crate::scenario::{FleetScenario, SLOW_START_SECONDS};
use birchhub::balancer::Balancer;
use birchhub::interface::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{HashMap, HashSet};

/// Network delay from one machine to another, in seconds.
pub(crate) const NETWORK_DELAY_SECONDS: f64 = 0.0005;
/// Time from the start until the backends that failed return, in seconds.
pub(crate) const RETURN_SECONDS: f64 = 6.0;
/// Time by which timers fire late, in seconds.
const TIMER_DELAY_SECONDS: f64 = 1e-6;
/// Time that is simulated after the slow start, in seconds.
const SETTLE_SECONDS: f64 = 0.3;

/// State of the simulation.
pub(crate) struct Simulation {
    pub fleet: FleetScenario,
    pub settings: Settings,
    pub random: Pcg64,
    pub now: f64,
    pub events: EventQueue,
    pub backends: Vec<SimulatedBackend>,
    pub proxies: Vec<SimulatedProxy>,
    pub attempts: HashMap<u64, Attempt>,
    /// RPCs per second at each proxy.
    pub rates: Vec<f64>,
    /// Ids of the RPCs that clients sent during the slow start.
    pub counted: HashSet<u64>,
    /// Number of the counted RPCs that were answered within the latency objective.
    pub served: usize,
    pub measured: SlowStartMeasurement,
}

impl Simulation {
    /// Creates the fleet. No event is scheduled yet.
    pub(crate) fn new(fleet: FleetScenario, seed: u64) -> Self {
        let settings = fleet.settings();
        let mut random = Pcg64::seed_from_u64(seed);
        let proxy = |_| SimulatedProxy {
            balancer: Balancer::new(&settings, random.random()),
            process: 0,
            rpcs: HashMap::new(),
        };
        let proxies = (0..fleet.proxies).map(proxy).collect();
        let backend = |_| SimulatedBackend::new();
        Self {
            backends: (0..fleet.backends).map(backend).collect(),
            proxies,
            rates: fleet.rates(),
            fleet,
            settings,
            random,
            now: 0.0,
            events: EventQueue::default(),
            attempts: HashMap::new(),
            counted: HashSet::new(),
            served: 0,
            measured: SlowStartMeasurement::default(),
        }
    }

    /// Schedules an event after a delay in seconds.
    pub(crate) fn schedule(&mut self, delay: f64, event: Event) {
        self.events.schedule(self.now + delay, event);
    }

    /// Schedules an event for the current process of a proxy.
    pub(crate) fn schedule_for(&mut self, proxy: usize, delay: f64, event: ProcessEvent) {
        let process = self.proxies[proxy].process;
        let event = Event::ForProcess {
            proxy,
            process,
            event,
        };
        self.schedule(delay, event);
    }

    /// Draws a number from the exponential distribution with this mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln() * mean
    }

    /// Returns the state of a backend.
    pub(crate) fn backend(&mut self, backend: u32) -> &mut SimulatedBackend {
        &mut self.backends[backend as usize]
    }

    /// Calls a proxy's balancer, and performs the actions that it requests.
    pub(crate) fn call(
        &mut self,
        proxy: usize,
        call: impl FnOnce(&mut SimulatedProxy, &mut RequestedActions),
    ) {
        let mut actions = RequestedActions {
            now: self.now,
            ..RequestedActions::default()
        };
        call(&mut self.proxies[proxy], &mut actions);
        for attempt in actions.attempts {
            self.start_attempt(proxy, &attempt);
        }
        let process = self.proxies[proxy].process;
        for backend in actions.health_checks {
            let event = Event::HealthCheckArrives(HealthCheck {
                proxy,
                process,
                backend,
            });
            self.schedule(NETWORK_DELAY_SECONDS, event);
        }
        if let Some(delay) = actions.timer {
            let delay = delay + TIMER_DELAY_SECONDS;
            self.schedule_for(proxy, delay, ProcessEvent::TimerFires);
        }
        for rpc in actions.finished {
            self.proxies[proxy].rpcs.remove(&rpc);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RpcArrives(proxy) => self.rpc_arrives(proxy),
            Event::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            Event::AttemptExecuted(attempt) => self.attempt_executed(attempt),
            Event::AttemptEnds(end) => self.attempt_ends(end),
            Event::HealthCheckArrives(health_check) => self.health_check_arrives(health_check),
            Event::BackendsFail => self.set_backends_up(false),
            Event::BackendsReturn => self.set_backends_up(true),
            Event::EndpointChanges {
                proxy,
                backend,
                readiness,
            } => self.endpoint_changes(proxy, backend, readiness),
            Event::ProxyRestarts(proxy) => self.proxy_restarts(proxy),
            Event::ForProcess {
                proxy,
                process,
                event,
            } => {
                if self.proxies[proxy].process == process {
                    self.process_event(proxy, event);
                }
            }
        }
    }

    /// Schedules the first RPC of each proxy, and all restarts.
    fn schedule_scenario(&mut self) {
        for proxy in 0..self.fleet.proxies {
            self.schedule_for(proxy, 0.0, ProcessEvent::ListArrives);
            let gap = self.exponential(1.0 / self.rates[proxy]);
            self.schedule(gap, Event::RpcArrives(proxy));
            if self.random.random::<f64>() < self.fleet.restarted_proxies {
                let at = self
                    .random
                    .random_range(RETURN_SECONDS + 0.2..RETURN_SECONDS + 1.5);
                self.schedule(at, Event::ProxyRestarts(proxy));
            }
        }
        self.schedule(RETURN_SECONDS - self.fleet.downtime, Event::BackendsFail);
        self.schedule(RETURN_SECONDS, Event::BackendsReturn);
    }

    /// Runs the scenario to its end and returns what was measured.
    pub(crate) fn run(mut self) -> SlowStartMeasurement {
        self.schedule_scenario();
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            if self.now > RETURN_SECONDS + SLOW_START_SECONDS + SETTLE_SECONDS {
                break;
            }
            self.handle(event);
        }
        self.measured.served_fraction = self.served as f64 / self.counted.len() as f64;
        self.measured
    }
}
