//! RPCs and events that reach a proxy's process.
use super::event::{ProcessEvent, SimulationEvent};
use super::platform::SimulationPlatform;
use super::process::InFlightRpc;
use super::{NETWORK_DELAY, World};
use birchhub::interface::{AttemptOutcome, EndpointUpdateKind, IncomingRpc};
use birchhub_audit::Answer;

const DEADLINE_MARGIN: f64 = 0.005; // s of a client's wait that the proxy keeps for itself

impl World<'_> {
    /// Something is on its way to the process that runs now.
    pub(super) fn send_to_process(&mut self, proxy: u16, delay: f64, event: ProcessEvent) {
        if let Some(process) = self.proxies[proxy as usize].as_ref().map(|p| p.process) {
            self.schedule(
                delay,
                SimulationEvent::ToProcess {
                    proxy,
                    process,
                    event,
                },
            );
        }
    }

    #[expect(clippy::too_many_lines)]
    pub(super) fn accept_client_attempt(&mut self, attempt: u64, proxy: u16) {
        let proxy_index = proxy as usize;
        if self.proxies[proxy_index]
            .as_ref()
            .is_some_and(|p| p.paused.is_some())
        {
            return self.deferred_events[proxy_index]
                .push(SimulationEvent::AttemptAtProxy { attempt, proxy });
        }
        let Some(entry) = self.client_attempts.get(&attempt) else {
            return;
        };
        let (rpc, number, patience) = (entry.rpc, entry.number, entry.patience);
        let Some(running) = self.proxies[proxy_index].as_ref() else {
            return self.schedule(
                NETWORK_DELAY,
                SimulationEvent::AnswerAtClient {
                    attempt,
                    answer: Answer::Unreachable,
                },
            );
        };
        let (arrival, clock_lag) = (&self.plan.arrivals[rpc as usize], running.clock_lag);
        let until = self.now + patience - NETWORK_DELAY;
        let asked = IncomingRpc {
            id: attempt,
            method: arrival.method as usize,
            tenant: (!self.scenario.tenant.is_empty()).then_some(arrival.tenant as usize),
            deadline: until - DEADLINE_MARGIN - clock_lag,
            expected_work: None,
            streams_request: false,
            client_retry: number > 0 && self.scenario.clients.marks_retries,
            key: None,
        };
        let in_flight_rpc = InFlightRpc {
            rpc: None,
            deadline: until - DEADLINE_MARGIN,
            answered: false,
            attempts: Vec::new(),
        };
        self.send_to_process(proxy, until - self.now, ProcessEvent::Deadline(attempt));
        self.run_decision(proxy, |balancer, in_flight, platform| {
            in_flight.insert(attempt, in_flight_rpc);
            let rpc = balancer.accept(&asked, platform);
            if let Some(in_flight_rpc) = in_flight.get_mut(&attempt) {
                in_flight_rpc.rpc = Some(rpc);
            }
        });
    }

    #[expect(clippy::too_many_lines)]
    pub(super) fn deliver_to_process(&mut self, proxy: u16, process: u32, event: ProcessEvent) {
        let proxy_index = proxy as usize;
        let Some(running) = self.proxies[proxy_index]
            .as_mut()
            .filter(|p| p.process == process)
        else {
            return;
        };
        if running.paused.is_some() {
            return self.deferred_events[proxy_index].push(SimulationEvent::ToProcess {
                proxy,
                process,
                event,
            });
        }
        match event {
            ProcessEvent::Timer => {
                // Only the latest one set counts.
                if running.timer_at.is_some_and(|at| at <= self.now) {
                    running.timer_at = None;
                    self.run_decision(proxy, |balancer, _, platform| balancer.on_timer(platform));
                }
            }
            ProcessEvent::Deadline(attempt) => {
                if running
                    .in_flight
                    .get(&attempt)
                    .is_some_and(|in_flight_rpc| !in_flight_rpc.answered)
                {
                    self.final_answer(proxy, attempt, Answer::Aborted(502));
                    self.call_rpc(proxy, attempt, |rpc, platform| {
                        rpc.on_client_disconnected(platform)
                    });
                }
            }
            ProcessEvent::ClientDisconnected(attempt) => {
                if let Some(in_flight_rpc) = running.in_flight.get_mut(&attempt) {
                    in_flight_rpc.answered = true;
                }
                self.call_rpc(proxy, attempt, |rpc, platform| {
                    rpc.on_client_disconnected(platform)
                });
            }
            ProcessEvent::AttemptEnded { job, how, report } => self.end_attempt(job, how, report),
            ProcessEvent::AttemptTimeout { job } => {
                if self.is_attempt_open(job) {
                    self.schedule(NETWORK_DELAY, SimulationEvent::ConnectionClosed { job });
                    self.end_attempt(job, AttemptOutcome::TimedOut, None);
                }
            }
            ProcessEvent::HealthChecked { node, how, report } => {
                self.run_decision(proxy, |balancer, _, platform| {
                    balancer.on_health_check(node, how, report, platform)
                });
            }
            ProcessEvent::EndpointUpdate(list_entries) => {
                let entries = self.endpoints(proxy, &list_entries);
                self.run_decision(proxy, |balancer, _, platform| {
                    balancer.update_endpoints(EndpointUpdateKind::Incremental, &entries, platform)
                });
                self.mark_ready(proxy);
            }
            ProcessEvent::ListFailed => self.run_decision(proxy, |balancer, _, platform| {
                balancer.list_failed(platform)
            }),
        }
    }

    pub(super) fn call_rpc(
        &mut self,
        proxy: u16,
        attempt: u64,
        decide: impl FnOnce(&birchhub::policy::RpcHandle, &mut SimulationPlatform),
    ) {
        self.run_decision(proxy, |_, in_flight, platform| {
            if let Some(rpc) = in_flight
                .get(&attempt)
                .and_then(|in_flight_rpc| in_flight_rpc.rpc.as_ref())
            {
                decide(rpc, platform);
            }
        });
        self.release_if_finished(proxy, attempt);
    }

    /// An RPC that is over is held no longer; a proxy that was to end may do so with its last one.
    pub(super) fn release_if_finished(&mut self, proxy: u16, attempt: u64) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let over = |in_flight_rpc: &InFlightRpc| {
            in_flight_rpc.answered
                && in_flight_rpc
                    .rpc
                    .as_ref()
                    .is_none_or(|rpc| rpc.is_finished())
        };
        if running.in_flight.get(&attempt).is_some_and(over) {
            running.in_flight.remove(&attempt);
        }
    }
}
