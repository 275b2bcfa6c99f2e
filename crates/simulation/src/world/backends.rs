//! Machines and the backend processes on them.
use super::event::{Call, What};
use super::list::Line;
use super::{LOOK, WAY, World};
use birchhub::interface::{AttemptOutcome as PickEnd, LoadReport};
use birchhub_audit::event::Left;
use birchhub_audit::{Event, State};
use birchhub_model::{Happening, Node, Repeats, Spec, Start};
use birchhub_rehearsal::plan::{PlannedNode, Trick};
use birchhub_rehearsal::scenario::Scenario;
use birchhub_rehearsal::settings;
use std::collections::BTreeSet;

/// One node's machine, and the life on it.
pub(super) struct Host {
    pub(super) spec: Spec,
    pub(super) zone: u32,
    pub(super) rack: u32,
    pub(super) node: Option<(u32, Node)>,
    pub(super) born: Option<f64>,
    pub(super) machine: f64,
    pub(super) stalls: BTreeSet<u64>,
    /// What came while it stood still.
    pub(super) parked: Vec<What>,
    pub(super) faults: Vec<(u64, Trick)>,
    pub(super) held: BTreeSet<u64>,
    pub(super) version: u64,
    pub(super) retiring: bool,
}

pub(super) fn host(scenario: &Scenario, planned: &PlannedNode) -> Host {
    Host {
        spec: settings::spec(scenario, planned),
        zone: planned.zone,
        rack: planned.rack,
        node: None,
        born: None,
        machine: 1.0,
        stalls: BTreeSet::new(),
        parked: Vec::new(),
        faults: Vec::new(),
        held: BTreeSet::new(),
        version: 0,
        retiring: false,
    }
}

impl World<'_> {
    pub(super) fn start(&mut self, place: u32, how: Start) -> u32 {
        let (now, life) = (self.now, self.next_life);
        self.next_life += 1;
        let host = &mut self.hosts[place as usize];
        let mut node = Node::new(host.spec.clone(), now, how);
        node.scale(now, host.machine, &mut self.repeats, &mut Vec::new());
        let able = (host.spec.cores as f64 * host.spec.speed) as f32;
        host.node = Some((life, node));
        host.born = (how == Start::Cold).then_some(now);
        host.stalls.clear();
        self.tell(Event::Born {
            life,
            node: place,
            cold: how == Start::Cold,
            able,
        });
        life
    }

    pub(super) fn begin(&mut self, node: u32) {
        if self.hosts[node as usize].node.is_none() {
            let life = self.start(node, Start::Cold);
            let started = Some(self.now);
            self.known(
                node,
                Line {
                    life,
                    state: State::Ready,
                    started,
                },
                self.scenario.list.lag.0,
            );
        }
    }

    /// Ends a life: what it held is lost to its proxies.
    pub(super) fn end(&mut self, place: u32) -> Option<u32> {
        let host = &mut self.hosts[place as usize];
        let (life, _) = host.node.take()?;
        let held = std::mem::take(&mut host.held);
        let parked = std::mem::take(&mut host.parked);
        host.stalls.clear();
        host.version += 1;
        self.tell(Event::Died { life });
        for job in held {
            self.tell(Event::Left {
                job,
                how: Left::Broken,
            });
            self.back(job, PickEnd::Reset, 0.0);
        }
        for what in parked {
            if let What::AtNode { job, .. } = what {
                self.back(job, PickEnd::Reset, 0.0);
            }
        }
        Some(life)
    }

    pub(super) fn report(&mut self, node: u32) -> Option<LoadReport> {
        let now = self.now;
        let (_, node) = self.hosts[node as usize].node.as_mut()?;
        let load = node.report(now);
        Some(LoadReport {
            in_flight: Some(load.in_flight as f64),
            queued: Some(load.queued as f64),
            utilisation: Some(load.utilisation),
        })
    }

    pub(super) fn node_due(&mut self, place: u32, version: u64) {
        let host = &mut self.hosts[place as usize];
        let Some((_, node)) = host.node.as_mut().filter(|_| host.version == version) else {
            return;
        };
        let mut out = Vec::new();
        node.advance(self.now, &mut self.repeats, &mut out);
        self.happened(place, out);
    }

    /// What happened by itself at a node, and when something will again.
    pub(super) fn happened(&mut self, place: u32, out: Vec<Happening>) {
        for happening in out {
            match happening {
                Happening::Started(job) => self.tell(Event::Started { job }),
                Happening::Finished(job) => {
                    self.tell(Event::Finished { job });
                    self.replied(place, job);
                }
                Happening::Repeated(job) => {
                    self.tell(Event::Repeated { job });
                    self.replied(place, job);
                }
                Happening::Fell => {
                    if let Some((life, _)) = self.hosts[place as usize].node.as_ref() {
                        let life = *life;
                        self.tell(Event::Fell { life });
                        self.end(place);
                    }
                }
            }
        }
        let host = &mut self.hosts[place as usize];
        host.version += 1;
        let version = host.version;
        if let Some(at) = host.node.as_ref().and_then(|(_, node)| node.next_event()) {
            self.queue.put(
                at.max(self.now),
                What::NodeDue {
                    node: place,
                    version,
                },
            );
        }
    }

    pub(super) fn probe_at(&mut self, proxy: u16, process: u32, node: u32) {
        if self.cut_off(node, proxy) {
            // Told as a time-out by the proxy's own clock.
            let what = Call::Probed {
                node,
                how: PickEnd::TimedOut,
                report: None,
            };
            return self.after(
                0.1,
                What::ToProxy {
                    proxy,
                    process,
                    what,
                },
            );
        }
        let host = &mut self.hosts[node as usize];
        if host.node.is_some() && !host.stalls.is_empty() {
            return host.parked.push(What::ProbeAt {
                proxy,
                process,
                node,
            });
        }
        let report = self.report(node);
        let how = if report.is_some() {
            PickEnd::Succeeded
        } else {
            PickEnd::ConnectFailed
        };
        self.after(
            WAY,
            What::ToProxy {
                proxy,
                process,
                what: Call::Probed { node, how, report },
            },
        );
    }

    /// Changes the node of a host, if it has one.
    pub(super) fn change(
        &mut self,
        place: u32,
        act: impl FnOnce(&mut Node, f64, &mut Repeats, &mut Vec<Happening>),
    ) {
        let mut out = Vec::new();
        if let Some((_, node)) = self.hosts[place as usize].node.as_mut() {
            act(node, self.now, &mut self.repeats, &mut out);
            self.happened(place, out);
        }
    }

    pub(super) fn retire(&mut self, place: u32, by: f64, successor: u32, after: f64) {
        let host = &mut self.hosts[place as usize];
        let busy = host
            .node
            .as_ref()
            .is_some_and(|(_, node)| node.in_flight() > 0);
        if busy && self.now < by {
            return self.after(
                LOOK,
                What::Retire {
                    node: place,
                    by,
                    successor,
                    after,
                },
            );
        }
        if let Some(life) = self.end(place) {
            self.known(
                place,
                Line {
                    life,
                    state: State::Gone,
                    started: None,
                },
                self.scenario.list.lag.0,
            );
        }
        self.after(after, What::Begin { node: successor });
    }
}
