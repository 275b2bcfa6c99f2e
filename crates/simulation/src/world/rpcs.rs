//! Delivery of clients' requests and other events to a proxy's process.
use super::clients::{request_number, rpc_of_request};
use super::commands::BAD_GATEWAY;
use super::endpoint_list::ListEntry;
use super::event::{ProcessEvent, SimulationEvent};
use super::process::{InFlightRpc, ProcessId};
use super::{NETWORK_DELAY_SECONDS, World};
use birchhub::interface::{AttemptOutcome, EndpointUpdateKind, IncomingRpc};
use birchhub_audit::RequestOutcome;

/// Part of a client's timeout, in seconds, that the proxy reserves for its own response.
const DEADLINE_MARGIN_SECONDS: f64 = 0.005;

impl World<'_> {
    /// Sends an event to the current process of a proxy, if there is one.
    pub(super) fn send_to_process(&mut self, proxy: u16, delay: f64, event: ProcessEvent) {
        if let Some(running) = self.proxies[proxy as usize].as_ref() {
            let process = running.id;
            self.schedule(delay, SimulationEvent::ToProcess { process, event });
        }
    }

    fn is_paused(&self, proxy: u16) -> bool {
        let running = self.proxies[proxy as usize].as_ref();
        running.is_some_and(|running| running.paused_at.is_some())
    }

    /// Delivers a client's request to a proxy, or defers it while the proxy is paused. If the proxy does not run, the client
    /// cannot reach it.
    pub(super) fn accept_client_request(&mut self, request_id: u64, proxy: u16) {
        if self.is_paused(proxy) {
            let arrival = SimulationEvent::RequestAtProxy { request_id, proxy };
            return self.deferred_events[proxy as usize].push(arrival);
        }
        let Some(request) = self.client_requests.get(&request_id) else {
            return;
        };
        let Some(running) = self.proxies[proxy as usize].as_ref() else {
            let outcome = RequestOutcome::Unreachable;
            let refusal = SimulationEvent::ResponseAtClient {
                request_id,
                outcome,
            };
            return self.schedule(NETWORK_DELAY_SECONDS, refusal);
        };
        let response_due = self.now + request.client_timeout - NETWORK_DELAY_SECONDS;
        let incoming = self.incoming_rpc(
            request_id,
            response_due - DEADLINE_MARGIN_SECONDS - running.clock_lag,
        );
        let accepted = InFlightRpc::new(response_due - DEADLINE_MARGIN_SECONDS);
        self.send_to_process(
            proxy,
            response_due - self.now,
            ProcessEvent::Deadline(request_id),
        );
        self.run_decision(proxy, |balancer, in_flight, platform| {
            in_flight.insert(request_id, accepted);
            let rpc = balancer.accept(&incoming, platform);
            if let Some(rpc_state) = in_flight.get_mut(&request_id) {
                rpc_state.rpc = Some(rpc);
            }
        });
    }

    /// Converts a client's request for the decisions, with the deadline by the proxy's own clock.
    fn incoming_rpc(&self, request_id: u64, deadline: f64) -> IncomingRpc {
        let arrival = &self.plan.arrivals[rpc_of_request(request_id) as usize];
        let has_tenants = !self.scenario.tenants.is_empty();
        let is_retry = request_number(request_id) > 0;
        IncomingRpc {
            id: request_id,
            method: arrival.method as usize,
            tenant: has_tenants.then_some(arrival.tenant as usize),
            deadline,
            expected_work: None,
            streams_request: false,
            client_retry: is_retry && self.scenario.clients.marks_retries,
            key: None,
        }
    }

    /// Delivers an event to its process, or defers it while the process is paused. Events for an ended process are dropped.
    pub(super) fn deliver_to_process(&mut self, process: ProcessId, event: ProcessEvent) {
        let proxy = process.proxy;
        if !self.is_running(process) {
            return;
        }
        if self.is_paused(proxy) {
            let deferred = SimulationEvent::ToProcess { process, event };
            return self.deferred_events[proxy as usize].push(deferred);
        }
        match event {
            ProcessEvent::Timer => self.fire_timer(proxy),
            ProcessEvent::Deadline(request_id) => self.expire_rpc(proxy, request_id),
            ProcessEvent::ClientDisconnected(request_id) => {
                self.handle_client_disconnect(proxy, request_id)
            }
            ProcessEvent::AttemptEnded {
                attempt_id,
                outcome,
                report,
            } => self.end_attempt(attempt_id, outcome, report),
            ProcessEvent::AttemptTimeout { attempt_id } => {
                self.abort_attempt(attempt_id, AttemptOutcome::TimedOut)
            }
            ProcessEvent::HealthChecked {
                node,
                outcome,
                report,
            } => self.run_decision(proxy, |balancer, _, platform| {
                balancer.on_health_check(node, outcome, report, platform)
            }),
            ProcessEvent::EndpointUpdate(update) => self.update_endpoints(proxy, &update),
            ProcessEvent::ListFailed => self.run_decision(proxy, |balancer, _, platform| {
                balancer.on_discovery_failure(platform)
            }),
        }
    }

    /// Fires the timer that was scheduled last; events of superseded timers are ignored.
    fn fire_timer(&mut self, proxy: u16) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        if running.timer_at.is_some_and(|at| at <= self.now) {
            running.timer_at = None;
            self.run_decision(proxy, |balancer, _, platform| balancer.on_timer(platform));
        }
    }

    /// Fails an RPC that was not answered by its deadline.
    fn expire_rpc(&mut self, proxy: u16, request_id: u64) {
        let running = self.proxies[proxy as usize].as_ref();
        let rpc_state = running.and_then(|running| running.in_flight.get(&request_id));
        if rpc_state.is_some_and(|rpc_state| !rpc_state.answered) {
            self.send_client_response(proxy, request_id, RequestOutcome::Aborted(BAD_GATEWAY));
            self.run_rpc_decision(proxy, request_id, |rpc, platform| {
                rpc.on_client_disconnected(platform)
            });
        }
    }

    /// Ends an RPC whose client has disconnected.
    fn handle_client_disconnect(&mut self, proxy: u16, request_id: u64) {
        let running = self.proxies[proxy as usize].as_mut();
        if let Some(rpc_state) = running.and_then(|running| running.in_flight.get_mut(&request_id))
        {
            rpc_state.answered = true;
        }
        self.run_rpc_decision(proxy, request_id, |rpc, platform| {
            rpc.on_client_disconnected(platform)
        });
    }

    fn update_endpoints(&mut self, proxy: u16, update: &[(u32, ListEntry)]) {
        let endpoints = self.endpoints(proxy, update);
        self.run_decision(proxy, |balancer, _, platform| {
            balancer.update_endpoints(EndpointUpdateKind::Incremental, &endpoints, platform)
        });
        self.mark_ready(proxy);
    }
}
