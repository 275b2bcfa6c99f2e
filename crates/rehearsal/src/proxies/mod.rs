//! The proxies' processes, which are started, signalled and ended here only, and the load balancer in front of them.
mod load_balancer;
mod start;

pub use load_balancer::{FrontLoadBalancer, assign_proxy};

use crate::environment::{AddressBlock, EnvironmentHandle};
use crate::error::RehearsalError;
use crate::hooks::Hooks;
use crate::options::Options;
use crate::plan::{Action, proxy_name};
use crate::scenario::Scenario;
use birchhub_audit::Event;
use birchhub_audit::event::ProxyEnd;
use birchhub_emulator::EventLog;
use birchhub_emulator::wire::pick_addresses;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::cell::RefCell;
use std::path::PathBuf;
use std::process::Child;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Interval at which the state of a process is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest deadline that a proxy is given to end after SIGTERM, in seconds.
const MAX_DEADLINE_SECONDS: f64 = 3.0;
/// Time beyond the longest deadline that a proxy is given to end after SIGTERM, in seconds.
const SHUTDOWN_MARGIN_SECONDS: f64 = 0.7;
/// Delay until the load balancer stops using a proxy that received SIGTERM, in seconds.
const PLANNED_REMOVAL_DELAY_SECONDS: f64 = 0.3;

/// A proxy's process, which is killed when its owner is dropped.
struct Process {
    child: Child,
    /// When SIGTERM was sent.
    terminated_at: Option<Instant>,
}

impl Process {
    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Kills the process and waits for its end.
    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// The processes of all proxies.
pub struct Proxies {
    scenario: Scenario,
    options: Options,
    hooks: Hooks,
    event_log: EventLog,
    environment: EnvironmentHandle,
    /// Load balancer through which the clients reach the proxies.
    pub front: Arc<FrontLoadBalancer>,
    processes: Vec<RefCell<Option<Process>>>,
}

impl Proxies {
    /// Reserves an address for each proxy; starts none.
    ///
    /// # Errors
    ///
    /// Returns [`RehearsalError::ReservePorts`] if an address is not available.
    pub fn new(
        scenario: &Scenario,
        options: &Options,
        hooks: &Hooks,
        event_log: EventLog,
        environment: EnvironmentHandle,
        block: AddressBlock,
    ) -> Result<Rc<Self>, RehearsalError> {
        let count = scenario.proxies.count;
        let ips: Vec<_> = (0..count as u16).map(|proxy| block.proxy(proxy)).collect();
        // No other process uses this rehearsal's addresses, so the ports are still free when the proxies start.
        let addresses = pick_addresses(&ips).map_err(RehearsalError::ReservePorts)?;
        let all_false = || (0..count).map(|_| AtomicBool::new(false)).collect();
        let front = Arc::new(FrontLoadBalancer {
            addresses,
            in_rotation: all_false(),
            is_ending: all_false(),
            zones: scenario.fleet.zones.len(),
        });
        Ok(Rc::new(Self {
            scenario: scenario.clone(),
            options: options.clone(),
            hooks: hooks.clone(),
            event_log,
            environment,
            front,
            processes: (0..count).map(|_| RefCell::new(None)).collect(),
        }))
    }

    fn path(&self, proxy: u16, ending: &str) -> PathBuf {
        self.options
            .out
            .join(format!("{}.{ending}", proxy_name(proxy)))
    }

    /// Removes a process that has ended by itself and returns how it ended.
    fn reap(&self, proxy: u16) -> Option<ProxyEnd> {
        let mut slot = self.processes[proxy as usize].borrow_mut();
        let process = slot.as_mut()?;
        if !matches!(process.child.try_wait(), Ok(Some(_))) {
            return None;
        }
        let how = if process.terminated_at.is_some() {
            ProxyEnd::Stopped
        } else {
            ProxyEnd::Crashed
        };
        *slot = None;
        Some(how)
    }

    /// Takes a proxy out of rotation after a delay in seconds, with which the load balancer detects its end.
    fn remove_from_rotation(self: &Rc<Self>, proxy: u16, delay_seconds: f64) {
        let proxies = self.clone();
        spawn_local(async move {
            sleep(Duration::from_secs_f64(delay_seconds)).await;
            // A process that has started meanwhile stays in rotation.
            if proxies.processes[proxy as usize]
                .borrow()
                .as_ref()
                .is_none_or(|process| process.terminated_at.is_some())
            {
                proxies.front.set_in_rotation(proxy, false);
            }
        });
    }

    /// Records the end of a process; the load balancer detects it later.
    fn record_end(self: &Rc<Self>, proxy: u16, how: ProxyEnd) {
        self.event_log.record(Event::ProxyEnded { proxy, how });
        self.remove_from_rotation(proxy, self.scenario.proxies.front_detection_delay.0);
    }

    /// Executes the actions on proxies at their times, and records processes that end by themselves.
    pub async fn execute_all(self: Rc<Self>, actions: Vec<(f64, Action)>) {
        let watcher = self.clone();
        spawn_local(async move {
            loop {
                sleep(CHECK_INTERVAL).await;
                for proxy in 0..watcher.processes.len() as u16 {
                    if let Some(how) = watcher.reap(proxy) {
                        if how == ProxyEnd::Crashed {
                            log::error!("{} ended by itself", proxy_name(proxy));
                        }
                        watcher.record_end(proxy, how);
                    }
                }
            }
        });
        for (at, action) in actions
            .into_iter()
            .filter(|(_, action)| action.is_of_proxies())
        {
            self.event_log.clock.sleep_until(at).await;
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        let signal = |proxy: u16, signal| {
            if let Some(process) = self.processes[proxy as usize].borrow().as_ref() {
                process.signal(signal);
            }
        };
        match action {
            Action::KillProxy { proxy } => self.kill(proxy, ProxyEnd::Killed),
            Action::PauseProxy { proxy, on } => {
                signal(proxy, if on { Signal::SIGSTOP } else { Signal::SIGCONT })
            }
            Action::TerminateProxy { proxy } => {
                if let Some(process) = self.processes[proxy as usize].borrow_mut().as_mut() {
                    process.terminated_at.get_or_insert_with(Instant::now);
                    process.signal(Signal::SIGTERM);
                    self.front.set_ending(proxy, true);
                }
                self.remove_from_rotation(proxy, PLANNED_REMOVAL_DELAY_SECONDS);
            }
            Action::ReloadProxy { proxy } => signal(proxy, Signal::SIGHUP),
            Action::StartProxy { proxy } => drop(spawn_local(self.clone().restart(proxy))),
            _ => {}
        }
    }

    /// Kills a process; its end is recorded first, before any other event can show it.
    fn kill(self: &Rc<Self>, proxy: u16, how: ProxyEnd) {
        let process = self.processes[proxy as usize].borrow_mut().take();
        if let Some(mut process) = process {
            self.record_end(proxy, how);
            process.end();
        }
    }

    /// Starts a proxy after its previous process has ended, which is killed if it exceeds its time to shut down, counted from
    /// SIGTERM. Does nothing if a process runs that was not told to end: another restart has started it.
    async fn restart(self: Rc<Self>, proxy: u16) {
        loop {
            let terminated_at = match self.processes[proxy as usize].borrow().as_ref() {
                Some(process) => process.terminated_at,
                None => break,
            };
            let Some(terminated_at) = terminated_at else {
                return;
            };
            if terminated_at.elapsed() > self.shutdown_timeout() {
                self.kill(proxy, ProxyEnd::Forced);
                break;
            }
            sleep(CHECK_INTERVAL).await;
        }
        if let Err(error) = self.start(proxy).await {
            log::error!("{error}");
        }
    }

    /// Sends SIGTERM to all proxies and waits for their graceful shutdown; kills those that exceed their time.
    pub async fn end_gracefully(self: &Rc<Self>) {
        for proxy in 0..self.processes.len() as u16 {
            self.execute(Action::PauseProxy { proxy, on: false });
            self.execute(Action::TerminateProxy { proxy });
        }
        let until = Instant::now() + self.shutdown_timeout();
        while Instant::now() < until {
            let running = self.processes.iter().filter(|slot| slot.borrow().is_some());
            if running.count() == 0 {
                return;
            }
            for proxy in 0..self.processes.len() as u16 {
                if let Some(how) = self.reap(proxy) {
                    self.record_end(proxy, how);
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
        for proxy in 0..self.processes.len() as u16 {
            self.kill(proxy, ProxyEnd::Forced);
        }
    }

    /// Returns how long a process may take to end after SIGTERM.
    fn shutdown_timeout(&self) -> Duration {
        let deadlines = self.scenario.methods.iter().map(|m| m.deadline.0);
        let longest = deadlines.fold(0.0, f64::max).min(MAX_DEADLINE_SECONDS);
        Duration::from_secs_f64(longest + SHUTDOWN_MARGIN_SECONDS)
    }

    /// Kills all proxies at the end of the rehearsal.
    pub fn end(&self) {
        for (proxy, slot) in self.processes.iter().enumerate() {
            if let Some(mut process) = slot.borrow_mut().take() {
                self.event_log.record(Event::ProxyEnded {
                    proxy: proxy as u16,
                    how: ProxyEnd::Over,
                });
                process.end();
            }
        }
    }
}
