//! A real `birchhubd` before hollow backends: its process has one owner here.
use crate::error::MeasurementError;
use crate::usage;
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{MessageKind, Peer};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

const LOOK: Duration = Duration::from_millis(2); // between looks at a process
const READY: Duration = Duration::from_secs(60); // for a proxy to be ready, on a machine however busy
const ASK: Duration = Duration::from_secs(2); // for one answer
pub const IDLE: Duration = Duration::from_secs(5); // after which backends close a connection on which nothing goes
const PROBE_PRICE: f64 = 0.01; // points of service that a probe for every RPC would cost: two or three are worth it
const MEMORY: u32 = 128; // MB that a proxy is told it has
const SOCKETS: u32 = 4_096; // that a proxy is told it has: far above what these runs open

/// What a proxy is configured with.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub methods: u32,
    pub tenants: u32,
    pub proxies: u32,
    /// Loads are told by probes; else by answers, and there are no probes.
    pub probes: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            methods: 1,
            tenants: 0,
            proxies: 850,
            probes: false,
        }
    }
}

fn ns(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// The settings object of such a proxy: ten zones.
pub fn settings(shape: Shape) -> Value {
    let method = |n: u32| {
        json!({"name": format!("m{n}"), "idempotency": "read_like", "latency-target-ns": ns(0.25),
            "hard-limit-ns": ns(1.0), "utility": 1.0})
    };
    let account = |n: u32| json!({"name": format!("tenant-{n:06}"), "quota-per-s": 4.0, "share": 1.0 / f64::from(shape.tenants)});
    let zones: Vec<_> = (0..10).map(|n| format!("z{n}")).collect();
    json!({
        "balancers": shape.proxies, "me": 0,
        "accounts": (0..shape.tenants).map(account).collect::<Vec<_>>(),
        "methods": (0..shape.methods).map(method).collect::<Vec<_>>(),
        "ceilings": {"cancel": true, "conn-idle-ns": ns(IDLE.as_secs_f64()), "connect-timeout-ns": ns(0.25),
            "most-picks": 3, "probes": shape.probes},
        "contract": {"ask-within-ns": ns(2.0), "cold-from": 0.3, "cold-ns": ns(8.0), "drain-grace-ns": ns(0.3),
            "fall-multiple": 3.0, "tip-after-ns": ns(1.0)},
        "failure-domains": zones, "my-zone": "z0", "membership-mode": "on_request",
        "penalties": {"probe": PROBE_PRICE}, "report": {"how": if shape.probes { "probe" } else { "answers" }, "fields": ["concurrent", "depth"]}, "weight-source": "none"
    })
}

fn file_error(path: &Path, source: std::io::Error) -> MeasurementError {
    let path = path.to_owned();
    MeasurementError::File { path, source }
}

/// A free address on loopback.
fn free() -> Result<SocketAddr, MeasurementError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    listener
        .and_then(|l| l.local_addr())
        .map_err(|source| MeasurementError::Listener {
            owner: "a proxy".to_owned(),
            source,
        })
}

/// A running proxy. It ends with its owner.
pub struct Proxy {
    pub at: SocketAddr,
    pub pid: u32,
    /// From its start to ready: s on the wall, and s of processor time.
    pub started: (f64, f64),
    child: Child,
    config: PathBuf,
    file: Value,
}

impl Proxy {
    /// Starts one and waits until it takes clients.
    pub async fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        list: SocketAddr,
        shape: Shape,
        seed: u64,
    ) -> Result<Self, MeasurementError> {
        let at = free()?;
        let file = json!({"name": name, "listen": at.to_string(), "discovery": list.to_string(),
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": MEMORY, "sockets": SOCKETS},
            "settings": settings(shape)});
        let config = folder.join(format!("{name}.json"));
        let mut proxy = Self::spawn(program, config, file, at)?;
        proxy.until_ready().await?;
        Ok(proxy)
    }

    fn spawn(
        program: &Path,
        config: PathBuf,
        file: Value,
        at: SocketAddr,
    ) -> Result<Self, MeasurementError> {
        std::fs::write(&config, file.to_string()).map_err(|source| file_error(&config, source))?;
        let path = config.with_extension("log");
        let log = File::options().create(true).append(true).open(&path);
        let log = log.map_err(|source| file_error(&path, source))?;
        let mut command = Command::new(program);
        command
            .env("LB_CONFIG", &config)
            .env("BIRCHHUB_LOG", "warn");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command
            .spawn()
            .map_err(|source| MeasurementError::ProxyStart {
                program: program.to_owned(),
                source,
            })?;
        let pid = child.id();
        Ok(Self {
            at,
            pid,
            started: (0.0, 0.0),
            child,
            config,
            file,
        })
    }

    async fn until_ready(&mut self) -> Result<(), MeasurementError> {
        let begun = Instant::now();
        while self.ask("/health/ready").await != Some(200) {
            if let Ok(Some(status)) = self.child.try_wait() {
                let log =
                    std::fs::read_to_string(self.config.with_extension("log")).unwrap_or_default();
                let last = log.lines().last().unwrap_or("it said nothing").to_owned();
                return Err(MeasurementError::ProxyExited {
                    configuration: self.config.clone(),
                    status,
                    last_log_line: last,
                });
            }
            if begun.elapsed() > READY {
                return Err(MeasurementError::ProxyNotReady {
                    configuration: self.config.clone(),
                    seconds: READY.as_secs(),
                });
            }
            sleep(LOOK).await;
        }
        self.started = (begun.elapsed().as_secs_f64(), usage::processor(self.pid)?);
        Ok(())
    }

    /// Status of the answer to a GET; None without one.
    pub async fn ask(&self, path: &str) -> Option<u16> {
        let ask = async {
            let mut peer = Peer::connect(self.at).await.ok()?;
            let head =
                "Host: proxy\r\nConnection: close\r\nRequest-Id: ask\r\nRequest-Timeout-Ms: 1000";
            peer.write(format!("GET {path} HTTP/1.1\r\n{head}\r\n\r\n").as_bytes())
                .await
                .ok()?;
            Some(
                peer.read(MessageKind::Response, &Clock::starting_in(Duration::ZERO))
                    .await
                    .ok()?
                    .status,
            )
        };
        timeout(ASK, ask).await.ok()?
    }

    /// Writes a configuration with one more method, which is not in force by that.
    pub fn add_method(&mut self, name: &str) -> Result<(), MeasurementError> {
        let method = json!({"name": name, "idempotency": "read_like", "latency-target-ns": ns(0.25),
            "hard-limit-ns": ns(1.0), "utility": 1.0});
        if let Some(methods) = self.file["settings"]["methods"].as_array_mut() {
            methods.push(method);
        }
        std::fs::write(&self.config, self.file.to_string())
            .map_err(|source| file_error(&self.config, source))
    }

    pub fn hang_up(&self) -> Result<(), MeasurementError> {
        let pid = self.pid;
        kill(Pid::from_raw(pid as i32), Signal::SIGHUP)
            .map_err(|source| MeasurementError::Reload { pid, source })
    }

    /// Ends it at once and starts it again where it was; done when it takes clients.
    pub async fn restart(&mut self, program: &Path) -> Result<(), MeasurementError> {
        self.end();
        let next = Self::spawn(program, self.config.clone(), self.file.clone(), self.at)?;
        *self = next;
        self.until_ready().await
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.end();
    }
}
