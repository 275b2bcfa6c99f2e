//! The life cycle of a proxy's processes, and the traffic that the load balancer in front sends them.
use super::endpoint_list::ListEntry;
use super::event::SimulationEvent;
use super::process::{ProcessId, ProxyProcess};
use super::{DRAIN_CHECK_SECONDS, NETWORK_DELAY_SECONDS, World};
use birchhub::balancer::Balancer;
use birchhub::interface::EndpointUpdateKind;
use birchhub_audit::event::ProxyEnd;
use birchhub_audit::{Event, RequestOutcome};
use birchhub_backend_model::work::seeded_rng;
use rand::Rng;

/// Time in seconds for which a process still accepts connections after SIGTERM.
const SHUTDOWN_GRACE_SECONDS: f64 = 0.5;

/// Time in seconds from the start of a process until it is ready.
const PROXY_START_DELAY_SECONDS: f64 = 0.02;

/// Time in seconds beyond the longest deadline after which a draining process is killed.
const SHUTDOWN_MARGIN_SECONDS: f64 = 0.7;

/// Time in seconds from SIGTERM until the load balancer detects it.
const PLANNED_STOP_NOTICE_DELAY_SECONDS: f64 = 0.3;

/// Lowest bit of the proxy's number in the random stream of a process; the lower bits hold its start time in ms.
const PROXY_SEED_SHIFT: u32 = 48;

/// Milliseconds in a second.
const MILLISECONDS_PER_SECOND: f64 = 1e3;

impl World<'_> {
    /// Returns whether this process still runs.
    pub(super) fn is_running(&self, process: ProcessId) -> bool {
        let running = self.proxies[process.proxy as usize].as_ref();
        running.is_some_and(|running| running.id == process)
    }

    /// Starts a process, with a cached endpoint list if the scenario provides one.
    pub(super) fn start_proxy(&mut self, proxy: u16) {
        self.processes += 1;
        let process = ProcessId {
            proxy,
            number: self.processes,
        };
        let balancer = Balancer::new(&self.settings[proxy as usize], self.process_seed(proxy));
        self.proxies[proxy as usize] = Some(ProxyProcess::new(process, balancer));
        self.record(Event::ProxyStarted { proxy });
        let initial_list = self.initial_list(proxy);
        self.record_update(proxy, &initial_list);
        let endpoints = self.endpoints(proxy, &initial_list);
        self.run_decision(proxy, |balancer, _, platform| {
            balancer.update_endpoints(EndpointUpdateKind::StaleSnapshot, &endpoints, platform)
        });
        if self.scenario.discovery.known_at_start {
            self.mark_ready(proxy);
        }
    }

    fn process_seed(&self, proxy: u16) -> u64 {
        let start = (self.now * MILLISECONDS_PER_SECOND) as u64;
        let stream = u64::from(proxy) << PROXY_SEED_SHIFT | start;
        seeded_rng(self.plan.seed, stream).random()
    }

    /// Returns the endpoint list that a process starts with, which is empty unless the scenario provides one.
    fn initial_list(&mut self, proxy: u16) -> Vec<(u32, ListEntry)> {
        if self.scenario.discovery.known_at_start {
            self.list.snapshot(proxy)
        } else {
            self.list.reset_reader(proxy);
            Vec::new()
        }
    }

    /// Marks a proxy as ready after its first endpoint list: the load balancer sends it traffic from now on.
    pub(super) fn mark_ready(&mut self, proxy: u16) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        if !running.ready {
            running.ready = true;
            self.accepts_traffic[proxy as usize] = true;
            self.record(Event::ProxyReady { proxy });
        }
    }

    /// Ends the process of a proxy and closes its connections to clients and backends.
    pub(super) fn kill_proxy(&mut self, proxy: u16, how: ProxyEnd) {
        let Some(ended) = self.proxies[proxy as usize].take() else {
            return;
        };
        self.record(Event::ProxyEnded { proxy, how });
        for (request_id, rpc_state) in &ended.in_flight {
            if !rpc_state.answered {
                self.lose_client_request(*request_id);
            }
            for attempt_id in rpc_state.attempts.iter().flatten() {
                let closed = SimulationEvent::ConnectionClosed {
                    attempt_id: *attempt_id,
                };
                self.schedule(NETWORK_DELAY_SECONDS, closed);
            }
        }
        // Requests that arrived during a pause and were not read are lost too.
        for event in std::mem::take(&mut self.deferred_events[proxy as usize]) {
            if let SimulationEvent::RequestAtProxy { request_id, .. } = event {
                self.lose_client_request(request_id);
            }
        }
        let noticed = SimulationEvent::LoadBalancerNoticesStop(ended.id);
        self.schedule(self.scenario.proxies.front_detection_delay.0, noticed);
    }

    fn lose_client_request(&mut self, request_id: u64) {
        let outcome = RequestOutcome::Lost;
        let lost = SimulationEvent::ResponseAtClient {
            request_id,
            outcome,
        };
        self.schedule(NETWORK_DELAY_SECONDS, lost);
    }

    /// Starts the graceful shutdown of a process: it drains, and gets no more traffic once the load balancer detects that.
    pub(super) fn terminate_proxy(&mut self, proxy: u16) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        running.stopping = true;
        let process = running.id;
        let noticed = SimulationEvent::LoadBalancerNoticesStop(process);
        self.schedule(PLANNED_STOP_NOTICE_DELAY_SECONDS, noticed);
        let stop = SimulationEvent::StopProxyWhenIdle(process);
        self.schedule(SHUTDOWN_GRACE_SECONDS, stop);
    }

    /// Stops the traffic to a process that drains or has ended.
    pub(super) fn stop_traffic(&mut self, process: ProcessId) {
        let current = self.proxies[process.proxy as usize].as_ref();
        if current.is_none_or(|current| current.id == process && current.stopping) {
            self.accepts_traffic[process.proxy as usize] = false;
        }
    }

    /// Ends a draining process without RPCs in flight; otherwise checks again later.
    pub(super) fn stop_proxy_when_idle(&mut self, process: ProcessId) {
        let Some(running) = self.proxies[process.proxy as usize]
            .as_ref()
            .filter(|running| running.id == process)
        else {
            return;
        };
        if running.in_flight.is_empty() {
            self.kill_proxy(process.proxy, ProxyEnd::Stopped);
        } else {
            let retry = SimulationEvent::StopProxyWhenIdle(process);
            self.schedule(DRAIN_CHECK_SECONDS, retry);
        }
    }

    /// Schedules the start of a process.
    pub(super) fn schedule_proxy_start(&mut self, proxy: u16, since: f64) {
        let start = SimulationEvent::StartProxy { proxy, since };
        self.schedule(PROXY_START_DELAY_SECONDS, start);
    }

    /// Starts a process once the earlier one has ended; that one is killed at its deadline.
    pub(super) fn replace_proxy(&mut self, proxy: u16, since: f64) {
        if self.proxies[proxy as usize].is_none() {
            self.start_proxy(proxy);
        } else if self.now > since + self.longest_deadline + SHUTDOWN_MARGIN_SECONDS {
            self.kill_proxy(proxy, ProxyEnd::Forced);
            self.schedule_proxy_start(proxy, since);
        } else {
            let retry = SimulationEvent::StartProxy { proxy, since };
            self.schedule(DRAIN_CHECK_SECONDS, retry);
        }
    }
}
