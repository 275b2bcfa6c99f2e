//! Planned actions: faults of machines, proxies and the endpoint list service, and deployments.
use super::endpoint_list::ListEntry;
use super::event::{ProcessEvent, SimulationEvent};
use super::machine::InjectedFault;
use super::retirement::Retirement;
use super::{NETWORK_DELAY_SECONDS, World};
use birchhub::interface::AttemptOutcome;
use birchhub_audit::event::ProxyEnd;
use birchhub_audit::{EndpointState, Event};
use birchhub_backend_model::work::seeded_rng;
use birchhub_rehearsal::plan::{Action, BackendFault};
use rand::Rng;

/// Shortest pause in seconds that a proxy detects. It then excludes the pause from its clock, and does not attribute attempt
/// timeouts during the pause to a backend.
const MIN_DETECTED_PAUSE_SECONDS: f64 = 0.02;

impl World<'_> {
    /// Executes a planned action.
    pub(super) fn apply_planned_action(&mut self, action: Action) {
        match action {
            Action::BeginFault { fault } => self.record_fault(fault, true),
            Action::EndFault { fault } => self.record_fault(fault, false),
            Action::Stall { node, number, on } => self.set_stalled(node, number, on),
            Action::ScaleSpeed { node, factor } => self.scale_machine(node, factor),
            Action::SlowMethod { method, factor } => self.method_slowdown[method] *= factor,
            Action::Crash { node } => {
                self.remove_backend(node, self.scenario.discovery.failure_detection_delay.0)
            }
            Action::Restart { node } => self.start_backend_cold(node),
            Action::AnnounceDrain { node } => self.announce_drain(node),
            Action::Drain { node } => self.drain_backend(node),
            Action::Retire {
                node,
                by,
                successor,
                after,
            } => self.start_retirement(Retirement {
                node,
                deadline: by,
                successor,
                successor_delay: after,
            }),
            Action::InjectFault {
                node,
                number,
                fault,
                on,
            } => self.set_injected_fault(node, number, fault, on),
            Action::DelayDiscovery { by } => self.list_delay += by,
            Action::SetDiscoveryDown { down } => self.set_list_down(down),
            Action::SetDiscoveryStale { proxy, stale } => self.set_list_stale(proxy, stale),
            Action::KillProxy { proxy } => self.kill_proxy(proxy, ProxyEnd::Killed),
            Action::TerminateProxy { proxy } => self.terminate_proxy(proxy),
            Action::StartProxy { proxy } => self.schedule_proxy_start(proxy, self.now),
            Action::PauseProxy { proxy, on: true } => self.pause_proxy(proxy),
            Action::PauseProxy { proxy, on: false } => self.resume_proxy(proxy),
            // The settings are unchanged, so a reload has no effect.
            Action::ReloadProxy { .. } => {}
        }
    }

    fn record_fault(&mut self, number: u16, begins: bool) {
        self.record(Event::Fault {
            index: number,
            begins,
        });
    }

    fn scale_machine(&mut self, node: u32, factor: f64) {
        self.machines[node as usize].capacity_factor *= factor;
        self.change_backend(node, |node, now, deduplication, events| {
            node.scale(now, factor, deduplication, events)
        });
    }

    /// Schedules the publication of a backend as draining.
    fn announce_drain(&mut self, node: u32) {
        let machine = &self.machines[node as usize];
        if let Some(incarnation) = machine.incarnation() {
            let list_entry = ListEntry {
                incarnation,
                state: EndpointState::Draining,
                started: machine.cold_started_at,
            };
            self.schedule_publication(node, list_entry, self.scenario.discovery.update_delay.0);
        }
    }

    /// Starts draining a backend, which then rejects new work.
    fn drain_backend(&mut self, node: u32) {
        if let Some(backend) = self.machines[node as usize].backend.as_mut() {
            let incarnation = backend.incarnation;
            backend.model.drain();
            self.record(Event::BackendDraining { incarnation });
        }
    }

    fn start_retirement(&mut self, retirement: Retirement) {
        let machine = &mut self.machines[retirement.node as usize];
        if !std::mem::replace(&mut machine.retiring, true) {
            self.retire_backend(retirement);
        }
    }

    fn set_injected_fault(&mut self, node: u32, number: u64, kind: BackendFault, on: bool) {
        let faults = &mut self.machines[node as usize].faults;
        if on {
            faults.push(InjectedFault { number, kind });
        } else {
            faults.retain(|fault| fault.number != number);
        }
    }

    fn set_list_down(&mut self, down: bool) {
        for proxy in self.list.set_down(down) {
            self.send_to_process(proxy, NETWORK_DELAY_SECONDS, ProcessEvent::ListFailed);
        }
    }

    fn set_list_stale(&mut self, proxy: u16, stale: bool) {
        if self.list.set_stale(proxy, stale) {
            self.send_endpoint_update(proxy);
        }
    }

    /// Begins or ends a stall of a machine. Events that arrive during stalls are handled when the last one ends.
    fn set_stalled(&mut self, node: u32, number: u64, on: bool) {
        let machine = &mut self.machines[node as usize];
        if machine.backend.is_none() {
            return;
        }
        let was_stalled = !machine.stalls.is_empty();
        if on {
            machine.stalls.insert(number);
        } else {
            machine.stalls.remove(&number);
        }
        let is_stalled = !machine.stalls.is_empty();
        if is_stalled != was_stalled {
            self.change_backend(node, |node, now, deduplication, events| {
                node.stall(now, is_stalled, deduplication, events)
            });
        }
        if !is_stalled {
            let deferred_events = std::mem::take(&mut self.machines[node as usize].deferred_events);
            for event in deferred_events {
                self.dispatch(event);
            }
        }
    }

    fn pause_proxy(&mut self, proxy: u16) {
        let now = self.now;
        if let Some(running) = self.proxies[proxy as usize].as_mut() {
            running.paused_at.get_or_insert(now);
        }
    }

    /// Resumes a paused proxy, which then handles the events that arrived during the pause.
    fn resume_proxy(&mut self, proxy: u16) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let Some(since) = running.paused_at.take() else {
            return;
        };
        let is_detected = now - since > MIN_DETECTED_PAUSE_SECONDS;
        if is_detected {
            self.set_clock_back(proxy, now - since);
        }
        for event in std::mem::take(&mut self.deferred_events[proxy as usize]) {
            match event {
                // A timeout during a detected pause is no evidence against the backend.
                SimulationEvent::ToProcess {
                    event: ProcessEvent::AttemptTimeout { attempt_id },
                    ..
                } if is_detected => self.abort_attempt(attempt_id, AttemptOutcome::Cancelled),
                event => self.dispatch(event),
            }
        }
    }

    /// Sets a proxy's clock back by the duration of a pause and reschedules its timer accordingly; the timer event that was
    /// scheduled before is ignored.
    fn set_clock_back(&mut self, proxy: u16, pause: f64) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        running.clock_lag += pause;
        running.timer_at = running.timer_at.map(|at| at + pause);
        let process = running.id;
        if let Some(at) = running.timer_at {
            self.schedule_timer_event(process, at);
        }
    }

    /// Returns the fault that affects an attempt at a machine. It is drawn for each attempt, with the same probability as in
    /// rehearsals on sockets.
    pub(super) fn injected_fault(&self, node: u32, request_id: u64) -> Option<BackendFault> {
        let affects = |fault: &&InjectedFault| {
            let share = affected_share(&fault.kind);
            let seed = self.plan.seed ^ fault.number;
            share > 0.0 && seeded_rng(seed, request_id).random::<f64>() < share
        };
        let fault = self.machines[node as usize].faults.iter().find(affects);
        fault.map(|fault| fault.kind.clone())
    }

    /// Returns whether a partition separates a machine from a proxy.
    pub(super) fn is_partitioned(&self, node: u32, proxy: u16) -> bool {
        let mut faults = self.machines[node as usize].faults.iter();
        faults.any(|fault| match fault.kind {
            BackendFault::Partition { proxy: blocked } => {
                blocked.is_none_or(|blocked| blocked == proxy)
            }
            _ => false,
        })
    }
}

/// Returns the fraction of the attempts at a machine that a fault affects.
fn affected_share(kind: &BackendFault) -> f64 {
    match kind {
        BackendFault::ConnectionReset { share }
        | BackendFault::TruncatedResponse { share }
        | BackendFault::MalformedResponse { share } => *share,
        BackendFault::NoResponse { share }
        | BackendFault::ErrorResponse { share }
        | BackendFault::SlowResponse { share, .. } => *share,
        BackendFault::Partition { .. } => 0.0,
    }
}
