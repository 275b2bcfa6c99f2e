//! A proxy's attempts at backends.
use super::event::{ProcessEvent, SimulationEvent};
use super::{NETWORK_DELAY, World};
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_audit::event::{Left, Taken};
use birchhub_audit::{Answer, Event, Kind};
use birchhub_model::{Mark, Offer, Why};
use birchhub_rehearsal::plan::Trick;
use birchhub_rehearsal::scenario::Reports;

pub(super) struct ProxyAttempt {
    pub(super) proxy: u16,
    pub(super) process: u32,
    pub(super) attempt: u64,
    pub(super) attempt_index: usize,
    pub(super) node: u32,
    /// Set when it has come to the node and is held there.
    pub(super) life: Option<u32>,
    pub(super) fault: Option<Trick>,
}

impl World<'_> {
    pub(super) fn is_attempt_open(&self, job: u64) -> bool {
        let Some(entry) = self.proxy_attempts.get(&job) else {
            return false;
        };
        let running = self.proxies[entry.proxy as usize]
            .as_ref()
            .filter(|p| p.process == entry.process);
        let in_flight_rpc = running.and_then(|p| p.in_flight.get(&entry.attempt));
        in_flight_rpc.is_some_and(|in_flight_rpc| {
            in_flight_rpc
                .attempts
                .get(entry.attempt_index)
                .is_some_and(Option::is_some)
        })
    }

    pub(super) fn end_attempt(
        &mut self,
        job: u64,
        how: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        if !self.is_attempt_open(job) {
            return;
        }
        let Some(entry) = self.proxy_attempts.get(&job) else {
            return;
        };
        let (proxy, attempt, attempt_index) = (entry.proxy, entry.attempt, entry.attempt_index);
        if entry.life.is_none() {
            self.proxy_attempts.remove(&job);
        }
        if how == AttemptOutcome::Succeeded {
            self.final_answer(proxy, attempt, Answer::Ok);
        }
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let Some(in_flight_rpc) = running.in_flight.get_mut(&attempt) else {
            return;
        };
        in_flight_rpc.attempts[attempt_index] = None;
        let over = in_flight_rpc.answered;
        self.call_rpc(proxy, attempt, |rpc, platform| {
            rpc.on_attempt_ended(attempt_index, how, over, report, platform)
        });
    }

    /// The end of a pick on its way to its proxy, unless nothing passes.
    pub(super) fn send_outcome(&mut self, job: u64, how: AttemptOutcome, more: f64) {
        let Some(entry) = self.proxy_attempts.get_mut(&job) else {
            return;
        };
        entry.life = None;
        let (proxy, process, node) = (entry.proxy, entry.process, entry.node);
        if self.is_partitioned(node, proxy) {
            return;
        }
        let seen = self.scenario.fleet.reports == Reports::Answers && how != AttemptOutcome::Reset;
        let report = if seen && how != AttemptOutcome::ConnectFailed {
            self.load_report(node)
        } else {
            None
        };
        self.schedule(
            NETWORK_DELAY + more,
            SimulationEvent::ToProcess {
                proxy,
                process,
                event: ProcessEvent::AttemptEnded { job, how, report },
            },
        );
    }

    #[expect(clippy::too_many_lines)]
    pub(super) fn offer_to_backend(&mut self, job: u64, begun: f64) {
        let Some(entry) = self.proxy_attempts.get(&job) else {
            return;
        };
        let (proxy, attempt, machine_index) = (entry.proxy, entry.attempt, entry.node);
        if self.is_partitioned(machine_index, proxy) || !self.is_attempt_open(job) {
            return;
        }
        let machine = &mut self.machines[machine_index as usize];
        if machine.node.is_some() && !machine.stalls.is_empty() {
            return machine
                .deferred_events
                .push(SimulationEvent::AttemptAtBackend { job, begun });
        }
        let Some(life) = machine.node.as_ref().map(|(life, _)| *life) else {
            return self.send_outcome(job, AttemptOutcome::ConnectFailed, 0.0);
        };
        let rpc = (attempt >> 8) as u32;
        let arrival = &self.plan.arrivals[rpc as usize];
        let method = &self.scenario.method[arrival.method as usize];
        let work = arrival.work * self.method_slowdown[arrival.method as usize];
        let got = |taken, pushed: f64| {
            let (work, pushed) = (work as f32, pushed as f32);
            Event::Got {
                life,
                job,
                attempt,
                proxy,
                begun,
                work,
                pushed,
                taken,
            }
        };
        let fault = self.injected_fault(machine_index, attempt);
        match &fault {
            Some(Trick::Mute(_)) => {
                self.machines[machine_index as usize].held_jobs.insert(job);
                if let Some(entry) = self.proxy_attempts.get_mut(&job) {
                    entry.life = Some(life);
                }
                return self.record(got(Taken::Swallowed, 0.0));
            }
            Some(Trick::Error(_)) => {
                self.record(got(Taken::Error, 0.0));
                self.record(Event::Left {
                    job,
                    how: Left::Replied,
                });
                return self.send_outcome(job, AttemptOutcome::Failed, 0.0);
            }
            _ => {}
        }
        let machine = &mut self.machines[machine_index as usize];
        let mark = match method.effect() {
            Kind::Deduplicated { group, window } => {
                let group = group.number(machine.zone, machine.rack);
                Some(Mark {
                    group,
                    key: u64::from(rpc),
                    window,
                })
            }
            _ => None,
        };
        let offer = Offer {
            job,
            work,
            mark,
            fresh: false,
        };
        let (now, mut out) = (self.now, Vec::new());
        let Some((_, node)) = machine.node.as_mut() else {
            return;
        };
        let taken = node.offer(now, offer, &mut self.repeats, &mut out);
        let pushed = node.pushed();
        if taken.is_ok() {
            machine.held_jobs.insert(job);
            if let Some(entry) = self.proxy_attempts.get_mut(&job) {
                (entry.life, entry.fault) = (Some(life), fault);
            }
        }
        let kind = match taken {
            Ok(()) => Taken::Held,
            Err(Why::Down) => Taken::Swallowed,
            Err(_) => Taken::TurnedAway,
        };
        self.record(got(kind, pushed));
        if taken.is_err() {
            let down = kind == Taken::Swallowed;
            let how = if down { Left::Broken } else { Left::Replied };
            self.record(Event::Left { job, how });
            self.send_outcome(
                job,
                if down {
                    AttemptOutcome::Reset
                } else {
                    AttemptOutcome::Rejected
                },
                0.0,
            );
        }
        self.apply_happenings(machine_index, out);
    }

    /// A run is over and its answer leaves, as the fault that it met will have it.
    pub(super) fn send_reply(&mut self, machine_index: u32, job: u64) {
        if !self.machines[machine_index as usize].held_jobs.remove(&job) {
            return;
        }
        let fault = self
            .proxy_attempts
            .get(&job)
            .and_then(|entry| entry.fault.clone());
        let (how, left, more) = match fault {
            Some(Trick::Reset(_) | Trick::Half(_) | Trick::Garbage(_)) => {
                (AttemptOutcome::Reset, Left::Broken, 0.0)
            }
            Some(Trick::Trickle(_, over)) => (AttemptOutcome::Succeeded, Left::Replied, over),
            _ => (AttemptOutcome::Succeeded, Left::Replied, 0.0),
        };
        self.record(Event::Left { job, how: left });
        self.send_outcome(job, how, more);
    }

    pub(super) fn close_connection(&mut self, job: u64) {
        let Some(entry) = self.proxy_attempts.remove(&job) else {
            return;
        };
        let machine = &mut self.machines[entry.node as usize];
        if entry.life.is_none() || !machine.held_jobs.remove(&job) {
            return;
        }
        let mut out = Vec::new();
        if let Some((_, node)) = machine.node.as_mut() {
            node.cancel(self.now, job, &mut self.repeats, &mut out);
        }
        self.record(Event::Left {
            job,
            how: Left::Withdrawn,
        });
        self.apply_happenings(entry.node, out);
    }
}
