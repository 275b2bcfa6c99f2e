//! The life cycle of a proxy's process, and the traffic that it is given.
use super::event::What;
use super::process::Proxy;
use super::{LOOK, WAY, World};
use birchhub::interface::EndpointUpdateKind;
use birchhub::policy::Balancer;
use birchhub_audit::event::End;
use birchhub_audit::{Answer, Event};
use birchhub_model::work::generator;
use rand::Rng;

pub(super) const GO_ON: f64 = 0.5; // s after SIGTERM for which connections still come
pub(super) const STARTS: f64 = 0.02; // s from a proxy's start until it is ready
pub(super) const STOPPING: f64 = 0.7; // s beyond the longest deadline that a proxy has after SIGTERM
pub(super) const NOTICED: f64 = 0.3; // s until the layer before the proxies knows of a planned end

impl World<'_> {
    pub(super) fn start_proxy(&mut self, proxy: u16) {
        self.processes += 1;
        let start = (self.now * 1e3) as u64;
        let seed: u64 = generator(self.plan.seed, u64::from(proxy) << 48 | start).random();
        let balancer = Balancer::new(&self.set[proxy as usize], seed);
        self.proxies[proxy as usize] = Some(Proxy::new(balancer, self.processes));
        self.tell(Event::ProxyStarted { proxy });
        let known = if self.scenario.list.known {
            self.list.known(proxy)
        } else {
            Vec::new()
        };
        if !self.scenario.list.known {
            self.list.forget(proxy);
        }
        for (node, line) in &known {
            self.tell(Event::Told {
                proxy,
                node: *node,
                life: line.life,
                state: line.state,
            });
        }
        let entries = self.listed(proxy, &known);
        self.call(proxy, |balancer, _, door| {
            balancer.update_endpoints(EndpointUpdateKind::StaleSnapshot, &entries, door)
        });
        if self.scenario.list.known {
            self.ready(proxy);
        }
    }

    /// It has a list, and is taken in by the layer before it.
    pub(super) fn ready(&mut self, proxy: u16) {
        if let Some(running) = self.proxies[proxy as usize]
            .as_mut()
            .filter(|running| !running.ready)
        {
            (running.ready, self.taken_in[proxy as usize]) = (true, true);
            self.tell(Event::ProxyReady { proxy });
        }
    }

    pub(super) fn kill_proxy(&mut self, proxy: u16, how: End) {
        let Some(running) = self.proxies[proxy as usize].take() else {
            return;
        };
        self.tell(Event::ProxyEnded { proxy, how });
        for (attempt, care) in &running.cares {
            if !care.answered {
                self.after(
                    WAY,
                    What::Answer {
                        attempt: *attempt,
                        answer: Answer::Lost,
                    },
                );
            }
            for job in care.picks.iter().flatten() {
                self.after(WAY, What::Closed { job: *job });
            }
        }
        // What had come and was not read is lost with it.
        for what in std::mem::take(&mut self.parked[proxy as usize]) {
            if let What::AtProxy { attempt, .. } = what {
                self.after(
                    WAY,
                    What::Answer {
                        attempt,
                        answer: Answer::Lost,
                    },
                );
            }
        }
        let notices = self.scenario.proxies.front_notices.0;
        self.after(
            notices,
            What::Notice {
                proxy,
                process: running.process,
            },
        );
    }

    pub(super) fn may_end(&mut self, proxy: u16, process: u32) {
        let Some(running) = self.proxies[proxy as usize]
            .as_ref()
            .filter(|p| p.process == process)
        else {
            return;
        };
        if running.cares.is_empty() {
            self.kill_proxy(proxy, End::Stopped);
        } else {
            self.after(LOOK, What::MayEnd { proxy, process });
        }
    }
}
