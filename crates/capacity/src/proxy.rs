//! A real `birchhubd` process under measurement, which ends when its owner drops it.
use crate::error::MeasurementError;
pub use crate::proxy_settings::ProxyProfile;
use crate::proxy_settings::method;
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

/// Interval between checks of a starting proxy.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time in which a proxy must be ready, even on a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which a proxy must respond to a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Memory limit in a proxy's configuration, in MB.
const MEMORY_LIMIT_MB: u32 = 128;
/// Limit of sockets in a proxy's configuration: far more than a measurement opens.
const SOCKET_LIMIT: u32 = 4_096;
/// The path of the readiness check.
const READY_PATH: &str = "/health/ready";
const OK: u16 = 200;

/// The cost of a proxy's start until it is ready.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartupCost {
    /// Time on the wall clock, in seconds.
    pub wall_seconds: f64,
    /// Processor time, in seconds.
    pub processor_seconds: f64,
}

/// A running proxy.
pub struct Proxy {
    /// The address at which it serves clients.
    pub address: SocketAddr,
    /// Its process.
    pub pid: u32,
    /// The cost of its last start.
    pub startup: StartupCost,
    child: Child,
    configuration_path: PathBuf,
    configuration: Value,
}

impl Proxy {
    /// Starts a proxy and waits until it is ready. Its configuration and log are the files `name` in `folder`.
    ///
    /// # Errors
    /// Fails if a file can't be written, the program can't be executed, or the proxy exits or is not ready within 60 s.
    pub async fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        discovery: SocketAddr,
        profile: ProxyProfile,
        seed: u64,
    ) -> Result<Self, MeasurementError> {
        let address = free_loopback_address()?;
        let configuration = json!({"name": name, "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "settings": profile.settings()});
        let configuration_path = folder.join(format!("{name}.json"));
        let mut proxy = Self::spawn(program, configuration_path, configuration, address)?;
        proxy.wait_until_ready().await?;
        Ok(proxy)
    }

    fn spawn(
        program: &Path,
        configuration_path: PathBuf,
        configuration: Value,
        address: SocketAddr,
    ) -> Result<Self, MeasurementError> {
        write_configuration(&configuration_path, &configuration)?;
        let log_path = log_path(&configuration_path);
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log_path)
            .map_err(|source| file_error(&log_path, source))?;
        let child = Command::new(program)
            .env("LB_CONFIG", &configuration_path)
            .env("BIRCHHUB_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|source| MeasurementError::ProxyStart {
                program: program.to_owned(),
                source,
            })?;
        Ok(Self {
            address,
            pid: child.id(),
            startup: StartupCost::default(),
            child,
            configuration_path,
            configuration,
        })
    }

    async fn wait_until_ready(&mut self) -> Result<(), MeasurementError> {
        let start = Instant::now();
        while self.request_status(READY_PATH).await != Some(OK) {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(MeasurementError::ProxyExited {
                    configuration: self.configuration_path.clone(),
                    status,
                    last_log_line: self.last_log_line(),
                });
            }
            if start.elapsed() > READY_TIMEOUT {
                return Err(MeasurementError::ProxyNotReady {
                    configuration: self.configuration_path.clone(),
                    seconds: READY_TIMEOUT.as_secs(),
                });
            }
            sleep(CHECK_INTERVAL).await;
        }
        self.startup = StartupCost {
            wall_seconds: start.elapsed().as_secs_f64(),
            processor_seconds: usage::processor_seconds(self.pid)?,
        };
        Ok(())
    }

    fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(log_path(&self.configuration_path)).unwrap_or_default();
        log.lines().last().unwrap_or("it said nothing").to_owned()
    }

    /// Sends a GET request and returns the status of the response; None without a response in time.
    pub async fn request_status(&self, path: &str) -> Option<u16> {
        timeout(RESPONSE_TIMEOUT, self.get(path)).await.ok()?
    }

    async fn get(&self, path: &str) -> Option<u16> {
        let mut peer = Peer::connect(self.address).await.ok()?;
        let headers =
            "Host: proxy\r\nConnection: close\r\nRequest-Id: ask\r\nRequest-Timeout-Ms: 1000";
        let request = format!("GET {path} HTTP/1.1\r\n{headers}\r\n\r\n");
        peer.write(request.as_bytes()).await.ok()?;
        let clock = Clock::starting_in(Duration::ZERO);
        let response = peer.read(MessageKind::Response, &clock).await.ok()?;
        Some(response.status)
    }

    /// Writes a configuration with one more method, which comes into force with a reload or a restart.
    ///
    /// # Errors
    /// Fails if the file can't be written.
    pub fn add_method(&mut self, name: &str) -> Result<(), MeasurementError> {
        if let Some(methods) = self.configuration["settings"]["methods"].as_array_mut() {
            methods.push(method(name));
        }
        write_configuration(&self.configuration_path, &self.configuration)
    }

    /// Makes the proxy reload its configuration, by SIGHUP.
    ///
    /// # Errors
    /// Fails if the process has gone.
    pub fn reload(&self) -> Result<(), MeasurementError> {
        let pid = self.pid;
        kill(Pid::from_raw(pid as i32), Signal::SIGHUP)
            .map_err(|source| MeasurementError::Reload { pid, source })
    }

    /// Kills the proxy, starts it again at the same address and waits until it is ready.
    ///
    /// # Errors
    /// Fails as [`Proxy::start`] does.
    pub async fn restart(&mut self, program: &Path) -> Result<(), MeasurementError> {
        self.kill();
        let configuration_path = self.configuration_path.clone();
        let configuration = self.configuration.clone();
        *self = Self::spawn(program, configuration_path, configuration, self.address)?;
        self.wait_until_ready().await
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

fn log_path(configuration_path: &Path) -> PathBuf {
    configuration_path.with_extension("log")
}

fn write_configuration(path: &Path, configuration: &Value) -> Result<(), MeasurementError> {
    std::fs::write(path, configuration.to_string()).map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: std::io::Error) -> MeasurementError {
    let path = path.to_owned();
    MeasurementError::File { path, source }
}

/// An address on loopback with a port that is free at the moment.
fn free_loopback_address() -> Result<SocketAddr, MeasurementError> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .and_then(|listener| listener.local_addr())
        .map_err(|source| MeasurementError::Listener {
            owner: "a proxy".to_owned(),
            source,
        })
}
