//! The thread on which all nodes and the list service live. It plays the acts that concern them, at their times.
#[cfg(test)]
mod tests;

use crate::duration::ScenarioDuration;
use crate::error::RehearsalError;
use crate::extras::Extras;
use crate::plan::{Action, BackendFault, Plan};
use crate::scenario::{LoadReports, Scenario};
use crate::settings;
use birchhub_audit::{EndpointState, Event};
use birchhub_backend_model::{Start, Work};
use birchhub_emulator::discovery_service::{Endpoint, ServiceCapacity};
use birchhub_emulator::relay::{Relay, Window};
use birchhub_emulator::{
    BackendSpec, Clock, DiscoveryService, EmulatedBackend, EventLog, Fault, Fleet, MethodCost,
};
use serde_json::Value;
use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc as threads;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};

const LOOK: f64 = 0.01; // s between looks at whether a node that retires is empty

/// Loopback addresses of a rehearsal: a block of its own, so that two at once don't meet.
#[derive(Clone, Copy, Debug)]
pub struct Block(u8);

impl Block {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = std::process::id()
            .wrapping_mul(7)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        Self(16 + (number % 200) as u8)
    }
    /// Where nodes listen for a proxy; they share addresses when there are more than fit.
    pub fn door(self, proxy: u16, node: u32) -> IpAddr {
        Ipv4Addr::new(127, self.0, proxy as u8, 1 + (node % 250) as u8).into()
    }
    /// Where the list service listens for a proxy. Guards against a port that it is dealt while a node that has not begun to
    /// listen holds it reserved.
    pub fn list(self, proxy: u16) -> IpAddr {
        Ipv4Addr::new(127, self.0, proxy as u8, 251).into()
    }
    /// Where a proxy listens.
    pub fn proxy(self, proxy: u16) -> IpAddr {
        Ipv4Addr::new(127, self.0, 255, 1 + proxy as u8).into()
    }
}

/// What the stage is asked for by the other threads.
pub(crate) enum Ask {
    /// A proxy starts: where its list service is, and the list that it starts with.
    ProxyStarts {
        proxy: u16,
        reply: oneshot::Sender<(SocketAddr, Value)>,
    },
    /// All is over.
    End,
}

/// A way to the stage.
#[derive(Clone)]
pub struct StageDoor(mpsc::Sender<Ask>);

impl StageDoor {
    pub async fn proxy_starts(&self, proxy: u16) -> Option<(SocketAddr, Value)> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Ask::ProxyStarts { proxy, reply }).await.ok()?;
        answer.await.ok()
    }

    pub async fn end(&self) {
        let _ = self.0.send(Ask::End).await;
    }
}

/// Starts the thread; returns once every node listens.
pub(crate) fn start(
    scenario: Scenario,
    plan: Plan,
    extras: Extras,
    event_log: EventLog,
    block: Block,
) -> Result<(StageDoor, std::thread::JoinHandle<()>), RehearsalError> {
    let (ask, asked) = mpsc::channel(64);
    let (ready, started) = threads::channel();
    let body = move || {
        let runtime = match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime,
            Err(fault) => return drop(ready.send(Err(RehearsalError::EventLoop(fault)))),
        };
        LocalSet::new().block_on(&runtime, async move {
            match Stage::set(&scenario, &plan, &extras, event_log, block) {
                Ok(stage) => {
                    let _ = ready.send(Ok(()));
                    stage.play(plan.actions, asked).await;
                }
                Err(fault) => drop(ready.send(Err(RehearsalError::EmulatorListen(fault)))),
            }
        });
    };
    let thread = std::thread::Builder::new()
        .name("stage".into())
        .spawn(body)
        .map_err(RehearsalError::SpawnThread)?;
    started
        .recv()
        .map_err(|_| RehearsalError::EnvironmentNotReady)??;
    Ok((StageDoor(ask), thread))
}

/// Where the proxies find a node: at its own addresses, or at those of the relays before them.
fn doors(
    host: &EmulatedBackend,
    ips: &[IpAddr],
    windows: Option<&Vec<Window>>,
    clock: Clock,
) -> std::io::Result<Vec<SocketAddr>> {
    let own = (0..ips.len() as u16).filter_map(|proxy| host.address(proxy));
    let Some(windows) = windows else {
        return Ok(own.collect());
    };
    own.zip(ips)
        .map(|(door, ip)| Relay::start(clock, *ip, door, windows.clone()))
        .collect()
}

struct Stage {
    event_log: EventLog,
    fleet: Rc<Fleet>,
    hosts: Vec<Rc<EmulatedBackend>>,
    list: Rc<DiscoveryService>,
    lines: Vec<Endpoint>,
    lag: f64,
    notices: f64,
    /// How much later than usual the list service tells.
    late: Cell<f64>,
}

impl Stage {
    #[expect(clippy::too_many_lines)]
    fn set(
        scenario: &Scenario,
        plan: &Plan,
        extras: &Extras,
        event_log: EventLog,
        block: Block,
    ) -> std::io::Result<Rc<Self>> {
        let proxies = scenario.proxies.count as u16;
        let costs = scenario.methods.iter().map(|m| MethodCost {
            name: m.name.clone(),
            work: Work {
                mean: m.mean_work.0,
                spread: m.spread,
            },
            idempotency: m.idempotency(),
        });
        let mut fleet = Fleet::new(event_log.clone(), plan.seed, costs.collect());
        fleet.health_check_work_seconds = scenario.fleet.health_check_work.0;
        fleet.reports_in_responses = scenario.fleet.load_reports == LoadReports::Responses;
        fleet.answers_health_checks = scenario.rules.health_checks_allowed;
        let fleet = Rc::new(fleet);
        let (mut hosts, mut lines) = (Vec::new(), Vec::new());
        for (index, planned) in (0..).zip(&plan.nodes) {
            let machine = &scenario.fleet.machines[planned.machine];
            let spec = settings::spec(scenario, planned);
            let (zone, rack) = (planned.zone, planned.rack);
            let idle_timeout_seconds = scenario.fleet.idle_timeout.0;
            let backend_spec = BackendSpec {
                index,
                name: planned.name.clone(),
                zone,
                rack,
                model: spec,
                idle_timeout_seconds,
            };
            let ips: Vec<_> = (0..proxies).map(|proxy| block.door(proxy, index)).collect();
            let host = EmulatedBackend::new(backend_spec, fleet.clone(), &ips)?;
            lines.push(Endpoint {
                name: planned.name.clone(),
                zone: scenario.fleet.zones[zone as usize].clone(),
                rack: u64::from(zone) << 16 | u64::from(rack),
                machine: machine.name.clone(),
                capacity: 1.0,
                addresses: doors(&host, &ips, extras.links.get(&index), event_log.clock)?,
                state: EndpointState::Ready,
                incarnation: 0,
                boot_ms: 0.0,
            });
            hosts.push(host);
        }
        let doors: Vec<_> = (0..proxies).map(|proxy| block.list(proxy)).collect();
        let list = DiscoveryService::start(event_log.clone(), &doors)?;
        if let Some(calls) = scenario.discovery.max_concurrent_calls {
            let time = |span: ScenarioDuration| Duration::from_secs_f64(span.0);
            list.set_capacity(ServiceCapacity::new(
                calls,
                time(scenario.discovery.call_duration),
                time(scenario.discovery.duration_per_endpoint),
            ));
        }
        let (lag, notices) = (
            scenario.discovery.update_delay.0,
            scenario.discovery.failure_detection_delay.0,
        );
        let stage = Self {
            event_log,
            fleet,
            hosts,
            list,
            lines,
            lag,
            notices,
            late: Cell::new(0.0),
        };
        for n in 0..plan.first_nodes() {
            let incarnation = stage.hosts[n].start(Start::Warm)?;
            stage.list.update_endpoint(
                n as u32,
                Endpoint {
                    incarnation,
                    ..stage.lines[n].clone()
                },
            );
        }
        Ok(Rc::new(stage))
    }

    /// Plays the acts until the end is asked for.
    async fn play(self: Rc<Self>, acts: Vec<(f64, Action)>, mut asked: mpsc::Receiver<Ask>) {
        let player = self.clone();
        let acts = spawn_local(async move {
            for (at, act) in acts.into_iter().filter(|(_, act)| !act.is_of_proxies()) {
                player.event_log.clock.sleep_until(at).await;
                player.act(act);
            }
        });
        while let Some(ask) = asked.recv().await {
            match ask {
                Ask::ProxyStarts { proxy, reply } => {
                    self.list.forget_proxy(proxy);
                    self.event_log.record(Event::ProxyStarted { proxy });
                    if let Some(door) = self.list.address(proxy) {
                        let _ = reply.send((door, self.list.initial_snapshot(proxy)));
                    }
                }
                Ask::End => break,
            }
        }
        acts.abort();
    }

    fn host(&self, node: u32) -> Option<&Rc<EmulatedBackend>> {
        self.hosts.get(node as usize)
    }

    /// The list service knows it after so long, unless something newer of the same node came first.
    fn tell(self: &Rc<Self>, node: u32, incarnation: u32, state: EndpointState, after: f64) {
        let stage = self.clone();
        let now = self.event_log.clock.now();
        let (at, line) = (
            now + after + self.late.get().max(0.0),
            &self.lines[node as usize],
        );
        let boot_ms = if state == EndpointState::Ready {
            self.event_log.clock.unix_ms(now)
        } else {
            0.0
        };
        let line = Endpoint {
            state,
            incarnation,
            boot_ms,
            ..line.clone()
        };
        spawn_local(async move {
            stage.event_log.clock.sleep_until(at).await;
            stage.list.update_endpoint(node, line);
        });
    }

    fn begin(self: &Rc<Self>, node: u32) {
        let Some(host) = self.host(node).filter(|host| host.incarnation().is_none()) else {
            return;
        };
        match host.start(Start::Cold) {
            Ok(incarnation) => self.tell(node, incarnation, EndpointState::Ready, self.lag),
            Err(fault) => log::error!("{} can't start: {fault}", host.spec.name),
        }
    }

    #[expect(clippy::too_many_lines)]
    fn act(self: &Rc<Self>, act: Action) {
        let host = |node| self.host(node);
        match act {
            Action::BeginFault { fault } => self.event_log.record(Event::Fault {
                number: fault,
                begins: true,
            }),
            Action::EndFault { fault } => self.event_log.record(Event::Fault {
                number: fault,
                begins: false,
            }),
            Action::Stall {
                node,
                number,
                on: true,
            } => host(node).into_iter().for_each(|h| h.begin_stall(number)),
            Action::Stall {
                node,
                number,
                on: false,
            } => host(node).into_iter().for_each(|h| h.end_stall(number)),
            Action::ScaleSpeed { node, factor } => host(node)
                .into_iter()
                .for_each(|h| h.scale_machine_speed(factor)),
            Action::SlowMethod { method, factor } => self.fleet.slow_down(method, factor),
            Action::Crash { node } => {
                if let Some((host, incarnation)) =
                    host(node).and_then(|h| Some((h, h.incarnation()?)))
                {
                    host.crash();
                    self.tell(node, incarnation, EndpointState::Gone, self.notices);
                }
            }
            Action::Restart { node } => self.begin(node),
            Action::AnnounceDrain { node } => {
                if let Some(incarnation) = host(node).and_then(|h| h.incarnation()) {
                    self.tell(node, incarnation, EndpointState::Draining, self.lag);
                }
            }
            Action::Drain { node } => host(node).into_iter().for_each(|h| h.drain()),
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
            } => {
                let fault = match fault {
                    BackendFault::ConnectionReset { share } => Fault::ConnectionReset { share },
                    BackendFault::TruncatedResponse { share } => Fault::TruncatedResponse { share },
                    BackendFault::MalformedResponse { share } => Fault::MalformedResponse { share },
                    BackendFault::NoResponse { share } => Fault::NoResponse { share },
                    BackendFault::ErrorResponse { share } => Fault::ErrorResponse { share },
                    BackendFault::SlowResponse {
                        share,
                        extra_seconds,
                    } => Fault::SlowResponse {
                        share,
                        extra_seconds,
                    },
                    BackendFault::Partition { proxy } => Fault::Partition { proxy },
                };
                match host(node) {
                    Some(host) if on => host.begin_fault(number, fault),
                    Some(host) => host.end_fault(number),
                    None => {}
                }
            }
            Action::DelayDiscovery { by } => self.late.set(self.late.get() + by),
            Action::SetDiscoveryDown { down } => self.list.set_down(down),
            Action::SetDiscoveryStale { proxy, stale } => self.list.set_stale(proxy, stale),
            Action::KillProxy { .. }
            | Action::TerminateProxy { .. }
            | Action::StartProxy { .. }
            | Action::PauseProxy { .. }
            | Action::ReloadProxy { .. } => {}
        }
    }

    /// A node that drains ends when it is empty, at the latest at a time, and its successor starts.
    async fn retire(self: Rc<Self>, node: u32, by: f64, successor: u32, after: f64) {
        let clock = self.event_log.clock;
        if let Some(host) = self.host(node) {
            while !host.is_idle() && clock.now() < by {
                clock.sleep_until(clock.now() + LOOK).await;
            }
            if let Some(incarnation) = host.incarnation() {
                host.stop();
                self.tell(node, incarnation, EndpointState::Gone, self.lag);
            }
        }
        clock.sleep_until(clock.now() + after).await;
        self.begin(successor);
    }
}
