//! The commands that a proxy's decisions give, carried out.
use super::attempts::ProxyAttempt;
use super::event::{ProcessEvent, SimulationEvent};
use super::platform::{Command, SimulationPlatform};
use super::process::InFlightRpc;
use super::{NETWORK_DELAY, World};
use birchhub::interface::AttemptOutcome;
use birchhub::policy::Balancer;
use birchhub_audit::Answer;
use std::collections::BTreeMap;

const TIMER_RESOLUTION: f64 = 1e-6; // s, the least time until a wake-up: no timer is finer

impl World<'_> {
    /// Calls the module of a proxy and does what it asks for.
    pub(super) fn run_decision(
        &mut self,
        proxy: u16,
        decide: impl FnOnce(&Balancer, &mut BTreeMap<u64, InFlightRpc>, &mut SimulationPlatform),
    ) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let process = running.process;
        let commands = running.run_decision(now, decide);
        for command in commands {
            self.execute(proxy, process, command);
        }
    }

    #[expect(clippy::too_many_lines)]
    pub(super) fn execute(&mut self, proxy: u16, process: u32, command: Command) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        match command {
            Command::StartAttempt {
                attempt,
                backend,
                timeout,
            } => {
                let Some(in_flight_rpc) = running.in_flight.get_mut(&attempt) else {
                    return;
                };
                let (job, attempt_index, until) = (
                    self.next_job,
                    in_flight_rpc.attempts.len(),
                    (now + timeout).min(in_flight_rpc.deadline),
                );
                self.next_job += 1;
                in_flight_rpc.attempts.push(Some(job));
                let entry = ProxyAttempt {
                    proxy,
                    process,
                    attempt,
                    attempt_index,
                    node: backend,
                    life: None,
                    fault: None,
                };
                self.proxy_attempts.insert(job, entry);
                self.schedule(
                    NETWORK_DELAY,
                    SimulationEvent::AttemptAtBackend {
                        job,
                        begun: now + NETWORK_DELAY,
                    },
                );
                self.send_to_process(
                    proxy,
                    (until - now).max(0.0),
                    ProcessEvent::AttemptTimeout { job },
                );
            }
            Command::CancelAttempt {
                attempt,
                attempt_index,
            } => {
                let out = running.in_flight.get(&attempt).and_then(|in_flight_rpc| {
                    in_flight_rpc.attempts.get(attempt_index).copied().flatten()
                });
                if let Some(out) = out {
                    self.schedule(
                        NETWORK_DELAY,
                        SimulationEvent::ConnectionClosed { job: out },
                    );
                    self.send_to_process(
                        proxy,
                        0.0,
                        ProcessEvent::AttemptEnded {
                            job: out,
                            how: AttemptOutcome::Cancelled,
                            report: None,
                        },
                    );
                }
            }
            Command::Reject {
                attempt,
                retry_after,
            } => {
                let after = (retry_after > 0.0).then_some(retry_after as f32);
                self.final_answer(proxy, attempt, Answer::PushedBack(after));
            }
            Command::Fail { attempt } => self.final_answer(proxy, attempt, Answer::Aborted(502)),
            Command::HealthCheck { backend } => self.schedule(
                NETWORK_DELAY,
                SimulationEvent::HealthCheckAtBackend {
                    proxy,
                    process,
                    node: backend,
                },
            ),
            Command::WatchEndpoints => self.schedule(
                NETWORK_DELAY,
                SimulationEvent::ListCallArrives { proxy, process },
            ),
            Command::ScheduleTimer { delay } => {
                // A time that its clock can't tell from now would wake it for ever.
                let at = now + delay.max(TIMER_RESOLUTION);
                if running.timer_at.is_none_or(|earlier| at < earlier) {
                    running.timer_at = Some(at);
                    self.queue.put(
                        at,
                        SimulationEvent::ToProcess {
                            proxy,
                            process,
                            event: ProcessEvent::Timer,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn final_answer(&mut self, proxy: u16, attempt: u64, answer: Answer) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        if let Some(in_flight_rpc) = running.in_flight.get_mut(&attempt)
            && !std::mem::replace(&mut in_flight_rpc.answered, true)
        {
            self.schedule(
                NETWORK_DELAY,
                SimulationEvent::AnswerAtClient { attempt, answer },
            );
        }
    }
}
