//! The start of a proxy: its configuration, its process, and the wait until it is ready.
use super::{CHECK_INTERVAL, Process, Proxies};
use crate::environment::ProxyDiscovery;
use crate::error::RehearsalError;
use crate::plan::proxy_name;
use crate::settings;
use birchhub_audit::Event;
use birchhub_backend_model::work::seeded_rng;
use birchhub_emulator::wire::{MessageKind, Peer};
use rand::Rng;
use serde_json::json;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time within which a started proxy must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of one readiness check.
const READINESS_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

impl Proxies {
    /// Starts a proxy, waits until it is ready and takes it into rotation.
    ///
    /// # Errors
    ///
    /// Returns the reason why the proxy could not be started or was not ready in time.
    pub async fn start(self: &Rc<Self>, proxy: u16) -> Result<(), RehearsalError> {
        let discovery = self
            .environment
            .start_proxy(proxy)
            .await
            .ok_or(RehearsalError::EnvironmentEnded)?;
        let config_file = self.write_config(proxy, discovery)?;
        let child = self.spawn(proxy, &config_file)?;
        *self.processes[proxy as usize].borrow_mut() = Some(Process {
            child,
            terminated_at: None,
        });
        self.wait_until_ready(proxy).await?;
        self.event_log.record(Event::ProxyReady { proxy });
        self.front.set_ending(proxy, false);
        self.front.set_in_rotation(proxy, true);
        Ok(())
    }

    /// Writes the configuration of a proxy as the platform does and returns its file.
    fn write_config(
        &self,
        proxy: u16,
        discovery: ProxyDiscovery,
    ) -> Result<PathBuf, RehearsalError> {
        let scenario = &self.scenario;
        let listen = self.front.addresses[proxy as usize];
        // Each start has another seed, as on the platform, but all are derived from the rehearsal's.
        let start_ms = (self.event_log.clock.now().max(0.0) * 1e3) as u64;
        let stream = u64::from(proxy) << 48 | start_ms;
        let seed: u64 = seeded_rng(self.options.seed, stream).random();
        let known = scenario
            .discovery
            .known_at_start
            .then_some(discovery.initial_snapshot);
        let config = json!({
            "name": proxy_name(proxy),
            "listen": listen.to_string(),
            "discovery": discovery.address.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {
                "cores": 1.0,
                "memory_mb": scenario.proxies.memory_mb,
                "sockets": scenario.proxies.max_sockets,
            },
            "known": known,
            "settings": settings::settings(scenario, proxy)
        });
        let file = self.path(proxy, "json");
        std::fs::write(&file, config.to_string()).map_err(RehearsalError::io(&file))?;
        Ok(file)
    }

    /// Starts the process of a proxy, which appends to its log.
    fn spawn(&self, proxy: u16, config_file: &Path) -> Result<Child, RehearsalError> {
        let log_file = self.path(proxy, "log");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log_file)
            .map_err(RehearsalError::io(&log_file))?;
        let variables = self.hooks.environment.get(&proxy);
        Command::new(&self.options.program)
            .env("LB_CONFIG", config_file)
            .envs(variables.into_iter().flatten().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|source| RehearsalError::SpawnProxy {
                program: self.options.program.clone(),
                source,
            })
    }

    async fn wait_until_ready(&self, proxy: u16) -> Result<(), RehearsalError> {
        let address = self.front.addresses[proxy as usize];
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready(address).await {
            let has_ended = self.reap(proxy).is_some();
            if has_ended || self.processes[proxy as usize].borrow().is_none() {
                return Err(self.ended_at_start(proxy));
            }
            if Instant::now() > until {
                return Err(RehearsalError::ProxyNotReady {
                    proxy: proxy_name(proxy),
                    seconds: READY_TIMEOUT.as_secs(),
                });
            }
            sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the error for a proxy that ended as it started, with the last line of its log.
    fn ended_at_start(&self, proxy: u16) -> RehearsalError {
        let log = std::fs::read_to_string(self.path(proxy, "log")).unwrap_or_default();
        let last_log_line = log.lines().last().unwrap_or("it said nothing");
        RehearsalError::ProxyEnded {
            proxy: proxy_name(proxy),
            program: self.options.program.clone(),
            last_log_line: last_log_line.to_owned(),
        }
    }

    async fn is_ready(&self, at: SocketAddr) -> bool {
        let check = async {
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
        timeout(READINESS_CHECK_TIMEOUT, check).await == Ok(Some(200))
    }
}
