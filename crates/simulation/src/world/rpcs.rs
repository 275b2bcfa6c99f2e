//! RPCs and events that reach a proxy's process.
use super::event::{Call, What};
use super::platform::Door;
use super::process::Care;
use super::{WAY, World};
use birchhub::interface::{AttemptOutcome as PickEnd, EndpointUpdateKind, IncomingRpc};
use birchhub_audit::Answer;

const MARGIN: f64 = 0.005; // s of a client's wait that the proxy keeps for itself

impl World<'_> {
    /// Something is on its way to the process that runs now.
    pub(super) fn to(&mut self, proxy: u16, delay: f64, what: Call) {
        if let Some(process) = self.proxies[proxy as usize].as_ref().map(|p| p.process) {
            self.after(
                delay,
                What::ToProxy {
                    proxy,
                    process,
                    what,
                },
            );
        }
    }

    #[expect(clippy::too_many_lines)]
    pub(super) fn at_proxy(&mut self, attempt: u64, proxy: u16) {
        let place = proxy as usize;
        if self.proxies[place]
            .as_ref()
            .is_some_and(|p| p.paused.is_some())
        {
            return self.parked[place].push(What::AtProxy { attempt, proxy });
        }
        let Some(entry) = self.tries.get(&attempt) else {
            return;
        };
        let (rpc, number, patience) = (entry.rpc, entry.number, entry.patience);
        let Some(running) = self.proxies[place].as_ref() else {
            return self.after(
                WAY,
                What::Answer {
                    attempt,
                    answer: Answer::Unreachable,
                },
            );
        };
        let (arrival, behind) = (&self.plan.arrivals[rpc as usize], running.behind);
        let until = self.now + patience - WAY;
        let asked = IncomingRpc {
            id: attempt,
            method: arrival.method as usize,
            tenant: (!self.scenario.tenant.is_empty()).then_some(arrival.tenant as usize),
            deadline: until - MARGIN - behind,
            expected_work: None,
            streams_request: false,
            client_retry: number > 0 && self.scenario.clients.marks_retries,
            key: None,
        };
        let care = Care {
            rpc: None,
            deadline: until - MARGIN,
            answered: false,
            picks: Vec::new(),
        };
        self.to(proxy, until - self.now, Call::Deadline(attempt));
        self.call(proxy, |balancer, cares, door| {
            cares.insert(attempt, care);
            let rpc = balancer.accept(&asked, door);
            if let Some(care) = cares.get_mut(&attempt) {
                care.rpc = Some(rpc);
            }
        });
    }

    #[expect(clippy::too_many_lines)]
    pub(super) fn reach(&mut self, proxy: u16, process: u32, what: Call) {
        let place = proxy as usize;
        let Some(running) = self.proxies[place]
            .as_mut()
            .filter(|p| p.process == process)
        else {
            return;
        };
        if running.paused.is_some() {
            return self.parked[place].push(What::ToProxy {
                proxy,
                process,
                what,
            });
        }
        match what {
            Call::Wake => {
                // Only the latest one set counts.
                if running.wake.is_some_and(|at| at <= self.now) {
                    running.wake = None;
                    self.call(proxy, |balancer, _, door| balancer.on_timer(door));
                }
            }
            Call::Deadline(attempt) => {
                if running
                    .cares
                    .get(&attempt)
                    .is_some_and(|care| !care.answered)
                {
                    self.final_answer(proxy, attempt, Answer::Aborted(502));
                    self.on_rpc(proxy, attempt, |rpc, door| rpc.on_client_disconnected(door));
                }
            }
            Call::HungUp(attempt) => {
                if let Some(care) = running.cares.get_mut(&attempt) {
                    care.answered = true;
                }
                self.on_rpc(proxy, attempt, |rpc, door| rpc.on_client_disconnected(door));
            }
            Call::Back { job, how, report } => self.pick_ended(job, how, report),
            Call::TimeOut { job } => {
                if self.is_out(job) {
                    self.after(WAY, What::Closed { job });
                    self.pick_ended(job, PickEnd::TimedOut, None);
                }
            }
            Call::Probed { node, how, report } => {
                self.call(proxy, |balancer, _, door| {
                    balancer.on_health_check(node, how, report, door)
                });
            }
            Call::News(lines) => {
                let entries = self.listed(proxy, &lines);
                self.call(proxy, |balancer, _, door| {
                    balancer.update_endpoints(EndpointUpdateKind::Incremental, &entries, door)
                });
                self.ready(proxy);
            }
            Call::ListFailed => self.call(proxy, |balancer, _, door| balancer.list_failed(door)),
        }
    }

    pub(super) fn on_rpc(
        &mut self,
        proxy: u16,
        attempt: u64,
        act: impl FnOnce(&birchhub::policy::RpcHandle, &mut Door),
    ) {
        self.call(proxy, |_, cares, door| {
            if let Some(rpc) = cares.get(&attempt).and_then(|care| care.rpc.as_ref()) {
                act(rpc, door);
            }
        });
        self.let_go(proxy, attempt);
    }

    /// An RPC that is over is held no longer; a proxy that was to end may do so with its last one.
    pub(super) fn let_go(&mut self, proxy: u16, attempt: u64) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let over =
            |care: &Care| care.answered && care.rpc.as_ref().is_none_or(|rpc| rpc.is_finished());
        if running.cares.get(&attempt).is_some_and(over) {
            running.cares.remove(&attempt);
        }
    }
}
