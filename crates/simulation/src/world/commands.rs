//! Calls of a proxy's decisions, and the execution of their commands.
use super::attempts::ProxyAttempt;
use super::event::{ProcessEvent, SimulationEvent};
use super::platform::{Command, SimulationPlatform};
use super::process::{InFlightRpc, ProcessId};
use super::{NETWORK_DELAY_SECONDS, World};
use birchhub::balancer::{Balancer, RpcHandle};
use birchhub::interface::AttemptOutcome;
use birchhub_audit::RequestOutcome;
use std::collections::BTreeMap;

/// Shortest delay of a timer in seconds. A delay too short to advance the clock would make the timer fire endlessly.
const TIMER_RESOLUTION_SECONDS: f64 = 1e-6;

/// HTTP status of the response to a failed RPC.
pub(super) const BAD_GATEWAY: u16 = 502;

impl World<'_> {
    /// Calls the decisions of a proxy and executes their commands.
    pub(super) fn run_decision(
        &mut self,
        proxy: u16,
        decide: impl FnOnce(&Balancer, &mut BTreeMap<u64, InFlightRpc>, &mut SimulationPlatform),
    ) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let process = running.id;
        let commands = running.run_decision(now, decide);
        for command in commands {
            self.execute(process, command);
        }
    }

    /// Calls the decisions for one RPC, and releases it if it has finished.
    pub(super) fn run_rpc_decision(
        &mut self,
        proxy: u16,
        request_id: u64,
        decide: impl FnOnce(&RpcHandle, &mut SimulationPlatform),
    ) {
        self.run_decision(proxy, |_, in_flight, platform| {
            let rpc_state = in_flight.get(&request_id);
            if let Some(rpc) = rpc_state.and_then(|rpc_state| rpc_state.rpc.as_ref()) {
                decide(rpc, platform);
            }
        });
        self.release_if_finished(proxy, request_id);
    }

    fn release_if_finished(&mut self, proxy: u16, request_id: u64) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let rpc_state = running.in_flight.get(&request_id);
        if rpc_state.is_some_and(InFlightRpc::is_finished) {
            running.in_flight.remove(&request_id);
        }
    }

    fn execute(&mut self, process: ProcessId, command: Command) {
        let proxy = process.proxy;
        match command {
            Command::StartAttempt {
                request_id,
                backend,
                timeout,
            } => self.start_attempt(process, request_id, backend, timeout),
            Command::CancelAttempt {
                request_id,
                attempt_index,
            } => self.cancel_attempt(proxy, request_id, attempt_index),
            Command::Reject {
                request_id,
                retry_after,
            } => {
                let retry_after = (retry_after > 0.0).then_some(retry_after as f32);
                self.send_client_response(proxy, request_id, RequestOutcome::Rejected(retry_after));
            }
            Command::Fail { request_id } => {
                self.send_client_response(proxy, request_id, RequestOutcome::Aborted(BAD_GATEWAY))
            }
            Command::HealthCheck { backend } => {
                let node = backend;
                let arrival = SimulationEvent::HealthCheckAtBackend { process, node };
                self.schedule(NETWORK_DELAY_SECONDS, arrival);
            }
            Command::WatchEndpoints => self.schedule(
                NETWORK_DELAY_SECONDS,
                SimulationEvent::ListCallArrives(process),
            ),
            Command::ScheduleTimer { delay } => self.schedule_timer(process, delay),
        }
    }

    fn start_attempt(&mut self, process: ProcessId, request_id: u64, backend: u32, timeout: f64) {
        let now = self.now;
        let Some(running) = self.proxies[process.proxy as usize].as_mut() else {
            return;
        };
        let Some(rpc_state) = running.in_flight.get_mut(&request_id) else {
            return;
        };
        let attempt_id = self.next_attempt_id;
        self.next_attempt_id += 1;
        let attempt_index = rpc_state.attempts.len();
        rpc_state.attempts.push(Some(attempt_id));
        let deadline = (now + timeout).min(rpc_state.deadline);
        self.proxy_attempts.insert(
            attempt_id,
            ProxyAttempt {
                process,
                request_id,
                attempt_index,
                node: backend,
                incarnation: None,
                fault: None,
            },
        );
        let first_byte_at = now + NETWORK_DELAY_SECONDS;
        self.schedule(
            NETWORK_DELAY_SECONDS,
            SimulationEvent::AttemptAtBackend {
                attempt_id,
                first_byte_at,
            },
        );
        self.send_to_process(
            process.proxy,
            (deadline - now).max(0.0),
            ProcessEvent::AttemptTimeout { attempt_id },
        );
    }

    fn cancel_attempt(&mut self, proxy: u16, request_id: u64, attempt_index: usize) {
        let running = self.proxies[proxy as usize].as_ref();
        let rpc_state = running.and_then(|running| running.in_flight.get(&request_id));
        let Some(attempt_id) =
            rpc_state.and_then(|rpc_state| rpc_state.open_attempt(attempt_index))
        else {
            return;
        };
        self.schedule(
            NETWORK_DELAY_SECONDS,
            SimulationEvent::ConnectionClosed { attempt_id },
        );
        self.send_to_process(
            proxy,
            0.0,
            ProcessEvent::AttemptEnded {
                attempt_id,
                outcome: AttemptOutcome::Cancelled,
                report: None,
            },
        );
    }

    fn schedule_timer(&mut self, process: ProcessId, delay: f64) {
        let at = self.now + delay.max(TIMER_RESOLUTION_SECONDS);
        let Some(running) = self.proxies[process.proxy as usize].as_mut() else {
            return;
        };
        if running.timer_at.is_none_or(|earlier| at < earlier) {
            running.timer_at = Some(at);
            self.schedule_timer_event(process, at);
        }
    }

    /// Schedules a timer event at a simulated time.
    pub(super) fn schedule_timer_event(&mut self, process: ProcessId, at: f64) {
        let event = ProcessEvent::Timer;
        self.queue
            .push(at, SimulationEvent::ToProcess { process, event });
    }

    /// Sends the response to a client, unless it has one already or has disconnected.
    pub(super) fn send_client_response(
        &mut self,
        proxy: u16,
        request_id: u64,
        outcome: RequestOutcome,
    ) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let Some(rpc_state) = running.in_flight.get_mut(&request_id) else {
            return;
        };
        if !std::mem::replace(&mut rpc_state.answered, true) {
            self.schedule(
                NETWORK_DELAY_SECONDS,
                SimulationEvent::ResponseAtClient {
                    request_id,
                    outcome,
                },
            );
        }
    }
}
