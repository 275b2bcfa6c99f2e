//! Simulated proxies on one thread: each polls the discovery service on a connection of its own, and the real decision core
//! decides when to poll and holds the endpoint list. They send no RPCs.
use crate::error::MeasurementError;
use crate::proxy::ProxyProfile;
use crate::service_thread::{ServiceThread, thread_start_error};
use crate::synthetic_discovery::LIST_PATH;
use crate::usage;
use birchhub::balancer::Balancer;
use birchhub::interface::{Endpoint, EndpointUpdateKind, Platform, Readiness};
use birchhub_emulator::Clock;
use birchhub_emulator::wire::{MessageKind, Peer, ReadError};
use birchhub_settings::ParsedSettings;
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::select;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Time for which a poll may be held, in milliseconds; as in a real proxy.
const HOLD_MS: u64 = 4_000;
/// Time in which a poll must have its response, beside the snapshots of many other proxies.
const POLL_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two updates of the processor time.
const PROCESSOR_TIME_INTERVAL: Duration = Duration::from_millis(2);
/// The name of the thread.
const THREAD_NAME: &str = "simulated-proxy";
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// The fields of an endpoint that the decision core needs.
#[derive(Deserialize)]
struct ListedEndpoint<'a> {
    #[serde(borrow)]
    uid: Cow<'a, str>,
    #[serde(rename = "az")]
    zone: &'a str,
    #[serde(rename = "pod_group")]
    cell: u64,
    state: &'a str,
}

/// The response to a poll.
#[derive(Deserialize)]
struct PollResponse<'a> {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(borrow, rename = "targets")]
    endpoints: Vec<ListedEndpoint<'a>>,
}

/// The platform of the decision core: it handles timers and polls only, because there are no RPCs.
struct PollingPlatform {
    start: Instant,
    /// Time of the next timer, in seconds since the start.
    wake_at: Option<f64>,
    /// Whether the decision core has asked for a poll.
    poll_requested: bool,
}

impl Platform for PollingPlatform {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    fn start_attempt(&mut self, _rpc: u64, _backend: u32, _timeout: f64) {}
    fn cancel_attempt(&mut self, _rpc: u64, _attempt: usize) {}
    fn reject(&mut self, _rpc: u64, _retry_after: f64) {}
    fn fail(&mut self, _rpc: u64) {}
    fn health_check(&mut self, _backend: u32) {}
    fn watch_endpoints(&mut self) {
        self.poll_requested = true;
    }
    fn schedule_timer(&mut self, delay: f64) {
        self.wake_at = Some(self.now() + delay);
    }
}

/// The event that a proxy received a version of the endpoint list.
#[derive(Clone, Copy, Debug)]
struct VersionReceived {
    proxy: u32,
    version: u64,
    at: Instant,
}

/// The reason for which the polls on a connection ended.
#[derive(Debug, thiserror::Error)]
enum PollError {
    /// The connection could not be opened or written to.
    #[error("connection to the discovery service failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The discovery service did not respond in time.
    #[error("the discovery service did not respond in time")]
    TimedOut,
    /// The response ended early or was malformed.
    #[error("response of the discovery service: {0:?}")]
    Response(ReadError),
    /// The body is no endpoint list.
    #[error("endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    /// The owner of the simulated proxies has gone.
    #[error("the run has ended")]
    RunEnded,
}

/// One simulated proxy.
struct SimulatedProxy {
    number: u32,
    discovery: SocketAddr,
    platform: PollingPlatform,
    balancer: Balancer,
    /// Numbers of the backends by their names.
    backend_numbers: HashMap<String, u32>,
    /// The version of the list that the proxy has.
    version: Option<u64>,
    events: mpsc::UnboundedSender<VersionReceived>,
    clock: Clock,
}

impl SimulatedProxy {
    async fn run(mut self) {
        self.balancer
            .update_endpoints(EndpointUpdateKind::StaleSnapshot, &[], &mut self.platform);
        loop {
            while !self.platform.poll_requested {
                let Some(wake_at) = self.platform.wake_at.take() else {
                    return;
                };
                let delay_seconds = (wake_at - self.platform.now()).max(0.0);
                sleep(Duration::from_secs_f64(delay_seconds)).await;
                self.balancer.on_timer(&mut self.platform);
            }
            self.platform.poll_requested = false;
            if let Err(error) = self.poll_until_error().await {
                log::debug!("simulated proxy {}: {error}", self.number);
            }
            self.balancer.on_discovery_failure(&mut self.platform);
        }
    }

    /// Polls on one connection until a poll fails.
    async fn poll_until_error(&mut self) -> Result<(), PollError> {
        let mut peer = Peer::connect(self.discovery).await?;
        loop {
            let path = match self.version {
                None => LIST_PATH.to_owned(),
                Some(from) => format!("{LIST_PATH}?from={from}&hold_ms={HOLD_MS}"),
            };
            let request = format!("GET {path} HTTP/1.1\r\nHost: list\r\n\r\n");
            peer.write(request.as_bytes()).await?;
            let response = timeout(POLL_TIMEOUT, peer.read(MessageKind::Response, &self.clock))
                .await
                .map_err(|_| PollError::TimedOut)?
                .map_err(PollError::Response)?;
            let response: PollResponse = serde_json::from_slice(&response.body)?;
            self.apply(&response);
            let event = VersionReceived {
                proxy: self.number,
                version: response.version,
                at: Instant::now(),
            };
            self.events.send(event).map_err(|_| PollError::RunEnded)?;
        }
    }

    fn apply(&mut self, response: &PollResponse) {
        self.version = Some(response.version);
        let endpoints: Vec<_> = response
            .endpoints
            .iter()
            .map(|listed| self.endpoint(listed))
            .collect();
        let kind = match response.is_snapshot {
            true => EndpointUpdateKind::Snapshot,
            false => EndpointUpdateKind::Incremental,
        };
        self.balancer
            .update_endpoints(kind, &endpoints, &mut self.platform);
    }

    fn endpoint(&mut self, listed: &ListedEndpoint) -> Endpoint {
        let next_number = self.backend_numbers.len() as u32;
        let backend = *self
            .backend_numbers
            .entry(listed.uid.clone().into_owned())
            .or_insert(next_number);
        let readiness = match listed.state {
            "Ready" => Readiness::Ready,
            _ => Readiness::Draining,
        };
        Endpoint {
            backend,
            relative_size: 1.0,
            started_at: None,
            cell: listed.cell,
            zone: listed
                .zone
                .trim_start_matches('z')
                .parse()
                .unwrap_or_default(),
            readiness,
        }
    }
}

/// What the thread of the simulated proxies needs.
struct ThreadContext {
    count: u32,
    discovery: SocketAddr,
    seed: u64,
    settings: ParsedSettings,
    events: mpsc::UnboundedSender<VersionReceived>,
    processor_nanoseconds: Arc<AtomicU64>,
    stopped: oneshot::Receiver<()>,
}

impl ThreadContext {
    fn run(self) {
        let runtime = match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime,
            Err(error) => {
                log::error!("simulated proxies: event loop could not be started: {error}");
                return;
            }
        };
        LocalSet::new().block_on(&runtime, self.run_proxies());
    }

    async fn run_proxies(self) {
        let clock = Clock::starting_in(Duration::ZERO);
        for number in 0..self.count {
            let seed = self.seed.wrapping_add(u64::from(number));
            let proxy = SimulatedProxy {
                number,
                discovery: self.discovery,
                platform: PollingPlatform {
                    start: Instant::now(),
                    wake_at: None,
                    poll_requested: false,
                },
                balancer: Balancer::new(&self.settings.settings, seed),
                backend_numbers: HashMap::new(),
                version: None,
                events: self.events.clone(),
                clock,
            };
            spawn_local(proxy.run());
        }
        // The proxies hold the only senders: the channel closes when the last of them ends.
        drop(self.events);
        select! {
            _ = self.stopped => {}
            () = publish_processor_time(&self.processor_nanoseconds) => {}
        }
    }
}

/// Stores the processor time of the calling thread at regular intervals, forever.
async fn publish_processor_time(processor_nanoseconds: &AtomicU64) {
    loop {
        sleep(PROCESSOR_TIME_INTERVAL).await;
        let nanoseconds = usage::thread_processor_seconds() * NANOSECONDS_PER_SECOND;
        processor_nanoseconds.store(nanoseconds as u64, Relaxed);
    }
}

/// Simulated proxies on a thread, which ends when they are dropped.
pub struct SimulatedProxies {
    count: u32,
    events: mpsc::UnboundedReceiver<VersionReceived>,
    processor_nanoseconds: Arc<AtomicU64>,
    _thread: ServiceThread,
}

impl SimulatedProxies {
    /// Starts `count` proxies that poll the discovery service at an address.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub fn start(count: u32, discovery: SocketAddr, seed: u64) -> Result<Self, MeasurementError> {
        let (sender, events) = mpsc::unbounded_channel();
        let (stop, stopped) = oneshot::channel();
        let processor_nanoseconds = Arc::new(AtomicU64::new(0));
        let context = ThreadContext {
            count,
            discovery,
            seed,
            settings: birchhub_settings::parse_value(&ProxyProfile::default().settings())?,
            events: sender,
            processor_nanoseconds: processor_nanoseconds.clone(),
            stopped,
        };
        let thread = std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || context.run())
            .map_err(|source| thread_start_error(THREAD_NAME, source))?;
        Ok(Self {
            count,
            events,
            processor_nanoseconds,
            _thread: ServiceThread::new(stop, thread),
        })
    }

    /// Processor time of all proxies, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        self.processor_nanoseconds.load(Relaxed) as f64 / NANOSECONDS_PER_SECOND
    }

    /// Waits until all proxies have received a version or a later one. Returns the time at which the last one did.
    ///
    /// # Errors
    /// Fails after `limit`, with the number of proxies that lack the version.
    pub async fn wait_for_version(
        &mut self,
        version: u64,
        limit: Duration,
    ) -> Result<Instant, MeasurementError> {
        let mut is_missing = vec![true; self.count as usize];
        let mut missing = self.count;
        let mut last_received = Instant::now();
        let receive_all = async {
            while missing > 0 {
                let event = self.events.recv().await?;
                let is_new = event.version >= version
                    && std::mem::take(&mut is_missing[event.proxy as usize]);
                if is_new {
                    missing -= 1;
                    last_received = event.at;
                }
            }
            Some(())
        };
        match timeout(limit, receive_all).await {
            Ok(Some(())) => Ok(last_received),
            Ok(None) => Err(MeasurementError::SimulatedProxiesEnded),
            Err(_) => Err(MeasurementError::EndpointListNotReceived {
                missing,
                count: self.count,
            }),
        }
    }
}
