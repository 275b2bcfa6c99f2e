//! A proxy's attempts at backends.
use super::event::{Call, What};
use super::{WAY, World};
use birchhub::interface::{AttemptOutcome as PickEnd, LoadReport};
use birchhub_audit::event::{Left, Taken};
use birchhub_audit::{Answer, Event, Kind};
use birchhub_model::{Mark, Offer, Why};
use birchhub_rehearsal::plan::Trick;
use birchhub_rehearsal::scenario::Reports;

pub(super) struct Job {
    pub(super) proxy: u16,
    pub(super) process: u32,
    pub(super) attempt: u64,
    pub(super) pick: usize,
    pub(super) node: u32,
    /// Set when it has come to the node and is held there.
    pub(super) life: Option<u32>,
    pub(super) trick: Option<Trick>,
}

impl World<'_> {
    pub(super) fn is_out(&self, job: u64) -> bool {
        let Some(entry) = self.jobs.get(&job) else {
            return false;
        };
        let running = self.proxies[entry.proxy as usize]
            .as_ref()
            .filter(|p| p.process == entry.process);
        let care = running.and_then(|p| p.cares.get(&entry.attempt));
        care.is_some_and(|care| care.picks.get(entry.pick).is_some_and(Option::is_some))
    }

    pub(super) fn pick_ended(&mut self, job: u64, how: PickEnd, report: Option<LoadReport>) {
        if !self.is_out(job) {
            return;
        }
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let (proxy, attempt, pick) = (entry.proxy, entry.attempt, entry.pick);
        if entry.life.is_none() {
            self.jobs.remove(&job);
        }
        if how == PickEnd::Succeeded {
            self.final_answer(proxy, attempt, Answer::Ok);
        }
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let Some(care) = running.cares.get_mut(&attempt) else {
            return;
        };
        care.picks[pick] = None;
        let over = care.answered;
        self.on_rpc(proxy, attempt, |rpc, door| {
            rpc.on_attempt_ended(pick, how, over, report, door)
        });
    }

    /// The end of a pick on its way to its proxy, unless nothing passes.
    pub(super) fn back(&mut self, job: u64, how: PickEnd, more: f64) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.life = None;
        let (proxy, process, node) = (entry.proxy, entry.process, entry.node);
        if self.cut_off(node, proxy) {
            return;
        }
        let seen = self.scenario.fleet.reports == Reports::Answers && how != PickEnd::Reset;
        let report = if seen && how != PickEnd::ConnectFailed {
            self.report(node)
        } else {
            None
        };
        self.after(
            WAY + more,
            What::ToProxy {
                proxy,
                process,
                what: Call::Back { job, how, report },
            },
        );
    }

    #[expect(clippy::too_many_lines)]
    pub(super) fn at_node(&mut self, job: u64, begun: f64) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let (proxy, attempt, place) = (entry.proxy, entry.attempt, entry.node);
        if self.cut_off(place, proxy) || !self.is_out(job) {
            return;
        }
        let host = &mut self.hosts[place as usize];
        if host.node.is_some() && !host.stalls.is_empty() {
            return host.parked.push(What::AtNode { job, begun });
        }
        let Some(life) = host.node.as_ref().map(|(life, _)| *life) else {
            return self.back(job, PickEnd::ConnectFailed, 0.0);
        };
        let rpc = (attempt >> 8) as u32;
        let arrival = &self.plan.arrivals[rpc as usize];
        let method = &self.scenario.method[arrival.method as usize];
        let work = arrival.work * self.slow[arrival.method as usize];
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
        let trick = self.trick(place, attempt);
        match &trick {
            Some(Trick::Mute(_)) => {
                self.hosts[place as usize].held.insert(job);
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.life = Some(life);
                }
                return self.tell(got(Taken::Swallowed, 0.0));
            }
            Some(Trick::Error(_)) => {
                self.tell(got(Taken::Error, 0.0));
                self.tell(Event::Left {
                    job,
                    how: Left::Replied,
                });
                return self.back(job, PickEnd::Failed, 0.0);
            }
            _ => {}
        }
        let host = &mut self.hosts[place as usize];
        let mark = match method.effect() {
            Kind::Deduplicated { group, window } => {
                let group = group.number(host.zone, host.rack);
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
        let Some((_, node)) = host.node.as_mut() else {
            return;
        };
        let taken = node.offer(now, offer, &mut self.repeats, &mut out);
        let pushed = node.pushed();
        if taken.is_ok() {
            host.held.insert(job);
            if let Some(entry) = self.jobs.get_mut(&job) {
                (entry.life, entry.trick) = (Some(life), trick);
            }
        }
        let kind = match taken {
            Ok(()) => Taken::Held,
            Err(Why::Down) => Taken::Swallowed,
            Err(_) => Taken::TurnedAway,
        };
        self.tell(got(kind, pushed));
        if taken.is_err() {
            let down = kind == Taken::Swallowed;
            let how = if down { Left::Broken } else { Left::Replied };
            self.tell(Event::Left { job, how });
            self.back(
                job,
                if down {
                    PickEnd::Reset
                } else {
                    PickEnd::Rejected
                },
                0.0,
            );
        }
        self.happened(place, out);
    }

    /// A run is over and its answer leaves, as the fault that it met will have it.
    pub(super) fn replied(&mut self, place: u32, job: u64) {
        if !self.hosts[place as usize].held.remove(&job) {
            return;
        }
        let trick = self.jobs.get(&job).and_then(|entry| entry.trick.clone());
        let (how, left, more) = match trick {
            Some(Trick::Reset(_) | Trick::Half(_) | Trick::Garbage(_)) => {
                (PickEnd::Reset, Left::Broken, 0.0)
            }
            Some(Trick::Trickle(_, over)) => (PickEnd::Succeeded, Left::Replied, over),
            _ => (PickEnd::Succeeded, Left::Replied, 0.0),
        };
        self.tell(Event::Left { job, how: left });
        self.back(job, how, more);
    }

    pub(super) fn closed(&mut self, job: u64) {
        let Some(entry) = self.jobs.remove(&job) else {
            return;
        };
        let host = &mut self.hosts[entry.node as usize];
        if entry.life.is_none() || !host.held.remove(&job) {
            return;
        }
        let mut out = Vec::new();
        if let Some((_, node)) = host.node.as_mut() {
            node.cancel(self.now, job, &mut self.repeats, &mut out);
        }
        self.tell(Event::Left {
            job,
            how: Left::Withdrawn,
        });
        self.happened(entry.node, out);
    }
}
