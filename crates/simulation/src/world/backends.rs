//! Machines and the backend processes on them.
use super::endpoint_list::ListEntry;
use super::event::{ProcessEvent, SimulationEvent};
use super::{NETWORK_DELAY, POLL_INTERVAL, World};
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_audit::event::Left;
use birchhub_audit::{Event, State};
use birchhub_model::{Happening, Node, Repeats, Spec, Start};
use birchhub_rehearsal::plan::{PlannedNode, Trick};
use birchhub_rehearsal::scenario::Scenario;
use birchhub_rehearsal::settings;
use std::collections::BTreeSet;

/// One node's machine, and the life on it.
pub(super) struct Machine {
    pub(super) spec: Spec,
    pub(super) zone: u32,
    pub(super) rack: u32,
    pub(super) node: Option<(u32, Node)>,
    pub(super) cold_started_at: Option<f64>,
    pub(super) capacity_factor: f64,
    pub(super) stalls: BTreeSet<u64>,
    /// What came while it stood still.
    pub(super) deferred_events: Vec<SimulationEvent>,
    pub(super) faults: Vec<(u64, Trick)>,
    pub(super) held_jobs: BTreeSet<u64>,
    pub(super) version: u64,
    pub(super) retiring: bool,
}

pub(super) fn machine(scenario: &Scenario, planned: &PlannedNode) -> Machine {
    Machine {
        spec: settings::spec(scenario, planned),
        zone: planned.zone,
        rack: planned.rack,
        node: None,
        cold_started_at: None,
        capacity_factor: 1.0,
        stalls: BTreeSet::new(),
        deferred_events: Vec::new(),
        faults: Vec::new(),
        held_jobs: BTreeSet::new(),
        version: 0,
        retiring: false,
    }
}

impl World<'_> {
    pub(super) fn start_backend(&mut self, machine_index: u32, how: Start) -> u32 {
        let (now, life) = (self.now, self.next_life);
        self.next_life += 1;
        let machine = &mut self.machines[machine_index as usize];
        let mut node = Node::new(machine.spec.clone(), now, how);
        node.scale(
            now,
            machine.capacity_factor,
            &mut self.repeats,
            &mut Vec::new(),
        );
        let able = (machine.spec.cores as f64 * machine.spec.speed) as f32;
        machine.node = Some((life, node));
        machine.cold_started_at = (how == Start::Cold).then_some(now);
        machine.stalls.clear();
        self.record(Event::Born {
            life,
            node: machine_index,
            cold: how == Start::Cold,
            able,
        });
        life
    }

    pub(super) fn start_backend_cold(&mut self, node: u32) {
        if self.machines[node as usize].node.is_none() {
            let life = self.start_backend(node, Start::Cold);
            let started = Some(self.now);
            self.schedule_publication(
                node,
                ListEntry {
                    life,
                    state: State::Ready,
                    started,
                },
                self.scenario.list.lag.0,
            );
        }
    }

    /// Ends a life: what it held is lost to its proxies.
    pub(super) fn stop_backend(&mut self, machine_index: u32) -> Option<u32> {
        let machine = &mut self.machines[machine_index as usize];
        let (life, _) = machine.node.take()?;
        let held_jobs = std::mem::take(&mut machine.held_jobs);
        let deferred_events = std::mem::take(&mut machine.deferred_events);
        machine.stalls.clear();
        machine.version += 1;
        self.record(Event::Died { life });
        for job in held_jobs {
            self.record(Event::Left {
                job,
                how: Left::Broken,
            });
            self.send_outcome(job, AttemptOutcome::Reset, 0.0);
        }
        for event in deferred_events {
            if let SimulationEvent::AttemptAtBackend { job, .. } = event {
                self.send_outcome(job, AttemptOutcome::Reset, 0.0);
            }
        }
        Some(life)
    }

    pub(super) fn load_report(&mut self, node: u32) -> Option<LoadReport> {
        let now = self.now;
        let (_, node) = self.machines[node as usize].node.as_mut()?;
        let load = node.report(now);
        Some(LoadReport {
            in_flight: Some(load.in_flight as f64),
            queued: Some(load.queued as f64),
            utilisation: Some(load.utilisation),
        })
    }

    pub(super) fn advance_backend(&mut self, machine_index: u32, version: u64) {
        let machine = &mut self.machines[machine_index as usize];
        let Some((_, node)) = machine.node.as_mut().filter(|_| machine.version == version) else {
            return;
        };
        let mut out = Vec::new();
        node.advance(self.now, &mut self.repeats, &mut out);
        self.apply_happenings(machine_index, out);
    }

    /// What happened by itself at a node, and when something will again.
    pub(super) fn apply_happenings(&mut self, machine_index: u32, out: Vec<Happening>) {
        for happening in out {
            match happening {
                Happening::Started(job) => self.record(Event::Started { job }),
                Happening::Finished(job) => {
                    self.record(Event::Finished { job });
                    self.send_reply(machine_index, job);
                }
                Happening::Repeated(job) => {
                    self.record(Event::Repeated { job });
                    self.send_reply(machine_index, job);
                }
                Happening::Fell => {
                    if let Some((life, _)) = self.machines[machine_index as usize].node.as_ref() {
                        let life = *life;
                        self.record(Event::Fell { life });
                        self.stop_backend(machine_index);
                    }
                }
            }
        }
        let machine = &mut self.machines[machine_index as usize];
        machine.version += 1;
        let version = machine.version;
        if let Some(at) = machine
            .node
            .as_ref()
            .and_then(|(_, node)| node.next_event())
        {
            self.queue.put(
                at.max(self.now),
                SimulationEvent::BackendDue {
                    node: machine_index,
                    version,
                },
            );
        }
    }

    pub(super) fn answer_health_check(&mut self, proxy: u16, process: u32, node: u32) {
        if self.is_partitioned(node, proxy) {
            // Told as a time-out by the proxy's own clock.
            let event = ProcessEvent::HealthChecked {
                node,
                how: AttemptOutcome::TimedOut,
                report: None,
            };
            return self.schedule(
                0.1,
                SimulationEvent::ToProcess {
                    proxy,
                    process,
                    event,
                },
            );
        }
        let machine = &mut self.machines[node as usize];
        if machine.node.is_some() && !machine.stalls.is_empty() {
            return machine
                .deferred_events
                .push(SimulationEvent::HealthCheckAtBackend {
                    proxy,
                    process,
                    node,
                });
        }
        let report = self.load_report(node);
        let how = if report.is_some() {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::ConnectFailed
        };
        self.schedule(
            NETWORK_DELAY,
            SimulationEvent::ToProcess {
                proxy,
                process,
                event: ProcessEvent::HealthChecked { node, how, report },
            },
        );
    }

    /// Changes the node of a host, if it has one.
    pub(super) fn change_backend(
        &mut self,
        machine_index: u32,
        change: impl FnOnce(&mut Node, f64, &mut Repeats, &mut Vec<Happening>),
    ) {
        let mut out = Vec::new();
        if let Some((_, node)) = self.machines[machine_index as usize].node.as_mut() {
            change(node, self.now, &mut self.repeats, &mut out);
            self.apply_happenings(machine_index, out);
        }
    }

    pub(super) fn retire_backend(
        &mut self,
        machine_index: u32,
        by: f64,
        successor: u32,
        after: f64,
    ) {
        let machine = &mut self.machines[machine_index as usize];
        let busy = machine
            .node
            .as_ref()
            .is_some_and(|(_, node)| node.in_flight() > 0);
        if busy && self.now < by {
            return self.schedule(
                POLL_INTERVAL,
                SimulationEvent::RetireBackend {
                    node: machine_index,
                    by,
                    successor,
                    after,
                },
            );
        }
        if let Some(life) = self.stop_backend(machine_index) {
            self.schedule_publication(
                machine_index,
                ListEntry {
                    life,
                    state: State::Gone,
                    started: None,
                },
                self.scenario.list.lag.0,
            );
        }
        self.schedule(after, SimulationEvent::StartBackend { node: successor });
    }
}
