//! A load balancer on the checked platform, driven through simulated time.
use super::rule_model::{Record, Sent, World};
use birchhub::interface::*;
use birchhub::policy::{Balancer, RpcHandle};
use std::collections::BTreeMap;

/// One balancer in its world.
pub(crate) struct Proxy {
    pub world: World,
    pub balancer: Balancer,
    pub handles: BTreeMap<u64, RpcHandle>,
    next: u64,
}

impl Proxy {
    pub(crate) fn new(settings: Settings, seed: u64, entries: &[Endpoint]) -> Self {
        let balancer = Balancer::new(&settings, seed);
        let world = World {
            settings,
            ..World::default()
        };
        let mut proxy = Self {
            world,
            balancer,
            handles: BTreeMap::new(),
            next: 0,
        };
        proxy.list(EndpointUpdateKind::StaleSnapshot, entries);
        proxy
    }

    pub(crate) fn list(&mut self, kind: EndpointUpdateKind, entries: &[Endpoint]) {
        let now = self.world.now;
        if kind != EndpointUpdateKind::Incremental {
            for id in self
                .world
                .entries
                .keys()
                .filter(|id| entries.iter().all(|e| e.backend != **id))
            {
                self.world.told_off.entry(*id).or_insert(now);
            }
        }
        for e in entries {
            self.world.entries.insert(e.backend, *e);
            match e.readiness {
                Readiness::Ready => drop(self.world.told_off.remove(&e.backend)),
                _ => drop(self.world.told_off.entry(e.backend).or_insert(now)),
            }
        }
        self.balancer
            .update_endpoints(kind, entries, &mut self.world);
    }

    pub(crate) fn take(&mut self, method: usize, left: f64) -> u64 {
        self.take_as(method, left, None, false)
    }

    pub(crate) fn take_as(
        &mut self,
        method: usize,
        left: f64,
        tenant: Option<usize>,
        client_repeat: bool,
    ) -> u64 {
        self.take_any(IncomingRpc {
            method,
            tenant,
            deadline: left,
            client_retry: client_repeat,
            ..IncomingRpc::default()
        })
    }

    pub(crate) fn take_keyed(&mut self, key: u64) -> u64 {
        self.take_any(IncomingRpc {
            deadline: 0.5,
            key: Some(key),
            ..IncomingRpc::default()
        })
    }

    /// One whose body is still on its way.
    pub(crate) fn take_long(&mut self) -> u64 {
        self.take_any(IncomingRpc {
            deadline: 0.5,
            streams_request: true,
            ..IncomingRpc::default()
        })
    }

    /// Its id is given here, and its deadline counts from now.
    pub(crate) fn take_any(&mut self, asked: IncomingRpc) -> u64 {
        let IncomingRpc {
            method,
            deadline: left,
            ..
        } = asked;
        let id = self.next;
        self.next += 1;
        let MethodSettings {
            idempotency: effect,
            ordered_by_key: in_order,
            ..
        } = self.world.settings.methods[method];
        let (deadline, order) = (
            self.world.now + left,
            asked.key.filter(|_| in_order).map(|key| (key, id)),
        );
        let (sent, answers) = (Vec::new(), Vec::new());
        let record = Record {
            effect,
            order,
            deadline,
            sent,
            answers,
            streaming: false,
            hung_up: false,
        };
        self.world.rpcs.insert(id, record);
        let arrival = IncomingRpc {
            id,
            deadline,
            ..asked
        };
        let handle = self.balancer.accept(&arrival, &mut self.world);
        self.handles.insert(id, handle);
        id
    }

    /// Picks that are out, as (RPC, pick, backend).
    pub(crate) fn out(&self) -> Vec<(u64, usize, u32)> {
        let picks = |(id, r): (&u64, &Record)| {
            let out = r.sent.iter().enumerate().filter(|(_, s)| s.ended.is_none());
            out.map(|(n, s)| (*id, n, s.backend)).collect::<Vec<_>>()
        };
        self.world.rpcs.iter().flat_map(picks).collect()
    }

    pub(crate) fn end(&mut self, rpc: u64, n: usize, how: AttemptOutcome, in_flight: Option<f64>) {
        let record = self
            .world
            .rpcs
            .get_mut(&rpc)
            .expect("an RPC that was taken");
        (record.sent[n].ended, record.sent[n].ended_at) = (Some(how), self.world.now);
        let closed = !record.answers.is_empty() || record.hung_up;
        let over = closed || how == AttemptOutcome::Succeeded || record.streaming;
        if over && !closed {
            record.answers.push("ok");
        }
        let report = in_flight.map(|f| LoadReport {
            in_flight: Some(f),
            ..LoadReport::default()
        });
        self.handles[&rpc].on_attempt_ended(n, how, over, report, &mut self.world);
    }

    /// Takes an RPC every `gap` seconds and returns them all; probes report what a backend holds, picks end
    /// after `gap` as told for their backend, or run into their time-outs.
    pub(crate) fn drive(
        &mut self,
        rounds: usize,
        gap: f64,
        held: impl Fn(u32) -> f64,
        how: impl Fn(u32) -> Option<AttemptOutcome>,
    ) -> Vec<Record> {
        let round = |_| {
            let rpc = self.take(0, 0.5);
            for _ in 0..5 {
                self.pass(gap.min(0.02) / 5.0);
                self.answer_probes(AttemptOutcome::Succeeded, &held);
            }
            self.pass(gap - gap.min(0.02));
            for (rpc, n, backend) in self.out() {
                how(backend)
                    .into_iter()
                    .for_each(|how| self.end(rpc, n, how, Some(held(backend))));
            }
            rpc
        };
        let rpcs: Vec<_> = (0..rounds).map(round).collect();
        rpcs.iter()
            .map(|rpc| self.world.rpcs[rpc].clone())
            .collect()
    }

    pub(crate) fn end_all(&mut self, how: AttemptOutcome, in_flight: Option<f64>) {
        self.out()
            .into_iter()
            .for_each(|(rpc, n, _)| self.end(rpc, n, how, in_flight));
    }

    pub(crate) fn answer_probes(&mut self, how: AttemptOutcome, in_flight: impl Fn(u32) -> f64) {
        for backend in std::mem::take(&mut self.world.probes) {
            let report = LoadReport {
                in_flight: Some(in_flight(backend)),
                ..LoadReport::default()
            };
            let report = Some(report).filter(|_| how == AttemptOutcome::Succeeded);
            self.balancer
                .on_health_check(backend, how, report, &mut self.world);
        }
    }

    /// Lets time pass: alarms go off and picks time out when they are due.
    pub(crate) fn pass(&mut self, seconds: f64) {
        let end = self.world.now + seconds;
        loop {
            let out = self.out();
            let until = |(id, n, _): &(u64, usize, u32)| self.world.rpcs[id].sent[*n].until;
            let streaming = |(id, ..): &&(u64, usize, u32)| self.world.rpcs[id].streaming;
            let due = out
                .iter()
                .filter(|o| !streaming(o))
                .map(until)
                .fold(f64::INFINITY, f64::min);
            let alarm = self
                .world
                .alarms
                .iter()
                .copied()
                .fold(f64::INFINITY, f64::min);
            let next = due.min(alarm);
            if next > end {
                break;
            }
            self.world.now = self.world.now.max(next);
            if due <= alarm {
                let late = out
                    .iter()
                    .find(|o| !streaming(o) && until(o) <= due)
                    .copied();
                let (id, n, _) = late.expect("a pick that is due");
                self.end(id, n, AttemptOutcome::TimedOut, None);
            } else {
                let place = self
                    .world
                    .alarms
                    .iter()
                    .position(|a| *a == alarm)
                    .expect("an alarm that is due");
                self.world.alarms.swap_remove(place);
                self.balancer.on_timer(&mut self.world);
            }
        }
        self.world.now = end;
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        for (id, rpc) in &self.world.rpcs {
            let owed =
                !rpc.hung_up && rpc.answers.is_empty() && self.world.now > rpc.deadline + 0.005;
            if owed && !rpc.streaming {
                return Err(format!("{id} got no answer: {rpc:?}"));
            }
        }
        self.world
            .broken
            .first()
            .map_or(Ok(()), |broken| Err(broken.clone()))
    }
}
