//! Restarts of backends and proxies in the simulation, and the endpoint list and health checks from which
//! proxies learn the state of backends.
use crate::common::{endpoint, load_report};
use crate::event::{AttemptEnd, Event, HealthCheck, HealthCheckEnd, ProcessEvent};
use crate::simulation::{NETWORK_DELAY_SECONDS, Simulation};
use birchhub::balancer::Balancer;
use birchhub::interface::*;
use rand::Rng;

/// Longest delay until a proxy receives a change of the endpoint list, in seconds.
const MAX_WATCH_DELAY_SECONDS: f64 = 0.1;
/// Time from the restart of a proxy until it receives the endpoint list, in seconds.
const FIRST_LIST_DELAY_SECONDS: f64 = 0.02;

impl Simulation {
    /// Returns the endpoint list's entry for a backend.
    fn endpoint(&self, backend: u32, readiness: Readiness) -> Endpoint {
        Endpoint {
            readiness,
            started_at: self.backends[backend as usize].started_at,
            ..endpoint(backend)
        }
    }

    /// Returns the complete endpoint list, which has only backends that are up.
    fn endpoints(&self) -> Vec<Endpoint> {
        (0..self.fleet.backends)
            .filter(|backend| self.backends[*backend as usize].is_up)
            .map(|backend| self.endpoint(backend, Readiness::Ready))
            .collect()
    }

    fn update_endpoints(&mut self, proxy: usize, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        self.call(proxy, |proxy, actions| {
            proxy.balancer.update_endpoints(kind, endpoints, actions);
        });
    }

    /// Delivers a changed entry of the endpoint list to a proxy.
    pub(crate) fn endpoint_changes(&mut self, proxy: usize, backend: u32, readiness: Readiness) {
        let changed = self.endpoint(backend, readiness);
        self.update_endpoints(proxy, EndpointUpdateKind::Incremental, &[changed]);
    }

    /// Makes the scenario's fraction of the backends fail, or return in slow start. Queued attempts are reset, and
    /// each proxy learns of each change after a random delay.
    pub(crate) fn set_backends_up(&mut self, is_up: bool) {
        let affected = f64::from(self.fleet.backends) * self.fleet.restarted_backends;
        let readiness = if is_up {
            Readiness::Ready
        } else {
            Readiness::Removed
        };
        for backend in 0..affected as u32 {
            let now = self.now;
            let state = self.backend(backend);
            state.is_up = is_up;
            state.started_at = Some(now);
            state.running = 0;
            for attempt in std::mem::take(&mut state.queue) {
                let reset = AttemptEnd::without_response(attempt, AttemptOutcome::Reset);
                self.schedule(NETWORK_DELAY_SECONDS, reset);
            }
            for proxy in 0..self.fleet.proxies {
                let delay = self.random.random_range(0.0..MAX_WATCH_DELAY_SECONDS);
                let event = Event::EndpointChanges {
                    proxy,
                    backend,
                    readiness,
                };
                self.schedule(delay, event);
            }
        }
    }

    /// Handles a health check at its backend, and sends the response.
    pub(crate) fn health_check_arrives(&mut self, health_check: HealthCheck) {
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
        let event = ProcessEvent::HealthCheckEnds(HealthCheckEnd {
            backend,
            outcome,
            in_flight: state.in_flight(),
        });
        let event = Event::ForProcess {
            proxy,
            process,
            event,
        };
        self.schedule(NETWORK_DELAY_SECONDS, event);
    }

    /// Replaces a proxy by a new process without any state of the old one, except for a cached endpoint list where
    /// the scenario has one.
    pub(crate) fn proxy_restarts(&mut self, proxy: usize) {
        let balancer = Balancer::new(&self.settings, self.random.random());
        let state = &mut self.proxies[proxy];
        state.balancer = balancer;
        state.process += 1;
        state.rpcs.clear();
        if self.fleet.cached_list {
            let cached = self.endpoints();
            self.update_endpoints(proxy, EndpointUpdateKind::StaleSnapshot, &cached);
        }
        self.schedule_for(proxy, FIRST_LIST_DELAY_SECONDS, ProcessEvent::ListArrives);
    }

    /// Handles an event for the current process of a proxy.
    pub(crate) fn process_event(&mut self, proxy: usize, event: ProcessEvent) {
        match event {
            ProcessEvent::TimerFires => {
                self.call(proxy, |proxy, actions| proxy.balancer.on_timer(actions));
            }
            ProcessEvent::ListArrives => {
                let listed = self.endpoints();
                self.update_endpoints(proxy, EndpointUpdateKind::Snapshot, &listed);
            }
            ProcessEvent::HealthCheckEnds(end) => self.health_check_ends(proxy, &end),
        }
    }

    fn health_check_ends(&mut self, proxy: usize, end: &HealthCheckEnd) {
        let succeeded = end.outcome == AttemptOutcome::Succeeded;
        let report = succeeded.then(|| load_report(end.in_flight));
        self.call(proxy, |proxy, actions| {
            let balancer = &mut proxy.balancer;
            balancer.on_health_check(end.backend, end.outcome, report, actions);
        });
    }
}
