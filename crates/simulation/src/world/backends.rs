//! The life cycle of backends, their load reports and health checks.
use super::endpoint_list::ListEntry;
use super::event::{ProcessEvent, SimulationEvent};
use super::machine::BackendProcess;
use super::process::ProcessId;
use super::retirement::Retirement;
use super::{DRAIN_CHECK_SECONDS, NETWORK_DELAY_SECONDS, World};
use birchhub::interface::{AttemptOutcome, LoadReport};
use birchhub_audit::event::AttemptEnd;
use birchhub_audit::{EndpointState, Event};
use birchhub_backend_model::{Backend, BackendEvent, DeduplicationCache, StartMode};

/// Timeout of a health check in seconds, by the proxy's own clock.
const HEALTH_CHECK_TIMEOUT_SECONDS: f64 = 0.1;

impl World<'_> {
    /// Starts a backend on a machine and returns its incarnation.
    pub(super) fn start_backend(&mut self, node: u32, mode: StartMode) -> u32 {
        let now = self.now;
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let machine = &mut self.machines[node as usize];
        let factor = machine.capacity_factor;
        let mut model = Backend::new(machine.spec.clone(), now, mode);
        model.scale(now, factor, &mut self.deduplication, &mut Vec::new());
        let warm_capacity = (machine.spec.cores as f64 * machine.spec.speed) as f32;
        machine.backend = Some(BackendProcess { incarnation, model });
        machine.cold_started_at = (mode == StartMode::Cold).then_some(now);
        machine.stalls.clear();
        self.record(Event::BackendStarted {
            incarnation,
            backend: node,
            cold: mode == StartMode::Cold,
            warm_capacity,
        });
        incarnation
    }

    /// Starts a cold backend on a machine without one, and schedules its publication.
    pub(super) fn start_backend_cold(&mut self, node: u32) {
        if self.machines[node as usize].backend.is_some() {
            return;
        }
        let list_entry = ListEntry {
            incarnation: self.start_backend(node, StartMode::Cold),
            state: EndpointState::Ready,
            started: Some(self.now),
        };
        self.schedule_publication(node, list_entry, self.scenario.discovery.update_delay.0);
    }

    /// Ends the backend of a machine and breaks the connections of its attempts. Returns its incarnation.
    fn stop_backend(&mut self, node: u32) -> Option<u32> {
        let machine = &mut self.machines[node as usize];
        let BackendProcess { incarnation, .. } = machine.backend.take()?;
        let attempts_in_flight = std::mem::take(&mut machine.attempts_in_flight);
        let deferred_events = std::mem::take(&mut machine.deferred_events);
        machine.stalls.clear();
        machine.version += 1;
        self.record(Event::BackendEnded { incarnation });
        for attempt_id in attempts_in_flight {
            self.record(Event::AttemptEnded {
                attempt_id,
                how: AttemptEnd::Broken,
            });
            self.send_outcome(attempt_id, AttemptOutcome::Reset, 0.0);
        }
        for event in deferred_events {
            if let SimulationEvent::AttemptAtBackend { attempt_id, .. } = event {
                self.send_outcome(attempt_id, AttemptOutcome::Reset, 0.0);
            }
        }
        Some(incarnation)
    }

    /// Ends the backend of a machine. The endpoint list service learns of it after `delay` seconds.
    pub(super) fn remove_backend(&mut self, node: u32, delay: f64) {
        if let Some(incarnation) = self.stop_backend(node) {
            self.schedule_publication(node, ListEntry::gone(incarnation), delay);
        }
    }

    /// Ends a backend when it is idle or its deadline has passed, and schedules the start of its successor. Otherwise checks
    /// again later.
    pub(super) fn retire_backend(&mut self, retirement: Retirement) {
        let machine = &self.machines[retirement.node as usize];
        let backend = machine.backend.as_ref();
        let is_busy = backend.is_some_and(|backend| backend.model.in_flight() > 0);
        if is_busy && self.now < retirement.deadline {
            let retry = SimulationEvent::RetireBackend(retirement);
            return self.schedule(DRAIN_CHECK_SECONDS, retry);
        }
        self.remove_backend(retirement.node, self.scenario.discovery.update_delay.0);
        let node = retirement.successor;
        self.schedule(
            retirement.successor_delay,
            SimulationEvent::StartBackend { node },
        );
    }

    /// Returns the current load report of a machine's backend.
    pub(super) fn load_report(&mut self, node: u32) -> Option<LoadReport> {
        let now = self.now;
        let backend = self.machines[node as usize].backend.as_mut()?;
        let load = backend.model.report(now);
        Some(LoadReport {
            in_flight: Some(load.in_flight as f64),
            queued: Some(load.queued as f64),
            utilisation: Some(load.utilisation),
        })
    }

    /// Advances a backend to its scheduled event, unless a later version has superseded that.
    pub(super) fn advance_backend(&mut self, node: u32, version: u64) {
        if self.machines[node as usize].version == version {
            self.change_backend(node, |node, now, deduplication, events| {
                node.advance(now, deduplication, events)
            });
        }
    }

    /// Changes the model of a machine's backend, if there is one, and applies the resulting events.
    pub(super) fn change_backend(
        &mut self,
        node: u32,
        change: impl FnOnce(&mut Backend, f64, &mut DeduplicationCache, &mut Vec<BackendEvent>),
    ) {
        let mut events = Vec::new();
        if let Some(backend) = self.machines[node as usize].backend.as_mut() {
            change(
                &mut backend.model,
                self.now,
                &mut self.deduplication,
                &mut events,
            );
            self.apply_backend_events(node, events);
        }
    }

    /// Records the events of a backend, sends its responses and schedules its next event.
    pub(super) fn apply_backend_events(&mut self, node: u32, events: Vec<BackendEvent>) {
        for event in events {
            match event {
                BackendEvent::Started(attempt_id) => {
                    self.record(Event::ExecutionStarted { attempt_id })
                }
                BackendEvent::Finished(attempt_id) => {
                    self.record(Event::ExecutionFinished { attempt_id });
                    self.send_backend_response(node, attempt_id);
                }
                BackendEvent::DuplicateDropped(attempt_id) => {
                    self.record(Event::DuplicateDropped { attempt_id });
                    self.send_backend_response(node, attempt_id);
                }
                BackendEvent::Collapsed => {
                    if let Some(incarnation) = self.machines[node as usize].incarnation() {
                        self.record(Event::BackendCollapsed { incarnation });
                        self.stop_backend(node);
                    }
                }
            }
        }
        self.schedule_backend(node);
    }

    fn schedule_backend(&mut self, node: u32) {
        let machine = &mut self.machines[node as usize];
        machine.version += 1;
        let version = machine.version;
        let backend = machine.backend.as_ref();
        if let Some(at) = backend.and_then(|backend| backend.model.next_event()) {
            self.queue.push(
                at.max(self.now),
                SimulationEvent::BackendDue { node, version },
            );
        }
    }

    /// Delivers a health check to a machine. It times out across a partition, is deferred during a stall, and fails to connect
    /// if no backend runs.
    pub(super) fn deliver_health_check(&mut self, process: ProcessId, node: u32) {
        if self.is_partitioned(node, process.proxy) {
            let event = ProcessEvent::HealthChecked {
                node,
                outcome: AttemptOutcome::TimedOut,
                report: None,
            };
            let timeout = SimulationEvent::ToProcess { process, event };
            return self.schedule(HEALTH_CHECK_TIMEOUT_SECONDS, timeout);
        }
        let machine = &mut self.machines[node as usize];
        if machine.is_stalled() {
            let arrival = SimulationEvent::HealthCheckAtBackend { process, node };
            return machine.deferred_events.push(arrival);
        }
        let report = self.load_report(node);
        let outcome = if report.is_some() {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::ConnectFailed
        };
        let event = ProcessEvent::HealthChecked {
            node,
            outcome,
            report,
        };
        self.schedule(
            NETWORK_DELAY_SECONDS,
            SimulationEvent::ToProcess { process, event },
        );
    }
}
