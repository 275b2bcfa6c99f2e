//! The proxies' processes: each has one owner here, which starts, signals and ends it, and the layer before them that deals
//! clients out.
use crate::environment::{AddressBlock, EnvironmentHandle};
use crate::error::RehearsalError;
use crate::hooks::Hooks;
use crate::plan::{Action, proxy_name};
use crate::run::Options;
use crate::scenario::Scenario;
use crate::settings;
use birchhub_audit::Event;
use birchhub_audit::event::ProxyEnd;
use birchhub_backend_model::work::generator;
use birchhub_emulator::EventLog;
use birchhub_emulator::wire::{MessageKind, Peer};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::Rng;
use serde_json::json;
use std::cell::RefCell;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const LOOK: Duration = Duration::from_millis(10); // between looks at a process
const READY: Duration = Duration::from_secs(10); // for a proxy to be ready
const ASK: Duration = Duration::from_millis(500); // for one answer on its health
const STOPPING: f64 = 0.7; // s beyond the longest deadline that a proxy has after SIGTERM

/// Where the layer before the proxies sends a client of a zone, by this chance: to a proxy of the zone that is taken in, else to
/// one of any zone, else to one that is not.
pub fn deal(
    proxies: usize,
    zones: usize,
    zone: u32,
    chance: u64,
    open: impl Fn(&usize) -> bool,
) -> usize {
    let home = |proxy: &usize| proxy % zones == zone as usize;
    let mut fits: Vec<usize> = (0..proxies).filter(|p| open(p) && home(p)).collect();
    if fits.is_empty() {
        fits = (0..proxies).filter(open).collect();
    }
    if fits.is_empty() {
        fits = (0..proxies).collect();
    }
    fits[(chance % fits.len() as u64) as usize]
}

/// The layer before the proxies: who is taken in, and where.
pub struct Front {
    doors: Vec<SocketAddr>,
    taken_in: Vec<AtomicBool>,
    zones: usize,
}

impl Front {
    /// Where the proxies listen.
    pub fn doors(&self) -> &[SocketAddr] {
        &self.doors
    }

    /// A proxy for this chance: of the zone, or of any where none of it is taken in.
    pub fn deal(&self, zone: u32, chance: u64) -> (u16, SocketAddr) {
        let open = |proxy: &usize| self.taken_in[*proxy].load(Ordering::Relaxed);
        let proxy = deal(self.doors.len(), self.zones, zone, chance, open);
        (proxy as u16, self.doors[proxy])
    }

    fn set(&self, proxy: u16, open: bool) {
        self.taken_in[proxy as usize].store(open, Ordering::Relaxed);
    }
}

/// A proxy's process. However the kit ends, it does not outlive its owner.
struct Process {
    child: Child,
    /// SIGTERM has been sent.
    stopping: bool,
}

impl Process {
    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Ends it at once.
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

/// All of them.
pub struct Proxies {
    scenario: Scenario,
    options: Options,
    hooks: Hooks,
    event_log: EventLog,
    environment: EnvironmentHandle,
    pub front: Arc<Front>,
    processes: Vec<RefCell<Option<Process>>>,
}

impl Proxies {
    pub fn new(
        scenario: &Scenario,
        options: &Options,
        hooks: &Hooks,
        event_log: EventLog,
        environment: EnvironmentHandle,
        block: AddressBlock,
    ) -> Result<Rc<Self>, RehearsalError> {
        let count = scenario.proxies.count;
        let door = |proxy: usize| {
            let ip = block.proxy(proxy as u16);
            // The address is this rehearsal's own: nobody takes the port between here and the proxy's start.
            std::net::TcpListener::bind((ip, 0))
                .and_then(|l| l.local_addr())
                .map_err(|source| RehearsalError::ReservePort { ip, source })
        };
        let doors = (0..count).map(door).collect::<Result<_, _>>()?;
        let taken_in = (0..count).map(|_| AtomicBool::new(false)).collect();
        let front = Arc::new(Front {
            doors,
            taken_in,
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

    /// Starts a proxy and waits until it is ready.
    #[expect(clippy::too_many_lines)]
    pub async fn start(self: &Rc<Self>, proxy: u16) -> Result<(), RehearsalError> {
        let name = proxy_name(proxy);
        let discovery = self
            .environment
            .start_proxy(proxy)
            .await
            .ok_or(RehearsalError::EnvironmentEnded)?;
        let at = self.front.doors[proxy as usize];
        // New with each start, as the platform does it, yet drawn from the rehearsal's own seed.
        let start = (self.event_log.clock.now().max(0.0) * 1e3) as u64;
        let seed: u64 = generator(self.options.seed, u64::from(proxy) << 48 | start).random();
        let config = json!({
            "name": name, "listen": at.to_string(), "discovery": discovery.address.to_string(), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": self.scenario.proxies.memory_mb, "sockets": self.scenario.proxies.max_sockets},
            "known": Some(discovery.initial_snapshot).filter(|_| self.scenario.discovery.known_at_start),
            "settings": settings::settings(&self.scenario, proxy)
        });
        let file = self.path(proxy, "json");
        std::fs::write(&file, config.to_string()).map_err(RehearsalError::io(&file))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path(proxy, "log"));
        let log = log.map_err(RehearsalError::io(&self.path(proxy, "log")))?;
        let mut command = Command::new(&self.options.program);
        command
            .env("LB_CONFIG", &file)
            .envs(
                self.hooks
                    .environment
                    .get(&proxy)
                    .into_iter()
                    .flatten()
                    .cloned(),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command
            .spawn()
            .map_err(|source| RehearsalError::SpawnProxy {
                program: self.options.program.clone(),
                source,
            })?;
        *self.processes[proxy as usize].borrow_mut() = Some(Process {
            child,
            stopping: false,
        });
        let until = Instant::now() + READY;
        while !self.is_ready(at).await {
            if self.reap(proxy).is_some() || self.processes[proxy as usize].borrow().is_none() {
                let log = std::fs::read_to_string(self.path(proxy, "log")).unwrap_or_default();
                let last = log.lines().last().unwrap_or("it said nothing");
                return Err(RehearsalError::ProxyEnded {
                    proxy: name,
                    program: self.options.program.clone(),
                    last_log_line: last.to_owned(),
                });
            }
            if Instant::now() > until {
                return Err(RehearsalError::ProxyNotReady {
                    proxy: name,
                    seconds: READY.as_secs(),
                });
            }
            sleep(LOOK).await;
        }
        self.event_log.record(Event::ProxyReady { proxy });
        self.front.set(proxy, true);
        Ok(())
    }

    async fn is_ready(&self, at: SocketAddr) -> bool {
        let ask = async {
            let mut peer = Peer::connect(at).await.ok()?;
            peer.write(b"GET /health/ready HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            Some(
                peer.read(MessageKind::Response, &self.event_log.clock)
                    .await
                    .ok()?
                    .status,
            )
        };
        timeout(ASK, ask).await == Ok(Some(200))
    }

    /// Takes note of a process that has ended by itself; tells how.
    fn reap(&self, proxy: u16) -> Option<ProxyEnd> {
        let mut slot = self.processes[proxy as usize].borrow_mut();
        let process = slot.as_mut()?;
        if !matches!(process.child.try_wait(), Ok(Some(_))) {
            return None;
        }
        let how = if process.stopping {
            ProxyEnd::Stopped
        } else {
            ProxyEnd::Crashed
        };
        *slot = None;
        Some(how)
    }

    /// The layer before the proxies notices after its time.
    fn notice(self: &Rc<Self>, proxy: u16, after: f64) {
        let proxies = self.clone();
        spawn_local(async move {
            sleep(Duration::from_secs_f64(after)).await;
            // Unless another has started meanwhile.
            if proxies.processes[proxy as usize]
                .borrow()
                .as_ref()
                .is_none_or(|process| process.stopping)
            {
                proxies.front.set(proxy, false);
            }
        });
    }

    fn ended(self: &Rc<Self>, proxy: u16, how: ProxyEnd) {
        self.event_log.record(Event::ProxyEnded { proxy, how });
        self.notice(proxy, self.scenario.proxies.front_detection_delay.0);
    }

    /// Plays the acts that concern proxies, and takes note of those that end unasked.
    pub async fn play(self: Rc<Self>, acts: Vec<(f64, Action)>) {
        let watcher = self.clone();
        spawn_local(async move {
            loop {
                sleep(LOOK).await;
                for proxy in 0..watcher.processes.len() as u16 {
                    if let Some(how) = watcher.reap(proxy) {
                        if how == ProxyEnd::Crashed {
                            log::error!("{} ended by itself", proxy_name(proxy));
                        }
                        watcher.ended(proxy, how);
                    }
                }
            }
        });
        for (at, act) in acts.into_iter().filter(|(_, act)| act.is_of_proxies()) {
            self.event_log.clock.sleep_until(at).await;
            self.act(act);
        }
    }

    fn act(self: &Rc<Self>, act: Action) {
        let signal = |proxy: u16, signal| {
            if let Some(process) = self.processes[proxy as usize].borrow().as_ref() {
                process.signal(signal);
            }
        };
        match act {
            Action::KillProxy { proxy } => self.kill(proxy, ProxyEnd::Killed),
            Action::PauseProxy { proxy, on } => {
                signal(proxy, if on { Signal::SIGSTOP } else { Signal::SIGCONT })
            }
            Action::TerminateProxy { proxy } => {
                if let Some(process) = self.processes[proxy as usize].borrow_mut().as_mut() {
                    process.stopping = true;
                    process.signal(Signal::SIGTERM);
                }
                // A planned end is known to the layer before it soon, yet not at once.
                self.notice(proxy, 0.3);
            }
            Action::ReloadProxy { proxy } => signal(proxy, Signal::SIGHUP),
            Action::StartProxy { proxy } => drop(spawn_local(self.clone().start_again(proxy))),
            _ => {}
        }
    }

    /// Ends its process at once, and notes it before anybody can see it gone.
    fn kill(self: &Rc<Self>, proxy: u16, how: ProxyEnd) {
        let process = self.processes[proxy as usize].borrow_mut().take();
        if let Some(mut process) = process {
            self.ended(proxy, how);
            process.end();
        }
    }

    /// Starts a proxy again; one that is still on its way out has its time for that first.
    async fn start_again(self: Rc<Self>, proxy: u16) {
        let until = Instant::now() + self.longest_stop();
        while self.processes[proxy as usize].borrow().is_some() {
            if Instant::now() > until {
                self.kill(proxy, ProxyEnd::Forced);
                break;
            }
            sleep(LOOK).await;
        }
        if let Err(fault) = self.start(proxy).await {
            log::error!("{fault}");
        }
    }

    /// Tells all of them to end, and waits for as long as they may take.
    pub async fn end_gracefully(self: &Rc<Self>) {
        for proxy in 0..self.processes.len() as u16 {
            self.act(Action::PauseProxy { proxy, on: false });
            self.act(Action::TerminateProxy { proxy });
        }
        let until = Instant::now() + self.longest_stop();
        while Instant::now() < until {
            let running = self.processes.iter().filter(|slot| slot.borrow().is_some());
            if running.count() == 0 {
                return;
            }
            for proxy in 0..self.processes.len() as u16 {
                if let Some(how) = self.reap(proxy) {
                    self.ended(proxy, how);
                }
            }
            sleep(LOOK).await;
        }
        for proxy in 0..self.processes.len() as u16 {
            self.kill(proxy, ProxyEnd::Forced);
        }
    }

    /// What a process may take to end after SIGTERM.
    fn longest_stop(&self) -> Duration {
        let deadlines = self.scenario.methods.iter().map(|m| m.deadline.0);
        Duration::from_secs_f64(deadlines.fold(0.0, f64::max) + STOPPING)
    }

    /// Ends them all.
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
