//! The life cycle of a proxy's process, and the traffic that it is given.
use super::event::SimulationEvent;
use super::process::ProxyProcess;
use super::{NETWORK_DELAY, POLL_INTERVAL, World};
use birchhub::interface::EndpointUpdateKind;
use birchhub::policy::Balancer;
use birchhub_audit::event::End;
use birchhub_audit::{Answer, Event};
use birchhub_model::work::generator;
use rand::Rng;

pub(super) const SHUTDOWN_GRACE: f64 = 0.5; // s after SIGTERM for which connections still come
pub(super) const PROXY_START_DELAY: f64 = 0.02; // s from a proxy's start until it is ready
pub(super) const SHUTDOWN_MARGIN: f64 = 0.7; // s beyond the longest deadline that a proxy has after SIGTERM
pub(super) const PLANNED_STOP_NOTICE_DELAY: f64 = 0.3; // s until the layer before the proxies knows of a planned end

impl World<'_> {
    pub(super) fn start_proxy(&mut self, proxy: u16) {
        self.processes += 1;
        let start = (self.now * 1e3) as u64;
        let seed: u64 = generator(self.plan.seed, u64::from(proxy) << 48 | start).random();
        let balancer = Balancer::new(&self.settings[proxy as usize], seed);
        self.proxies[proxy as usize] = Some(ProxyProcess::new(balancer, self.processes));
        self.record(Event::ProxyStarted { proxy });
        let known = if self.scenario.list.known {
            self.list.snapshot(proxy)
        } else {
            Vec::new()
        };
        if !self.scenario.list.known {
            self.list.reset_reader(proxy);
        }
        for (node, list_entry) in &known {
            self.record(Event::Told {
                proxy,
                node: *node,
                life: list_entry.life,
                state: list_entry.state,
            });
        }
        let entries = self.endpoints(proxy, &known);
        self.run_decision(proxy, |balancer, _, platform| {
            balancer.update_endpoints(EndpointUpdateKind::StaleSnapshot, &entries, platform)
        });
        if self.scenario.list.known {
            self.mark_ready(proxy);
        }
    }

    /// It has a list, and is taken in by the layer before it.
    pub(super) fn mark_ready(&mut self, proxy: u16) {
        if let Some(running) = self.proxies[proxy as usize]
            .as_mut()
            .filter(|running| !running.ready)
        {
            (running.ready, self.accepts_traffic[proxy as usize]) = (true, true);
            self.record(Event::ProxyReady { proxy });
        }
    }

    pub(super) fn kill_proxy(&mut self, proxy: u16, how: End) {
        let Some(running) = self.proxies[proxy as usize].take() else {
            return;
        };
        self.record(Event::ProxyEnded { proxy, how });
        for (attempt, in_flight_rpc) in &running.in_flight {
            if !in_flight_rpc.answered {
                self.schedule(
                    NETWORK_DELAY,
                    SimulationEvent::AnswerAtClient {
                        attempt: *attempt,
                        answer: Answer::Lost,
                    },
                );
            }
            for job in in_flight_rpc.attempts.iter().flatten() {
                self.schedule(
                    NETWORK_DELAY,
                    SimulationEvent::ConnectionClosed { job: *job },
                );
            }
        }
        // What had come and was not read is lost with it.
        for event in std::mem::take(&mut self.deferred_events[proxy as usize]) {
            if let SimulationEvent::AttemptAtProxy { attempt, .. } = event {
                self.schedule(
                    NETWORK_DELAY,
                    SimulationEvent::AnswerAtClient {
                        attempt,
                        answer: Answer::Lost,
                    },
                );
            }
        }
        let notices = self.scenario.proxies.front_notices.0;
        self.schedule(
            notices,
            SimulationEvent::FrontNoticesStop {
                proxy,
                process: running.process,
            },
        );
    }

    pub(super) fn stop_proxy_when_idle(&mut self, proxy: u16, process: u32) {
        let Some(running) = self.proxies[proxy as usize]
            .as_ref()
            .filter(|p| p.process == process)
        else {
            return;
        };
        if running.in_flight.is_empty() {
            self.kill_proxy(proxy, End::Stopped);
        } else {
            self.schedule(
                POLL_INTERVAL,
                SimulationEvent::StopProxyWhenIdle { proxy, process },
            );
        }
    }
}
