//! Execution of planned actions on backends and on the discovery service.
use super::Environment;
use crate::plan::{Action, BackendFault};
use birchhub_audit::{EndpointState, Event};
use birchhub_backend_model::StartMode;
use birchhub_emulator::Fault;
use birchhub_emulator::discovery_service::Endpoint;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Interval at which a retiring backend is checked for remaining work, in seconds.
const IDLE_CHECK_INTERVAL_SECONDS: f64 = 0.01;

impl From<BackendFault> for Fault {
    fn from(fault: BackendFault) -> Self {
        match fault {
            BackendFault::ConnectionReset { share } => Self::ConnectionReset { share },
            BackendFault::TruncatedResponse { share } => Self::TruncatedResponse { share },
            BackendFault::MalformedResponse { share } => Self::MalformedResponse { share },
            BackendFault::NoResponse { share } => Self::NoResponse { share },
            BackendFault::ErrorResponse { share } => Self::ErrorResponse { share },
            BackendFault::SlowResponse {
                share,
                extra_seconds,
            } => Self::SlowResponse {
                share,
                extra_seconds,
            },
            BackendFault::Partition { proxy } => Self::Partition { proxy },
        }
    }
}

impl Environment {
    /// Executes the actions on backends and discovery at their times.
    pub(super) async fn execute_all(self: Rc<Self>, actions: Vec<(f64, Action)>) {
        let own = |(_, action): &(f64, Action)| !action.is_of_proxies();
        for (at, action) in actions.into_iter().filter(own) {
            self.event_log.clock.sleep_until(at).await;
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::BeginFault { fault } => self.record_fault(fault, true),
            Action::EndFault { fault } => self.record_fault(fault, false),
            Action::Stall { node, number, on } => self.set_stall(node, number, on),
            Action::ScaleSpeed { node, factor } => {
                if let Some(backend) = self.backend(node) {
                    backend.scale_machine_speed(factor);
                }
            }
            Action::SlowMethod { method, factor } => self.fleet.scale_method_work(method, factor),
            Action::Crash { node } => self.crash(node),
            Action::Restart { node } => self.start_backend(node),
            Action::AnnounceDrain { node } => self.announce_drain(node),
            Action::Drain { node } => {
                if let Some(backend) = self.backend(node) {
                    backend.drain();
                }
            }
            Action::Retire {
                node,
                by,
                successor,
                after,
            } => drop(spawn_local(self.clone().retire(node, by, successor, after))),
            Action::InjectFault {
                node,
                number,
                fault,
                on,
            } => self.set_fault(node, number, fault, on),
            Action::DelayDiscovery { by } => {
                self.extra_discovery_lag_seconds
                    .set(self.extra_discovery_lag_seconds.get() + by);
            }
            Action::SetDiscoveryDown { down } => self.discovery.set_down(down),
            Action::SetDiscoveryStale { proxy, stale } => self.discovery.set_stale(proxy, stale),
            Action::KillProxy { .. }
            | Action::TerminateProxy { .. }
            | Action::StartProxy { .. }
            | Action::PauseProxy { .. }
            | Action::ReloadProxy { .. } => {}
        }
    }

    fn record_fault(&self, number: u16, begins: bool) {
        self.event_log.record(Event::Fault {
            index: number,
            begins,
        });
    }

    fn set_stall(&self, node: u32, number: u64, on: bool) {
        match self.backend(node) {
            Some(backend) if on => backend.begin_stall(number),
            Some(backend) => backend.end_stall(number),
            None => {}
        }
    }

    fn set_fault(&self, node: u32, number: u64, fault: BackendFault, on: bool) {
        match self.backend(node) {
            Some(backend) if on => backend.begin_fault(number, fault.into()),
            Some(backend) => backend.end_fault(number),
            None => {}
        }
    }

    fn crash(self: &Rc<Self>, node: u32) {
        let Some(backend) = self.backend(node) else {
            return;
        };
        let Some(incarnation) = backend.incarnation() else {
            return;
        };
        backend.crash();
        let delay_seconds = self.crash_detection_seconds;
        self.publish(node, incarnation, EndpointState::Gone, delay_seconds);
    }

    fn announce_drain(self: &Rc<Self>, node: u32) {
        let incarnation = self.backend(node).and_then(|backend| backend.incarnation());
        if let Some(incarnation) = incarnation {
            let delay_seconds = self.discovery_lag_seconds;
            self.publish(node, incarnation, EndpointState::Draining, delay_seconds);
        }
    }

    /// Starts a backend that does not run, cold.
    fn start_backend(self: &Rc<Self>, node: u32) {
        let Some(backend) = self.backend(node) else {
            return;
        };
        if backend.incarnation().is_some() {
            return;
        }
        let delay_seconds = self.discovery_lag_seconds;
        match backend.start(StartMode::Cold) {
            Ok(incarnation) => {
                self.publish(node, incarnation, EndpointState::Ready, delay_seconds);
            }
            Err(error) => log::error!("{} can't start: {error}", backend.spec.name),
        }
    }

    /// Stops a draining backend when it is idle, at the latest at `by`, and starts its successor `after` seconds later.
    async fn retire(self: Rc<Self>, node: u32, by: f64, successor: u32, after: f64) {
        let clock = self.event_log.clock;
        if let Some(backend) = self.backend(node) {
            while !backend.is_idle() && clock.now() < by {
                clock
                    .sleep_until(clock.now() + IDLE_CHECK_INTERVAL_SECONDS)
                    .await;
            }
            if let Some(incarnation) = backend.incarnation() {
                backend.stop();
                let delay_seconds = self.discovery_lag_seconds;
                self.publish(node, incarnation, EndpointState::Gone, delay_seconds);
            }
        }
        clock.sleep_until(clock.now() + after).await;
        self.start_backend(successor);
    }

    /// Publishes the state of a backend after a delay, in seconds; an update with a newer state may come first.
    fn publish(
        self: &Rc<Self>,
        node: u32,
        incarnation: u32,
        state: EndpointState,
        delay_seconds: f64,
    ) {
        let now = self.event_log.clock.now();
        let extra_seconds = self.extra_discovery_lag_seconds.get().max(0.0);
        let at = now + delay_seconds + extra_seconds;
        let boot_ms = if state == EndpointState::Ready {
            self.event_log.clock.unix_ms(now)
        } else {
            0.0
        };
        let endpoint = Endpoint {
            state,
            incarnation,
            boot_ms,
            ..self.endpoints[node as usize].clone()
        };
        let environment = self.clone();
        spawn_local(async move {
            environment.event_log.clock.sleep_until(at).await;
            environment.discovery.update_endpoint(node, endpoint);
        });
    }
}
