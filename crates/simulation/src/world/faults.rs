//! Planned faults, applied to machines, proxies and the list service.
use super::event::{Call, What};
use super::list::Line;
use super::proxies::{GO_ON, NOTICED, STARTS};
use super::{WAY, World};
use birchhub::interface::AttemptOutcome as PickEnd;
use birchhub_audit::event::End;
use birchhub_audit::{Event, State};
use birchhub_model::work::generator;
use birchhub_rehearsal::plan::{Act, Trick};
use rand::Rng;

const STOOD: f64 = 0.02; // s of a pause from which on a proxy notices that it stood still

impl World<'_> {
    #[expect(clippy::too_many_lines)]
    pub(super) fn act(&mut self, act: Act) {
        match act {
            Act::Begin { trouble } => self.tell(Event::Trouble {
                number: trouble,
                begins: true,
            }),
            Act::End { trouble } => self.tell(Event::Trouble {
                number: trouble,
                begins: false,
            }),
            Act::Stall { node, number, on } => self.stall(node, number, on),
            Act::Scale { node, factor } => {
                self.hosts[node as usize].machine *= factor;
                self.change(node, |n, now, repeats, out| {
                    n.scale(now, factor, repeats, out)
                });
            }
            Act::Slow { method, factor } => self.slow[method] *= factor,
            Act::Crash { node } => {
                if let Some(life) = self.end(node) {
                    let line = Line {
                        life,
                        state: State::Gone,
                        started: None,
                    };
                    self.known(node, line, self.scenario.list.notices.0);
                }
            }
            Act::Return { node } => self.begin(node),
            Act::Announce { node } => {
                let host = &mut self.hosts[node as usize];
                if let Some((life, _)) = host.node.as_ref() {
                    let line = Line {
                        life: *life,
                        state: State::Draining,
                        started: host.born,
                    };
                    self.known(node, line, self.scenario.list.lag.0);
                }
            }
            Act::Drain { node } => {
                if let Some((life, n)) = self.hosts[node as usize].node.as_mut() {
                    let life = *life;
                    n.drain();
                    self.tell(Event::Drained { life });
                }
            }
            Act::Retire {
                node,
                by,
                successor,
                after,
            } => {
                if !std::mem::replace(&mut self.hosts[node as usize].retiring, true) {
                    self.retire(node, by, successor, after);
                }
            }
            Act::Faulty {
                node,
                number,
                fault,
                on: true,
            } => {
                self.hosts[node as usize].faults.push((number, fault));
            }
            Act::Faulty {
                node,
                number,
                on: false,
                ..
            } => {
                self.hosts[node as usize]
                    .faults
                    .retain(|(n, _)| *n != number);
            }
            Act::ListLate { by } => self.late += by,
            Act::ListDown { down } => {
                for proxy in self.list.set_down(down) {
                    self.to(proxy, WAY, Call::ListFailed);
                }
            }
            Act::ListStale { proxy, stale } => {
                if self.list.set_stale(proxy, stale) {
                    self.tell_news(proxy);
                }
            }
            Act::KillProxy { proxy } => self.kill_proxy(proxy, End::Killed),
            Act::TermProxy { proxy } => {
                if let Some(running) = self.proxies[proxy as usize].as_mut() {
                    running.stopping = true;
                    let process = running.process;
                    self.after(NOTICED, What::Notice { proxy, process });
                    self.after(GO_ON, What::MayEnd { proxy, process });
                }
            }
            Act::StartProxy { proxy } => self.after(
                STARTS,
                What::StartProxy {
                    proxy,
                    since: self.now,
                },
            ),
            Act::PauseProxy { proxy, on } => self.pause(proxy, on),
        }
    }

    pub(super) fn stall(&mut self, place: u32, number: u64, on: bool) {
        let host = &mut self.hosts[place as usize];
        if host.node.is_none() {
            return;
        }
        let before = host.stalls.is_empty();
        if on {
            host.stalls.insert(number);
        } else {
            host.stalls.remove(&number);
        }
        let stands = !host.stalls.is_empty();
        if stands == before {
            self.change(place, |n, now, repeats, out| {
                n.stall(now, stands, repeats, out)
            });
        }
        if !stands {
            let parked = std::mem::take(&mut self.hosts[place as usize].parked);
            parked.into_iter().for_each(|what| self.happen(what));
        }
    }

    pub(super) fn pause(&mut self, proxy: u16, on: bool) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        if on {
            running.paused.get_or_insert(now);
            return;
        }
        let Some(since) = running.paused.take() else {
            return;
        };
        let stood = now - since > STOOD;
        if stood {
            running.behind += now - since;
            // Its wake-up moves with its clock: one that comes early is passed over, and none would follow.
            let process = running.process;
            running.wake = running.wake.map(|at| at + (now - since));
            if let Some(at) = running.wake {
                self.queue.put(
                    at,
                    What::ToProxy {
                        proxy,
                        process,
                        what: Call::Wake,
                    },
                );
            }
        }
        for what in std::mem::take(&mut self.parked[proxy as usize]) {
            // What ran out while it stood still says nothing of the node.
            match what {
                What::ToProxy {
                    what: Call::TimeOut { job },
                    ..
                } if stood => {
                    if self.is_out(job) {
                        self.after(WAY, What::Closed { job });
                        self.pick_ended(job, PickEnd::Cancelled, None);
                    }
                }
                what => self.happen(what),
            }
        }
    }

    /// The fault whose share this pick hits, by the same chance as on sockets.
    pub(super) fn trick(&self, node: u32, attempt: u64) -> Option<Trick> {
        let hit = |(number, trick): &&(u64, Trick)| {
            let share = match trick {
                Trick::Reset(share) | Trick::Half(share) | Trick::Garbage(share) => *share,
                Trick::Mute(share) | Trick::Error(share) | Trick::Trickle(share, _) => *share,
                Trick::Partition(_) => 0.0,
            };
            share > 0.0 && generator(self.plan.seed ^ number, attempt).random::<f64>() < share
        };
        self.hosts[node as usize]
            .faults
            .iter()
            .find(hit)
            .map(|(_, trick)| trick.clone())
    }

    pub(super) fn cut_off(&self, node: u32, proxy: u16) -> bool {
        let cuts = |(_, trick): &(u64, Trick)| match trick {
            Trick::Partition(from) => from.is_none_or(|from| from == proxy),
            _ => false,
        };
        self.hosts[node as usize].faults.iter().any(cuts)
    }
}
